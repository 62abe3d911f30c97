import dataclasses
import random
import unittest

from sassafrasstile import dispatch
from sassafrasstile import membership
from sassafrasstile import peers
from sassafrasstile import routes
from sassafrasstile import testing

_SERVICE = routes.Service(
    name="engine",
    engine=routes.EngineProfile(
        slots=8,
        capacity_tokens=10_000,
        tokens_per_event=1,
        handle_ttl_s=0.5,
        hold_s=2.0,
    ),
)
_SIZE = dispatch.WorkSize(prompt_tokens=4000, output_tokens=500)


def _make_engine(**load):
    table = dispatch.EndpointTable(silence_timeout_s=1.0)
    record = testing.make_endpoint_record("d1", role=membership.Role.DECODE)
    table.update_record("d1", record)
    (engine,) = table.list_all()
    for name, value in load.items():
        setattr(engine, name, value)
    return engine


class LocalPrefillTest(unittest.TestCase):
    """Prompts that a decode engine prefills between its decode steps.

    Seven prefill steps of a long prompt in a row delay the events of every
    other stream of the engine beyond their target.
    """

    def check(self, engine, tokens):
        size = dispatch.WorkSize(prompt_tokens=tokens, output_tokens=100)
        return dispatch.Placement.can_prefill_locally(engine, size)

    def test_short_prompt_is_prefilled_beside_other_streams(self):
        self.assertTrue(self.check(_make_engine(in_flight=6), 6000))

    def test_long_prompt_is_not_prefilled_beside_other_streams(self):
        self.assertFalse(self.check(_make_engine(in_flight=6), 7200))

    def test_long_prompt_is_prefilled_on_an_idle_engine(self):
        self.assertTrue(self.check(_make_engine(in_flight=0), 11_000))

    def test_only_one_prompt_is_prefilled_at_a_time(self):
        engine = _make_engine(in_flight=2, prefill_tokens=3000)
        self.assertFalse(self.check(engine, 2000))


class IncarnationTest(unittest.TestCase):
    """Restarts and replacements of an endpoint."""

    # Guards against load and health kept for other software under the same id.
    def test_changed_software_version_is_another_incarnation(self):
        table = dispatch.EndpointTable(silence_timeout_s=1.0)
        record = testing.make_endpoint_record("d1", software_version="v1")
        table.update_record("d1", record)
        (former,) = table.list_all()
        updated = dataclasses.replace(record, software_version="v2")
        self.assertIs(table.update_record("d1", updated), former)
        self.assertTrue(former.is_removed)
        self.assertEqual(former.record.software_version, "v1")


class VersionTest(unittest.TestCase):
    """Decode engines of two software versions."""

    def setUp(self):
        self.table = dispatch.EndpointTable(silence_timeout_s=1.0)
        for name, version in (("d1", "v1"), ("d2", "v2"), ("d3", "v2")):
            self.table.update_record(
                name,
                testing.make_endpoint_record(name, software_version=version),
            )
        self.engines = {item.name: item for item in self.table.list_all()}
        self.placement = dispatch.Placement(
            endpoints=self.table, zone="a", generator=random.Random(1)
        )

    def choose(self, **fields):
        return self.placement.choose_for_generation(
            service=_SERVICE, size=_SIZE, now=0.0, needs_prefill=False, **fields
        )

    # Guards against a full or failed engine sending a stream to another
    # version.
    def test_no_engine_of_another_version_is_chosen(self):
        only = self.engines["d1"]
        for excluded in ((), (only,)):
            grant = self.choose(software_version="v1", excluded=excluded)
            self.assertIs(grant.decode, only)
        only.in_flight = _SERVICE.engine.slots
        for version in ("v1", "v3"):
            shortage = self.choose(software_version=version)
            self.assertEqual(
                shortage,
                dispatch.VersionShortage(versions=frozenset((version,))),
            )
        self.assertIn(self.choose().decode.name, ("d2", "d3"))

    # Guards against a move to another version after the prefill.
    def test_alternative_has_the_same_version(self):
        grant = self.choose(software_version="v2")
        grant.decode.is_removed = True
        other = self.placement.choose_alternative(
            grant, service=_SERVICE, now=0.0
        )
        self.assertEqual(other.record.software_version, "v2")
        self.assertIsNot(other, grant.decode)
        grant = self.choose(software_version="v1")
        grant.decode.is_removed = True
        other = self.placement.choose_alternative(
            grant, service=_SERVICE, now=0.0
        )
        self.assertIsNone(other)

    def test_decode_engines_are_known_by_version(self):
        has_decode_engine = self.placement.has_decode_engine
        self.assertTrue(has_decode_engine("engine", software_version="v1"))
        self.assertFalse(has_decode_engine("engine", software_version="v3"))


