"""Estimates when a batch was sent, on this process's clock."""


class DelayEstimator:
    """Estimates the offset of two clocks from the fastest batches.

    The smallest difference between arrival and sending time over the last
    two windows is taken as a delay of zero. Windows are short, so that the
    drift between the clocks is negligible.

    Args:
        window_s: Length of a window in seconds.

    >>> estimator = DelayEstimator(window_s=30.0)
    >>> estimator.estimate_sent(sent_at=100.0, now=5.0)
    5.0
    >>> estimator.estimate_sent(sent_at=101.0, now=7.5)
    6.0
    """

    def __init__(self, *, window_s: float):
        self.window_s = window_s
        self._window_ends_at = 0.0
        self._current: float | None = None
        self._previous: float | None = None

    def estimate_sent(self, *, sent_at: float, now: float) -> float:
        """Returns the latest time at which a batch may have been sent.

        Args:
            sent_at: The sender's clock at sending.
            now: This process's clock on arrival.

        Returns:
            A time on this process's clock, not after `now`.
        """
        difference = now - sent_at
        if self._current is None or now >= self._window_ends_at:
            self._previous = self._current
            self._current = difference
            self._window_ends_at = now + self.window_s
        self._current = min(self._current, difference)
        smallest = self._current
        if self._previous is not None:
            smallest = min(smallest, self._previous)
        return sent_at + smallest
