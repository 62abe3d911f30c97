"""Generations that wait for room in a decode engine."""

import dataclasses
import itertools

from sassafrasstile import routes
from sassafrasstile.dispatch import _base
from sassafrasstile.dispatch import _endpoints
from sassafrasstile.dispatch import _placement

# Prefill and transfer take about this long once there is room.
_START_S = 0.25


@dataclasses.dataclass(kw_only=True, eq=False)
class Waiter:
    """A generation that wants room.

    Attributes:
        service: The service wanted.
        size: What it needs.
        target_at: Its first token is on time until then, in seconds.
        number: Its place in the order of arrival.
        excluded: Engines that have failed it.
        engine: The engine where it has room, once it does.
    """

    service: routes.Service
    size: _base.WorkSize
    target_at: float
    number: int
    excluded: tuple[_endpoints.Endpoint, ...] = ()
    engine: _endpoints.Endpoint | None = None


class DecodeQueue:
    """Hands out room in the order of what can still be on time.

    Generations that can still meet their target go first, in the order of
    their arrival; the others follow in that order too.

    Args:
        placement: Chooses the engine.
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
        excluded: tuple[_endpoints.Endpoint, ...] = (),
    ) -> Waiter:
        """Adds a generation; `admit` says when it has room."""
        waiter = Waiter(
            service=service,
            size=size,
            target_at=target_at,
            number=next(self._numbers),
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
            self._waiters,
            key=lambda item: (item.target_at < now + _START_S, item.number),
        )
        for waiter in order:
            engine = self._placement.choose_for_decode(
                service=waiter.service,
                size=waiter.size,
                now=now,
                excluded=waiter.excluded,
            )
            if engine is None:
                # Smaller ones must not pass it for ever.
                break
            engine.reserve(waiter.size)
            waiter.engine = engine
            self._waiters.remove(waiter)
            admitted.append(waiter)
        return admitted