class PrefillVersionTest(unittest.TestCase):
    """Prefill and decode engines of two software versions.

    As during a rollout: the engines of the new version are few at first, and
    none of them prefills.
    """

    _LONG = dispatch.WorkSize(prompt_tokens=7000, output_tokens=100)

    def setUp(self):
        self.table = dispatch.EndpointTable(silence_timeout_s=1.0)
        for name, version, role in (
            ("p1", "v1", membership.Role.PREFILL),
            ("d1", "v1", membership.Role.DECODE),
            ("d2", "v2", membership.Role.DECODE),
        ):
            self.add(name, version, role)
        self.placement = dispatch.Placement(
            endpoints=self.table, zone="a", generator=random.Random(1)
        )

    def add(self, name, version, role):
        record = testing.make_endpoint_record(
            name, software_version=version, role=role
        )
        self.table.update_record(name, record)

    def find(self, name):
        return next(item for item in self.table.list_all() if item.name == name)

    def choose(self, size=_SIZE, **fields):
        return self.placement.choose_for_generation(
            service=_SERVICE, size=size, now=0.0, **fields
        )

    # Guards against a KV cache of one version taken over by another.
    def test_prompt_is_prefilled_by_the_version_that_decodes(self):
        for _ in range(20):
            grant = self.choose()
            version = grant.decode.record.software_version
            self.assertEqual(grant.prefill.record.software_version, version)
        self.add("p2", "v2", membership.Role.PREFILL)
        grant = self.choose(software_version="v2")
        self.assertEqual(grant.prefill.name, "p2")

    # Guards against long prompts at a version that can't prefill them.
    def test_long_prompt_runs_at_a_version_with_a_prefill_engine(self):
        self.find("d1").in_flight = 2
        self.find("d2").in_flight = 2
        for _ in range(20):
            grant = self.choose(self._LONG)
            self.assertEqual(grant.decode.name, "d1")
            self.assertEqual(grant.prefill.name, "p1")

    # Guards against short prompts taking the last capacity that a long one
    # can use.
    def test_long_prompt_is_not_starved_by_short_ones(self):
        for name in ("d1", "d2"):
            self.find(name).in_flight = 2
        self.find("d1").reserved_tokens = 9000
        queue = dispatch.GenerationQueue(placement=self.placement)

        def add(size):
            return queue.add(
                service=_SERVICE, size=size, target_at=1.0, wait_deadline=5.0
            )

        long = add(self._LONG)
        short = add(dispatch.WorkSize(prompt_tokens=200, output_tokens=100))
        self.assertEqual(queue.admit(0.0), [short])
        self.assertEqual(short.grant.decode.name, "d2")
        self.find("d1").reserved_tokens = 0
        self.assertEqual(queue.admit(0.1), [long])

    # Guards against a stream that waits for a prefill engine which its version
    # doesn't have.
    def test_stream_bound_to_a_version_is_prefilled_by_its_decode_engine(self):
        self.find("d2").in_flight = 3
        grant = self.choose(self._LONG, software_version="v2")
        self.assertEqual(grant.decode.name, "d2")
        self.assertIs(grant.prefill, grant.decode)
        # Its version has one, which is busy.
        self.find("d1").in_flight = 3
        self.find("p1").prefill_tokens = 100_000
        shortage = self.choose(self._LONG, software_version="v1")
        self.assertIs(shortage, dispatch.Shortage.PREFILL)

    # Guards against waiting for one version's prefill engines while another's
    # are free.
    def test_busy_prefill_engine_sends_a_prompt_to_another_version(self):
        self.add("p2", "v2", membership.Role.PREFILL)
        for name in ("d1", "d2"):
            self.find(name).in_flight = 2
        self.find("p1").prefill_tokens = 100_000
        for _ in range(20):
            self.assertEqual(self.choose(self._LONG).prefill.name, "p2")

    # Guards against a prefill that is sent to an engine of another version
    # after its own has refused it.
    def test_finished_prefill_waits_for_its_version_until_it_expires(self):
        self.find("d1").reserved_tokens = 9000
        self.find("d1").in_flight = 2
        queue = dispatch.GenerationQueue(placement=self.placement)
        waiter = queue.add(
            service=_SERVICE,
            size=_SIZE,
            target_at=1.0,
            wait_deadline=5.0,
            prefilled_until=0.5,
            prefilled_version="v1",
        )
        self.assertEqual(queue.admit(0.0), [])
        self.assertEqual(queue.admit(0.6), [waiter])
        self.assertEqual(waiter.grant.decode.name, "d2")
        self.assertIsNotNone(waiter.grant.prefill)


