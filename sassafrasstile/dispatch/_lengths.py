"""Estimates output lengths from finished generations."""

# Weight of the newest length in the moving average.
_LENGTH_WEIGHT = 0.05
# Initial estimate as a share of the declared length, which is usually far
# more than the caller uses.
_INITIAL_SHARE = 0.5


class OutputLengthEstimator:
    """Keeps a moving average of output lengths for each service.

    Callers declare the maximum output length that they accept. Reserving
    that maximum would leave much of the engines' KV cache unused.

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
        """Records the length of a finished output."""
        mean = self._means.get(service, _INITIAL_SHARE * declared_tokens)
        self._means[service] = mean + _LENGTH_WEIGHT * (tokens - mean)

    def estimate(self, service: str, *, declared_tokens: int) -> int:
        """Returns the length to reserve for.

        Args:
            service: The service.
            declared_tokens: The maximum output length that the caller
                accepts.
        """
        mean = self._means.get(service, _INITIAL_SHARE * declared_tokens)
        return min(declared_tokens, round(mean))
