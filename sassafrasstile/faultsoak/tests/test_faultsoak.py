import unittest

from sassafrasstile import faultsoak
from sassafrasstile import testing

# Seeds that have failed, with the cause of the failure.
_SEEDS = (
    1,
    # The proxy kept a connection whose client had closed before the target
    # was connected.
    2,
    # The proxy reordered bytes when its delay changed, since timers due at
    # the same time fire in any order.
    8,
    17,
    18,
    # A proxy got a port that had been picked for a gateway.
    27,
    # The settings stated no slack for retries, so a gateway with few requests
    # answered 503 after the only refusal of an endpoint.
    313,
)
_SECONDS = 4.0
# A resumable stream was cut when its only engine fell silent repeatedly.
_SILENCE_SEEDS = (9001, 9003)
_SILENCE_SECONDS = 1.0


class FaultSoakTest(unittest.TestCase):
    """Gateway processes keep their guarantees under injected faults."""

    def test_guarantees_hold_under_faults(self):
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                run = faultsoak.SoakRun(
                    reactor=testing.reactor,
                    seed=seed,
                    seconds=_SECONDS,
                    silences=False,
                )
                report = testing.run(run.run)
                self.assertEqual(report.violations, [])
                self.assertGreater(report.whole, 0)

    def test_streams_come_whole_when_their_engine_falls_silent(self):
        for seed in _SILENCE_SEEDS:
            with self.subTest(seed=seed):
                run = faultsoak.SoakRun(
                    reactor=testing.reactor,
                    seed=seed,
                    seconds=_SILENCE_SECONDS,
                    faults=False,
                )
                report = testing.run(run.run)
                self.assertEqual(report.violations, [])
                self.assertGreater(report.silenced, 0)

    # Without another fault, each crash is one of a prompt.
    def test_deadly_prompts_are_refused(self):
        run = faultsoak.SoakRun(
            reactor=testing.reactor,
            seed=1,
            seconds=_SECONDS,
            faults=False,
            notices=False,
            silences=False,
        )
        report = testing.run(run.run)
        self.assertEqual(report.violations, [])
        self.assertGreater(report.prompts["deadly: 503"], 0)
