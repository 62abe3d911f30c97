"""The software versions that a service's endpoints have had."""

from collections.abc import Collection
import dataclasses

from sassafrasstile import membership
from sassafrasstile.streams import _base

# Endpoints may serve on for about this long after their records are gone.
_SERVING_AFTER_REMOVAL_S = 30.0
# A caller may come back until its own deadline, which may be later than the
# timeout of one attempt.
_LIFETIME_TIMEOUTS = 2.0
# Departures are forgotten after this time. Nothing is said of streams that can
# live longer.
_DEPARTURE_RETENTION_S = 1200.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Departure:
    origin: _base.StreamOrigin
    left_at: float


class VersionHistory:
    """Tells whether only one version can have begun a stream.

    >>> history = VersionHistory()
    >>> history.record_loaded(now=0.0)
    >>> history.find_only({"s"}, timeout_s=10.0, now=100.0) is None
    True
    """

    def __init__(self):
        self._present: dict[str, _base.StreamOrigin] = {}
        self._departures: list[_Departure] = []
        self._complete_since: float | None = None
        self._loaded_at: float | None = None

    @property
    def loaded_at(self) -> float | None:
        """When the list was read anew, in seconds, or None before that."""
        return self._loaded_at

    def record_loaded(self, *, now: float) -> None:
        """Records that the list was read anew; what was before isn't known."""
        self._complete_since = now
        self._loaded_at = now

    def describe(self, *, now: float) -> _base.VersionMemory | None:
        """Returns all versions remembered, or None before the list was read.

        Args:
            now: The time in seconds.
        """
        if self._complete_since is None:
            return None
        ages = {item.origin: now - item.left_at for item in self._departures}
        ages.update(dict.fromkeys(self._present.values(), 0.0))
        return _base.VersionMemory(
            memory_s=now - self._complete_since,
            sightings=tuple(
                _base.VersionSighting(origin=origin, age_s=age_s)
                for origin, age_s in ages.items()
            ),
        )

    def learn(self, memory: _base.VersionMemory, *, now: float) -> None:
        """Adds what another gateway remembers from before the list was read.

        That gateway has read the list at least as far as it was when it was
        read here.

        Args:
            memory: What it remembers.
            now: The time in seconds.
        """
        if self._complete_since is None:
            return
        left_at = {item.origin: item.left_at for item in self._departures}
        for item in memory.sightings:
            latest = max(
                now - item.age_s, left_at.get(item.origin, float("-inf"))
            )
            self._record_departure(item.origin, latest, now)
        self._complete_since = min(self._complete_since, now - memory.memory_s)

    def update(
        self,
        endpoint_id: str,
        record: membership.EndpointRecord | None,
        *,
        now: float,
    ) -> None:
        """Records that an endpoint appears, changes or leaves.

        Args:
            endpoint_id: The endpoint's id.
            record: Its record, or None when it has left.
            now: The time in seconds.
        """
        former = self._present.pop(endpoint_id, None)
        if record is not None:
            self._present[endpoint_id] = _base.StreamOrigin(
                service=record.service,
                software_version=record.software_version,
            )
        if former is not None and former != self._present.get(endpoint_id):
            self._record_departure(former, now, now)

    def _record_departure(
        self, origin: _base.StreamOrigin, left_at: float, now: float
    ) -> None:
        """Keeps the latest departure of each version."""
        self._departures = [
            item
            for item in self._departures
            if item.origin != origin
            and now - item.left_at < _DEPARTURE_RETENTION_S
        ]
        self._departures.append(_Departure(origin=origin, left_at=left_at))

    def find_only(
        self, services: Collection[str], *, timeout_s: float, now: float
    ) -> _base.StreamOrigin | None:
        """Returns the only origin that a stream can have, if there is one.

        Args:
            services: The services that may have begun it.
            timeout_s: The longest timeout of a stream in seconds.
            now: The time in seconds.
        """
        lifetime_s = _LIFETIME_TIMEOUTS * timeout_s + _SERVING_AFTER_REMOVAL_S
        since = self._complete_since
        if since is None or now - since < lifetime_s:
            return None
        if lifetime_s > _DEPARTURE_RETENTION_S:
            return None
        candidates = {
            item for item in self._present.values() if item.service in services
        }
        candidates.update(
            item.origin
            for item in self._departures
            if item.origin.service in services
            and now - item.left_at < lifetime_s
        )
        return candidates.pop() if len(candidates) == 1 else None
