"""Leases of gateways on what they hold at a sidecar."""

import collections
import dataclasses


@dataclasses.dataclass(kw_only=True)
class Lease:
    """One gateway's lease.

    Attributes:
        incarnation: The gateway's incarnation.
        expires_at: Kernel time in seconds.
        issued_below: The highest attempt bound seen in a renewal.
        live: The attempts listed in that renewal.
    """

    incarnation: str
    expires_at: float
    issued_below: int = 0
    live: frozenset[int] = frozenset()


class LeaseTable:
    """All leases at one sidecar, by gateway.

    Args:
        lease_s: Seconds from the last sign of life until a lease lapses.
    """

    def __init__(self, *, lease_s: float):
        self.lease_s = lease_s
        self._leases: dict[str, Lease] = {}
        self._dead_incarnations: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def is_current(self, *, gateway: str, incarnation: str) -> bool:
        """Says whether an incarnation isn't known to be replaced."""
        return incarnation not in self._dead_incarnations

    def touch(self, *, gateway: str, incarnation: str, now: float) -> bool:
        """Notes a sign of life of a gateway.

        Args:
            gateway: The gateway's name.
            incarnation: Its incarnation.
            now: Kernel time in seconds.

        Returns:
            True when this incarnation has just replaced another one.
        """
        lease = self._leases.get(gateway)
        expires_at = now + self.lease_s
        if lease is not None and lease.incarnation == incarnation:
            lease.expires_at = max(lease.expires_at, expires_at)
            return False
        self._leases[gateway] = Lease(
            incarnation=incarnation, expires_at=expires_at
        )
        if lease is None:
            return False
        self._remember_dead(lease.incarnation)
        return True

    def _remember_dead(self, incarnation: str) -> None:
        self._dead_incarnations[incarnation] = None
        if len(self._dead_incarnations) > _DEAD_INCARNATIONS_KEPT:
            self._dead_incarnations.popitem(last=False)

    def renew(
        self, *, gateway: str, issued_below: int, live: tuple[int, ...]
    ) -> bool:
        """Notes which attempts a gateway still wants.

        Returns:
            False when a later renewal has been seen before this one.
        """
        lease = self._leases[gateway]
        if issued_below < lease.issued_below:
            return False
        lease.issued_below = issued_below
        lease.live = frozenset(live)
        return True

    def is_given_up(self, *, gateway: str, attempt: int) -> bool:
        """Says whether a renewal has already left an attempt out."""
        lease = self._leases.get(gateway)
        if lease is None:
            return False
        return attempt < lease.issued_below and attempt not in lease.live

    def has_lapsed(self, *, gateway: str, incarnation: str, now: float) -> bool:
        """Says whether what an incarnation holds must be released."""
        lease = self._leases.get(gateway)
        if lease is None or lease.incarnation != incarnation:
            return True
        return now >= lease.expires_at

    def extend_all(self, *, now: float) -> None:
        """Restarts every lease after this process was paused.

        Renewals that arrived meanwhile are still unread, so silence during
        the pause proves nothing about a gateway.
        """
        for lease in self._leases.values():
            lease.expires_at = max(lease.expires_at, now + self.lease_s)

    def forget_idle(self, *, now: float, holders: set[str]) -> None:
        """Drops lapsed leases of gateways that hold nothing.

        Args:
            now: Kernel time in seconds.
            holders: Gateways that still hold something.
        """
        idle = [
            name
            for name, lease in self._leases.items()
            if now >= lease.expires_at + _FORGET_AFTER_S and name not in holders
        ]
        for name in idle:
            del self._leases[name]


_FORGET_AFTER_S = 60.0
_DEAD_INCARNATIONS_KEPT = 256
