"""Engines of unequal speeds under patterns of load, in virtual time.

No gateway is told the speeds. The baseline is the same queue without what
gateways learn.
"""

import dataclasses
import itertools
import unittest
from unittest import mock

from sassafrasstile import dispatch
from sassafrasstile import simulation
from sassafrasstile import speeds
from sassafrasstile.simulation import _run

_PROMPT_TOKENS = 5000
# The order of the engines has to be right after this much load.
_LEARNING_S = 3.0


def _make_plan(pattern, *, site="uneven", load=0.8, seconds=10.0):
    return simulation.Plan(
        site=site,
        pattern=simulation.PATTERNS[pattern],
        load=load,
        seconds=seconds,
    )


def _simulate(plan, *, is_learning=True):
    if is_learning:
        return simulation.simulate_seeds(plan, (1, 2)).mean
    with mock.patch.object(dispatch.SpeedSharing, "record"):
        return simulation.simulate_seeds(plan, (1, 2)).mean


class LearningTest(unittest.TestCase):
    """What the gateways believe while requests arrive in waves."""

    def setUp(self):
        self.site = _run.Site(plan=_make_plan("wave"))
        self.orders = {}

    def check_at(self, seconds):
        """Notes the order of the prefill engines in each gateway's belief."""

        def note():
            self.orders[seconds] = [
                self.list_order(gateway) for gateway in self.site.gateways
            ]

        self.site.reactor.callLater(seconds, note)

    def list_order(self, gateway):
        now = self.site.reactor.seconds()

        def estimate_s(name):
            endpoint = gateway.endpoints.find(name)
            return endpoint.speeds.estimate_s(
                speeds.Kind.PREFILL, _PROMPT_TOKENS, now
            )

        return sorted(self.site.pools.prefills, key=estimate_s)

    def get_true_order(self):
        return sorted(
            self.site.pools.prefills,
            key=lambda name: -self.site.pools.prefills[name].tokens_per_s,
        )

    def check_order(self, seconds):
        """Checks that all gateways believe in the true order."""
        for order in self.orders[seconds]:
            self.assertEqual(order, self.get_true_order())

    def forget(self):
        """Replaces each gateway's belief by that of a process just begun."""
        for gateway in self.site.gateways:
            table = gateway.endpoints
            for endpoint in table.list_all():
                endpoint.speeds = speeds.EndpointSpeeds()

    def restart(self, name, speed):
        """Replaces an engine by an incarnation of another speed."""
        engine = self.site.pools.prefills[name]
        engine.set_speed(speed)
        for gateway in self.site.gateways:
            record = gateway.endpoints.find(name).record
            gateway.endpoints.update_record(
                name, dataclasses.replace(record, started_ms=2)
            )

    def test_three_speeds_and_a_wave(self):
        self.check_at(_LEARNING_S)
        self.site.run()
        self.check_order(_LEARNING_S)

    def test_all_estimates_lost_in_a_wave(self):
        self.site.reactor.callLater(4.0, self.forget)
        self.check_at(4.0 + _LEARNING_S)
        self.site.run()
        self.check_order(4.0 + _LEARNING_S)

    def test_spell_on_the_fastest_engine(self):
        spell = simulation.PATTERNS["slow_spell"]
        plan = _make_plan("slow_spell", seconds=18.0)
        self.site = _run.Site(plan=plan)
        middle = spell.start_s + 2.0
        after = spell.start_s + spell.duration_s + _LEARNING_S
        for seconds in (middle, after):
            self.check_at(seconds)
        self.site.run()
        fastest = self.get_true_order()[0]
        for order in self.orders[middle]:
            self.assertNotEqual(order[0], fastest)
        self.check_order(after)

    def test_new_incarnation_of_the_fastest_engine_is_slow(self):
        fastest = self.list_order(self.site.gateways[0])[-1]
        self.site.reactor.callLater(4.0, self.restart, fastest, 0.3)
        self.check_at(4.0 + _LEARNING_S)
        self.site.run()
        self.check_order(4.0 + _LEARNING_S)


class GoodputTest(unittest.TestCase):
    """What learning is worth, and where it does no harm."""

    def test_three_speeds_and_a_wave(self):
        plan = _make_plan("wave", load=1.1)
        ours, baseline = _simulate(plan), _simulate(plan, is_learning=False)
        self.assertGreater(ours.goodput, baseline.goodput)
        self.assertLess(ours.misplaced_prefill, 0.15)

    def test_many_gateways_and_one_fast_engine(self):
        site = _run.Site(plan=_make_plan("burst", site="one-fast", seconds=4.0))
        figures = site.run()
        engines = site.pools.prefills.values()
        fastest = max(engines, key=lambda item: item.tokens_per_s)
        share = fastest.prefilled_tokens / sum(
            item.prefilled_tokens for item in engines
        )
        fair = fastest.tokens_per_s / sum(item.tokens_per_s for item in engines)
        self.assertGreater(share, fair - 0.05)
        self.assertLess(share, fair + 0.2)
        self.assertGreater(figures.goodput, 0.9)


class ScaleTest(unittest.TestCase):
    """Everything but the network at another scale of time."""

    @classmethod
    def setUpClass(cls):
        cls.plan = _make_plan("wave", load=0.9)
        cls.usual = cls.simulate(1.0)

    @classmethod
    def simulate(cls, factor):
        plan = dataclasses.replace(cls.plan, time_factor=factor)
        return simulation.simulate_seeds(plan, (1, 2, 3))

    def check_goodput(self, factor):
        """Checks that the goodput stays within its spread."""
        scaled = self.simulate(factor)
        difference = abs(scaled.mean.goodput - self.usual.mean.goodput)
        spread = max(0.02, self.usual.spread, scaled.spread)
        self.assertLess(difference, spread)

    def test_a_quarter(self):
        self.check_goodput(0.25)

    def test_half(self):
        self.check_goodput(0.5)

    def test_twice(self):
        self.check_goodput(2.0)

    def test_four_times(self):
        self.check_goodput(4.0)


class SeedTest(unittest.TestCase):
    """Runs of unequal engines can be repeated."""

    def test_same_plan_gives_the_same_figures(self):
        plan = _make_plan("wave", seconds=4.0)
        first, second = itertools.starmap(simulation.simulate, [(plan,)] * 2)
        self.assertEqual(first, second)
