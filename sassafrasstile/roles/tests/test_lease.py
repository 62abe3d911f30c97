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


class _Store(stores.Store):
    """A topic in memory that can append a record but lose the answer."""

    def __init__(self):
        self.records = []
        self.loads = 0
        self.loses_answer = False

    def load(self, topic):
        self.loads += 1
        newest = {key: (value, at) for at, (key, value) in self._number()}
        entries = tuple(
            stores.Change(key=key, value=value, offset=at)
            for key, (value, at) in newest.items()
        )
        snapshot = stores.Snapshot(
            entries=entries, next_offset=len(self.records)
        )
        return defer.succeed(snapshot)

    def _number(self):
        return enumerate(self.records)

    def follow(self, topic, *, offset, wait_s):
        raise NotImplementedError

    def put(self, topic, *, key, value, at=None):
        if at is not None and at != len(self.records):
            return defer.fail(
                stores.StoreError(code=errors.Code.CONFLICT, detail="late")
            )
        self.records.append((key, value))
        if self.loses_answer:
            return defer.fail(
                stores.StoreError(
                    code=errors.Code.STORE_UNAVAILABLE, detail="no answer"
                )
            )
        return defer.succeed(
            stores.AppendedRecord(offset=len(self.records) - 1)
        )

    def close(self):
        pass


class LeaseTest(unittest.TestCase):
    """One gateway at a time sends orders, with rising fencing tokens."""

    def setUp(self):
        self.clock = task.Clock()
        self.store = _Store()
        self.orders = []
        self.ordered_engines = []
        self.live = {"a": {"b"}, "b": {"a"}}
        self.endpoints = dispatch.EndpointTable(silence_timeout_s=1.0)
        for number in range(9):
            role = membership.Role.DECODE
            if number < 6:
                role = membership.Role.PREFILL
            name = f"e{number}"
            self.endpoints.update_record(
                name, testing.make_endpoint_record(name, role=role)
            )
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

    def start(self, name):
        def send(order, fencing_token):
            self.orders.append((self.clock.seconds(), name, fencing_token))
            self.ordered_engines.append(order.engine)
            return defer.succeed(True)

        manager = roles.RoleManager(
            reactor=self.clock,
            name=name,
            lease=roles.LeaderLease(
                store=self.store, topic="orders", name=name
            ),
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
        return manager

    def advance(self, seconds):
        for _ in range(round(seconds / 0.05)):
            self.clock.advance(0.05)

    def check_fencing_tokens(self):
        tokens = [token for _, _, token in self.orders]
        self.assertEqual(tokens, sorted(set(tokens)))

    # Guards against roles that are never checked again after the record of
    # another writer (issue 56).
    def test_odd_record_is_no_holder(self):
        for value in testing.ODD_LEASES:
            self.store.records.append(("holder", value))
            lease = roles.LeaderLease(
                store=self.store, topic="orders", name="a"
            )
            reading = defer.ensureDeferred(lease.read())
            self.assertIsNone(reading.result, value[:20])
            self.assertIsNone(lease.holder)

    def test_only_one_of_two_gateways_sends_orders(self):
        self.start("a")
        self.start("b")
        self.advance(20.0)
        self.assertEqual(len({name for _, name, _ in self.orders}), 1)
        self.assertGreaterEqual(len(self.orders), 4)
        self.check_fencing_tokens()

    def test_lease_that_was_not_read_is_not_acquired(self):
        holder = roles.LeaderLease(store=self.store, topic="orders", name="a")
        testing.run(holder.read)
        testing.run(holder.acquire)
        other = roles.LeaderLease(store=self.store, topic="orders", name="b")
        with self.assertRaises(stores.StoreError) as raised:
            testing.run(other.acquire)
        self.assertEqual(raised.exception.code, errors.Code.CONFLICT)
        self.assertEqual(len(self.store.records), 1)

    def test_others_read_once_which_gateway_holds_the_lease(self):
        self.live = {name: set("abcdef") - {name} for name in "abcdef"}
        for name in "abcdef":
            self.start(name)
        self.advance(10.0)
        self.assertGreaterEqual(len(self.orders), 4)
        # Two may read again: the holder and the first gateway by name.
        self.assertLessEqual(self.store.loads, 6 + 2 * 4)

    def test_successor_waits_for_the_lease_and_has_higher_tokens(self):
        first = self.start("a")
        self.advance(4.0)
        self.assertTrue(self.orders)
        first.close()
        last_at = self.orders[-1][0]
        self.live["b"] = set()
        self.endpoints.update_record(
            "e9",
            testing.make_endpoint_record("e9", role=membership.Role.PREFILL),
        )
        self.start("b")
        self.advance(40.0)
        later = [item for item in self.orders if item[1] == "b"]
        self.assertTrue(later)
        self.assertGreater(later[0][0] - last_at, _LEASE_S)
        self.check_fencing_tokens()

    def test_former_holder_sends_no_order(self):
        self.start("a")
        self.advance(3.0)
        self.store.records.append(("holder", b'"b"'))
        before = len(self.orders)
        self.advance(20.0)
        self.assertEqual(len(self.orders), before)

    def test_no_order_after_a_renewal_without_an_answer(self):
        self.store.loses_answer = True
        self.start("a")
        self.advance(10.0)
        self.assertEqual(self.orders, [])
        self.store.loses_answer = False
        self.advance(15.0)
        self.assertTrue(self.orders)
        self.check_fencing_tokens()

    # Engines that had asked for a back-off, or leave, got orders.
    def test_restricted_engines_get_no_orders(self):
        engines = self.endpoints.list_all()
        for engine in engines[3:6]:
            engine.restrictions.apply(
                dispatch.EndpointNotice(backoff_s=50.0), now=0.0, spread=0.0
            )
        leaving = dispatch.EndpointNotice(is_leaving=True)
        engines[2].restrictions.apply(leaving, now=0.0, spread=0.0)
        self.start("a")
        self.advance(20.0)
        ordered = {engine.name for engine in self.ordered_engines}
        self.assertEqual(ordered, {"e0", "e1"})

    # An engine that asked for a back-off during the renewal got the order.
    def test_engine_is_looked_at_again_after_the_renewal(self):
        put = self.store.put

        def restrict_and_put(*arguments, **fields):
            for engine in self.endpoints.list_all():
                engine.restrictions.apply(
                    dispatch.EndpointNotice(backoff_s=50.0),
                    now=self.clock.seconds(),
                    spread=0.0,
                )
            return put(*arguments, **fields)

        self.start("a")
        while not self.orders:
            self.advance(0.25)
        self.store.put = restrict_and_put
        before = len(self.orders)
        self.advance(15.0)
        self.assertEqual(len(self.orders), before)
        unused = [
            item
            for item in self.endpoints.list_all()
            if item.role_change_until and item not in self.ordered_engines
        ]
        self.assertEqual(unused, [])
