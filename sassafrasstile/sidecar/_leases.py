"""Leases of gateways on their holds at a sidecar."""

import collections
import dataclasses

from sassafrasstile.sidecar import _delays

_DELAY_WINDOW_S = 30.0
_IDLE_RETENTION_S = 60.0
_MAX_REPLACED_INCARNATIONS = 256


@dataclasses.dataclass(kw_only=True)
class Lease:
    """One gateway's lease.

    Attributes:
        incarnation: The gateway's incarnation.
        expires_at: Kernel time in seconds.
        delay_estimator: Estimates when the gateway's batches were sent.
        issued_below: The highest attempt bound seen in a renewal.
        live: The live attempts listed in that renewal.
    """

    incarnation: str
    expires_at: float
    delay_estimator: _delays.DelayEstimator
    issued_below: int = 0
    live: frozenset[int] = frozenset()


class LeaseTable:
    """All leases at one sidecar, by gateway.

    Args:
        lease_s: Seconds from the sending of the last batch until a lease
            expires.
    """

    def __init__(self, *, lease_s: float):
        self.lease_s = lease_s
        self._leases: dict[str, Lease] = {}
        self._replaced_incarnations: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def is_current(self, *, gateway: str, incarnation: str) -> bool:
        """Returns whether an incarnation isn't known to be replaced."""
        return incarnation not in self._replaced_incarnations

    def touch(
        self, *, gateway: str, incarnation: str, sent_at: float, now: float
    ) -> bool:
        """Extends a gateway's lease after receiving a batch.

        A lease runs from the sending of the batch: a delayed batch must not
        prolong holds that its gateway no longer tracks.

        Args:
            gateway: The gateway's name.
            incarnation: Its incarnation.
            sent_at: The gateway's clock at sending.
            now: Kernel time in seconds.

        Returns:
            True when this incarnation has just replaced another one.
        """
        previous = self._leases.get(gateway)
        lease = previous
        if lease is None or lease.incarnation != incarnation:
            lease = Lease(
                incarnation=incarnation,
                expires_at=0.0,
                delay_estimator=_delays.DelayEstimator(
                    window_s=_DELAY_WINDOW_S
                ),
            )
            self._leases[gateway] = lease
        sent_at_local = lease.delay_estimator.estimate_sent(
            sent_at=sent_at, now=now
        )
        lease.expires_at = max(lease.expires_at, sent_at_local + self.lease_s)
        if previous is None or previous is lease:
            return False
        self._record_replaced(previous.incarnation)
        return True

    def _record_replaced(self, incarnation: str) -> None:
        self._replaced_incarnations[incarnation] = None
        if len(self._replaced_incarnations) > _MAX_REPLACED_INCARNATIONS:
            self._replaced_incarnations.popitem(last=False)

    def renew(
        self, *, gateway: str, issued_below: int, live: tuple[int, ...]
    ) -> bool:
        """Records which attempts a gateway still wants.

        Returns:
            False when a later renewal has already been received.
        """
        lease = self._leases[gateway]
        if issued_below < lease.issued_below:
            return False
        lease.issued_below = issued_below
        lease.live = frozenset(live)
        return True

    def is_abandoned(self, *, gateway: str, attempt: int) -> bool:
        """Returns whether a renewal has already omitted an attempt."""
        lease = self._leases.get(gateway)
        if lease is None:
            return False
        return attempt < lease.issued_below and attempt not in lease.live

    def has_expired(
        self, *, gateway: str, incarnation: str, now: float
    ) -> bool:
        """Returns whether the holds of an incarnation must be released."""
        lease = self._leases.get(gateway)
        if lease is None or lease.incarnation != incarnation:
            return True
        return now >= lease.expires_at

    def extend_all(self, *, now: float) -> None:
        """Restarts every lease after this process was suspended.

        Renewals that arrived meanwhile are still unread, so silence during
        the suspension proves nothing about a gateway.
        """
        for lease in self._leases.values():
            lease.expires_at = max(lease.expires_at, now + self.lease_s)

    def remove_idle(self, *, now: float, holders: set[str]) -> None:
        """Removes expired leases of gateways without holds.

        Args:
            now: Kernel time in seconds.
            holders: Names of the gateways that still have holds.
        """
        idle = [
            name
            for name, lease in self._leases.items()
            if now >= lease.expires_at + _IDLE_RETENTION_S
            and name not in holders
        ]
        for name in idle:
            del self._leases[name]
