import random
import unittest

from sassafrasstile import dispatch
from sassafrasstile import membership
from sassafrasstile import routes
from sassafrasstile import testing

_SERVICE = routes.Service(
    name="engine",
    engine=routes.EngineProfile(
        slots=8, capacity_tokens=10_000, tokens_per_event=1, handle_ttl_s=0.5
    ),
)
_SIZE = dispatch.WorkSize(prompt_tokens=4000, output_tokens=500)


class QueueTest(unittest.TestCase):
    """The order of admission when capacity is short."""

    def setUp(self):
        self.table = dispatch.EndpointTable(silence_timeout_s=1.0)
        for name, role in (
            ("d1", membership.Role.DECODE),
            ("p1", membership.Role.PREFILL),
        ):
            self.table.update_record(
                name, testing.make_endpoint_record(name, role=role)
            )
        self.queue = dispatch.GenerationQueue(
            placement=dispatch.Placement(
                endpoints=self.table, zone="a", generator=random.Random(1)
            )
        )

    def add(self, *, target_at=1.0, wait_deadline=5.0, **fields):
        return self.queue.add(
            service=_SERVICE,
            size=_SIZE,
            target_at=target_at,
            wait_deadline=wait_deadline,
            **fields,
        )

    def find(self, name):
        return next(item for item in self.table.list_all() if item.name == name)

    def fill(self, now=0.0):
        """Fills the decode engine and returns the grants."""
        waiters = [self.add(), self.add()]
        self.assertEqual(self.queue.admit(now), waiters)
        for waiter in waiters:
            waiter.grant.release_prefill()
        return [waiter.grant for waiter in waiters]

    def test_burst_is_admitted_in_the_order_of_arrival(self):
        grants = self.fill()
        first, second = self.add(), self.add()
        self.assertEqual(self.queue.admit(0.1), [])
        grants[0].release()
        self.assertEqual(self.queue.admit(0.1), [first])
        grants[1].release()
        self.assertEqual(self.queue.admit(0.1), [second])

    def test_higher_priority_is_admitted_first(self):
        grants = self.fill()
        self.add(arrived_at=0.0, priority=1)
        urgent = self.add(arrived_at=0.1, priority=0)
        grants[0].release()
        self.assertEqual(self.queue.admit(0.2), [urgent])

    def test_rank_is_admitted_in_time_once_it_is_owed_its_share(self):
        """Load: urgent requests arrive without end, one other waits."""
        grants = self.fill()
        waiting = self.add(arrived_at=0.0, target_at=9.0, priority=1)
        for number in range(11):
            now = 0.1 * number
            self.add(arrived_at=now, target_at=now + 9.0, priority=0)
            grants.pop(0).release()
            (admitted,) = self.queue.admit(now)
            admitted.grant.release_prefill()
            grants.append(admitted.grant)
            if admitted is waiting:
                break
        # After ten of its size: a tenth of the tokens.
        self.assertIs(admitted, waiting)
        self.assertEqual(number, 10)

    def test_generation_that_can_be_on_time_precedes_a_late_one(self):
        grants = self.fill()
        self.add(target_at=0.2)
        on_time = self.add(target_at=2.0)
        grants[0].release()
        self.assertEqual(self.queue.admit(0.1), [on_time])

    def test_late_generation_leaves_capacity_for_new_arrivals(self):
        grants = self.fill()
        late = self.add(target_at=0.2)
        grants[0].release()
        self.assertEqual(self.queue.admit(0.1), [])
        grants[1].release()
        self.assertEqual(self.queue.admit(0.1), [late])

    def test_resumed_generation_is_admitted_first(self):
        grants = self.fill()
        self.add()
        resumed = self.add(is_resumed=True)
        grants[0].release()
        self.assertEqual(self.queue.admit(0.1), [resumed])

    # Guards against a stream that waits for its version keeping all others
    # waiting, and against others taking the capacity that it waits for.
    def test_generation_that_needs_a_full_version_delays_only_that_version(
        self,
    ):
        grants = self.fill()
        resumed = self.add(is_resumed=True, software_version="v1")
        other = self.add()
        self.assertEqual(self.queue.admit(0.1), [])
        record = testing.make_endpoint_record("d2", software_version="v2")
        self.table.update_record("d2", record)
        self.assertEqual(self.queue.admit(0.1), [other])
        self.assertEqual(other.grant.decode.name, "d2")
        grants[0].release()
        grants[1].release()
        self.assertEqual(self.queue.admit(0.1), [resumed])
        self.assertEqual(resumed.grant.decode.name, "d1")

    # Guards against callers waiting for a version that has left.
    def test_generation_expires_when_its_version_has_left(self):
        self.fill()
        resumed = self.add(is_resumed=True, software_version="v1")
        self.assertEqual(self.queue.expire(0.1), [])
        self.table.update_record("d1", None)
        record = testing.make_endpoint_record("d2", software_version="v2")
        self.table.update_record("d2", record)
        self.assertEqual(self.queue.admit(0.1), [])
        self.assertEqual(self.queue.expire(0.1), [resumed])

    # Guards against a returned caller's prompt being read by the decode engine
    # beside its other streams.
    def test_resumed_generation_may_be_prefilled_first(self):
        returned = self.add(is_resumed=True)
        broken = self.add(is_resumed=True, may_prefill_remotely=False)
        self.assertEqual(self.queue.admit(0.0), [returned, broken])
        self.assertEqual(returned.grant.prefill.name, "p1")
        self.assertIsNone(broken.grant.prefill)

    def test_prefilled_generation_precedes_others(self):
        grants = self.fill()
        self.add()
        prefilled = self.add(prefilled_until=0.5)
        grants[0].release()
        self.assertEqual(self.queue.admit(0.1), [prefilled])
        self.assertIsNone(prefilled.grant.prefill)

    def test_expired_prefill_is_repeated(self):
        grants = self.fill()
        first, prefilled = self.add(), self.add(prefilled_until=0.5)
        grants[0].release()
        self.assertEqual(self.queue.admit(0.6), [first])
        grants[1].release()
        self.assertEqual(self.queue.admit(0.6), [prefilled])
        self.assertIsNotNone(prefilled.grant.prefill)

    def test_generation_that_would_wait_too_long_expires_immediately(self):
        self.fill()
        waiters = [self.add() for _ in range(6)]
        # Too few were admitted lately, so the minimum rate is assumed.
        expired = self.queue.expire(0.1)
        self.assertNotIn(waiters[0], expired)
        self.assertIn(waiters[-1], expired)

    def test_prefill_backlog_delays_long_prompts(self):
        long = dispatch.WorkSize(prompt_tokens=7000, output_tokens=10)
        self.find("d1").in_flight = 2
        prefill = self.find("p1")
        prefill.prefill_tokens = 40_000
        waiter = self.queue.add(
            service=_SERVICE, size=long, target_at=1.0, wait_deadline=5.0
        )
        self.assertEqual(self.queue.admit(0.0), [])
        prefill.prefill_tokens = 0
        self.assertEqual(self.queue.admit(0.0), [waiter])
        self.assertIs(waiter.grant.prefill, prefill)

    def test_long_prompt_without_prefill_does_not_delay_short_ones(self):
        # As with half of the prefill engines unresponsive.
        long = dispatch.WorkSize(prompt_tokens=7000, output_tokens=10)
        decode = self.find("d1")
        decode.in_flight = 2
        prefill = self.find("p1")
        prefill.prefill_tokens = 40_000
        waiter = self.queue.add(
            service=_SERVICE, size=long, target_at=1.0, wait_deadline=5.0
        )
        short = self.add()
        self.assertEqual(self.queue.admit(0.0), [short])
        self.assertIs(short.grant.prefill, decode)
        short.grant.release()
        prefill.prefill_tokens = 0
        self.assertEqual(self.queue.admit(0.1), [waiter])

    def test_short_prompt_is_prefilled_locally_behind_a_backlog(self):
        prefill = self.find("p1")
        prefill.prefill_tokens = 40_000
        waiter = self.add()
        self.assertEqual(self.queue.admit(0.0), [waiter])
        self.assertIs(waiter.grant.prefill, waiter.grant.decode)

    def test_engine_that_changes_its_role_gets_no_work(self):
        decode = self.find("d1")
        decode.role_change_until = 10.0
        waiter = self.add()
        self.assertEqual(self.queue.admit(0.0), [])
        self.assertEqual(self.queue.admit(10.0), [waiter])
