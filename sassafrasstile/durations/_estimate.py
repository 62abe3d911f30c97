"""Estimates how long requests take, from the slowest recent ones."""

import collections
import dataclasses

# Requests of a kind from which the next one's duration is estimated.
_RECENT_REQUESTS = 64


@dataclasses.dataclass(frozen=True, kw_only=True)
class Duration:
    """How long one request took.

    Attributes:
        first_s: Seconds until its first token, or until its whole answer.
        per_token_s: Seconds for each further token, or None if it had none.
    """

    first_s: float
    per_token_s: float | None = None


class DurationEstimate:
    """Estimates durations by the model or service of a request."""

    def __init__(self):
        self._recent: dict[str, collections.deque[Duration]] = {}

    def record(self, name: str, duration: Duration) -> None:
        """Records how long a request took.

        Args:
            name: The model or service.
            duration: How long it took.
        """
        recent = self._recent.setdefault(
            name, collections.deque(maxlen=_RECENT_REQUESTS)
        )
        recent.append(duration)

    def estimate_s(self, name: str, *, tokens: int, limit_s: float) -> float:
        """Returns the seconds after which a request will have ended.

        Args:
            name: The model or service.
            tokens: The maximum number of tokens of the answer.
            limit_s: Seconds after which the request times out. Without any
                measurement it may take as long.
        """
        recent = self._recent.get(name)
        if not recent:
            return limit_s
        first_s = max(item.first_s for item in recent)
        paces = [
            item.per_token_s for item in recent if item.per_token_s is not None
        ]
        if tokens and not paces:
            return limit_s
        return min(limit_s, first_s + tokens * max(paces, default=0.0))
