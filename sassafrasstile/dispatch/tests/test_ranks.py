"""Whose generation gets scarce capacity, over several gateways."""

import collections
import dataclasses
import random
import unittest

from sassafrasstile import dispatch
from sassafrasstile import membership
from sassafrasstile import peers
from sassafrasstile import routes
from sassafrasstile import testing
from sassafrasstile.dispatch import _admission_rates

_SERVICE = routes.Service(
    name="engine",
    engine=routes.EngineProfile(
        slots=64, capacity_tokens=20_000, tokens_per_event=1, handle_ttl_s=0.5
    ),
)
_SIZE = dispatch.WorkSize(prompt_tokens=4000, output_tokens=500)
_STEP_S = 0.02
_STREAM_S = 2.0
# First-token targets by rank.
_TARGETS_S = {0: 0.8, 1: 1.0, 2: 2.0}
# Eight engines run four streams each.
_CAPACITY_PER_S = 32 / _STREAM_S


@dataclasses.dataclass(kw_only=True)
class _Tally:
    asked: int = 0
    in_time: int = 0
    refused_after_s: list = dataclasses.field(default_factory=list)

    @property
    def share(self):
        return self.in_time / self.asked


class _Site:
    """Gateways before the same engines, which tell each other in each step."""

    def __init__(self, *, gateways=3, is_told=True, seed=1):
        self.generator = random.Random(seed)
        self.is_told = is_told
        self.now = 0.0
        self.stream_s = _STREAM_S
        self.tallies = collections.defaultdict(_Tally)
        self.running = []
        self.tables = []
        self.queues = []
        for number in range(gateways):
            table = dispatch.EndpointTable(silence_timeout_s=1000.0)
            for name, role in (
                *((f"d{n}", membership.Role.DECODE) for n in range(8)),
                *((f"p{n}", membership.Role.PREFILL) for n in range(4)),
            ):
                table.update_record(
                    name, testing.make_endpoint_record(name, role=role)
                )
            self.tables.append(table)
            self.queues.append(
                dispatch.GenerationQueue(
                    placement=dispatch.Placement(
                        endpoints=table,
                        zone="a",
                        generator=self.generator,
                        name=f"g{number}",
                    )
                )
            )

    def ask(self, gateway, priority, workspace="", key=None, age_s=0.0):
        """Adds a generation, which is counted by its rank or another key."""
        target_s = _TARGETS_S[priority]
        arrived_at = self.now - age_s
        waiter = self.queues[gateway].add(
            service=_SERVICE,
            size=_SIZE,
            target_at=arrived_at + target_s,
            wait_deadline=self.now + 2 * target_s,
            arrived_at=arrived_at,
            priority=priority,
            workspace=workspace,
        )
        waiter.key = priority if key is None else key
        self.tallies[waiter.key].asked += 1

    def load(self, per_s, gateway=None, **fields):
        """Adds arrivals of a Poisson process for one step."""
        rate = per_s * _STEP_S
        while self.generator.random() < rate:
            rate -= 1.0
            chosen = gateway
            if gateway is None:
                chosen = self.generator.randrange(len(self.queues))
            self.ask(chosen, **fields)

    def lose(self, engines):
        """Ends the streams of engines that crash."""
        for table in self.tables:
            for name in engines:
                table.update_record(name, None)
        for item in list(self.running):
            if item[1].grant.decode.name in engines:
                self.running.remove(item)
                item[1].grant.release()

    def step(self):
        self.now += _STEP_S
        for item in list(self.running):
            if item[0] <= self.now:
                self.running.remove(item)
                item[1].grant.release()
        for queue in self.generator.sample(self.queues, len(self.queues)):
            for waiter in queue.admit(self.now):
                waiter.grant.release_prefill()
                length_s = self.generator.uniform(0.3, 1.7) * self.stream_s
                self.running.append((self.now + length_s, waiter))
                tally = self.tallies[waiter.key]
                tally.in_time += self.now + 0.2 <= waiter.target_at
            for waiter in queue.expire(self.now):
                self.tallies[waiter.key].refused_after_s.append(
                    self.now - waiter.arrived_at
                )
            self.tell()

    def tell(self):
        for number, table in enumerate(self.tables):
            loads = table.get_own_loads(self.now)
            report = self.queues[number].make_report(self.now, has_ranks=True)
            for other, queue in enumerate(self.queues):
                if other == number:
                    continue
                self.tables[other].update_peer_loads(
                    f"g{number}", loads, self.now
                )
                if self.is_told:
                    queue.apply_report(f"g{number}", report, self.now)


def _play(seconds, add_load, **fields):
    """Plays a load with two seeds and returns the tallies of both."""
    tallies = collections.defaultdict(_Tally)
    for seed in (1, 2):
        site = _Site(seed=seed, **fields)
        while site.now < seconds:
            add_load(site)
            site.step()
        for key, tally in site.tallies.items():
            tallies[key].asked += tally.asked
            tallies[key].in_time += tally.in_time
            tallies[key].refused_after_s += tally.refused_after_s
    return tallies