class ContentionTest(unittest.TestCase):
    """Two gateways that reserve the same last capacity in a burst."""

    def setUp(self):
        self.table = dispatch.EndpointTable(silence_timeout_s=1.0)
        for name, role in (
            ("d1", membership.Role.DECODE),
            ("d2", membership.Role.DECODE),
            ("p1", membership.Role.PREFILL),
        ):
            record = testing.make_endpoint_record(name, role=role)
            self.table.update_record(name, record)
        self.placement = dispatch.Placement(
            endpoints=self.table,
            zone="a",
            generator=random.Random(1),
            name="m",
        )
        self.grant = self.placement.choose_for_generation(
            service=_SERVICE, size=_SIZE, now=0.0
        )
        self.grant.reserve()

    def report_load(self, engine, tokens, peer="other", at=0.1):
        load = peers.EndpointLoad(in_flight=1, reserved_tokens=tokens)
        self.table.update_peer_loads(peer, {engine.name: load}, at)

    def choose_alternative(self):
        return self.placement.choose_alternative(
            self.grant, service=_SERVICE, now=0.2
        )

    def get_other(self):
        return next(
            item
            for item in self.table.list_all()
            if item.record.role is membership.Role.DECODE
            and item is not self.grant.decode
        )

    def test_capacity_that_no_peer_reserved_is_kept(self):
        self.report_load(self.grant.decode, 5000)
        self.assertIsNone(self.choose_alternative())

    def test_generation_moves_off_an_overbooked_engine_after_its_prefill(self):
        self.report_load(self.grant.decode, 6000)
        other = self.get_other()
        self.assertIs(self.choose_alternative(), other)
        former = self.grant.decode
        self.grant.move(other)
        self.assertEqual(former.reserved_tokens, 0)
        self.assertEqual(other.reserved_tokens, _SIZE.memory_tokens)
        self.grant.release()
        self.assertEqual((other.in_flight, other.reserved_tokens), (0, 0))

    def test_generation_stays_if_no_other_engine_has_capacity(self):
        self.report_load(self.grant.decode, 6000)
        self.get_other().in_flight = 8
        self.assertIsNone(self.choose_alternative())

    def test_engine_that_refused_during_the_prefill_is_avoided(self):
        self.grant.decode.record_refusal(0.15)
        self.assertIs(self.choose_alternative(), self.get_other())

    def must_yield(self):
        return self.placement.must_yield(
            self.grant, service=_SERVICE, granted_at=0.0
        )

    def test_one_of_several_concurrent_gateways_keeps_its_capacity(self):
        self.report_load(self.grant.decode, 6000, peer="z", at=0.005)
        self.assertTrue(
            self.placement.is_contested(self.grant, service=_SERVICE)
        )
        self.assertFalse(self.must_yield())
        self.report_load(self.grant.decode, 6000, peer="a", at=0.005)
        self.assertTrue(self.must_yield())

    def test_no_gateway_yields_if_the_capacity_suffices(self):
        self.report_load(self.grant.decode, 5000, peer="a", at=0.005)
        self.assertFalse(self.must_yield())

    def test_earlier_reservation_of_a_peer_is_ignored(self):
        self.report_load(self.grant.decode, 6000, peer="a", at=-1.0)
        self.assertFalse(self.must_yield())


