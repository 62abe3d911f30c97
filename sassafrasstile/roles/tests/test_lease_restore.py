import random
import unittest

from twisted.internet import defer
from twisted.internet import task

from sassafrasstile import dispatch
from sassafrasstile import errors
from sassafrasstile import membership
from sassafrasstile import roles
from sassafrasstile import routes
from sassafrasstile import stores
from sassafrasstile import testing

_LEASE_S = 3.0
_MAX_TOKEN = 2**53


class _Store(stores.Store):
    """A topic in memory that can be restored from its first records."""

    def __init__(self):
        self.records = []
        self.epoch = 1
        # Called before each append, and once more before its answer.
        self.before_append = lambda: None
        self.before_answer = lambda: None

    def restore(self, count):
        """Restores the first records."""
        del self.records[count:]
        self.epoch += 1

    def load(self, topic):
        newest = {key: (value, at) for at, (key, value) in self._number()}
        entries = tuple(
            stores.Change(key=key, value=value, offset=at)
            for key, (value, at) in newest.items()
        )
        return defer.succeed(
            stores.Snapshot(
                entries=entries,
                next_offset=len(self.records),
                epoch=self.epoch,
            )
        )

    def _number(self):
        return enumerate(self.records)

    def follow(self, topic, *, offset, wait_s):
        raise NotImplementedError

    def put(self, topic, *, key, value, at=None):
        self.before_append()
        if at is not None and at != len(self.records):
            return defer.fail(
                stores.StoreError(
                    code=errors.Code.CONFLICT, detail="late", epoch=self.epoch
                )
            )
        self.records.append((key, value))
        answer = stores.AppendedRecord(
            offset=len(self.records) - 1, epoch=self.epoch
        )
        self.before_answer()
        return defer.succeed(answer)

    def close(self):
        pass


class LeaseRestoreTest(unittest.TestCase):
    """The store loses leases that it had acknowledged."""

    def setUp(self):
        self.store = _Store()
        self.leases = {}

    def make_lease(self, name):
        epochs = stores.EpochMonitor(reactor=task.Clock())
        lease = roles.LeaderLease(
            store=stores.EpochCheckedStore(store=self.store, epochs=epochs),
            topic="orders",
            name=name,
        )
        epochs.subscribe(lease.start_epoch)
        return lease

    def read_and_acquire(self, lease):
        testing.run(lease.read)
        return testing.run(lease.acquire)

    def assert_conflict(self, lease):
        with self.assertRaises(stores.StoreError) as raised:
            testing.run(lease.acquire)
        self.assertEqual(raised.exception.code, errors.Code.CONFLICT)
        self.assertFalse(lease.is_held)

    # An engine that checks the numbers would refuse the new holder, and one
    # that doesn't would take orders of both.
    def test_fencing_tokens_rise_across_a_restore(self):
        first = self.make_lease("a")
        testing.run(first.read)
        tokens = [testing.run(first.acquire) for _ in range(5)]
        self.store.restore(1)
        tokens.append(self.read_and_acquire(self.make_lease("b")))
        self.store.restore(0)
        tokens.append(self.read_and_acquire(self.make_lease("c")))
        self.assertEqual(tokens, sorted(set(tokens)))
        self.assertLess(tokens[-1], _MAX_TOKEN)

    def test_highest_epoch_leaves_tokens_exact(self):
        self.store.epoch = 999_999
        token = self.read_and_acquire(self.make_lease("a"))
        self.assertLess(token, _MAX_TOKEN)

    # The holder's record is lost, and others have been appended in its place.
    def test_holder_whose_record_was_lost_gives_up(self):
        holder = self.make_lease("a")
        self.read_and_acquire(holder)
        self.store.restore(0)
        self.read_and_acquire(self.make_lease("b"))
        # Its offset is the end again, as if nothing had happened.
        self.assert_conflict(holder)
        testing.run(holder.read)
        self.assertIn(holder.holder, ("a", "b"))

    # The former holder hadn't noticed the takeover, which the copy lacks.
    def test_former_holder_does_not_renew_after_a_lost_takeover(self):
        former = self.make_lease("a")
        self.read_and_acquire(former)
        self.read_and_acquire(self.make_lease("b"))
        self.store.restore(1)
        self.assert_conflict(former)

    # The append is acknowledged, and lost before the answer arrives.
    def test_late_acknowledgement_is_no_lease(self):
        epochs = stores.EpochMonitor(reactor=task.Clock())
        lease = roles.LeaderLease(
            store=stores.EpochCheckedStore(store=self.store, epochs=epochs),
            topic="orders",
            name="a",
        )
        epochs.subscribe(lease.start_epoch)
        testing.run(lease.read)
        self.store.before_answer = lambda: epochs.observe(2)
        with self.assertRaises(stores.StoreError):
            testing.run(lease.acquire)
        self.assertFalse(lease.is_held)

    def test_refused_renewal_of_a_new_epoch_ends_the_lease(self):
        holder = self.make_lease("a")
        self.read_and_acquire(holder)
        self.store.restore(0)
        self.assert_conflict(holder)
        self.assertTrue(holder.may_have_been_lost)

    # A holder of before may still have orders under way.
    def test_first_epoch_proves_that_no_lease_was_lost(self):
        lease = self.make_lease("a")
        testing.run(lease.read)
        self.assertFalse(lease.may_have_been_lost)
        self.store.restore(0)
        testing.run(lease.read)
        self.assertTrue(lease.may_have_been_lost)
        fresh = self.make_lease("b")
        testing.run(fresh.read)
        self.assertTrue(fresh.may_have_been_lost)


