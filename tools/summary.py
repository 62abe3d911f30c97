"""A nose2 plug-in that ends the output with one plain line of counts."""

import sys

import nose2.events


class SummaryPlugin(nose2.events.Plugin):
    """Prints `N passed, N failed, N skipped`."""

    configSection = "summary"  # noqa: N815

    def __init__(self):
        self._counts = {"passed": 0, "failed": 0, "skipped": 0}

    def testOutcome(self, event):  # noqa: N802
        """Counts a test."""
        outcome = event.outcome
        if outcome == "subtest" and event.exc_info is None:
            return
        if outcome == "skipped":
            self._counts["skipped"] += 1
        elif event.expected:
            self._counts["passed"] += 1
        else:
            self._counts["failed"] += 1

    def afterSummaryReport(self, event):  # noqa: N802
        """Prints the line."""
        line = ", ".join(
            f"{count} {name}" for name, count in self._counts.items()
        )
        print(line, file=sys.stderr)
