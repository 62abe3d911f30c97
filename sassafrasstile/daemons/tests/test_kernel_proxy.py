import logging
import unittest

import prometheus_client

from sassafrasstile import errors
from sassafrasstile.daemons import _base


class BrokenKernel:
    name = "g"

    def tick(self, now):
        raise errors.InvariantError(name="one_answer", detail="twice")


class KernelWatchTest(unittest.TestCase):
    def test_broken_invariant_is_counted_logged_and_raised(self):
        registry = prometheus_client.CollectorRegistry()
        counter = prometheus_client.Counter(
            "violations", "", ("name",), registry=registry
        )
        watch = _base.KernelWatch(kernel=BrokenKernel(), violations=counter)
        with (
            self.assertLogs("sassafrasstile.daemon", logging.CRITICAL),
            self.assertRaises(errors.InvariantError),
        ):
            watch.tick(0.0)
        count = registry.get_sample_value(
            "violations_total", {"name": "one_answer"}
        )
        self.assertEqual((watch.name, count), ("g", 1.0))
