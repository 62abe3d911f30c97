"""Gateways that share the quotas of workspaces, without a network."""

import collections
import logging
import random
import unittest

from twisted.internet import defer
from twisted.internet import task

from sassafrasstile import permits
from sassafrasstile import workspaces

_DELAY_S = 0.001
_STEP_S = 0.01
_RATE_PER_S = 47_000.0
_BURST = 47_000.0
_BOUNDS = permits.QuotaBounds(window_s=8.0, overshoot=0.1, slack=190_000.0)
_COSTS = (3300, 3300, 200, 5300, 3300, 12_000)
_MEAN_COST = sum(_COSTS) / len(_COSTS)
# After this time gateways notice that another one is silent.
_NOTICE_S = 1.5


def make_quota(rate_per_s=_RATE_PER_S, burst=_BURST, **changes):
    return workspaces.Quota(
        rate_per_s=rate_per_s,
        burst=burst,
        unit=workspaces.QuotaUnit.TOKENS,
        unstated_cost=200.0,
        **changes,
    )


class _Gateway:
    """A gateway, its configuration, and what it hears.

    Attributes:
        is_frozen: True while it does nothing.
        knows_others: False until it has read who the others are.
        is_dead: True after it was killed.
    """

    def __init__(self, *, site, name):
        self._site = site
        self.name = name
        self.is_frozen = False
        self.is_dead = False
        self.version = site.version
        self.quotas = dict(site.quotas)
        self.sent = 0
        self.knows_others = True
        self._inbox = []
        self.limiter = permits.SharedRateLimiter(
            reactor=site.clock, name=name, transport=self
        )
        self.keeper = permits.QuotaKeeper(
            reactor=site.clock,
            exchange=self.limiter,
            read_quota=self.read_quota,
            bounds=site.bounds,
            count_gateways=self.count_gateways,
        )
        self.keeper.start()
        self.keeper._loop.stop()
        self._sweep()

    def _sweep(self):
        if self.is_dead:
            return
        if not self.is_frozen:
            self.keeper._sweep()
        self._site.clock.callLater(0.25, self._sweep)

    def count_gateways(self):
        return len(self._site.gateways) if self.knows_others else None

    def read_quota(self, workspace):
        return permits.StatedQuota(
            version=self.version, quota=self.quotas.get(workspace)
        )

    def configure(self):
        self.version = self._site.version
        self.quotas = dict(self._site.quotas)

    def list_zones(self):
        return {name: "a" for name in self._site.gateways if name != self.name}

    def list_live(self):
        return [
            name
            for name in self.list_zones()
            if name not in self._site.unheard[self.name]
        ]

    def count_lost(self):
        return 0

    def send(self, name, payload):
        self.sent += 1
        self._site.send(self.name, name, payload)

    def receive(self, sender, payload):
        if self.is_frozen:
            self._inbox.append((sender, payload))
        elif not self.is_dead:
            self.limiter.receive(sender, payload)

    def thaw(self):
        self.is_frozen = False
        inbox, self._inbox = self._inbox, []
        for sender, payload in inbox:
            self.receive(sender, payload)


