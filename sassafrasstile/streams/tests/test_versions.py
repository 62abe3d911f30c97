import unittest

from sassafrasstile import streams
from sassafrasstile import testing

_TIMEOUT_S = 10.0
# Longer than a stream can live.
_LONG_S = 60.0


class VersionHistoryTest(unittest.TestCase):
    """Whether only one version can have begun a stream."""

    def setUp(self):
        self.history = streams.VersionHistory()
        self.history.record_loaded(now=0.0)
        self.update("e1", "v1", now=0.0)

    def update(self, endpoint_id, version, *, now, service="engine"):
        record = testing.make_endpoint_record(
            endpoint_id, service=service, software_version=version
        )
        self.history.update(endpoint_id, record, now=now)

    def find(self, now, services=("engine",)):
        origin = self.history.find_only(
            set(services), timeout_s=_TIMEOUT_S, now=now
        )
        return origin and origin.software_version

    # Guards against a gateway that has just started taking what it sees for
    # all there was.
    def test_history_has_to_be_as_long_as_a_stream_can_live(self):
        self.assertIsNone(self.find(_TIMEOUT_S))
        self.assertEqual(self.find(_LONG_S), "v1")
        self.history.record_loaded(now=_LONG_S)
        self.assertIsNone(self.find(_LONG_S + _TIMEOUT_S))

    def test_two_versions_leave_the_origin_open(self):
        self.update("e2", "v2", now=_LONG_S)
        self.assertIsNone(self.find(_LONG_S))

    # Guards against a version that is gone from the list, whose streams live.
    def test_version_that_has_left_counts_while_its_streams_can_live(self):
        self.update("e2", "v2", now=1.0)
        self.history.update("e1", None, now=_LONG_S)
        self.assertIsNone(self.find(_LONG_S + _TIMEOUT_S))
        self.assertEqual(self.find(2 * _LONG_S), "v2")

    def test_version_that_was_replaced_under_its_id_counts(self):
        self.update("e1", "v2", now=_LONG_S)
        self.assertIsNone(self.find(_LONG_S + _TIMEOUT_S))
        self.assertEqual(self.find(2 * _LONG_S), "v2")

    # Guards against a departure that is forgotten while streams of it can live.
    def test_streams_longer_than_departures_are_kept_leave_it_open(self):
        self.update("e1", "v2", now=1.0)
        self.update("e2", "v2", now=1300.0)
        self.history.update("e1", None, now=1300.0)
        origin = self.history.find_only(
            {"engine"}, timeout_s=1000.0, now=2100.0
        )
        self.assertIsNone(origin)

    def test_other_services_leave_the_origin_as_it_is(self):
        self.update("e2", "v2", now=1.0, service="other")
        self.assertEqual(self.find(_LONG_S), "v1")
        # A route that is split over both services leaves it open.
        self.assertIsNone(self.find(_LONG_S, services=("engine", "other")))
        self.assertIsNone(self.find(_LONG_S, services=("none",)))
