"""The endpoints of the platform's list, kept through its outages."""

from collections.abc import Callable
import dataclasses
import logging

from sassafrasstile.membership import _base
from sassafrasstile.membership import _departures

_LOG = logging.getLogger("sassafrasstile.membership")

# Entries that expired during an outage of the list reappear within this time
# after its end.
RETURN_GRACE_S = 2.0
# Expired entries are reported as soon as the list is back. A removal later
# than this after an outage is a real one.
EXPIRY_WINDOW_S = 1.0


@dataclasses.dataclass(kw_only=True)
class _Entry:
    record: _base.EndpointRecord
    missing_until: float | None = None


class Roster:
    """Keeps the last known endpoints.

    The list may be unreachable for a long time, and its entries may expire
    meanwhile. The known endpoints stay in use; those that are still missing
    some time after the list is back are dropped. The same holds when the list
    was restored from a copy that lacks some of them. Meanwhile they are
    missing: they may have left.

    Args:
        on_change: Called with an endpoint's id, and with its record when it
            appears or changes or None when it is dropped.
        on_missing: Called with an endpoint's id, and with True when it begins
            to be missing or False when its entry is back.
        heartbeat_s: Interval at which endpoints renew their entries, in
            seconds.
    """

    def __init__(
        self,
        *,
        on_change: Callable[[str, _base.EndpointRecord | None], None],
        on_missing: Callable[[str, bool], None] = lambda _id, _missing: None,
        heartbeat_s: float,
    ):
        self._on_change = on_change
        self._on_missing = on_missing
        self._entries: dict[str, _Entry] = {}
        self._departures = _departures.DepartureLog(heartbeat_s=heartbeat_s)
        self._outage_ended_at: float | None = None
        self._in_outage = False
        self.is_loaded = False

    def get(self, endpoint_id: str) -> _base.EndpointRecord | None:
        """Returns a known endpoint's record, or None."""
        entry = self._entries.get(endpoint_id)
        return None if entry is None else entry.record

    def __len__(self) -> int:
        return len(self._entries)

    def apply(self, record: _base.EndpointRecord) -> None:
        """Updates an endpoint's record unless a newer one is known."""
        entry = self._entries.get(record.endpoint_id)
        is_older = (
            entry is not None and record.started_ms < entry.record.started_ms
        )
        if is_older or self._departures.try_withhold(record):
            return
        if record.state is _base.EndpointState.DRAINING:
            self._departures.add(record)
        else:
            self._departures.forget(record.endpoint_id)
        if entry is not None:
            self._mark_returned(entry)
            if entry.record == record:
                return
        self._entries[record.endpoint_id] = _Entry(record=record)
        _LOG.info(
            "membership: endpoint %s is %s.",
            record.endpoint_id,
            record.state.value,
            extra={
                "endpoint": record.endpoint_id,
                "started_ms": record.started_ms,
                "address": f"{record.host}:{record.port}",
                "service": record.service,
                "role": record.role.value,
                "zone": record.zone,
                "software_version": record.software_version,
            },
        )
        self._on_change(record.endpoint_id, record)

    def remove(self, endpoint_id: str, now: float) -> None:
        """Handles the removal of an entry from the list.

        Args:
            endpoint_id: The endpoint's id.
            now: The time in seconds.
        """
        self._departures.drop_withheld(endpoint_id)
        entry = self._entries.get(endpoint_id)
        if entry is None:
            return
        if self._may_have_expired(entry, now):
            if entry.missing_until is None:
                self._mark_missing(entry, now)
            return
        self._drop(endpoint_id, reason="removed")

    def _mark_missing(self, entry: _Entry, now: float) -> None:
        """Keeps an endpoint whose entry may have expired in an outage."""
        ended_at = now if self._in_outage else self._outage_ended_at
        entry.missing_until = ended_at + RETURN_GRACE_S
        endpoint_id = entry.record.endpoint_id
        _LOG.info(
            "membership: endpoint %s is missing after an outage.",
            endpoint_id,
            extra={
                "endpoint": endpoint_id,
                "outage_ended_s_ago": round(now - ended_at, 3),
                "dropped_in_s": round(entry.missing_until - now, 3),
            },
        )
        self._on_missing(endpoint_id, True)

    def _mark_returned(self, entry: _Entry) -> None:
        if entry.missing_until is None:
            return
        entry.missing_until = None
        endpoint_id = entry.record.endpoint_id
        _LOG.info(
            "membership: endpoint %s is back after an outage.",
            endpoint_id,
            extra={"endpoint": endpoint_id},
        )
        self._on_missing(endpoint_id, False)

    def mark_loaded(self) -> None:
        """Marks the list as completely read."""
        self.is_loaded = True

    def record_outage(self) -> None:
        """Records that the list is unreachable."""
        self._in_outage = True

    def record_restore(self, now: float) -> None:
        """Records that the list was restored from a copy.

        Endpoints that the copy lacks are kept as after an outage. Those that
        had left don't come back with the copy.
        """
        self.record_outage()
        self._departures.record_restore(now)

    def record_contact(self, now: float) -> None:
        """Records that the list responds, which ends an outage."""
        if self._in_outage:
            self._in_outage = False
            self._outage_ended_at = now
            for entry in self._entries.values():
                if entry.missing_until is not None:
                    entry.missing_until = now + RETURN_GRACE_S

    def tick(self, now: float) -> None:
        """Drops endpoints that are still missing after the grace period."""
        for record in self._departures.tick(now):
            self.apply(record)
        if self._in_outage:
            return
        for endpoint_id, entry in list(self._entries.items()):
            until = entry.missing_until
            if until is not None and now >= until:
                self._drop(endpoint_id, reason="missing after an outage")

    def _may_have_expired(self, entry: _Entry, now: float) -> bool:
        if entry.record.state is _base.EndpointState.DRAINING:
            return False
        if self._in_outage:
            return True
        ended_at = self._outage_ended_at
        return ended_at is not None and now - ended_at <= EXPIRY_WINDOW_S

    def _drop(self, endpoint_id: str, *, reason: str) -> None:
        entry = self._entries.pop(endpoint_id)
        self._departures.add(entry.record)
        _LOG.info(
            "membership: endpoint %s was dropped. Reason: %s.",
            endpoint_id,
            reason,
            extra={"endpoint": endpoint_id, "reason": reason},
        )
        self._on_change(endpoint_id, None)
