import unittest

from sassafrasstile import faultsoak
from sassafrasstile import testing

_SEED = 1
_SECONDS = 6.0
_UNBOUNDED_GATEWAY = (
    "-m",
    "sassafrasstile.faultsoak.tests.unbounded_gateway",
)


class EndlessAnswerTest(unittest.TestCase):
    """Endpoints whose answers don't end."""

    def run_soak(self, **options):
        run = faultsoak.SoakRun(
            reactor=testing.reactor,
            seed=_SEED,
            seconds=_SECONDS,
            faults=False,
            notices=False,
            silences=False,
            endless=True,
            gateways=1,
            **options,
        )
        return testing.run(run.run)

    def test_guarantees_hold(self):
        report = self.run_soak()
        self.assertEqual(report.violations, [])
        self.assertGreater(report.whole, 0)
        kinds = [name for name in report.faults if name.startswith("endless")]
        self.assertGreater(len(kinds), 1)

    # A check that nothing can fail would show nothing.
    def test_gateway_without_bounds_is_caught(self):
        report = self.run_soak(arguments=_UNBOUNDED_GATEWAY)
        self.assertTrue(
            any("memory grew" in item for item in report.violations)
        )
