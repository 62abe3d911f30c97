import json
import unittest

from sassafrasstile import errors
from sassafrasstile import stores
from sassafrasstile import testing
from sassafrasstile.platform import _records


def _make_change(value, *, key="i-1"):
    return stores.Change(key=key, value=value, offset=1)


class EndpointRecordTest(unittest.TestCase):
    """Which records of the list name an endpoint."""

    def setUp(self):
        self.decoder = _records.PlatformRecordDecoder()
        self.sound = testing.make_endpoint_document(port=80)

    # Guards against calls to addresses that no call can be sent to (issue 56).
    def test_odd_records_name_no_endpoint(self):
        for key, value in testing.make_odd_endpoints(self.sound).items():
            with self.subTest(key=key), self.assertRaises(errors.Error):
                self.decoder.decode_endpoint(_make_change(value, key=key))

    def test_sound_records_name_endpoints(self):
        document = {**self.sound, "models": [{"name": "m"}], "new": {"a": 1}}
        del document["born"]
        for changes in ({}, {"slots": 1_000_000}, {"stage": "decode"}):
            value = json.dumps({**document, **changes}).encode()
            record = self.decoder.decode_endpoint(_make_change(value))
            self.assertEqual((record.host, record.port), ("127.0.0.1", 80))


class ConfigurationRecordTest(unittest.TestCase):
    """Which records hold a configuration."""

    def decode(self, text):
        decoder = _records.PlatformRecordDecoder()
        change = _make_change(text.encode(), key="config")
        return decoder.decode_configuration(change)

    # Guards against times and sizes with which nothing can be computed, which
    # would fail each request (issue 56).
    def test_numbers_out_of_range_are_rejected(self):
        document = testing.make_configuration_document(
            version=1234567,
            routes=[
                testing.make_platform_route(
                    "/a/", "desk", "safe", timeoutMs=1234567
                )
            ],
            idleTimeoutMs=1234567,
        )
        sound = json.dumps(document)
        self.assertEqual(self.decode(sound).version, 1234567)
        parts = sound.split("1234567")
        for number in ("1e999", "NaN", "-1", "9" * 400):
            for place in range(1, len(parts)):
                odd = number.join(
                    (
                        "1234567".join(parts[:place]),
                        "1234567".join(parts[place:]),
                    )
                )
                with self.assertRaises(errors.ConfigurationError):
                    self.decode(odd)
