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


def _ask(restrictions, backoff_s, *, now=0.0, spread=0.0):
    notice = dispatch.EndpointNotice(backoff_s=backoff_s)
    return restrictions.apply(notice, now=now, spread=spread)


class SendRestrictionsTest(unittest.TestCase):
    """Drain notices and back-offs of one incarnation."""

    def setUp(self):
        self.restrictions = dispatch.SendRestrictions()

    # A later answer without the notice doesn't undo it.
    def test_drain_notice_lasts(self):
        change = self.restrictions.apply(_LEAVING, now=0.0, spread=0.0)
        self.assertTrue(change.begins_leaving)
        again = self.restrictions.apply(_LEAVING, now=1.0, spread=0.0)
        self.assertFalse(again.begins_leaving)
        self.restrictions.apply(dispatch.EndpointNotice(), now=2.0, spread=0.0)
        denial = self.restrictions.find_denial(1e6)
        self.assertEqual(denial, errors.Code.LEAVING)

    # Memory that nobody will use must still be freed for running streams.
    def test_leaving_endpoint_may_be_told_to_free_memory(self):
        self.restrictions.apply(_LEAVING, now=0.0, spread=0.0)
        self.assertIsNone(self.restrictions.find_release_denial(0.0))

    def test_endpoint_in_backoff_is_told_nothing(self):
        _ask(self.restrictions, 2.0)
        denial = errors.Code.ENDPOINT_BACKOFF
        self.assertEqual(self.restrictions.find_denial(1.9), denial)
        self.assertEqual(self.restrictions.find_release_denial(1.9), denial)
        self.assertIsNone(self.restrictions.find_denial(2.0))

    # A mistaken value must not take an endpoint away for good.
    def test_backoff_is_bounded(self):
        for asked_s in (1e9, float("inf")):
            restrictions = dispatch.SendRestrictions()
            _ask(restrictions, asked_s, spread=1.0)
            with self.subTest(asked_s=asked_s):
                end = 1.2 * dispatch.MAX_BACKOFF_S
                self.assertIsNone(restrictions.find_denial(end))

    # A second answer with a shorter time would end the first one early.
    def test_shorter_backoff_does_not_shorten_a_longer_one(self):
        _ask(self.restrictions, 10.0)
        self.assertIsNone(_ask(self.restrictions, 1.0, now=1.0).backoff_s)
        self.assertTrue(self.restrictions.is_backing_off(9.9))

    def test_zero_asks_for_nothing(self):
        self.assertIsNone(_ask(self.restrictions, 0.0).backoff_s)
        self.assertFalse(self.restrictions.is_backing_off(0.0))

    # All gateways would begin again in the same moment.
    def test_ends_are_spread_and_never_early(self):
        generator = random.Random(1)
        ends = set()
        for _ in range(50):
            restrictions = dispatch.SendRestrictions()
            _ask(restrictions, 10.0, spread=generator.random())
            ends.add(restrictions.backoff_until)
        self.assertGreaterEqual(min(ends), 10.0)
        self.assertGreater(max(ends) - min(ends), 0.5)
        self.assertLessEqual(max(ends), 11.0)

    # One line for each refusal would fill the log.
    def test_only_the_first_unreadable_backoff_is_news(self):
        notice = dispatch.EndpointNotice(unreadable_backoff="'soon'")
        first = self.restrictions.apply(notice, now=0.0, spread=0.0)
        second = self.restrictions.apply(notice, now=1.0, spread=0.0)
        self.assertTrue(first.is_first_unreadable)
        self.assertFalse(second.is_first_unreadable)
        self.assertIsNone(self.restrictions.find_denial(1.0))


