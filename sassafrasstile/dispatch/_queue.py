"""Generations that wait for room at their engines."""

import dataclasses
import itertools

from sassafrasstile import routes
from sassafrasstile.dispatch import _base
from sassafrasstile.dispatch import _endpoints
from sassafrasstile.dispatch import _grants
from sassafrasstile.dispatch import _placement

# Prefill and transfer take about this long once there is room.
START_S = 0.25


@dataclasses.dataclass(kw_only=True, eq=False)
class Waiter:
    """A generation that wants room.

    Attributes:
        service: The service wanted.
        size: What it needs.
        target_at: Its first token is on time until then, in seconds.
        give_up_at: It isn't worth waiting any longer then, in seconds.
        number: Its place in the order of arrival.
        needs_prefill: False when its prompt is read already.
        excluded: Engines that have failed it.
        grant: Its room, once it has some.
    """

    service: routes.Service
    size: _base.WorkSize
    target_at: float
    give_up_at: float
    number: int
    needs_prefill: bool = True
    excluded: tuple[_endpoints.Endpoint, ...] = ()
    grant: _grants.Grant | None = None

    def is_late(self, now: float) -> bool:
        """Says whether its first token can't be on time any more."""
        return self.target_at < now + START_S


class GenerationQueue:
    """Hands out room in the order of what can still be on time.

    Generations that can still meet their target go first, in the order of
    their arrival. Late ones follow in that order, as long as some room is
    left over for those that will arrive.

    Args:
        placement: Chooses the engines.
    """

    def __init__(self, *, placement: _placement.Placement):
        self._placement = placement
        self._waiters: list[Waiter] = []
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._waiters)

    def add(
        self,
        *,
        service: routes.Service,
        size: _base.WorkSize,
        target_at: float,
        give_up_at: float,
        needs_prefill: bool = True,
        excluded: tuple[_endpoints.Endpoint, ...] = (),
    ) -> Waiter:
        """Adds a generation; `admit` says when it has room."""
        waiter = Waiter(
            service=service,
            size=size,
            target_at=target_at,
            give_up_at=give_up_at,
            number=next(self._numbers),
            needs_prefill=needs_prefill,
            excluded=excluded,
        )
        self._waiters.append(waiter)
        return waiter

    def remove(self, waiter: Waiter) -> None:
        """Takes a generation out that no longer waits."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def admit(self, now: float) -> list[Waiter]:
        """Reserves room for whom there is some, and returns them."""
        admitted = []
        order = sorted(
            self._waiters, key=lambda item: (item.is_late(now), item.number)
        )
        for waiter in order:
            waiter.grant = self._placement.choose_for_generation(
                service=waiter.service,
                size=waiter.size,
                now=now,
                needs_prefill=waiter.needs_prefill,
                is_late=waiter.is_late(now),
                excluded=waiter.excluded,
            )
            if waiter.grant is None:
                # Smaller ones must not pass it for ever.
                break
            waiter.grant.reserve()
            self._waiters.remove(waiter)
            admitted.append(waiter)
        return admitted

    def expire(self, now: float) -> list[Waiter]:
        """Takes out those that have waited for too long."""
        expired = [item for item in self._waiters if now >= item.give_up_at]
        for waiter in expired:
            self._waiters.remove(waiter)
        return expired
