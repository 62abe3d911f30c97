"""The prompts of the streams that a gateway began."""

import collections
import dataclasses

from sassafrasstile.streams import _base

_MAX_PROMPTS = 10_000
# A further origin would say no more than that the prompt is ambiguous.
_MAX_ORIGINS = 2


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Begin:
    """The streams that began with a prompt.

    Attributes:
        origins: Their distinct origins.
        began_at: When the first of them began, in seconds.
        expires_at: When the last of their callers has given up, in seconds.
    """

    origins: tuple[_base.StreamOrigin, ...]
    began_at: float
    expires_at: float


class PromptRegistry:
    """Remembers where the streams of each prompt began, and since when.

    A prompt is remembered until its callers have given up. Where the bound on
    their number doesn't allow that, the memory is complete only from then on.

    >>> registry = PromptRegistry(now=0.0)
    >>> origin = _base.StreamOrigin(service="s", software_version="v1")
    >>> registry.record("k", origin, now=1.0, lifetime_s=5.0)
    >>> registry.find("k", now=3.0) == ((origin,), 2.0)
    True

    Args:
        now: The time in seconds.
    """

    def __init__(self, *, now: float):
        self._begins: collections.OrderedDict[str, _Begin] = (
            collections.OrderedDict()
        )
        self._complete_since = now

    def record(
        self,
        key: str,
        origin: _base.StreamOrigin,
        *,
        now: float,
        lifetime_s: float,
    ) -> None:
        """Records that a stream begins.

        Args:
            key: The prompt's key.
            origin: The stream's origin.
            now: The time in seconds.
            lifetime_s: Seconds for which the stream may be resumed.
        """
        self._forget_expired(now)
        known = self._begins.pop(key, None)
        if known is None or known.expires_at <= now:
            known = _Begin(origins=(), began_at=now, expires_at=now)
        origins = known.origins
        if origin not in origins:
            origins = (*origins, origin)[:_MAX_ORIGINS]
        self._begins[key] = _Begin(
            origins=origins,
            began_at=known.began_at,
            expires_at=max(known.expires_at, now + lifetime_s),
        )
        while len(self._begins) > _MAX_PROMPTS:
            self._begins.popitem(last=False)
            self._complete_since = now

    def find(
        self, key: str, *, now: float
    ) -> tuple[tuple[_base.StreamOrigin, ...], float]:
        """Returns the distinct origins, and the age of the first in seconds."""
        begin = self._begins.get(key)
        if begin is None or begin.expires_at <= now:
            return (), 0.0
        return begin.origins, now - begin.began_at

    def measure_memory_s(self, now: float) -> float:
        """Returns how far back every stream is remembered, in seconds."""
        return now - self._complete_since

    def _forget_expired(self, now: float) -> None:
        """Forgets the oldest prompts that have expired."""
        while self._begins:
            key = next(iter(self._begins))
            if self._begins[key].expires_at > now:
                return
            del self._begins[key]