class _Site:
    """Gateways on a network that loses messages, and what they let run.

    Attributes:
        used: The time and the amount of each request that ran, by workspace.
        charges: The gateway and the charge of each of them.
        refused: The number of refused requests by workspace.
        unheard: Whom each gateway doesn't hear of.
        cut: Pairs of gateways that don't reach each other.
    """

    def __init__(self, *, gateways, quotas, bounds=_BOUNDS, seed=1):
        self.clock = task.Clock()
        self.clock.advance(100.0)
        self.generator = random.Random(seed)
        self.bounds = bounds
        self.quotas = quotas
        self.version = 1
        self.lost_share = 0.0
        self.cut = set()
        self.unheard = collections.defaultdict(set)
        self.used = collections.defaultdict(list)
        self.charges = []
        self.refused = collections.Counter()
        self.gateways = {f"g{number}": None for number in range(gateways)}
        for name in self.gateways:
            self.restart(name)

    def restart(self, name):
        self.gateways[name] = _Gateway(site=self, name=name)

    def kill(self, name):
        self.gateways[name].is_dead = True

    def send(self, sender, name, payload):
        is_lost = self.generator.random() < self.lost_share
        is_cut = frozenset((sender, name)) in self.cut
        if not is_lost and not is_cut and not self.gateways[sender].is_dead:
            self.clock.callLater(
                _DELAY_S, self.gateways[name].receive, sender, payload
            )

    def cut_off(self, names):
        """Cuts gateways off from all others and from each other."""
        for name in names:
            for other in self.gateways:
                if other != name:
                    self.cut.add(frozenset((name, other)))

    def notice(self, names):
        """Lets all notice that gateways are silent, and these that all are."""
        for name in names:
            for other in self.gateways:
                if other != name:
                    self.unheard[other].add(name)
                    self.unheard[name].add(other)

    def ask(self, name, workspace="w", tokens=None):
        gateway = self.gateways[name]
        if gateway.is_dead or gateway.is_frozen:
            return None
        if tokens is None:
            tokens = self.generator.choice(_COSTS)
        charging = defer.ensureDeferred(
            gateway.keeper.charge(workspace, tokens)
        )
        return charging.addCallback(self._record, gateway, workspace)

    def _record(self, decision, gateway, workspace):
        if decision.is_granted and not gateway.is_dead:
            if decision.charge is not None:
                self.charges.append((gateway, decision.charge))
                self.used[workspace].append(
                    [self.clock.seconds(), decision.charge.amount]
                )
        elif not decision.is_granted:
            self.refused[workspace] += 1
        return decision

    def run_for(self, seconds, *, load=0.0, names=None, workspace="w"):
        """Lets time pass while requests come at random.

        Args:
            seconds: How long.
            load: What is asked for, as a share of the usual rate.
            names: The gateways that are asked.
            workspace: The workspace, or a dict of loads by workspace.
        """
        names = names or list(self.gateways)
        per_s = load * _RATE_PER_S / _MEAN_COST
        loads = workspace if isinstance(workspace, dict) else {workspace: per_s}
        end = self.clock.seconds() + seconds
        while self.clock.seconds() < end:
            for name, rate in loads.items():
                expected = rate * _STEP_S
                while expected > 0:
                    if self.generator.random() < expected:
                        self.ask(self.generator.choice(names), name)
                    expected -= 1
            self.clock.advance(_STEP_S)

    def measure_most(self, workspace="w"):
        """Returns the most that ran in any window."""
        uses = self.used[workspace]
        most = total = first = 0
        for used_at, amount in uses:
            total += amount
            while uses[first][0] <= used_at - _BOUNDS.window_s:
                total -= uses[first][1]
                first += 1
            most = max(most, total)
        return most

    def measure_used(self, since, workspace="w"):
        return sum(a for t, a in self.used[workspace] if t >= since)


