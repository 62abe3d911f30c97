"""What endpoints ask of a gateway, without any I/O."""

import random
import unittest

from sassafrasstile import dispatch
from sassafrasstile import errors
from sassafrasstile import membership
from sassafrasstile import routes
from sassafrasstile import testing

_LEAVING = dispatch.EndpointNotice(is_leaving=True)
_PLAIN = membership.Role.PLAIN
_MAX_FORMER = 1000


class SendRestrictionsTest(unittest.TestCase):
    """Drain notices of one incarnation."""

    # A later answer without the notice doesn't undo it.
    def test_drain_notice_lasts(self):
        restrictions = dispatch.SendRestrictions()
        self.assertTrue(restrictions.apply(_LEAVING).begins_leaving)
        self.assertFalse(restrictions.apply(_LEAVING).begins_leaving)
        restrictions.apply(dispatch.EndpointNotice())
        self.assertEqual(restrictions.find_denial(), errors.Code.LEAVING)


class RestrictedTableTest(unittest.TestCase):
    """Endpoints that leave among others."""

    def setUp(self):
        self.table = dispatch.EndpointTable(silence_timeout_s=0.8)
        for name in ("a", "b"):
            self.add(name)
        self.first, self.second = self.table.list_all()

    def add(self, name, **fields):
        record = testing.make_endpoint_record(name, role=_PLAIN, **fields)
        self.table.update_record(name, record)

    def find(self, name):
        return next(item for item in self.table.list_all() if item.name == name)

    def list_usable(self, now):
        return self.table.list_usable(service="engine", role=_PLAIN, now=now)

    # The fallback to unreachable endpoints must not reach restricted ones.
    def test_fallback_never_returns_restricted_endpoints(self):
        self.first.restrictions.apply(_LEAVING)
        self.second.health.mark_unreachable(0.0)
        self.assertEqual(self.list_usable(1.0), [self.second])

    def test_restricted_endpoints_are_not_probed(self):
        for item in (self.first, self.second):
            item.health.mark_unreachable(0.0)
        self.first.restrictions.apply(_LEAVING)
        self.assertEqual(self.table.list_to_probe(1.0), [self.second])

    # A record that expires and returns, or a restored store, undid a notice.
    def test_returning_record_does_not_undo_restrictions(self):
        self.first.restrictions.apply(_LEAVING)
        self.table.update_record("a", None)
        self.add("a")
        self.assertEqual(self.list_usable(1.0), [self.second])
        # The same instance, said to be at another port.
        self.add("a", port=2)
        self.assertEqual(self.list_usable(1.0), [self.second])

    def test_newer_instance_starts_without_restrictions(self):
        self.first.restrictions.apply(_LEAVING)
        self.add("a", started_ms=2)
        self.assertEqual(len(self.list_usable(1.0)), 2)
        self.find("a").restrictions.apply(_LEAVING)
        self.table.update_record("a", None)
        self.add("a", started_ms=3)
        self.assertEqual(len(self.list_usable(1.0)), 2)

    # Endpoints come and go for months; what is remembered is bounded.
    def test_only_the_latest_former_endpoints_are_remembered(self):
        for number in range(_MAX_FORMER + 1):
            name = f"n{number}"
            self.add(name)
            self.find(name).restrictions.apply(_LEAVING)
            self.table.update_record(name, None)
        self.add("n0")
        self.add(f"n{_MAX_FORMER}")
        self.assertTrue(self.find("n0").accepts_work)
        self.assertFalse(self.find(f"n{_MAX_FORMER}").accepts_work)

    def test_counts_for_metrics(self):
        self.first.restrictions.apply(_LEAVING)
        self.assertEqual(self.table.count_leaving(), 1)


class RestrictedQueueTest(unittest.TestCase):
    """Generations whose engine leaves."""

    def setUp(self):
        self.table = dispatch.EndpointTable(silence_timeout_s=1.0)
        self.table.update_record("d1", testing.make_endpoint_record("d1"))
        (self.engine,) = self.table.list_all()
        self.queue = dispatch.GenerationQueue(
            placement=dispatch.Placement(
                endpoints=self.table, zone="a", generator=random.Random(1)
            )
        )

    def add(self, wait_deadline):
        service = routes.Service(
            name="engine",
            engine=routes.EngineProfile(
                slots=8,
                capacity_tokens=10_000,
                tokens_per_event=1,
                handle_ttl_s=0.5,
            ),
        )
        return self.queue.add(
            service=service,
            size=dispatch.WorkSize(prompt_tokens=100, output_tokens=50),
            target_at=1.0,
            wait_deadline=wait_deadline,
        )

    # Capacity that was reserved before is kept elsewhere if possible.
    def test_grant_moves_away_from_a_restricted_engine(self):
        waiter = self.add(3.0)
        self.queue.admit(0.0)
        self.table.update_record("d2", testing.make_endpoint_record("d2"))
        placement = dispatch.Placement(
            endpoints=self.table, zone="a", generator=random.Random(1)
        )
        self.engine.restrictions.apply(_LEAVING)
        other = placement.choose_alternative(
            waiter.grant, service=waiter.service, now=0.1
        )
        self.assertEqual(other.name, "d2")
