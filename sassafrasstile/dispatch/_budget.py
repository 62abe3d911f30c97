"""A retry budget over a sliding window; it holds across all gateways."""

import collections


class WindowedRetryBudget:
    """Limits retries to a share of this gateway's own recent requests.

    Each gateway stays within the share of its own requests, so all gateways
    together stay within it without coordination.

    Args:
        ratio: Retries allowed per request.
        slack: Retries allowed beyond that share in each window.
        window_s: The length of the window in seconds.

    >>> budget = WindowedRetryBudget(ratio=0.5, slack=0, window_s=10.0)
    >>> budget.record_request(0.0); budget.record_request(1.0)
    >>> budget.spend(1.0), budget.spend(2.0)
    (True, False)
    >>> budget.record_request(11.5); budget.record_request(11.6)
    >>> budget.spend(11.7)
    True
    """

    def __init__(self, *, ratio: float, slack: int, window_s: float):
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def record_request(self, now: float) -> None:
        """Records a caller's request."""
        self._requests.append(now)
        self._drop_expired(now)

    def spend(self, now: float) -> bool:
        """Takes one retry from the budget.

        Returns:
            False when the budget is exhausted; then nothing is taken.
        """
        self._drop_expired(now)
        allowed = self.ratio * len(self._requests) + self.slack
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now)
        return True

    def _drop_expired(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self.window_s:
                times.popleft()
