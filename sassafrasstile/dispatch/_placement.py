"""Chooses endpoints for calls, prefills and decodes by cost."""

from collections.abc import Callable, Collection, Sequence
import dataclasses
import enum
import random

from sassafrasstile import membership
from sassafrasstile import routes
from sassafrasstile import speeds
from sassafrasstile.dispatch import _base
from sassafrasstile.dispatch import _costs
from sassafrasstile.dispatch import _endpoints
from sassafrasstile.dispatch import _grants
from sassafrasstile.dispatch import _prefills

# Cost of a call to another availability zone, in seconds of latency: traffic
# between zones is billed.
_CALL_ZONE_COST_S = 0.02
# Cost of a decode in another zone, as a share of an engine's KV cache.
_DECODE_ZONE_COST = 0.1
# The same where this gateway hears of other gateways' reservations late.
_DELAYED_DECODE_ZONE_COST = 0.25
# Cost of a failed decode, as a share of an engine's KV cache.
_DECODE_FAILURE_COST = 1.0
# The share of a decode engine's KV cache that late generations may fill.
_LATE_MEMORY_SHARE = 0.75
# One in this many of the decode engines with capacity is compared.
_SAMPLE_DIVISOR = 3
# Number of engines compared in each group while news is late. If all gateways
# compared many, they would choose the same ones.
_DELAYED_SAMPLE = 2
# Gateways compete for an engine that has room for fewer than this many further
# generations: others may have reserved that much and not reported it yet.
_CONTESTED_GENERATIONS = 2
# Gateways that reserve capacity within this time of each other haven't
# received each other's reports.
_CONCURRENT_S = 0.02


def _get_capacity(service: routes.Service) -> int:
    """Returns the KV cache size of a service's engines in tokens."""
    return service.engine.capacity_tokens if service.engine else 1


class Shortage(enum.Enum):
    """The resource that a generation has to wait for."""

    DECODE = "room at a decode engine"
    PREFILL = "a prefill engine without a long backlog"


@dataclasses.dataclass(frozen=True, kw_only=True)
class VersionShortage:
    """Only engines of some versions may run a generation, and they are full.

    Attributes:
        versions: These versions.
    """

    versions: frozenset[str]


