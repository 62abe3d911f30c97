"""A rate limit that allows bursts."""

import dataclasses


@dataclasses.dataclass(kw_only=True)
class TokenBucket:
    """Limits messages to a rate; each costs one token.

    The burst size is one second's worth, or the largest number wanted at once.

    Attributes:
        rate_per_s: Messages allowed per second.

    >>> bucket = TokenBucket(rate_per_s=10.0)
    >>> bucket.take(8, 0.0), bucket.take(8, 0.1), bucket.take(8, 1.0)
    (True, False, True)
    """

    rate_per_s: float
    _tokens: float = 0.0
    _refilled_at: float = float("-inf")

    def take(self, count: int, now: float) -> bool:
        """Takes tokens for messages that are sent together.

        Args:
            count: The number of messages.
            now: The time in seconds.

        Returns:
            False when the rate doesn't allow them; then nothing is taken.
        """
        size = max(self.rate_per_s, count)
        refill = (now - self._refilled_at) * self.rate_per_s
        self._tokens = min(size, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < count:
            return False
        self._tokens -= count
        return True
