"""Grants memory to waiting holds and releases it when they end."""

import logging

from sassafrasstile import errors
from sassafrasstile import verdicts
from sassafrasstile.sidecar import _base
from sassafrasstile.sidecar import _holds
from sassafrasstile.sidecar import _leases
from sassafrasstile.sidecar import _replies

_LOG = logging.getLogger("sassafrasstile.sidecar")
_CANCEL_RETRY_S = 1.0

Phase = _holds.Phase


class HoldManager:
    """Grants engine memory to holds and releases it.

    Args:
        table: The holds.
        leases: The gateways' leases.
        replies: Collects the messages to gateways and the engine.
    """

    def __init__(
        self,
        *,
        table: _holds.HoldTable,
        leases: _leases.LeaseTable,
        replies: _replies.Replies,
    ):
        self._table = table
        self._leases = leases
        self._replies = replies

    def grant(self, hold: _holds.Hold) -> None:
        """Grants a hold its memory."""
        hold.phase = Phase.RESERVED
        hold.phase_deadline = None
        _LOG.info(
            "sidecar %s: request %s: reserved %d pieces. Free slots: %d.",
            self._replies.name,
            hold.request_id,
            hold.pieces,
            self._table.slots - self._table.count_slots(),
        )
        self._replies.send_reserved(hold)

    def grant_waiting(self, now: float) -> None:
        """Grants memory to waiting holds until one doesn't fit."""
        for hold in self._table.list_waiting():
            if not self._table.fits(hold.pieces):
                return
            self.grant(hold)

    def expire(self, hold: _holds.Hold, now: float) -> None:
        """Ends a hold whose phase or lease has expired."""
        is_over = hold.phase_deadline is not None and now >= hold.phase_deadline
        match hold.phase:
            case Phase.FINISHED:
                if is_over:
                    self._table.remove(hold.work_id)
                return
            case Phase.RELEASING:
                if is_over:
                    self._cancel_work(hold, now)
                return
            case Phase.WAITING if is_over:
                self.refuse(hold, errors.Code.NO_CAPACITY)
                return
            case Phase.PREFILLED if is_over:
                self.release(hold, now, "the prefill result was not fetched")
                return
        if self._leases.has_expired(
            gateway=hold.attempt_id.gateway,
            incarnation=hold.attempt_id.incarnation,
            now=now,
        ):
            self.abandon(hold, now, "its lease expired")

    def abandon(self, hold: _holds.Hold, now: float, reason: str) -> None:
        """Fails and releases a hold whose gateway restarted or is silent."""
        if hold.phase is not Phase.RELEASING:
            self._replies.fail_hold(
                hold,
                verdict=verdicts.VerdictName.MAY_HAVE_RUN,
                code=errors.Code.LEASE_LAPSED,
            )
        self.release(hold, now, reason)

    def release(self, hold: _holds.Hold, now: float, reason: str) -> None:
        """Releases a hold, cancelling its work on the engine if any."""
        self._replies.record_ended(hold.attempt_id)
        if hold.phase is Phase.RELEASING:
            return
        _LOG.info(
            "sidecar %s: request %s: hold released. Reason: %s.",
            self._replies.name,
            hold.request_id,
            reason,
        )
        if hold.phase in _holds.ENGINE_PHASES:
            self._cancel_work(hold, now)
            return
        self.remove(hold, now)

    def _cancel_work(self, hold: _holds.Hold, now: float) -> None:
        hold.phase = Phase.RELEASING
        hold.phase_deadline = now + _CANCEL_RETRY_S
        self._replies.add(_base.CancelWork(work_id=hold.work_id))

    def remove(self, hold: _holds.Hold, now: float) -> None:
        """Removes a hold whose memory is free and grants waiting ones."""
        self._replies.record_ended(hold.attempt_id)
        self._table.remove(hold.work_id)
        self.grant_waiting(now)

    def refuse(self, hold: _holds.Hold, code: errors.Code) -> None:
        """Refuses a waiting hold."""
        self._replies.fail_hold(
            hold, verdict=verdicts.VerdictName.NOT_RUN, code=code
        )
        self._replies.record_ended(hold.attempt_id)
        self._table.remove(hold.work_id)
