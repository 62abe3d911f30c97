import unittest

from sassafrasstile import faultsoak
from sassafrasstile import testing

_SECONDS = 6.0
# Starts a gateway that takes over any other version of the configuration.
_REVERTING_GATEWAY = """
import sys
from sassafrasstile.routes import _active

original = _active.ActiveConfiguration.apply_if_newer

def apply(self, configuration):
    if self.version != configuration.version:
        self.current = None
    return original(self, configuration)

_active.ActiveConfiguration.apply_if_newer = apply
from sassafrasstile.platform import __main__
sys.exit(__main__.main())
"""
# Starts a gateway that forgets which endpoints have left.
_FORGETFUL_GATEWAY = """
import sys
from unittest import mock
from sassafrasstile.membership import _departures

mock.patch.object(
    _departures.DepartureLog, "try_withhold", return_value=False
).start()
from sassafrasstile.platform import __main__
sys.exit(__main__.main())
"""


class RestoreCheckTest(unittest.TestCase):
    """The soak notices gateways that don't handle a restore of the store."""

    def run_soak(self, **options):
        run = faultsoak.SoakRun(
            reactor=testing.reactor, seed=1001, seconds=_SECONDS, **options
        )
        return testing.run(run.run)

    # Without the epoch, gateways read on at offsets that were given out again.
    def test_configuration_that_is_missed_is_a_violation(self):
        report = self.run_soak(states_epoch=False)
        self.assertTrue(
            any("/new/ answered 404" in item for item in report.violations)
        )

    def test_configuration_that_goes_back_is_a_violation(self):
        report = self.run_soak(arguments=("-c", _REVERTING_GATEWAY))
        self.assertGreater(report.faults["restore"], 1)
        self.assertTrue(
            any("no longer in force" in item for item in report.violations)
        )

    def test_endpoint_that_comes_back_with_the_copy_is_a_violation(self):
        report = self.run_soak(arguments=("-c", _FORGETFUL_GATEWAY))
        self.assertTrue(
            any("had left answered" in item for item in report.violations)
        )
