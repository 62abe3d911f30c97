"""Output lengths, learnt from finished generations."""

# Weight of the newest length in the mean.
_NEWEST_SHARE = 0.05
# Before any generation has ended: callers declare far more than they use.
_FIRST_SHARE = 0.5


class OutputLengthEstimator:
    """Expects the mean of recent output lengths, a service each.

    Callers declare the longest output that they would take. To reserve that
    would leave much of the engines' memory unused.

    >>> lengths = OutputLengthEstimator()
    >>> lengths.estimate("writer", declared_tokens=1000)
    500
    >>> for _ in range(200):
    ...     lengths.record("writer", tokens=300, declared_tokens=1000)
    >>> lengths.estimate("writer", declared_tokens=1000)
    300
    >>> lengths.estimate("writer", declared_tokens=200)
    200
    """

    def __init__(self):
        self._means: dict[str, float] = {}

    def record(
        self, service: str, *, tokens: int, declared_tokens: int
    ) -> None:
        """Notes the length of a finished output."""
        mean = self._means.get(service, _FIRST_SHARE * declared_tokens)
        self._means[service] = mean + _NEWEST_SHARE * (tokens - mean)

    def estimate(self, service: str, *, declared_tokens: int) -> int:
        """Returns the length to reserve for.

        Args:
            service: The service.
            declared_tokens: The longest output that the caller would take.
        """
        mean = self._means.get(service, _FIRST_SHARE * declared_tokens)
        return min(declared_tokens, round(mean))