class LateNewsTest(unittest.TestCase):
    """Many gateways that hear late of an engine which has just become empty.

    The pattern: engines that crashed come back, and the gateways of all zones
    see the same empty engine for a while.
    """

    _ENGINES = 48
    _GATEWAYS = 60

    def choose(self, seed, *, is_timely=True, is_lagging=False):
        table = dispatch.EndpointTable(silence_timeout_s=1.0)
        for number in range(self._ENGINES):
            name = f"d{number}"
            record = testing.make_endpoint_record(
                name, role=membership.Role.DECODE
            )
            table.update_record(name, record)
            if number:
                load = peers.EndpointLoad(in_flight=1, reserved_tokens=5000)
                table.update_peer_loads(f"g{number}", {name: load}, 0.0)
        placement = dispatch.Placement(
            endpoints=table,
            zone="other",
            generator=random.Random(seed),
            is_timely=lambda _zone: is_timely,
            is_lagging=lambda: is_lagging,
        )
        grant = placement.choose_for_generation(
            service=_SERVICE, size=_SIZE, now=0.0, needs_prefill=False
        )
        return grant.decode.name

    def count_same_choice(self, **news):
        chosen = [self.choose(seed, **news) for seed in range(self._GATEWAYS)]
        return chosen.count("d0")

    def check_few_choose_the_same(self, **news):
        capacity = _SERVICE.engine.capacity_tokens // _SIZE.memory_tokens
        late = self.count_same_choice(**news)
        self.assertLessEqual(late, 3 * capacity)
        self.assertGreater(self.count_same_choice(), late)

    def test_few_gateways_choose_the_same_engine(self):
        self.check_few_choose_the_same(is_timely=False)

    def test_few_choose_the_same_while_reports_are_held_back(self):
        self.check_few_choose_the_same(is_lagging=True)


class HoldTest(unittest.TestCase):
    """Engines that several gateways fill in a burst.

    The pattern: the rate limit holds the gateways' reports back, just when most
    engines have room for one or two generations more.
    """

    def needs_hold(self, *, is_lagging, peer_tokens, service=_SERVICE):
        table = dispatch.EndpointTable(silence_timeout_s=1.0)
        record = testing.make_endpoint_record("d1", role=membership.Role.DECODE)
        table.update_record("d1", record)
        load = peers.EndpointLoad(in_flight=1, reserved_tokens=peer_tokens)
        table.update_peer_loads("other", {"d1": load}, 0.0)
        placement = dispatch.Placement(
            endpoints=table,
            zone="a",
            generator=random.Random(1),
            is_lagging=lambda: is_lagging,
        )
        size = dispatch.WorkSize(prompt_tokens=1500, output_tokens=500)
        grant = placement.choose_for_generation(
            service=service, size=size, now=0.0, needs_prefill=False
        )
        grant.reserve()
        return placement.needs_hold(grant, service=service)

    def test_engine_that_others_may_fill_unnoticed_is_asked(self):
        self.assertTrue(self.needs_hold(is_lagging=True, peer_tokens=7000))

    def test_engine_with_more_room_is_not_asked(self):
        self.assertFalse(self.needs_hold(is_lagging=True, peer_tokens=3000))

    def test_no_engine_is_asked_while_reports_are_timely(self):
        self.assertFalse(self.needs_hold(is_lagging=False, peer_tokens=7000))

    def test_engine_that_sets_nothing_aside_is_not_asked(self):
        engine = dataclasses.replace(_SERVICE.engine, hold_s=0.0)
        service = dataclasses.replace(_SERVICE, engine=engine)
        self.assertFalse(
            self.needs_hold(is_lagging=True, peer_tokens=7000, service=service)
        )
