"""The stream origins that a gateway knows."""

import collections
import dataclasses

from sassafrasstile.streams import _base

_MAX_STREAMS = 10_000
# No stream is remembered for longer, whatever a caller or a peer says.
_MAX_LIFETIME_S = 600.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Entry:
    origin: _base.StreamOrigin
    expires_at: float


class OriginRegistry:
    """Remembers the origins of streams for as long as they may be resumed.

    The number of streams is bounded; the oldest are forgotten first.

    >>> registry = OriginRegistry()
    >>> origin = _base.StreamOrigin(service="s", software_version="v1")
    >>> registry.record("k", origin, now=0.0, lifetime_s=5.0)
    >>> registry.find("k", now=4.0) == origin, registry.find("k", now=5.0)
    (True, None)
    """

    def __init__(self):
        self._entries: collections.OrderedDict[str, _Entry] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._entries)

    def record(
        self,
        key: str,
        origin: _base.StreamOrigin,
        *,
        now: float,
        lifetime_s: float,
    ) -> None:
        """Records an origin, unless another one is known for the stream.

        Args:
            key: The stream's key.
            origin: Its origin.
            now: The time in seconds.
            lifetime_s: Seconds for which the stream may be resumed.
        """
        self._forget_expired(now)
        lifetime_s = min(lifetime_s, _MAX_LIFETIME_S)
        known = self._entries.get(key)
        if known is not None and known.expires_at > now:
            # What began first holds, also if a caller uses an id twice.
            origin = known.origin
            lifetime_s = max(lifetime_s, known.expires_at - now)
        self._entries[key] = _Entry(origin=origin, expires_at=now + lifetime_s)
        self._entries.move_to_end(key)
        while len(self._entries) > _MAX_STREAMS:
            self._entries.popitem(last=False)

    def find(self, key: str, *, now: float) -> _base.StreamOrigin | None:
        """Returns the origin of a stream, or None if it isn't known."""
        entry = self._entries.get(key)
        if entry is None or now >= entry.expires_at:
            return None
        return entry.origin

    def list_keys(self) -> list[str]:
        """Returns the keys of all streams, the one recorded last first."""
        return list(reversed(self._entries))

    def describe(
        self, key: str, *, now: float
    ) -> _base.OriginAnnouncement | None:
        """Returns what another gateway has to know of a stream, if anything."""
        entry = self._entries.get(key)
        if entry is None or now >= entry.expires_at:
            return None
        return _base.OriginAnnouncement(
            key=key, origin=entry.origin, lifetime_s=entry.expires_at - now
        )

    def _forget_expired(self, now: float) -> None:
        """Forgets the oldest streams that have expired."""
        while self._entries:
            key = next(iter(self._entries))
            if self._entries[key].expires_at > now:
                return
            del self._entries[key]