class RestrictedTableTest(unittest.TestCase):
    """Endpoints that leave or back off among others."""

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

    def measure(self, now):
        return self.table.measure_backoff_s(
            service="engine", role=_PLAIN, now=now
        )

    # The fallback to unreachable endpoints must not reach restricted ones.
    def test_fallback_never_returns_restricted_endpoints(self):
        self.first.restrictions.apply(_LEAVING, now=0.0, spread=0.0)
        self.second.health.mark_unreachable(0.0)
        self.assertEqual(self.list_usable(1.0), [self.second])
        _ask(self.second.restrictions, 5.0, now=1.0)
        self.assertEqual(self.list_usable(2.0), [])

    def test_restricted_endpoints_are_not_probed(self):
        for item in (self.first, self.second):
            item.health.mark_unreachable(0.0)
        self.first.restrictions.apply(_LEAVING, now=0.0, spread=0.0)
        _ask(self.second.restrictions, 5.0)
        self.assertEqual(self.table.list_to_probe(1.0), [])
        self.assertEqual(self.table.list_to_probe(6.0), [self.second])

    def test_backoff_of_a_service_ends_with_the_first(self):
        _ask(self.first.restrictions, 5.0)
        self.assertEqual(self.measure(1.0), 0.0)
        _ask(self.second.restrictions, 3.0)
        self.assertEqual(self.measure(1.0), 2.0)
        # One that leaves doesn't come back.
        self.second.restrictions.apply(_LEAVING, now=1.0, spread=0.0)
        self.assertEqual(self.measure(1.0), 4.0)
        self.first.restrictions.apply(_LEAVING, now=1.0, spread=0.0)
        self.assertEqual(self.measure(1.0), 0.0)

    # A record that expires and returns, or a restored store, undid a notice.
    def test_returning_record_does_not_undo_restrictions(self):
        self.first.restrictions.apply(_LEAVING, now=0.0, spread=0.0)
        self.table.update_record("a", None)
        self.add("a")
        self.assertEqual(self.list_usable(1.0), [self.second])
        # The same instance, said to be at another port.
        self.add("a", port=2)
        self.assertEqual(self.list_usable(1.0), [self.second])

    def test_newer_instance_starts_without_restrictions(self):
        self.first.restrictions.apply(_LEAVING, now=0.0, spread=0.0)
        self.add("a", started_ms=2)
        self.assertEqual(len(self.list_usable(1.0)), 2)
        self.find("a").restrictions.apply(_LEAVING, now=1.0, spread=0.0)
        self.table.update_record("a", None)
        self.add("a", started_ms=3)
        self.assertEqual(len(self.list_usable(1.0)), 2)

    # Endpoints come and go for months; what is remembered is bounded.
    def test_only_the_latest_former_endpoints_are_remembered(self):
        for number in range(_MAX_FORMER + 1):
            name = f"n{number}"
            self.add(name)
            self.find(name).restrictions.apply(_LEAVING, now=0.0, spread=0.0)
            self.table.update_record(name, None)
        self.add("n0")
        self.add(f"n{_MAX_FORMER}")
        self.assertTrue(self.find("n0").accepts_work)
        self.assertFalse(self.find(f"n{_MAX_FORMER}").accepts_work)

    def test_counts_for_metrics(self):
        self.first.restrictions.apply(_LEAVING, now=0.0, spread=0.0)
        _ask(self.second.restrictions, 5.0)
        self.assertEqual(self.table.count_leaving(), 1)
        self.assertEqual(self.table.count_backing_off(1.0), 1)
        self.assertEqual(self.table.count_backing_off(6.0), 0)


class RestrictedQueueTest(unittest.TestCase):
    """Queued generations whose engines all back off."""

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

    # They waited until their deadline for engines that wouldn't be back.
    def test_those_that_cannot_be_served_in_time_expire_at_once(self):
        _ask(self.engine.restrictions, 4.0)
        patient = self.add(5.0)
        impatient = self.add(3.0)
        self.assertEqual(self.queue.admit(0.1), [])
        self.assertEqual(self.queue.expire(0.1), [impatient])
        self.assertEqual(self.queue.admit(4.0), [patient])

    # Capacity that was reserved before is kept elsewhere if possible.
    def test_grant_moves_away_from_a_restricted_engine(self):
        waiter = self.add(3.0)
        self.queue.admit(0.0)
        self.table.update_record("d2", testing.make_endpoint_record("d2"))
        placement = dispatch.Placement(
            endpoints=self.table, zone="a", generator=random.Random(1)
        )
        for notice in (_LEAVING, dispatch.EndpointNotice(backoff_s=4.0)):
            self.engine.restrictions = dispatch.SendRestrictions()
            self.engine.restrictions.apply(notice, now=0.0, spread=0.0)
            other = placement.choose_alternative(
                waiter.grant, service=waiter.service, now=0.1
            )
            with self.subTest(notice=notice):
                self.assertEqual(other.name, "d2")
