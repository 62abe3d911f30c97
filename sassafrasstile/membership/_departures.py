"""Endpoints that have left, which a restored list may still hold."""

import logging

from sassafrasstile.membership import _base

_LOG = logging.getLogger("sassafrasstile.membership")
_MAX_DEPARTURES = 1000
# The store drops the entry of an endpoint that misses this many heartbeats. The
# margin covers endpoints that reach the store later than this gateway.
_EXPIRY_HEARTBEATS = 3
_EXPIRY_MARGIN_S = 1.4


class DepartureLog:
    """Withholds records of endpoints that had left before a restore.

    An instance that drains or was removed doesn't come back, so a record that
    says otherwise is from the copy. It counts only if the list still holds it
    when the entries of endpoints that aren't alive have expired.

    Args:
        heartbeat_s: Interval at which endpoints renew their entries, in
            seconds.
    """

    def __init__(self, *, heartbeat_s: float):
        self._window_s = _EXPIRY_HEARTBEATS * heartbeat_s + _EXPIRY_MARGIN_S
        self._departures: dict[str, _base.EndpointRecord] = {}
        self._withheld: dict[str, _base.EndpointRecord] = {}
        self._window_ends_at: float | None = None

    def add(self, record: _base.EndpointRecord) -> None:
        """Records that an instance drains or was removed."""
        self._departures.pop(record.endpoint_id, None)
        self._departures[record.endpoint_id] = record
        if len(self._departures) > _MAX_DEPARTURES:
            del self._departures[next(iter(self._departures))]

    def forget(self, endpoint_id: str) -> None:
        """Forgets what was known or withheld of an endpoint."""
        self._departures.pop(endpoint_id, None)
        self._withheld.pop(endpoint_id, None)

    def record_restore(self, now: float) -> None:
        """Records that the list was restored from a copy."""
        self._window_ends_at = now + self._window_s

    def try_withhold(self, record: _base.EndpointRecord) -> bool:
        """Withholds a record that may be from the copy.

        Returns:
            True if it was withheld; False if the caller should use it.
        """
        if self._window_ends_at is None or not self._has_left(record):
            return False
        self._withheld[record.endpoint_id] = record
        _LOG.info(
            "membership: restored record of endpoint %s isn't used yet. "
            "Reason: the endpoint had left.",
            record.endpoint_id,
            extra={
                "endpoint": record.endpoint_id,
                "started_ms": record.started_ms,
            },
        )
        return True

    def _has_left(self, record: _base.EndpointRecord) -> bool:
        left = self._departures.get(record.endpoint_id)
        if left is None or record.state is _base.EndpointState.DRAINING:
            return False
        is_same = left.incarnation == record.incarnation
        return is_same or record.started_ms < left.started_ms

    def drop_withheld(self, endpoint_id: str) -> None:
        """Drops a withheld record that the list no longer holds."""
        self._withheld.pop(endpoint_id, None)

    def tick(self, now: float) -> list[_base.EndpointRecord]:
        """Returns the withheld records that the list still holds, when due."""
        if self._window_ends_at is None or now < self._window_ends_at:
            return []
        self._window_ends_at = None
        withheld, self._withheld = self._withheld, {}
        return list(withheld.values())
