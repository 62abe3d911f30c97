import json
import unittest

from sassafrasstile import errors
from sassafrasstile import stores
from sassafrasstile import testing
from sassafrasstile import web
from sassafrasstile.platform import _codec
from sassafrasstile.platform import _names
from sassafrasstile.platform import _records

_KEY = "k-secret-5d20"


def _decode(*workspaces, **changes):
    document = testing.make_configuration_document(
        version=1, routes=[], workspaces=workspaces
    )
    value = json.dumps({**document, **changes}).encode()
    change = stores.Change(key=_names.CONFIGURATION_KEY, value=value, offset=0)
    return _records.PlatformRecordDecoder().decode_configuration(change)


def _read_key(*values):
    request = web.CallerRequest(
        method=b"POST",
        target=b"/",
        headers=(
            (b"Host", b"a.example"),
            *((b"Authorization", value) for value in values),
        ),
        body=b"",
        received_at=0.0,
    )
    return _codec.PlatformCodec().decode_request(request).key


class WorkspaceRecordTest(unittest.TestCase):
    """Workspaces of the platform's configuration."""

    def test_configuration_without_workspaces_has_none(self):
        self.assertEqual(_decode().workspaces, ())

    def test_key_is_in_no_text(self):
        configuration = _decode(testing.make_workspace_document("one", _KEY))
        (workspace,) = configuration.workspaces
        self.assertEqual(workspace.keys, {_KEY})
        self.assertNotIn(_KEY, repr(configuration) + str(configuration))

    # A name is sent as a header's value.
    def test_rejected_configuration_does_not_show_keys(self):
        document = testing.make_workspace_document("one", _KEY)
        for broken in (
            {**document, "name": ""},
            {**document, "name": "a\r\nX-Stage: prefill"},
            {**document, "name": " a"},
            {**document, "apiKeys": _KEY},
            {**document, "apiKeys": [_KEY, 1]},
            {**document, "priority": _KEY},
            {**document, "ratePerS": -1},
            {**document, "burst": "NaN"},
        ):
            with self.subTest(broken=broken):
                with self.assertRaises(errors.ConfigurationError) as raised:
                    _decode(broken)
                shown = f"{raised.exception} {raised.exception!r}"
                self.assertNotIn(_KEY, shown)
        with self.assertRaises(errors.ConfigurationError) as raised:
            _decode(document, version=_KEY)
        self.assertNotIn(_KEY, str(raised.exception))


class KeyTest(unittest.TestCase):
    """The key that a caller shows."""

    def test_exactly_one_key_after_its_scheme(self):
        for values, expected in (
            ((), None),
            ((b"Token k",), "k"),
            ((b"token \t k ",), "k"),
            ((b" \tTOKEN\tk",), "k"),
            ((b"Token",), None),
            ((b"Token ",), None),
            ((b"k",), None),
            ((b"Bearer k",), None),
            ((b"Tokenk",), None),
            ((b"Token k", b"Token k"), None),
            ((b"Token k", b""), None),
            (("Token \u043a\u00e9".encode(),), "\u043a\u00e9"),
            ((b"Token \xfcber",), "\u00fcber"),
            ((b"Token a b",), "a b"),
        ):
            with self.subTest(values=values):
                self.assertEqual(_read_key(*values), expected)
