import random
import unittest

from sassafrasstile import dispatch
from sassafrasstile import membership
from sassafrasstile import peers
from sassafrasstile import testing


class HealthTest(unittest.TestCase):
    """Health by responses, silence and suspensions of this process."""

    def setUp(self):
        self.table = dispatch.EndpointTable(silence_timeout_s=0.8)
        for name in ("a", "b"):
            self.table.update_record(
                name,
                testing.make_endpoint_record(name, role=membership.Role.PLAIN),
            )
        self.first, self.second = self.table.list_all()

    def list_usable(self, now):
        return self.table.list_usable(
            service="engine", role=membership.Role.PLAIN, now=now
        )

    def test_silent_endpoint_gets_no_new_work_until_it_responds(self):
        self.first.health.add_pending("r1", 0.0)
        self.assertEqual(self.list_usable(1.0), [self.second])
        self.assertEqual(self.table.list_to_probe(1.0), [self.first])
        self.first.health.record_activity(1.1)
        self.assertIn(self.first, self.list_usable(1.2))

    def test_suspension_of_this_process_is_not_silence_of_endpoints(self):
        self.table.detect_suspension(0.0)
        self.first.health.add_pending("r1", 0.0)
        self.assertTrue(self.table.detect_suspension(5.0))
        self.assertIn(self.first, self.list_usable(5.1))
        self.assertFalse(self.table.detect_suspension(5.02))

    def test_peer_report_counts_only_without_recent_activity(self):
        self.first.health.record_activity(1.0)
        self.first.health.mark_suspected(1.1)
        self.assertIn(self.first, self.list_usable(1.1))
        self.first.health.mark_suspected(2.0)
        self.assertEqual(self.list_usable(2.0), [self.second])

    def test_suspicion_ends_once_the_endpoint_recovers(self):
        # One of two gateways can't reach an endpoint for a moment. Both keep
        # exchanging reports, which must not keep the suspicion alive after
        # the endpoint has recovered.
        other = dispatch.EndpointTable(silence_timeout_s=0.8)
        record = testing.make_endpoint_record("a", role=membership.Role.PLAIN)
        other.update_record("a", record)
        (other_view,) = other.list_all()
        other_view.health.mark_unreachable(0.0)
        for step in range(8):
            now = 1.0 + 0.5 * step
            self.table.update_peer_loads("other", other.get_own_loads(now), now)
            other.update_peer_loads("this", self.table.get_own_loads(now), now)
            if step == 1:
                other_view.health.record_activity(now)
            if step == 2:
                self.first.health.record_activity(now)
        self.assertTrue(other_view.health.is_reachable(5.0))
        self.assertTrue(self.first.health.is_reachable(5.0))

    def test_repeated_peer_report_is_ignored(self):
        load = {"a": peers.EndpointLoad(is_unreachable=True)}
        self.table.update_peer_loads("other", load, 1.0)
        self.assertEqual(self.list_usable(1.0), [self.second])
        self.first.health.record_activity(1.2)
        self.table.update_peer_loads("other", load, 2.0)
        self.assertIn(self.first, self.list_usable(2.0))

    def test_all_are_usable_if_none_is_reachable(self):
        for endpoint in (self.first, self.second):
            endpoint.health.mark_unreachable(0.0)
        self.assertEqual(len(self.list_usable(0.1)), 2)

    def test_endpoint_with_failures_is_avoided(self):
        placement = dispatch.Placement(
            endpoints=self.table, zone="a", generator=random.Random(1)
        )
        for number in range(10):
            self.first.health.record_failure(0.01 * number)
            self.second.health.record_success(0.1, 0.01 * number)
        chosen = [
            placement.choose_for_call(service="engine", now=0.1)
            for _ in range(20)
        ]
        self.assertNotIn(self.first, chosen)

    def test_failure_rate_decays(self):
        self.first.health.record_failure(0.0)
        self.assertLess(self.first.health.compute_failure_rate(30.0), 0.01)

    def test_replaced_endpoint_is_reported_and_not_probed(self):
        self.first.health.mark_replaced(1.0)
        # Bytes that still arrive come from the other instance.
        self.first.health.record_activity(1.1)
        self.assertEqual(self.list_usable(1.2), [self.second])
        self.assertEqual(self.table.list_to_probe(1.2), [])
        self.assertTrue(self.table.get_own_loads(1.2)["a"].is_unreachable)