class Placement:
    """Chooses the endpoint of lowest cost by load, health and zone.

    Args:
        endpoints: The endpoints.
        zone: This gateway's availability zone.
        generator: The source of random numbers.
        name: This gateway's name.
        is_timely: Returns whether this gateway hears at once of reservations
            that the gateways of a zone make, in general.
        is_lagging: Returns whether it hears late of reservations just now.
    """

    def __init__(
        self,
        *,
        endpoints: _endpoints.EndpointTable,
        zone: str,
        generator: random.Random,
        name: str = "",
        is_timely: Callable[[str], bool] = lambda _zone: True,
        is_lagging: Callable[[], bool] = lambda: False,
    ):
        self._name = name
        self._is_timely = is_timely
        self._is_lagging = is_lagging
        self._endpoints = endpoints
        self._zone = zone
        self._generator = generator
        self._prefills = _prefills.PrefillChooser(
            endpoints=endpoints, generator=generator, is_lagging=is_lagging
        )

    def choose_for_call(
        self,
        *,
        service: str,
        now: float,
        excluded: Collection[_endpoints.Endpoint] = (),
    ) -> _endpoints.Endpoint | None:
        """Chooses the plain endpoint with the lowest expected latency."""
        usable = self._endpoints.list_usable(
            service=service,
            role=membership.Role.PLAIN,
            now=now,
            excluded=excluded,
        )

        def estimate(item: _endpoints.Endpoint) -> float:
            latency_s = item.speeds.estimate_s(speeds.Kind.CALL, 1.0, now)
            load = (item.total_in_flight + 1) / max(1, item.record.slots)
            cost = latency_s * (max(1.0, 2 * load) + load)
            cost += _costs.FAILURE_COST_S * item.health.compute_failure_rate(
                now
            )
            if item.record.zone != self._zone:
                cost += _CALL_ZONE_COST_S
            return cost

        return self._choose_cheapest(usable, estimate)

    def has_decode_engine(
        self, service: str, *, software_version: str | None = None
    ) -> bool:
        """Returns whether a service has a decode engine that isn't leaving.

        Args:
            service: The service.
            software_version: The version that the engine must have, or None
                for any.
        """
        return any(
            item.record.service == service
            and item.record.role is membership.Role.DECODE
            and item.accepts_work
            and item.has_version(software_version)
            for item in self._endpoints.list_all()
        )

    def measure_decode_backoff_s(self, service: str, now: float) -> float:
        """Returns the seconds until a decode engine ends its back-off."""
        return self._endpoints.measure_backoff_s(
            service=service, role=membership.Role.DECODE, now=now
        )

    def choose_for_generation(
        self,
        *,
        service: routes.Service,
        size: _base.WorkSize,
        now: float,
        needs_prefill: bool = True,
        is_late: bool = False,
        excluded: Collection[_endpoints.Endpoint] = (),
        software_version: str | None = None,
        avoided_versions: Collection[str] = (),
    ) -> _grants.Grant | Shortage | VersionShortage:
        """Chooses a decode engine with capacity and an engine to prefill.

        Both have the same software version: what engines of two versions write
        doesn't fit together.

        Args:
            service: The required service.
            size: The size of the generation.
            now: The time in seconds.
            needs_prefill: False when the prompt is already prefilled.
            is_late: True when the first token can't meet its target; some
                capacity is then left to generations that still can.
            excluded: Engines on which this request has failed.
            software_version: The version that the decode engine must have, or
                None for any.
            avoided_versions: Versions that the decode engine mustn't have.

        Returns:
            The chosen engines; the resource that is exhausted; or a
            `VersionShortage` when only engines of some versions may run it and
            they are full.
        """
        is_bound = software_version is not None
        versions = frozenset((software_version,)) if is_bound else None
        if needs_prefill and not is_bound:
            versions = self._prefills.list_versions(service, size, now)
        avoided = set(avoided_versions)
        lacks_prefill = False
        while True:
            decode = self._choose_for_decode(
                service,
                size,
                now,
                is_late=is_late,
                excluded=excluded,
                versions=versions,
                avoided_versions=avoided,
            )
            if decode is None:
                break
            if not needs_prefill:
                return _grants.Grant(decode=decode, size=size)
            prefill = self._prefills.choose(
                decode, service, size, now, is_late=is_late, is_bound=is_bound
            )
            if prefill is not None:
                return _grants.Grant(decode=decode, size=size, prefill=prefill)
            lacks_prefill = True
            avoided.add(decode.record.software_version)
        if lacks_prefill:
            return Shortage.PREFILL
        if versions is not None:
            return VersionShortage(versions=versions)
        return Shortage.DECODE

    def count_places(
        self, service: routes.Service, size: _base.WorkSize, now: float
    ) -> int:
        """Returns for how many generations decode engines have capacity.

        Args:
            service: The required service.
            size: The size of each generation.
            now: The time in seconds.
        """
        capacity = _get_capacity(service)

        def count(item: _endpoints.Endpoint) -> int:
            if not item.is_available(now):
                return 0
            free = capacity - item.total_reserved_tokens
            by_memory = max(0, free) // max(1, size.memory_tokens)
            by_slots = max(0, item.record.slots - item.total_in_flight)
            return max(min(by_memory, by_slots), int(not item.total_in_flight))

        usable = self._endpoints.list_usable(
            service=service.name, role=membership.Role.DECODE, now=now
        )
        return sum(map(count, usable))

    def is_load_timely(self, endpoint: _endpoints.Endpoint) -> bool:
        """Returns whether its load is known without delay.

        Mostly the gateways of an endpoint's own zone reserve capacity on it.
        """
        return self._is_timely(endpoint.record.zone)

    def is_contested(
        self, grant: _grants.Grant, *, service: routes.Service
    ) -> bool:
        """Returns whether peers may be reserving the same capacity now.

        Args:
            grant: The capacity that was just reserved.
            service: The required service.
        """
        decode = grant.decode
        free = _get_capacity(service) - decode.total_reserved_tokens
        is_full = free < _CONTESTED_GENERATIONS * grant.size.memory_tokens
        return is_full and bool(decode.peer_loads)

    def needs_hold(
        self, grant: _grants.Grant, *, service: routes.Service
    ) -> bool:
        """Returns whether the decode engine has to set memory aside first.

        It has to where other gateways may be filling it unnoticed; a prompt
        that was prefilled for an engine without room may be lost.

        Args:
            grant: The capacity that was just reserved.
            service: The required service.
        """
        if service.engine is None or not service.engine.hold_s:
            return False
        if not self.is_load_timely(grant.decode):
            return True
        return self._is_lagging() and self.is_contested(grant, service=service)

    def must_yield(
        self,
        grant: _grants.Grant,
        *,
        service: routes.Service,
        granted_at: float,
    ) -> bool:
        """Returns whether this gateway must release capacity to a peer.

        Of the gateways that overbooked an engine concurrently, only the one
        whose name sorts first keeps its reservation.

        Args:
            grant: The reserved capacity.
            service: The required service.
            granted_at: When it was reserved, in seconds.
        """
        decode = grant.decode
        capacity = _get_capacity(service)
        if decode.total_reserved_tokens <= capacity:
            return False
        since = granted_at - _CONCURRENT_S
        return any(
            reserved_at >= since and peer < self._name
            for peer, reserved_at in decode.peer_reserved_at.items()
        )

    def choose_alternative(
        self,
        grant: _grants.Grant,
        *,
        service: routes.Service,
        now: float,
        excluded: Collection[_endpoints.Endpoint] = (),
    ) -> _endpoints.Endpoint | None:
        """Chooses another decode engine if the granted one may refuse.

        During the prefill, the engine may have started to drain or refused
        other work, and gateways may have reserved the same capacity before
        they received each other's reports.

        Args:
            grant: The granted capacity; the prompt is prefilled elsewhere.
            service: The required service.
            now: The time in seconds.
            excluded: Engines on which this request has failed.

        Returns:
            An engine of the same software version with capacity, or None to
            keep the granted one.
        """
        decode = grant.decode
        capacity = _get_capacity(service)
        is_overbooked = decode.total_reserved_tokens > capacity
        if (
            decode.accepts_work
            and decode.is_available(now)
            and not is_overbooked
        ):
            return None
        other = self._choose_for_decode(
            service,
            grant.size,
            now,
            excluded=(*excluded, decode),
            versions=(decode.record.software_version,),
        )
        return None if other is decode else other

    def _choose_for_decode(
        self,
        service,
        size,
        now,
        *,
        excluded,
        versions,
        is_late=False,
        avoided_versions=(),
    ):
        usable = self._endpoints.list_usable(
            service=service.name,
            role=membership.Role.DECODE,
            now=now,
            excluded=excluded,
            versions=versions,
        )
        if not usable and excluded:
            return self._choose_for_decode(
                service,
                size,
                now,
                is_late=is_late,
                excluded=(),
                versions=versions,
                avoided_versions=avoided_versions,
            )
        capacity = _get_capacity(service)
        share = _LATE_MEMORY_SHARE if is_late else 1.0

        def has_capacity(item: _endpoints.Endpoint) -> bool:
            if not item.is_available(now):
                return False
            if item.record.software_version in avoided_versions:
                return False
            if not item.total_in_flight:
                return True
            used = item.total_reserved_tokens + size.memory_tokens
            is_free = item.total_in_flight < item.record.slots
            return is_free and used <= share * capacity

        def estimate(item: _endpoints.Endpoint) -> float:
            # Fast engines free their memory sooner.
            used = item.total_reserved_tokens + size.memory_tokens
            cost = used / capacity
            cost *= item.speeds.estimate_factor(speeds.Kind.STEP, now)
            rate = item.health.compute_failure_rate(now)
            cost += _DECODE_FAILURE_COST * rate
            if not self.is_load_timely(item):
                cost += _DELAYED_DECODE_ZONE_COST
            elif item.record.zone != self._zone:
                cost += _DECODE_ZONE_COST
            return cost

        candidates = list(filter(has_capacity, usable))
        return self._choose_cheapest(self._sample(candidates), estimate)

    def _sample(
        self, engines: list[_endpoints.Endpoint]
    ) -> list[_endpoints.Endpoint]:
        """Returns a random sample of the engines.

        Gateways that see the same loads must not all choose the same engine,
        least of all while they see each other's choices late.
        """
        if self._is_lagging():
            near = [item for item in engines if item.record.zone == self._zone]
            far = [item for item in engines if item.record.zone != self._zone]
            return [
                *self._draw(near, _DELAYED_SAMPLE),
                *self._draw(far, _DELAYED_SAMPLE),
            ]
        timely = [item for item in engines if self.is_load_timely(item)]
        delayed = [item for item in engines if not self.is_load_timely(item)]
        return [
            *self._draw(timely, max(2, len(timely) // _SAMPLE_DIVISOR)),
            *self._draw(delayed, _DELAYED_SAMPLE),
        ]

    def _draw(
        self, engines: list[_endpoints.Endpoint], count: int
    ) -> list[_endpoints.Endpoint]:
        return self._generator.sample(engines, min(count, len(engines)))

    @staticmethod
    def can_prefill_locally(
        decode: _endpoints.Endpoint, size: _base.WorkSize, now: float = 0.0
    ) -> bool:
        """Returns whether a decode engine may prefill a prompt itself.

        Args:
            decode: The decode engine.
            size: The size of the generation.
            now: The time in seconds.
        """
        return _prefills.can_prefill_locally(decode, size, now)

    def estimate_start_s(
        self, service: routes.Service, size: _base.WorkSize
    ) -> float:
        """Returns the expected seconds from admission to the first token.

        They are those of engines that are typical of the service, without a
        queue.

        Args:
            service: The required service.
            size: The size of the generation.
        """
        typical = self._endpoints.get_service_speeds(service.name)
        return typical.estimate_s(speeds.Kind.ADMISSION, size.prompt_tokens)

    def _choose_cheapest(
        self,
        usable: Sequence[_endpoints.Endpoint],
        estimate: Callable[[_endpoints.Endpoint], float],
    ) -> _endpoints.Endpoint | None:
        return _costs.choose_cheapest(
            usable, estimate, generator=self._generator
        )
