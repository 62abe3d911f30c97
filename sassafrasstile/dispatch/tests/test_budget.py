import random
import unittest

from sassafrasstile import dispatch

_RATIO = 0.2
_SLACK = 2
_WINDOW_S = 10.0
_GATEWAYS = 5
# Retries that the requirements allow all gateways together beyond the share of
# requests, counted in the window of the retries, the one before, or the window
# halfway between them.
_ALLOWED_SLACK = 52


class BudgetTest(unittest.TestCase):
    """The retry budget over all gateways and in any window."""

    def test_no_window_exceeds_the_budget(self):
        for seed in range(20):
            with self.subTest(seed=seed):
                self.check(random.Random(seed))

    def check(self, generator):
        budgets = [
            dispatch.WindowedRetryBudget(
                ratio=_RATIO, slack=_SLACK, window_s=_WINDOW_S
            )
            for _ in range(_GATEWAYS)
        ]
        now = 0.0
        requests = []
        retries = []
        for _ in range(3000):
            # Bursts: requests leave the window while the retries that they
            # allowed are still in it.
            rate = 120.0 if int(now / 7.0) % 2 else 5.0
            now += generator.expovariate(rate)
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


def _count(times, end):
    return sum(end - _WINDOW_S < at <= end for at in times)
