import random
import unittest

from sassafrasstile import dispatch

_RATIO = 0.2
_WINDOW_S = 10.0
# Retries that the requirements allow all gateways together beyond the share of
# requests, counted in the window of the retries, the one before, or the window
# halfway between them.
_ALLOWED_SLACK = 52


def make_budget(gateways):
    slack = dispatch.divide_slack(_ALLOWED_SLACK, gateways)
    return dispatch.WindowedRetryBudget(
        ratio=_RATIO, window_s=_WINDOW_S, read_slack=lambda: slack
    )


class BudgetTest(unittest.TestCase):
    """The retry budget over all gateways and in any window."""

    def test_no_window_exceeds_the_budget(self):
        for gateways in (1, 5, 26, 68, 360):
            for seed in range(10):
                with self.subTest(gateways=gateways, seed=seed):
                    self.check(random.Random(seed), gateways)

    def test_restart_of_all_gateways_keeps_the_budget(self):
        for gateways in (5, 68):
            for seed in range(10):
                with self.subTest(gateways=gateways, seed=seed):
                    self.check(
                        random.Random(seed), gateways, restart_every_s=20.0
                    )

    def check(self, generator, gateways, restart_every_s=float("inf")):
        budgets = [make_budget(gateways) for _ in range(gateways)]
        now = 0.0
        restart_at = restart_every_s
        requests = []
        retries = []
        for _ in range(3000):
            # Bursts: requests leave the window while the retries that they
            # allowed are still in it.
            rate = 120.0 if int(now / 7.0) % 2 else 5.0
            now += generator.expovariate(rate)
            if now >= restart_at:
                restart_at += restart_every_s
                budgets = [make_budget(gateways) for _ in range(gateways)]
            budget = generator.choice(budgets)
            if generator.random() < 0.5:
                budget.record_request(now)
                requests.append(now)
            elif budget.spend(now):
                retries.append(now)
        for end in retries:
            spent = _count(retries, end)
            asked = max(
                _count(requests, end - shift * _WINDOW_S)
                for shift in (0.0, 0.5, 1.0)
            )
            self.assertLessEqual(spent, _RATIO * asked + _ALLOWED_SLACK)

    def test_charged_retry_leaves_less_to_spend(self):
        budget = dispatch.WindowedRetryBudget(
            ratio=0.0, window_s=_WINDOW_S, read_slack=lambda: 2.0
        )
        budget.charge(0.0)
        self.assertTrue(budget.spend(0.0))
        self.assertFalse(budget.spend(0.0))


def _count(times, end):
    return sum(end - _WINDOW_S < at <= end for at in times)
