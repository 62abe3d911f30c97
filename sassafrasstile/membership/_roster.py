"""The endpoints that the platform's list shows, with outages bridged."""

from collections.abc import Callable
import dataclasses
import logging

from sassafrasstile.membership import _base

_LOG = logging.getLogger("sassafrasstile.membership")

# Entries that lapsed during an outage of the list return within this time.
RETURN_GRACE_S = 2.0
# Lapses are seen as soon as the list is back; a removal later than this
# after an outage is one.
LAPSE_WINDOW_S = 1.0


@dataclasses.dataclass(kw_only=True)
class _Entry:
    record: _base.EndpointRecord
    missing_until: float | None = None


class Roster:
    """Keeps the last known endpoints.

    The list may be unreachable for long, and entries may lapse meanwhile.
    What was known stays in use; what is still missing some time after the
    list is back is gone.

    Args:
        on_change: Called with an endpoint's record when it appears or
            changes, and with its id and None when it is gone.
    """

    def __init__(
        self,
        *,
        on_change: Callable[[str, _base.EndpointRecord | None], None],
    ):
        self._on_change = on_change
        self._entries: dict[str, _Entry] = {}
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
        """Notes what an endpoint announced."""
        entry = self._entries.get(record.endpoint_id)
        if entry is not None:
            if record.started_ms < entry.record.started_ms:
                return
            entry.missing_until = None
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
            },
        )
        self._on_change(record.endpoint_id, record)

    def remove(self, endpoint_id: str, now: float) -> None:
        """Notes that the list has lost an entry."""
        entry = self._entries.get(endpoint_id)
        if entry is None:
            return
        if self._may_be_lapse(entry, now):
            if entry.missing_until is None:
                entry.missing_until = now + RETURN_GRACE_S
            return
        self._drop(endpoint_id, reason="removed")

    def mark_loaded(self) -> None:
        """Notes that the whole list has been read."""
        self.is_loaded = True

    def record_outage(self) -> None:
        """Notes that the list can't be reached."""
        self._in_outage = True

    def record_contact(self, now: float) -> None:
        """Notes that the list answers."""
        if self._in_outage:
            self._in_outage = False
            self._outage_ended_at = now
            for entry in self._entries.values():
                if entry.missing_until is not None:
                    entry.missing_until = now + RETURN_GRACE_S

    def tick(self, now: float) -> None:
        """Drops what is still missing after the grace time."""
        if self._in_outage:
            return
        for endpoint_id, entry in list(self._entries.items()):
            until = entry.missing_until
            if until is not None and now >= until:
                self._drop(endpoint_id, reason="missing after an outage")

    def _may_be_lapse(self, entry: _Entry, now: float) -> bool:
        if entry.record.state is _base.EndpointState.DRAINING:
            return False
        if self._in_outage:
            return True
        ended_at = self._outage_ended_at
        return ended_at is not None and now - ended_at <= LAPSE_WINDOW_S

    def _drop(self, endpoint_id: str, *, reason: str) -> None:
        del self._entries[endpoint_id]
        _LOG.info(
            "membership: endpoint %s is gone. Reason: %s.",
            endpoint_id,
            reason,
            extra={"endpoint": endpoint_id, "reason": reason},
        )
        self._on_change(endpoint_id, None)