class QuotaTest(unittest.TestCase):
    """What runs of a workspace stays within its quota and the bounds."""

    def setUp(self):
        logging.disable(logging.WARNING)
        self.addCleanup(logging.disable, logging.NOTSET)

    def start(self, gateways=24, **changes):
        self.site = _Site(
            gateways=gateways, quotas={"w": make_quota()}, **changes
        )
        self.site.run_for(5.0)
        self.began_at = self.site.clock.seconds()
        return self.site

    def check_sum(self, quota=None, workspace="w"):
        quota = quota or make_quota()
        allowed = quota.rate_per_s * _BOUNDS.window_s + quota.burst
        allowed = allowed * (1 + _BOUNDS.overshoot) + _BOUNDS.slack
        self.assertLessEqual(self.site.measure_most(workspace), allowed)

    def check_usable(self, seconds, share=0.9):
        used = self.site.measure_used(self.began_at)
        self.assertGreaterEqual(used, share * _RATE_PER_S * seconds)

    # With equal shares those of gateways without callers would be lost.
    def test_all_of_a_quota_is_usable_wherever_callers_are(self):
        for count in (1, 8, 24):
            with self.subTest(count=count):
                site = self.start()
                site.lost_share = 0.1
                names = list(site.gateways)[:count]
                site.run_for(24.0, load=3.0, names=names)
                self.check_sum()
                self.check_usable(24.0)

    # A request within the quota got 429.
    def test_requests_within_a_quota_are_not_refused(self):
        for count in (1, 8, 24):
            with self.subTest(count=count):
                site = self.start()
                site.lost_share = 0.1
                names = list(site.gateways)[:count]
                site.run_for(24.0, load=0.6, names=names)
                self.assertEqual(site.refused["w"], 0)

    # The first requests of a day come all at once.
    def test_burst_at_the_start_of_a_day_is_not_refused(self):
        site = self.start()
        for _ in range(14):
            site.ask(site.generator.choice(list(site.gateways)), tokens=3300)
        site.run_for(0.2)
        self.assertEqual(site.refused["w"], 0)

    def test_sum_is_kept_when_the_gateway_that_hands_out_is_lost(self):
        site = self.start()
        for _ in range(3):
            site.run_for(6.0, load=3.0)
            names = [n for n, g in site.gateways.items() if not g.is_dead]
            owner = site.gateways[names[0]].limiter.rank("quota:w")[0]
            site.kill(owner)
            site.run_for(_NOTICE_S, load=3.0)
            site.notice([owner])
        site.run_for(6.0, load=3.0)
        self.check_sum()

    # Callers were refused until all had noticed that a gateway was gone.
    def test_usual_load_goes_on_when_the_gateway_that_hands_out_is_lost(self):
        site = self.start()
        site.run_for(4.0, load=0.5)
        owner = site.gateways["g0"].limiter.rank("quota:w")[0]
        site.kill(owner)
        names = [name for name in site.gateways if name != owner]
        site.run_for(_NOTICE_S, load=0.5, names=names)
        site.notice([owner])
        site.run_for(4.0, load=0.5, names=names)
        asked = len(site.used["w"]) + site.refused["w"]
        self.assertLessEqual(site.refused["w"], 0.02 * asked)

    # Two gateways hand out, since some don't hear of one of them.
    def test_sum_is_kept_while_two_gateways_hand_out(self):
        site = self.start()
        first, second = site.gateways["g0"].limiter.rank("quota:w")[:2]
        site.run_for(8.0, load=3.0)
        for name in list(site.gateways)[::2]:
            if name not in (first, second):
                site.cut.add(frozenset((name, first)))
                site.unheard[name].add(first)
        site.run_for(16.0, load=3.0)
        self.check_sum()

    def test_sum_is_kept_when_all_processes_are_killed_at_once(self):
        site = self.start()
        site.run_for(8.0, load=3.0)
        for name in site.gateways:
            site.kill(name)
        site.run_for(0.5)
        for name in site.gateways:
            site.restart(name)
            site.unheard[name] = set(site.gateways) - {name}
        site.run_for(0.5, load=3.0)
        site.unheard.clear()
        site.run_for(8.0, load=3.0)
        self.check_sum()

    # Each start of the gateway that hands out would give a full burst more.
    def test_gateway_that_has_just_started_hands_out_little(self):
        site = self.start()
        owner = site.gateways["g0"].limiter.rank("quota:w")[0]
        site.kill(owner)
        site.restart(owner)
        for _ in range(20):
            site.ask(site.generator.choice(list(site.gateways)), tokens=3300)
        site.run_for(0.1)
        little = _BOUNDS.slack / 8 + 0.2 * _RATE_PER_S
        self.assertLessEqual(site.measure_used(self.began_at), little)

    # All processes start at once; callers were told to come back in an hour.
    def test_requests_wait_while_all_gateways_start(self):
        site = self.start()
        for name in site.gateways:
            site.kill(name)
            site.restart(name)
            site.unheard[name] = set(site.gateways) - {name}
            site.gateways[name].knows_others = False
        for _ in range(6):
            for tokens in (200, 3300):
                site.ask(
                    site.generator.choice(list(site.gateways)), "w", tokens
                )
        site.run_for(0.3)
        for gateway in site.gateways.values():
            gateway.knows_others = True
        site.run_for(0.3)
        site.unheard.clear()
        site.run_for(1.0)
        self.assertEqual(site.refused["w"], 0)
        self.assertEqual(len(site.used["w"]), 12)

    # A gateway wakes and uses what it had leased long ago.
    def test_frozen_gateway_does_not_use_an_old_lease(self):
        site = self.start(gateways=3)
        owner = site.gateways["g0"].limiter.rank("quota:w")[0]
        name = next(name for name in site.gateways if name != owner)
        site.run_for(4.0, load=0.8, names=[name])
        gateway = site.gateways[name]
        self.assertGreater(gateway.keeper.list_leased()["w"], 0)
        gateway.is_frozen = True
        site.run_for(6.0)
        gateway.thaw()
        self.assertEqual(gateway.keeper.list_leased()["w"], 0)

    def test_frozen_gateway_gives_no_old_lease_back(self):
        """Its part was refilled long ago, so it would be handed out twice."""
        site = self.start(gateways=3)
        owner = site.gateways["g0"].limiter.rank("quota:w")[0]
        name = next(name for name in site.gateways if name != owner)
        site.run_for(4.0, load=0.8, names=[name])
        gateway = site.gateways[name]
        self.assertGreater(gateway.keeper.list_leased()["w"], 0)
        gateway.is_frozen = True
        site.run_for(6.0)
        sent = gateway.sent
        gateway.thaw()
        site.run_for(1.0)
        self.assertEqual(gateway.sent, sent)

    def test_denial_by_a_gateway_that_stands_in_asks_for_a_short_wait(self):
        """Without slack it can hand out nothing, but the first one is back."""
        site = self.start(gateways=3, bounds=permits.QuotaBounds(window_s=8.0))
        owner = site.gateways["g0"].limiter.rank("quota:w")[0]
        site.gateways[owner].is_frozen = True
        name = next(name for name in site.gateways if name != owner)
        decisions = []
        site.ask(name, tokens=3300).addCallback(decisions.append)
        site.run_for(1.0)
        (decision,) = decisions
        self.assertFalse(decision.is_granted)
        self.assertLessEqual(decision.wait_s, 0.5)

    def test_requests_wait_on_when_the_quota_changes_between_two(self):
        """The first one ends at once, and by then the quota is another."""
        site = self.start(gateways=2)
        owner = site.gateways["g0"].limiter.rank("quota:w")[0]
        name = next(name for name in site.gateways if name != owner)
        gateway = site.gateways[name]
        decisions = []

        def change(decision):
            decisions.append(decision)
            if len(decisions) < 2:
                return
            gateway.version = 7
            gateway.quotas = {"w": make_quota(rate_per_s=20_000.0)}
            if decision.charge is not None:
                gateway.keeper.refund(decision.charge)

        # The others are asked for together, after the first one's answer.
        for tokens in (200, 3300, 60_000, 60_000, 60_000):
            site.ask(name, tokens=tokens).addCallback(change)
        site.run_for(3.0)
        self.assertEqual(len(decisions), 5)

    def test_charge_by_another_quota_is_not_given_back(self):
        """Tokens aren't requests."""
        site = self.start(gateways=2)
        owner = site.gateways["g0"].limiter.rank("quota:w")[0]
        name = next(name for name in site.gateways if name != owner)
        gateway = site.gateways[owner]
        decisions = []
        site.ask(owner, tokens=3300).addCallback(decisions.append)
        site.run_for(0.1)
        requests = workspaces.Quota(rate_per_s=0.01, burst=2.0)
        site.version, site.quotas = 2, {"w": requests}
        for item in site.gateways.values():
            item.configure()
        for _ in range(200):
            site.ask(owner, tokens=1)
        site.run_for(0.1)
        site.used.clear()
        gateway.keeper.refund(decisions[0].charge)
        site.ask(name, tokens=1)
        site.run_for(0.1)
        self.assertEqual(site.measure_used(0.0), 0)

    def test_sum_is_kept_when_the_gateway_that_hands_out_freezes(self):
        site = self.start()
        owner = site.gateways["g0"].limiter.rank("quota:w")[0]
        site.run_for(8.0, load=3.0)
        for _ in range(3):
            site.gateways[owner].is_frozen = True
            site.run_for(_NOTICE_S, load=3.0)
            site.notice([owner])
            site.run_for(2.0, load=3.0)
            site.gateways[owner].thaw()
            site.run_for(0.2, load=3.0)
            site.unheard.clear()
            site.run_for(1.0, load=3.0)
        site.run_for(4.0, load=3.0)
        self.check_sum()

    def test_sum_is_kept_when_all_gateways_lose_each_other(self):
        site = self.start()
        site.run_for(8.0, load=3.0)
        site.cut_off(site.gateways)
        site.run_for(_NOTICE_S, load=3.0)
        site.notice(site.gateways)
        site.run_for(16.0, load=3.0)
        self.check_sum()

    # A gateway that is cut off refused all.
    def test_gateway_that_is_cut_off_goes_on_with_its_part(self):
        site = self.start()
        site.cut_off(["g3"])
        site.ask("g3", tokens=3300)
        site.run_for(0.3)
        self.assertEqual(len(site.used["w"]), 1)
        site.run_for(8.0, load=3.0)
        site.notice(["g3"])
        site.run_for(8.0, load=3.0)
        self.check_sum()

    def test_lowered_limit_is_in_force_at_once(self):
        site = self.start()
        site.lost_share = 0.1
        site.run_for(8.0, load=3.0)
        lower = make_quota(rate_per_s=10_000.0, burst=10_000.0)
        site.version, site.quotas = 2, {"w": lower}
        for number, gateway in enumerate(site.gateways.values()):
            site.clock.callLater(0.1 * number, gateway.configure)
        site.run_for(3.0, load=3.0)
        site.used.clear()
        site.run_for(20.0, load=3.0)
        allowed = (10_000 * 8 + 10_000) * 1.1
        self.assertLessEqual(site.measure_most(), allowed * 1.2)

    # A limit that goes up and down at once and again, heard of in any order.
    def test_newest_limit_is_kept_through_quick_changes(self):
        site = self.start(gateways=4)
        for version, rate in ((2, 10_000.0), (3, 94_000.0), (4, 20_000.0)):
            site.version = version
            site.quotas = {"w": make_quota(rate_per_s=rate)}
            site.gateways["g1"].configure()
            for name in ("g1", "g2", "g0"):
                site.ask(name, tokens=200)
                site.run_for(0.05)
        site.gateways["g3"].configure()
        owner = site.gateways["g0"].limiter.rank("quota:w")[0]
        for name in ("g1", owner):
            news = site.gateways[name].keeper.describe("w")
            self.assertEqual((news.version, news.quota.rate_per_s), (4, 2e4))

    def test_workspace_that_loses_its_quota_is_not_limited(self):
        site = self.start(gateways=4)
        site.version, site.quotas = 2, {"w": None}
        for gateway in site.gateways.values():
            gateway.configure()
        for _ in range(50):
            site.ask("g1", tokens=40_000)
        self.assertEqual(site.refused["w"], 0)

    def test_unit_may_change(self):
        site = self.start(gateways=4)
        site.run_for(2.0, load=0.5)
        site.version = 2
        site.quotas = {"w": workspaces.Quota(rate_per_s=50.0, burst=50.0)}
        site.gateways["g1"].configure()
        for name in site.gateways:
            site.ask(name, tokens=3300)
            site.run_for(0.1)
        for gateway in site.gateways.values():
            gateway.configure()
        site.run_for(2.0)
        site.used.clear()
        site.ask("g2", tokens=3300)
        site.run_for(0.1)
        self.assertEqual([amount for _, amount in site.used["w"]], [1.0])

    # What was refused elsewhere counted against the quota.
    def test_refund_lets_others_run(self):
        bounds = permits.QuotaBounds(window_s=8.0)
        site = self.start(gateways=4, bounds=bounds)
        site.ask("g1", tokens=1)
        site.run_for(1.0)
        # The burst is there, and little comes after it.
        site.version = 2
        site.quotas = {"w": make_quota(rate_per_s=10.0)}
        for gateway in site.gateways.values():
            gateway.configure()
        charges = []
        for _ in range(4):
            asking = site.ask("g1", tokens=10_000)
            asking.addCallback(lambda item: charges.append(item.charge))
            site.run_for(0.01)
        asking = site.ask("g2", tokens=12_000)
        site.run_for(0.05)
        self.assertEqual(site.refused["w"], 1)
        site.gateways["g1"].keeper.refund(charges[0])
        site.run_for(0.3)
        site.ask("g2", tokens=12_000)
        site.run_for(0.05)
        self.assertEqual(site.refused["w"], 1)

    # Requests that have waited for long are refused, one after the other, while
    # others take what is given back.
    def test_sum_is_kept_when_old_charges_are_given_back(self):
        site = self.start()
        site.run_for(8.0, load=3.0)
        charges = list(site.charges)
        site.used.clear()
        site.run_for(1.0, load=3.0)
        count = len(charges) // 60
        for _ in range(60):
            for gateway, charge in charges[:count]:
                gateway.keeper.refund(charge)
            del charges[:count]
            site.run_for(0.1, load=3.0)
        site.run_for(4.0, load=3.0)
        self.check_sum()

    # Callers came back earlier than there was anything for them.
    def test_denial_tells_when_the_cost_is_there(self):
        site = self.start(gateways=4)
        site.run_for(4.0, load=5.0)
        denied = []
        for _ in range(8):
            site.ask("g1", tokens=12_000).addCallback(denied.append)
            site.run_for(0.02)
        decision = denied[-1]
        self.assertFalse(decision.is_granted)
        self.assertIsNotNone(decision.level)
        site.run_for(decision.wait_s)
        site.ask("g1", tokens=12_000).addCallback(denied.append)
        site.run_for(0.1)
        self.assertTrue(denied[-1].is_granted)

    # A request that no bucket ever holds would wait for ever.
    def test_request_over_the_burst_runs_from_a_full_bucket(self):
        site = self.start(gateways=4)
        answers = []
        for tokens in (75_000, 75_000, 400_000):
            site.ask("g1", tokens=tokens).addCallback(answers.append)
            site.run_for(0.1)
        self.assertEqual(
            [item.is_granted for item in answers], [True, False, False]
        )

    # A caller that leaves while its gateway asks.
    def test_cancelled_charge_is_not_made(self):
        site = self.start(gateways=4)
        owner = site.gateways["g0"].limiter.rank("quota:w")[0]
        name = next(name for name in site.gateways if name != owner)
        keeper = site.gateways[name].keeper
        charging = defer.ensureDeferred(keeper.charge("w", 3300))
        charging.addErrback(lambda reason: reason.trap(defer.CancelledError))
        charging.cancel()
        site.run_for(1.0)
        self.assertEqual(site.used["w"], [])

    def start_many(self, *, gateways=24):
        """Starts a site of 16 workspaces whose quotas grow with the fleet.

        Returns:
            The usual requests a second by workspace.
        """
        rate_per_s = _RATE_PER_S * gateways / 24
        names = [f"w{number}" for number in range(16)]
        quota = make_quota(rate_per_s=rate_per_s, burst=rate_per_s)
        self.site = _Site(
            gateways=gateways, quotas={name: quota for name in names}
        )
        self.site.run_for(5.0)
        return {name: 0.3 * rate_per_s / _MEAN_COST for name in names}

    def run_hot(self, loads, names, seconds):
        """Lets one workspace send seven times its usual at some gateways.

        Returns:
            The messages for each request, and the most of a gateway.
        """
        site = self.site
        for gateway in site.gateways.values():
            gateway.sent = 0
        # Each of the two is asked for in half of the steps.
        usual = {name: 2 * load for name, load in loads.items()}
        hot = {"w0": 14 * loads["w0"]}
        third = names[: len(names) // 3]
        for _ in range(round(seconds / (2 * _STEP_S))):
            site.run_for(_STEP_S, workspace=usual, names=names)
            site.run_for(_STEP_S, workspace=hot, names=third)
        asked = sum(site.refused.values()) + sum(map(len, site.used.values()))
        sent = [gateway.sent for gateway in site.gateways.values()]
        return sum(sent) / asked, max(sent)

    def check_others(self, most_refused=0.0):
        """Checks that the hot workspace doesn't touch the others."""
        site = self.site
        names = [name for name in site.quotas if name != "w0"]
        refused = sum(site.refused[name] for name in names)
        asked = refused + sum(len(site.used[name]) for name in names)
        self.assertLessEqual(refused, most_refused * asked)
        self.assertGreater(site.refused["w0"], 0)
        for name in site.quotas:
            self.check_sum(workspace=name)

    # One workspace sends seven times its usual at a third of the gateways.
    def test_hot_workspace_does_not_touch_the_quotas_of_others(self):
        loads = self.start_many()
        self.run_hot(loads, list(self.site.gateways), 10.0)
        self.check_others()

    # The same while one gateway in six is dead, and before that is noticed.
    def test_hot_workspace_while_a_sixth_of_the_gateways_is_dead(self):
        loads = self.start_many()
        site = self.site
        dead = ["g1", "g7", "g13", "g19"]
        for name in dead:
            site.kill(name)
        names = [name for name in site.gateways if name not in dead]
        self.run_hot(loads, names, _NOTICE_S)
        site.notice(dead)
        self.run_hot(loads, names, 8.0)
        self.check_others(most_refused=0.01)

    def test_hot_workspace_while_a_sixth_of_the_gateways_is_cut_off(self):
        loads = self.start_many()
        site = self.site
        cut = ["g1", "g7", "g13", "g19"]
        site.cut_off(cut)
        self.run_hot(loads, list(site.gateways), _NOTICE_S)
        site.notice(cut)
        self.run_hot(loads, list(site.gateways), 8.0)
        for name in site.quotas:
            self.check_sum(workspace=name)

    # Each gateway told all others of each request.
    def test_messages_of_a_gateway_do_not_grow_with_their_number(self):
        for gateways in (24, 72):
            with self.subTest(gateways=gateways):
                loads = self.start_many(gateways=gateways)
                names = list(self.site.gateways)
                per_request, _most = self.run_hot(loads, names, 4.0)
                # A question, its answer, and what is given back.
                self.assertLessEqual(per_request, 3.0)

    # Leases grow with the demand, so the owner is asked more seldom.
    def test_busy_gateways_ask_less_than_once_a_request(self):
        quota = workspaces.Quota(rate_per_s=500.0, burst=500.0)
        bounds = permits.QuotaBounds(window_s=8.0, slack=2000.0)
        site = _Site(gateways=24, quotas={"w": quota}, bounds=bounds)
        site.run_for(2.0)
        for load_per_s in (400.0, 2000.0):
            with self.subTest(load_per_s=load_per_s):
                for gateway in site.gateways.values():
                    gateway.sent = 0
                site.used.clear()
                site.refused.clear()
                names = list(site.gateways)[:4]
                site.run_for(4.0, workspace={"w": load_per_s}, names=names)
                asked = len(site.used["w"]) + site.refused["w"]
                sent = sum(gateway.sent for gateway in site.gateways.values())
                self.assertLessEqual(sent, 0.5 * asked)
                self.assertGreaterEqual(len(site.used["w"]), 0.9 * 4 * 400)

    # What other gateways send must not raise.
    def test_malformed_messages_are_ignored(self):
        site = self.start(gateways=2)
        for payload in (
            b'["permits","take",["w",1,2],7,1,1]',
            b'["permits","take",["w",1,-2,1,"tokens",1],7,1,1]',
            b'["permits","take",["w",1,2,1,"x",1],7,1,1]',
            b'["permits","take",[7,1],7,1,1]',
            b'["permits","taken",["w",1],7,0,1,1e999,true]',
            b'["permits","back",["w",1],7,-1]',
            b'["permits","back",["w",1]]',
        ):
            with self.subTest(payload=payload):
                site.gateways["g0"].limiter.receive("g1", payload)
