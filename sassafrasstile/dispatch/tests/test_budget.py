import random
import unittest

from sassafrasstile import dispatch

_RATIO = 0.2
_SLACK = 2
_WINDOW_S = 10.0
_GATEWAYS = 5
# What the users allow all gateways together beyond the share of the requests,
# which they count in this window, the one before or the one between.
_STATED_SLACK = 52


class BudgetTest(unittest.TestCase):
    """The retry budget over all gateways, in any window."""

    def test_no_window_has_more_retries_than_its_share(self):
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
            # Traffic that comes in bursts: requests fall out of the window
            # while the retries that they allowed are still in it.
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
            self.assertLessEqual(spent, _RATIO * asked + _STATED_SLACK)


def _count(times, end):
    return sum(end - _WINDOW_S < at <= end for at in times)
