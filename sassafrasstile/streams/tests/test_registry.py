import unittest

from sassafrasstile import streams

_V1 = streams.StreamOrigin(service="s", software_version="v1")
_V2 = streams.StreamOrigin(service="s", software_version="v2")


class OriginRegistryTest(unittest.TestCase):
    """What a gateway remembers is bounded and expires."""

    def setUp(self):
        self.registry = streams.OriginRegistry()

    def record(self, key, origin=_V1, *, now=0.0, lifetime_s=10.0):
        self.registry.record(key, origin, now=now, lifetime_s=lifetime_s)

    # Guards against a later event of another version replacing what began.
    def test_first_origin_of_a_stream_holds(self):
        self.record("k")
        self.record("k", _V2, now=1.0, lifetime_s=20.0)
        self.assertEqual(self.registry.find("k", now=20.0), _V1)
        self.assertIsNone(self.registry.find("k", now=21.0))

    def test_shorter_lifetime_does_not_shorten_the_first(self):
        self.record("k", lifetime_s=10.0)
        self.record("k", now=1.0, lifetime_s=1.0)
        self.assertEqual(self.registry.find("k", now=9.0), _V1)

    def test_expired_streams_are_forgotten(self):
        for number in range(100):
            self.record(f"k{number}", now=float(number), lifetime_s=5.0)
        self.assertLessEqual(len(self.registry), 5)

    # Guards against memory that grows with the load.
    def test_number_of_streams_is_bounded(self):
        for number in range(10_100):
            self.record(f"k{number}")
        self.assertEqual(len(self.registry), 10_000)
        self.assertIsNone(self.registry.find("k0", now=0.0))
        self.assertEqual(self.registry.find("k10099", now=0.0), _V1)

    def test_lifetime_that_a_peer_states_is_bounded(self):
        self.record("k", lifetime_s=1e9)
        self.assertIsNone(self.registry.find("k", now=3600.0))
