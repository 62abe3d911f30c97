import logging
import unittest

import prometheus_client

from sassafrasstile import errors
from sassafrasstile.daemons import _base


class FaultyKernel:
    name = "g"

    def tick(self, now):
        raise errors.InvariantError(name="one_answer", detail="twice")


class KernelProxyTest(unittest.TestCase):
    def test_invariant_violation_is_counted_logged_and_raised(self):
        registry = prometheus_client.CollectorRegistry()
        counter = prometheus_client.Counter(
            "violations", "", ("name",), registry=registry
        )
        proxy = _base.KernelProxy(kernel=FaultyKernel(), violations=counter)
        with (
            self.assertLogs("sassafrasstile.daemon", logging.CRITICAL),
            self.assertRaises(errors.InvariantError),
        ):
            proxy.tick(0.0)
        count = registry.get_sample_value(
            "violations_total", {"name": "one_answer"}
        )
        self.assertEqual((proxy.name, count), ("g", 1.0))
