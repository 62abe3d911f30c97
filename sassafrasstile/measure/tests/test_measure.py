import dataclasses
import logging
import unittest

from sassafrasstile import measure


class MeasureTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def make_plan(self, **parameters):
        plan = measure.Plan(
            site="kestrelvlei",
            policies=("two_choices",),
            seeds=(1,),
            loads=(0.6,),
            minutes=0.2,
        )
        return dataclasses.replace(plan, **parameters)

    def test_same_plan_gives_the_same_figures(self):
        runs = [list(measure.measure(self.make_plan())) for _ in range(2)]
        self.assertEqual(runs[0], runs[1])

    def test_each_policy_is_measured_at_each_load(self):
        plan = self.make_plan(policies=("random", "two_choices"))
        rows = list(measure.measure(plan))
        self.assertEqual(
            [row.policy for row in rows], ["random", "two_choices"]
        )
        for row in rows:
            self.assertEqual(row.violations, 0)
            self.assertLessEqual(row.goodput, row.bound)

    def test_capacity_is_limited_by_the_scarcest_resource(self):
        shape = measure.SHAPES["kestrelvlei"]
        fewer = dataclasses.replace(shape, prefills=1)
        self.assertAlmostEqual(
            measure.find_capacity(fewer), measure.find_capacity(shape) / 3
        )
