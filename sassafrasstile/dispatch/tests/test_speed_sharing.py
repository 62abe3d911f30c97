import dataclasses
import unittest

from sassafrasstile import dispatch
from sassafrasstile import peers
from sassafrasstile import speeds
from sassafrasstile import testing

_PREFILL = speeds.Kind.PREFILL
_SLOW = speeds.Observation(kind=_PREFILL, work=5000, seconds=0.4)


class Gateway:
    """What one gateway knows of two engines."""

    def __init__(self):
        self.table = dispatch.EndpointTable(silence_timeout_s=1.0)
        for name in ("e1", "e2"):
            self.table.update_record(name, testing.make_endpoint_record(name))
        self.sharing = dispatch.SpeedSharing(endpoints=self.table)
        self.reported = 0

    def observe(self, name="e1", now=1.0):
        self.sharing.record(self.table.find(name), _SLOW, now)

    def report(self, now=1.0):
        self.reported, reports = self.sharing.list_newer(self.reported, now)
        return reports

    def estimate_s(self, name="e1", now=1.0):
        return self.table.find(name).speeds.estimate_s(_PREFILL, 5000, now)


class SpeedSharingTest(unittest.TestCase):
    """Observations that gateways pass on while requests are rare at each."""

    def setUp(self):
        self.own, self.peer = Gateway(), Gateway()

    def test_peer_learns_what_one_gateway_has_seen(self):
        self.own.observe()
        self.peer.sharing.apply(self.own.report(), 1.2)
        self.assertGreater(self.peer.estimate_s(now=1.2), 0.12)

    def test_observation_is_reported_once_and_by_its_own_gateway(self):
        self.own.observe()
        self.peer.sharing.apply(self.own.report(), 1.2)
        self.assertEqual(self.own.report(), ())
        self.assertEqual(self.peer.report(), ())

    def test_report_is_bounded_and_has_the_newest(self):
        for number in range(100):
            self.own.observe(now=1.0 + number / 100)
        reports = self.own.report(now=2.0)
        self.assertEqual(len(reports), 8)
        self.assertAlmostEqual(reports[-1].age_s, 0.01)

    def test_old_observations_are_dropped(self):
        self.own.observe()
        self.assertEqual(self.own.report(now=20.0), ())

    # Guards against the speed of a former incarnation or of another software.
    def test_what_does_not_fit_is_ignored(self):
        self.own.observe()
        (report,) = self.own.report()
        for changes in (
            {"started_ms": 2},
            {"endpoint_id": "e9"},
            {"kind": "unheard of"},
            {"age_s": 60.0},
            {"seconds": float("nan")},
        ):
            changed = dataclasses.replace(report, **changes)
            self.peer.sharing.apply([changed], 1.2)
        self.assertAlmostEqual(self.peer.estimate_s(), 0.1)

    # Guards against a gateway that floods the others.
    def test_long_report_is_cut_off(self):
        self.own.observe()
        (report,) = self.own.report()
        few, many = self.peer, Gateway()
        few.sharing.apply([report] * 8, 1.2)
        many.sharing.apply([report] * 800, 1.2)
        self.assertEqual(few.estimate_s(), many.estimate_s())

    def test_restarted_engine_is_unknown_again(self):
        for _ in range(10):
            self.own.observe()
        record = testing.make_endpoint_record("e1", started_ms=2)
        self.own.table.update_record("e1", record)
        self.assertFalse(self.own.table.find("e1").speeds.has_seen(_PREFILL))

    def test_reports_name_a_kind_that_peers_know(self):
        self.own.observe()
        (report,) = self.own.report()
        self.assertIsInstance(report, peers.SpeedReport)
        self.assertIs(speeds.Kind(report.kind), _PREFILL)