class RankTest(unittest.TestCase):
    """Three gateways before eight engines, under more than they can serve."""

    def test_urgent_burst_at_one_gateway_gets_the_room_of_all(self):
        """Load: a burst of an urgent kind at one of three gateways."""

        def add_load(site):
            site.load(1.2 * _CAPACITY_PER_S, priority=2)
            if site.now > 3.0:
                site.load(0.5 * _CAPACITY_PER_S, gateway=0, priority=0)

        alone = _play(9.0, add_load, is_told=False)
        told = _play(9.0, add_load)
        self.assertGreater(told[0].share, 0.92)
        self.assertGreater(told[0].share, alone[0].share + 0.2)

    def test_urgent_overload_leaves_others_their_least_share(self):
        """Load: an urgent kind alone is more than all engines can serve."""

        def add_load(site):
            site.load(1.5 * _CAPACITY_PER_S, priority=0)
            site.load(0.5 * _CAPACITY_PER_S, priority=2)

        tallies = _play(9.0, add_load)
        urgent, least = tallies[0], tallies[2]
        self.assertGreater(least.in_time, 0.07 * urgent.in_time)
        self.assertGreater(urgent.in_time, 4 * least.in_time)

    def test_crash_of_a_quarter_of_the_engines_is_borne_by_the_least_urgent(
        self,
    ):
        """Load: a crash of a quarter of the engines under full load."""

        def add_load(site):
            if 4.0 < site.now <= 4.0 + _STEP_S:
                site.lose({"d0", "d1"})
            for priority in (0, 1, 2):
                site.load(0.32 * _CAPACITY_PER_S, priority=priority)

        tallies = _play(11.0, add_load)
        self.assertGreater(tallies[0].share, 0.93)
        self.assertGreater(tallies[0].share, tallies[1].share)
        self.assertGreater(tallies[1].share, tallies[2].share)
        self.assertGreater(tallies[2].share, 0.4)

    def test_long_answers_refuse_the_least_urgent_early(self):
        """Load: long answers all at once, so that little capacity is freed."""

        def add_load(site):
            site.stream_s = 3 * _STREAM_S if site.now > 3.0 else _STREAM_S
            for priority in (0, 1, 2):
                site.load(0.25 * _CAPACITY_PER_S, priority=priority)

        tallies = _play(12.0, add_load)
        self.assertGreater(tallies[0].share, tallies[1].share + 0.1)
        self.assertGreater(tallies[0].share, tallies[2].share + 0.1)
        # They may wait for two targets; most are refused much earlier.
        waits = sorted(tallies[2].refused_after_s)
        self.assertGreater(len(waits), 20)
        self.assertLess(waits[len(waits) // 2], _TARGETS_S[2] / 2)

    def test_hot_workspace_crowds_out_its_own_requests(self):
        """Load: a workspace sends eight times its usual, at one of three."""

        def add_load(site):
            for number in range(6):
                site.load(
                    0.12 * _CAPACITY_PER_S,
                    priority=1,
                    workspace=f"w{number}",
                    key=f"w{number}",
                )
            if site.now > 8.0:
                site.load(
                    0.84 * _CAPACITY_PER_S,
                    gateway=0,
                    priority=1,
                    workspace="w0",
                    key="w0",
                )

        tallies = _play(16.0, add_load)
        hot = tallies.pop("w0")
        shares = [tally.share for tally in tallies.values()]
        self.assertGreater(min(shares), hot.share + 0.15)
        # It keeps what it usually gets.
        self.assertGreater(hot.in_time, tallies["w1"].in_time)

    def test_callers_that_all_return_do_not_delay_new_ones(self):
        """Load: everyone returns after an outage, with the age they had."""

        def add_load(site):
            if not site.now:
                for number in range(120):
                    site.ask(number % 3, number % 2, key="returned", age_s=1.5)
            site.load(0.6 * _CAPACITY_PER_S, priority=0, key="new")

        tallies = _play(5.0, add_load)
        self.assertGreater(tallies["new"].share, 0.95)
        waits = sorted(tallies["returned"].refused_after_s)
        self.assertGreater(len(waits), 120)
        self.assertLess(waits[len(waits) // 2], 1.6)


class AdmissionRatesTest(unittest.TestCase):
    """Load: more ranks than a report tells of, one after the other."""

    def test_newest_admissions_of_many_ranks_are_told(self):
        here, there = (
            _admission_rates.AdmissionRates(),
            _admission_rates.AdmissionRates(),
        )
        for priority in range(40):
            here.record(priority, tokens=10, now=1.0)
        there.apply("g1", peers.QueueReport(admissions=here.list_own()), 1.0)
        here.record(0, tokens=10, now=1.5)
        here.record(39, tokens=10, now=1.5)
        told = here.list_own()
        self.assertEqual(len(told), peers.MAX_REPORTED_RANKS)
        news = there.apply("g1", peers.QueueReport(admissions=told), 1.5)
        added = {item.priority: item.generations for item in news}
        self.assertEqual(added[39], 1)
        self.assertIn(0, added)


class PeerTurnsTest(unittest.TestCase):
    """Two gateways, one of which tells what waits there."""

    def setUp(self):
        self.site = _Site(gateways=2)
        self.queue = self.site.queues[0]

    def fill(self, *, leave):
        for endpoint in self.site.tables[0].list_all():
            endpoint.in_flight = 4
            endpoint.reserved_tokens = 4 * _SIZE.memory_tokens
        endpoint = self.site.tables[0].list_all()[0]
        endpoint.in_flight -= leave
        endpoint.reserved_tokens -= leave * _SIZE.memory_tokens

    def tell(self, *priorities):
        for priority in priorities:
            self.site.ask(1, priority)
        report = self.site.queues[1].make_report(0.0, has_ranks=True)
        self.queue.apply_report("g1", report, 0.0)

    def test_last_places_are_left_to_more_urgent_ones_elsewhere(self):
        """Load: two places are free, one urgent request waits elsewhere."""
        self.fill(leave=2)
        self.tell(0)
        self.site.ask(0, 2)
        self.site.ask(0, 2)
        self.assertEqual(len(self.queue.admit(0.0)), 1)
        self.assertTrue(self.queue.is_holding)

    def test_begun_stream_does_not_wait_for_others(self):
        """Failure: streams are taken up again at many gateways."""
        self.fill(leave=1)
        self.tell(0, 0)
        self.queue.add(
            service=_SERVICE,
            size=_SIZE,
            target_at=-1.0,
            wait_deadline=2.0,
            is_resumed=True,
        )
        self.assertEqual(len(self.queue.admit(0.0)), 1)

    def test_places_are_not_left_to_what_waits_for_prefill(self):
        """Load: the prefill engines are behind at another gateway."""
        self.fill(leave=1)
        for endpoint in self.site.tables[1].list_all():
            endpoint.prefill_tokens = 40_000
        self.site.ask(1, 0)
        self.assertEqual(self.site.queues[1].admit(0.0), [])
        report = self.site.queues[1].make_report(0.0, has_ranks=True)
        self.assertEqual(report.waiting, ())

    def test_urgent_request_does_not_wait_for_others(self):
        """Load: one place is free, less urgent requests wait elsewhere."""
        self.fill(leave=1)
        self.tell(1, 2, 2)
        self.site.ask(0, 0)
        self.assertEqual(len(self.queue.admit(0.0)), 1)

    def test_old_news_does_not_keep_places_free(self):
        """Failure: a gateway with urgent requests falls silent."""
        self.fill(leave=1)
        self.tell(0)
        self.site.ask(0, 2)
        self.assertEqual(self.queue.admit(0.5), [])
        self.assertEqual(len(self.queue.admit(1.1)), 1)

    def test_later_target_waits_where_an_earlier_one_is_refused(self):
        """Load: few places come free, and two kinds with other targets wait."""
        self.fill(leave=0)
        for _ in range(8):
            self.site.ask(0, 1)
        expired = self.queue.expire(0.0)
        early = [item for item in expired if item.priority == 1]
        self.assertTrue(early)
        self.assertEqual(self.queue.expire(0.7), [])
        for priority in (2, 1):
            self.site.now = 0.7
            self.site.ask(0, priority)
        later = self.queue.expire(0.7)
        self.assertEqual([item.priority for item in later], [1])

    def test_queue_end_of_a_rank_counts_what_goes_first(self):
        """Load: urgent requests wait at another gateway."""
        self.fill(leave=0)
        before = self.queue.estimate_queue_end_s(_SERVICE, 2, 0.0)
        self.tell(0, 0, 0)
        after = self.queue.estimate_queue_end_s(_SERVICE, 2, 0.0)
        self.assertEqual(before, 0.0)
        self.assertEqual(after, 1.0)

    def test_queue_end_of_a_rank_is_its_own_also_for_what_waits_elsewhere(self):
        """Load: urgent requests get all, and others wait at two gateways."""
        self.fill(leave=0)
        self.site.ask(0, 2)
        self.queue.admit(0.0)
        for _ in range(20):
            self.queue._rates.record(0, tokens=10, now=0.9)
        alone = self.queue.estimate_queue_end_s(_SERVICE, 2, 1.0)
        self.site.now = 0.9
        self.site.ask(1, 2)
        report = self.site.queues[1].make_report(0.9, has_ranks=True)
        self.queue.apply_report("g1", report, 0.9)
        both = self.queue.estimate_queue_end_s(_SERVICE, 2, 1.0)
        self.assertAlmostEqual(both, 2 * alone)
