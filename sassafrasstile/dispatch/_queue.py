"""The queue of generations that wait for capacity on engines."""

import collections
from collections.abc import Collection
import dataclasses
import enum
import itertools

from sassafrasstile import routes
from sassafrasstile.dispatch import _base
from sassafrasstile.dispatch import _endpoints
from sassafrasstile.dispatch import _grants
from sassafrasstile.dispatch import _placement

# Window over which the admission rate is measured.
_RATE_WINDOW_S = 2.0
# Delay in the order of arrival for each step of lower priority. It is bounded,
# so that routes of low priority don't starve.
_PRIORITY_DELAY_S = 0.25
# Late generations whose expected wait is longer than this are rejected.
_MAX_LATE_WAIT_S = 1.0
# Admission rate assumed when fewer generations were admitted in the window.
_MIN_RATE_PER_S = 3.0


class Urgency(enum.IntEnum):
    """The classes of generations, in the order of their admission."""

    RESUMED = 0
    PREFILLED = 1
    ON_TIME = 2
    LATE = 3


@dataclasses.dataclass(kw_only=True, eq=False)
class Waiter:
    """A generation that waits for capacity.

    Attributes:
        service: The required service.
        size: The size of the generation.
        target_at: Target time of the first token, in seconds.
        wait_deadline: Time in seconds after which it is no longer queued.
        adjusted_arrival_at: Arrival time in seconds plus a delay for routes
            of lower priority; generations are admitted in this order.
        sequence: Breaks ties between equal adjusted arrival times.
        prefilled_until: When its finished prefill expires, in seconds, or
            None without one.
        is_resumed: True when the caller already has a part of the output.
        may_prefill_remotely: False when only a local prefill is allowed.
        excluded: Engines on which it has failed.
        software_version: The version that its decode engine must have, or None
            for any.
        prefilled_version: The version that its finished prefill needs while it
            hasn't expired.
        start_s: Expected seconds from its admission to its first token.
        grant: The granted capacity, once it is admitted.
    """

    service: routes.Service
    size: _base.WorkSize
    target_at: float
    wait_deadline: float
    adjusted_arrival_at: float
    sequence: int
    prefilled_until: float | None = None
    is_resumed: bool = False
    may_prefill_remotely: bool = True
    excluded: tuple[_endpoints.Endpoint, ...] = ()
    software_version: str | None = None
    prefilled_version: str | None = None
    start_s: float = 0.0
    grant: _grants.Grant | None = None

    def needs_prefill(self, now: float) -> bool:
        """Returns whether it has no finished prefill, or an expired one.

        Args:
            now: The time in seconds.
        """
        if not self.may_prefill_remotely:
            return False
        return self.prefilled_until is None or now >= self.prefilled_until

    def get_urgency(self, now: float) -> Urgency:
        """Returns its class in the order of admission."""
        if self.is_resumed:
            return Urgency.RESUMED
        if not self.needs_prefill(now):
            return Urgency.PREFILLED
        if self.target_at < now + self.start_s:
            return Urgency.LATE
        return Urgency.ON_TIME


