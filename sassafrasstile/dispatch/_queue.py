"""Generations that wait for room at their engines."""

import collections
import dataclasses
import enum
import itertools

from sassafrasstile import routes
from sassafrasstile.dispatch import _base
from sassafrasstile.dispatch import _endpoints
from sassafrasstile.dispatch import _grants
from sassafrasstile.dispatch import _placement

# Prefill and transfer take about this long once there is room.
PREFILL_AND_TRANSFER_S = 0.25
# Grants of the last seconds tell how fast the queue moves.
_RATE_WINDOW_S = 2.0
# A generation yields to one of the next more urgent rank that arrives so
# much later at most, so that no rank starves.
_RANK_HEADSTART_S = 0.25
# Late generations wait as long as they are likely to get room so soon.
_LATE_WAIT_S = 1.0
_LEAST_RATE = 3.0


class Urgency(enum.IntEnum):
    """The order in which generations get room."""

    RESUMED = 0
    PREFILLED = 1
    ON_TIME = 2
    LATE = 3


@dataclasses.dataclass(kw_only=True, eq=False)
class Waiter:
    """A generation that wants room.

    Attributes:
        service: The service wanted.
        size: What it needs.
        target_at: Its first token is on time until then, in seconds.
        wait_deadline: It isn't worth waiting any longer then, in seconds.
        adjusted_arrival_at: Arrival time in seconds plus a delay for routes
            of lower priority; generations are admitted in this order.
        number: Its place among those of the same turn.
        prefilled_until: Its prompt is read, and is kept until then, in seconds,
            or None.
        is_resumed: True when its caller has a part of the answer.
        excluded: Engines that have failed it.
        grant: Its room, once it has some.
    """

    service: routes.Service
    size: _base.WorkSize
    target_at: float
    wait_deadline: float
    adjusted_arrival_at: float
    number: int
    prefilled_until: float | None = None
    is_resumed: bool = False
    excluded: tuple[_endpoints.Endpoint, ...] = ()
    grant: _grants.Grant | None = None

    def needs_prefill(self, now: float) -> bool:
        """Says whether its prompt has to be read, or read again.

        Args:
            now: The time in seconds.
        """
        if self.is_resumed:
            return False
        return self.prefilled_until is None or now >= self.prefilled_until

    def get_urgency(self, now: float) -> Urgency:
        """Returns how urgent it is."""
        if self.is_resumed:
            return Urgency.RESUMED
        if not self.needs_prefill(now):
            return Urgency.PREFILLED
        if self.target_at < now + PREFILL_AND_TRANSFER_S:
            return Urgency.LATE
        return Urgency.ON_TIME


class GenerationQueue:
    """Hands out room in the order of what can still be on time.

    Generations whose prompt is read go first, as that work is lost soon.
    Others that can still meet their target follow, in the order of their
    arrival. Late ones follow in that order, as long as some room is
    left over for those that will arrive. Those that can't expect room soon
    are given up at once, so that their callers don't wait for nothing.

    Args:
        placement: Chooses the engines.
    """

    def __init__(self, *, placement: _placement.Placement):
        self._placement = placement
        self._waiters: list[Waiter] = []
        self._numbers = itertools.count()
        self._granted: collections.deque[float] = collections.deque()

    def __len__(self) -> int:
        return len(self._waiters)

    def add(
        self,
        *,
        service: routes.Service,
        size: _base.WorkSize,
        target_at: float,
        wait_deadline: float,
        arrived_at: float = 0.0,
        priority: int = 0,
        prefilled_until: float | None = None,
        is_resumed: bool = False,
        excluded: tuple[_endpoints.Endpoint, ...] = (),
    ) -> Waiter:
        """Adds a generation; `admit` says when it has room.

        Args:
            service: The service wanted.
            size: What it needs.
            target_at: Its first token is on time until then, in seconds.
            wait_deadline: It isn't worth waiting any longer then, in seconds.
            arrived_at: When its request arrived, in seconds.
            priority: The rank of its route; 0 is the most urgent.
            prefilled_until: Its prompt is read, and is kept until then, in
                seconds, or None.
            is_resumed: True when its caller has a part of the answer.
            excluded: Engines that have failed it.
        """
        waiter = Waiter(
            service=service,
            size=size,
            target_at=target_at,
            wait_deadline=wait_deadline,
            adjusted_arrival_at=arrived_at + _RANK_HEADSTART_S * priority,
            number=next(self._numbers),
            prefilled_until=prefilled_until,
            is_resumed=is_resumed,
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
        for waiter in self._sort(now):
            match self._choose(waiter, now):
                case _placement.Shortage.DECODE:
                    # Smaller ones must not pass it for ever.
                    break
                case _placement.Shortage.PREFILL:
                    # Others whose prompts are read already, or that a
                    # decode engine reads itself, don't hold it up.
                    continue
                case grant:
                    waiter.grant = grant
            waiter.grant.reserve()
            self._granted.append(now)
            self._waiters.remove(waiter)
            admitted.append(waiter)
        return admitted

    def _choose(
        self, waiter: Waiter, now: float
    ) -> _grants.Grant | _placement.Shortage:
        return self._placement.choose_for_generation(
            service=waiter.service,
            size=waiter.size,
            now=now,
            needs_prefill=waiter.needs_prefill(now),
            is_late=waiter.get_urgency(now) is Urgency.LATE,
            excluded=waiter.excluded,
        )

    def expire(self, now: float) -> list[Waiter]:
        """Takes out those that can't expect room in time."""
        rate = self.measure_rate(now)
        expired = []
        ahead = 0
        for waiter in self._sort(now):
            wait_s = ahead / rate
            if self._is_hopeless(waiter, wait_s, now):
                expired.append(waiter)
            else:
                ahead += 1
        for waiter in expired:
            self._waiters.remove(waiter)
        return expired

    def measure_rate(self, now: float) -> float:
        """Returns how many a second have got room of late."""
        while self._granted and self._granted[0] < now - _RATE_WINDOW_S:
            self._granted.popleft()
        return max(_LEAST_RATE, len(self._granted) / _RATE_WINDOW_S)

    @staticmethod
    def _is_hopeless(waiter: Waiter, wait_s: float, now: float) -> bool:
        if now >= waiter.wait_deadline:
            return True
        match waiter.get_urgency(now + wait_s):
            case Urgency.LATE:
                return wait_s > _LATE_WAIT_S
            case _:
                return False

    def _sort(self, now: float) -> list[Waiter]:
        return sorted(
            self._waiters,
            key=lambda item: (
                item.get_urgency(now),
                item.adjusted_arrival_at,
                item.number,
            ),
        )
