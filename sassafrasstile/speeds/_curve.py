"""The duration of work at a typical endpoint of a service."""

import dataclasses

# Weight of all former observations after each new one.
_MEMORY = 0.98
# The assumption counts as much as this many observations at each of two
# amounts of work.
_ASSUMED_WEIGHT = 1.0
# One observation counts as at most this many times what was expected, and at
# least as that part of it.
_MAX_DEVIATION = 4.0
_MIN_SECONDS = 1e-6


@dataclasses.dataclass(frozen=True, kw_only=True)
class Assumption:
    """What is assumed before anything is observed.

    Attributes:
        offset_s: Duration without any work, in seconds.
        slope_s: Seconds that each unit of work adds.
        usual_work: A usual amount of work.
    """

    offset_s: float
    slope_s: float
    usual_work: float


class Curve:
    """A line through the observed durations by amount of work.

    Errors count in proportion to the duration. So the line holds for little
    work as well as for much, and long prompts don't look like slow engines.

    Args:
        assumption: What is assumed before anything is observed.

    >>> curve = Curve(assumption=Assumption(
    ...     offset_s=0.0, slope_s=0.02, usual_work=5.0))
    >>> curve.estimate_s(10.0)
    0.2
    >>> for _ in range(50):
    ...     curve.add(2.0, 0.03)
    ...     curve.add(12.0, 0.13)
    >>> round(curve.estimate_s(7.0), 2)
    0.08
    """

    def __init__(self, *, assumption: Assumption):
        self._sums = [0.0] * 5
        self._assumed = [0.0] * 5
        for work in (0.0, assumption.usual_work):
            seconds = assumption.offset_s + assumption.slope_s * work
            # The offset may be zero; the error still counts in proportion to a
            # usual duration.
            scale = assumption.offset_s + assumption.slope_s * (
                assumption.usual_work
            )
            _add(self._assumed, work, seconds, _ASSUMED_WEIGHT / scale**2)
        self.offset_s = assumption.offset_s
        self.slope_s = assumption.slope_s

    def estimate_s(self, work: float) -> float:
        """Returns the expected duration in seconds."""
        return max(_MIN_SECONDS, self.offset_s + self.slope_s * work)

    def add(self, work: float, seconds: float) -> None:
        """Adds an observation."""
        expected_s = self.estimate_s(work)
        seconds = min(
            _MAX_DEVIATION * expected_s,
            max(expected_s / _MAX_DEVIATION, seconds),
        )
        self._sums = [_MEMORY * item for item in self._sums]
        _add(self._sums, work, seconds, 1.0 / expected_s**2)
        self._solve()

    def _solve(self) -> None:
        """Fits the line; neither its offset nor its slope is negative."""
        n, x, y, xx, xy = (
            own + assumed
            for own, assumed in zip(self._sums, self._assumed, strict=True)
        )
        spread = n * xx - x * x
        slope_s = (n * xy - x * y) / spread if spread > 0 else 0.0
        if slope_s < 0:
            self.offset_s, self.slope_s = y / n, 0.0
            return
        offset_s = (y - slope_s * x) / n
        if offset_s < 0:
            offset_s, slope_s = 0.0, xy / xx
        self.offset_s, self.slope_s = offset_s, slope_s


def _add(sums: list[float], work: float, seconds: float, weight: float) -> None:
    terms = (1.0, work, seconds, work * work, work * seconds)
    for index, term in enumerate(terms):
        sums[index] += weight * term