class OrderRestoreTest(unittest.TestCase):
    """Two gateways order role changes while the store is restored."""

    def setUp(self):
        self.clock = task.Clock()
        self.store = _Store()
        self.orders = []
        self.managers = {}
        self.epochs = {}
        self.live = {"a": {"b"}, "b": {"a"}}
        self.endpoints = dispatch.EndpointTable(silence_timeout_s=1.0)
        for number in range(12):
            self.add_engine(f"e{number:02}")
        self.active_configuration = routes.ActiveConfiguration()
        service = routes.Service(
            name="engine",
            engine=routes.EngineProfile(
                slots=8,
                capacity_tokens=10_000,
                tokens_per_event=1,
                handle_ttl_s=0.5,
            ),
        )
        self.active_configuration.apply_if_newer(
            routes.Configuration(
                version=1, routes=(), services={"engine": service}
            )
        )

    def add_engine(self, name):
        record = testing.make_endpoint_record(
            name, role=membership.Role.PREFILL
        )
        self.endpoints.update_record(name, record)

    def start(self, name):
        def send(order, fencing_token):
            self.orders.append((self.clock.seconds(), name, fencing_token))
            return defer.succeed(True)

        epochs = stores.EpochMonitor(reactor=self.clock)
        lease = roles.LeaderLease(
            store=stores.EpochCheckedStore(store=self.store, epochs=epochs),
            topic="orders",
            name=name,
        )
        epochs.subscribe(lease.start_epoch)
        manager = roles.RoleManager(
            reactor=self.clock,
            name=name,
            lease=lease,
            lease_s=_LEASE_S,
            endpoints=self.endpoints,
            active_configuration=self.active_configuration,
            prefill_share=0.2,
            list_peers=lambda: self.live[name],
            send_order=send,
            generator=random.Random(name),
        )
        manager.start()
        self.addCleanup(manager.close)
        self.managers[name] = manager
        self.epochs[name] = epochs

    def restore(self, count):
        self.store.restore(count)
        for epochs in self.epochs.values():
            epochs.observe(self.store.epoch)

    def advance(self, seconds):
        for _ in range(round(seconds / 0.05)):
            self.clock.advance(0.05)

    def check_orders(self):
        tokens = [token for _, _, token in self.orders]
        self.assertEqual(tokens, sorted(set(tokens)))
        for before, after in zip(self.orders, self.orders[1:], strict=False):
            if before[1] != after[1]:
                self.assertGreater(after[0] - before[0], _LEASE_S)

    # The record of the only holder so far is lost: the next one finds none,
    # but orders of the former may be under way.
    def test_no_order_within_the_lease_after_a_holder_was_lost(self):
        for lost_at_s in (4.2, 5.0, 6.0):
            with self.subTest(lost_at_s=lost_at_s):
                self.setUp()
                self.start("a")
                self.start("b")
                self.advance(lost_at_s)
                holders = {name for _, name, _ in self.orders}
                (former,) = holders
                self.managers[former].close()
                self.restore(0)
                self.advance(30.0)
                self.assertEqual({name for _, name, _ in self.orders}, {*"ab"})
                self.check_orders()

    # The others learn of the restore by their own calls, at other times.
    def test_orders_go_on_after_a_restore(self):
        for count in (0, 1, 2):
            with self.subTest(count=count):
                self.setUp()
                self.start("a")
                self.start("b")
                self.advance(4.5)
                before = len(self.orders)
                self.assertTrue(before)
                self.store.restore(count)
                self.advance(0.5)
                self.epochs["b"].observe(2)
                self.advance(30.0)
                self.assertGreater(len(self.orders), before)
                self.check_orders()
