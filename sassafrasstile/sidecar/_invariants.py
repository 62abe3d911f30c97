"""Invariants of the sidecar kernels, checked on every tick."""

from sassafrasstile import errors
from sassafrasstile.sidecar import _holds
from sassafrasstile.sidecar import _leases


def check_holds(
    table: _holds.HoldTable,
    leases: _leases.LeaseTable,
    *,
    now: float,
    name: str,
) -> None:
    """Checks the holds of an engine.

    Args:
        table: The holds.
        leases: The gateways' leases.
        now: Kernel time in seconds.
        name: The endpoint's name, for the message.

    Raises:
        errors.InvariantError: `memory_within_limit` when more slots or
            memory are held than the engine has; `hold_under_lease` when
            engine memory is held without a lease.
    """
    if table.count_slots() > table.slots:
        raise errors.InvariantError(
            name="memory_within_limit",
            detail=f"{name} holds {table.count_slots()} of {table.slots} slots",
        )
    if table.count_pieces() > table.pieces:
        raise errors.InvariantError(
            name="memory_within_limit",
            detail=(
                f"{name} holds {table.count_pieces()} of {table.pieces} pieces"
            ),
        )
    for hold in table.holds.values():
        _check_lease(hold, leases, now=now, name=name)


def _check_lease(
    hold: _holds.Hold, leases: _leases.LeaseTable, *, now: float, name: str
) -> None:
    if hold.phase in (_holds.Phase.RELEASING, _holds.Phase.FINISHED):
        return
    if leases.has_expired(
        gateway=hold.attempt_id.gateway,
        incarnation=hold.attempt_id.incarnation,
        now=now,
    ):
        raise errors.InvariantError(
            name="hold_under_lease",
            detail=f"{name} holds {hold.work_id} without a lease",
        )
