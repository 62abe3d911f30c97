"""A retry budget over a sliding window; it holds across all gateways."""

import collections
from collections.abc import Callable

# Share of the slack that is divided among the gateways. The rest covers those
# that have restarted, and so don't know what they spent before, and gateways
# that know of different numbers of each other.
_DIVIDED_SHARE = 0.5


def divide_slack(slack: float, gateways: int | None) -> float:
    """Returns the part of the slack that one gateway may spend.

    Args:
        slack: The slack of all gateways together.
        gateways: The number of gateways, or None while it isn't known.

    >>> divide_slack(58, 5)
    5.8
    >>> divide_slack(58, None)
    0.0
    """
    if gateways is None:
        return 0.0
    return _DIVIDED_SHARE * slack / max(1, gateways)


class WindowedRetryBudget:
    """Limits retries to a share of this gateway's own recent requests.

    Each gateway stays within the share of its own requests, so all gateways
    together stay within it without coordination.

    Args:
        ratio: Retries allowed per request.
        window_s: The length of the window in seconds.
        read_slack: Returns the retries allowed beyond that share in each
            window.

    >>> budget = WindowedRetryBudget(
    ...     ratio=0.5, window_s=10.0, read_slack=lambda: 0.0)
    >>> budget.record_request(0.0); budget.record_request(1.0)
    >>> budget.spend(1.0), budget.spend(2.0)
    (True, False)
    >>> budget.record_request(11.5); budget.record_request(11.6)
    >>> budget.spend(11.7)
    True
    """

    def __init__(
        self,
        *,
        ratio: float,
        window_s: float,
        read_slack: Callable[[], float],
    ):
        self.ratio = ratio
        self.window_s = window_s
        self._read_slack = read_slack
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
        if not self.can_spend(now):
            return False
        self._retries.append(now)
        return True

    def can_spend(self, now: float, count: int = 1) -> bool:
        """Returns whether the budget allows retries, and takes none.

        Args:
            now: The time in seconds.
            count: The number of retries.
        """
        self._drop_expired(now)
        allowed = self.ratio * len(self._requests) + self._read_slack()
        return len(self._retries) + count <= allowed

    def charge(self, now: float) -> None:
        """Takes one retry that has already happened, even beyond the budget."""
        self._retries.append(now)

    def _drop_expired(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self.window_s:
                times.popleft()