class GenerationQueue:
    """Admits generations by whether they can still meet their target.

    Resumed generations are admitted first, then those with a finished
    prefill, since it expires soon. Others that can still meet their target
    follow in the order of arrival. Late ones come last, and only while some
    capacity is left over for new arrivals. Late generations that can't
    expect capacity soon are rejected immediately, which spares their
    callers a useless wait.

    Args:
        placement: Chooses the engines.
    """

    def __init__(self, *, placement: _placement.Placement):
        self._placement = placement
        self._waiters: list[Waiter] = []
        self._sequence = itertools.count()
        self._admitted_at: collections.deque[float] = collections.deque()

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
        may_prefill_remotely: bool = True,
        excluded: tuple[_endpoints.Endpoint, ...] = (),
        software_version: str | None = None,
        prefilled_version: str | None = None,
    ) -> Waiter:
        """Adds a generation; `admit` returns it once it has capacity.

        Args:
            service: The required service.
            size: The size of the generation.
            target_at: Target time of the first token, in seconds.
            wait_deadline: Time in seconds after which it is no longer
                queued.
            arrived_at: When its request arrived, in seconds.
            priority: The priority of its route; 0 is the most urgent.
            prefilled_until: When its finished prefill expires, in seconds,
                or None without one.
            is_resumed: True when the caller already has a part of the
                output.
            may_prefill_remotely: False when only a local prefill is allowed.
            excluded: Engines on which it has failed.
            software_version: The version that its decode engine must have, or
                None for any.
            prefilled_version: The version of the engine that has prefilled it,
                or None without a finished prefill.
        """
        waiter = Waiter(
            service=service,
            size=size,
            target_at=target_at,
            wait_deadline=wait_deadline,
            adjusted_arrival_at=arrived_at + _PRIORITY_DELAY_S * priority,
            sequence=next(self._sequence),
            prefilled_until=prefilled_until,
            is_resumed=is_resumed,
            may_prefill_remotely=may_prefill_remotely,
            excluded=excluded,
            software_version=software_version,
            prefilled_version=prefilled_version,
            start_s=self._placement.estimate_start_s(service, size),
        )
        self._waiters.append(waiter)
        return waiter

    def remove(self, waiter: Waiter) -> None:
        """Removes a generation that no longer waits."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def admit(self, now: float) -> list[Waiter]:
        """Reserves capacity for generations and returns the admitted ones."""
        admitted = []
        # Versions of engines that are full, by service.
        full_versions: dict[str, set[str]] = collections.defaultdict(set)
        for waiter in self._sort(now):
            full = full_versions[waiter.service.name]
            match self._choose(waiter, now, full):
                case _placement.VersionShortage(versions=versions):
                    # Later generations leave the engines of these versions to
                    # it, and needn't wait for those of others.
                    full.update(versions)
                    continue
                case _placement.Shortage.DECODE:
                    # Smaller generations must not starve it.
                    break
                case _placement.Shortage.PREFILL:
                    # Generations that are already prefilled, or that a
                    # decode engine can prefill, need no prefill engine and
                    # so don't delay this one.
                    continue
                case grant:
                    waiter.grant = grant
            waiter.grant.reserve()
            self._admitted_at.append(now)
            self._waiters.remove(waiter)
            admitted.append(waiter)
        return admitted

    def _choose(
        self, waiter: Waiter, now: float, full_versions: Collection[str]
    ) -> _grants.Grant | _placement.Shortage | _placement.VersionShortage:
        needs_prefill = waiter.needs_prefill(now)
        version = waiter.software_version
        if version is None and not needs_prefill:
            version = waiter.prefilled_version
        return self._placement.choose_for_generation(
            service=waiter.service,
            size=waiter.size,
            now=now,
            needs_prefill=needs_prefill,
            is_late=waiter.get_urgency(now) is Urgency.LATE,
            excluded=waiter.excluded,
            software_version=version,
            avoided_versions=full_versions,
        )

    def expire(self, now: float) -> list[Waiter]:
        """Removes and returns waiters that can't expect capacity in time."""
        rate = self.measure_rate(now)
        backoffs_s = self._measure_backoffs(now)
        expired = []
        ahead = 0
        for waiter in self._sort(now):
            wait_s = ahead / rate
            resumes_at = now + backoffs_s[waiter.service.name]
            if resumes_at >= waiter.wait_deadline or self._should_expire(
                waiter, wait_s, now
            ):
                expired.append(waiter)
            else:
                ahead += 1
        for waiter in expired:
            self._waiters.remove(waiter)
        return expired

    def _measure_backoffs(self, now: float) -> dict[str, float]:
        """Returns the seconds until an engine takes requests, by service."""
        services = {item.service.name for item in self._waiters}
        return {
            service: self._placement.measure_decode_backoff_s(service, now)
            for service in services
        }

    def measure_rate(self, now: float) -> float:
        """Returns the recent admission rate per second."""
        while self._admitted_at and self._admitted_at[0] < now - _RATE_WINDOW_S:
            self._admitted_at.popleft()
        return max(_MIN_RATE_PER_S, len(self._admitted_at) / _RATE_WINDOW_S)

    def _should_expire(self, waiter: Waiter, wait_s: float, now: float) -> bool:
        if now >= waiter.wait_deadline:
            return True
        if waiter.software_version and not self._placement.has_decode_engine(
            waiter.service.name, software_version=waiter.software_version
        ):
            # Its version has left.
            return True
        match waiter.get_urgency(now + wait_s):
            case Urgency.LATE:
                return wait_s > _MAX_LATE_WAIT_S
            case _:
                return False

    def _sort(self, now: float) -> list[Waiter]:
        return sorted(
            self._waiters,
            key=lambda item: (
                item.get_urgency(now),
                item.adjusted_arrival_at,
                item.sequence,
            ),
        )
