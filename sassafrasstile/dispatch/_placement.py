"""Chooses endpoints for calls, prefills and decodes."""

from collections.abc import Callable, Collection, Sequence
import random

from sassafrasstile import membership
from sassafrasstile import routes
from sassafrasstile.dispatch import _base
from sassafrasstile.dispatch import _endpoints

# Before anything is known of an endpoint.
_DEFAULT_LATENCY_S = 0.1
# What a failure is taken to cost, in seconds of latency.
_FAILURE_COST_S = 1.0
# What another availability zone costs, in seconds: its traffic is paid for.
_CALL_ZONE_COST_S = 0.02
_PREFILL_ZONE_COST_S = 0.05
# ... and as a share of an engine's memory.
_DECODE_ZONE_COST = 0.1
_DECODE_FAILURE_COST = 1.0
# A usual rate, to compare engines before any is known.
_PREFILL_TOKENS_PER_S = 50_000.0
# Draws between endpoints that look alike, so that gateways spread.
_JITTER = 0.02


class Placement:
    """Chooses an endpoint by load, health and availability zone.

    Args:
        endpoints: The endpoints.
        zone: This gateway's availability zone.
        generator: The source of random numbers.
    """

    def __init__(
        self,
        *,
        endpoints: _endpoints.EndpointTable,
        zone: str,
        generator: random.Random,
    ):
        self._endpoints = endpoints
        self._zone = zone
        self._generator = generator

    def choose_for_call(
        self,
        *,
        service: str,
        now: float,
        excluded: Collection[_endpoints.Endpoint] = (),
    ) -> _endpoints.Endpoint | None:
        """Chooses the plain endpoint with the shortest expected latency."""
        usable = self._endpoints.list_usable(
            service=service,
            role=membership.Role.PLAIN,
            now=now,
            excluded=excluded,
        )

        def estimate(item: _endpoints.Endpoint) -> float:
            latency_s = item.health.latency_s or _DEFAULT_LATENCY_S
            load = (item.total_in_flight + 1) / max(1, item.record.slots)
            cost = latency_s * (max(1.0, 2 * load) + load)
            cost += _FAILURE_COST_S * item.health.read_failure_rate(now)
            if item.record.zone != self._zone:
                cost += _CALL_ZONE_COST_S
            return cost

        return self._choose_least(usable, estimate)

    def has_decode_engine(self, service: str) -> bool:
        """Says whether a service has any decode engine that isn't leaving."""
        return any(
            item.record.service == service
            and item.record.role is membership.Role.DECODE
            and item.record.state is membership.EndpointState.READY
            for item in self._endpoints.list_all()
        )

    def choose_for_decode(
        self,
        *,
        service: routes.Service,
        size: _base.WorkSize,
        now: float,
        excluded: Collection[_endpoints.Endpoint] = (),
    ) -> _endpoints.Endpoint | None:
        """Chooses the decode engine with the most free memory.

        Args:
            service: The service wanted.
            size: What the generation needs.
            now: The time in seconds.
            excluded: Engines that have failed this request.

        Returns:
            The engine, or None when none has room.
        """
        usable = self._endpoints.list_usable(
            service=service.name,
            role=membership.Role.DECODE,
            now=now,
            excluded=excluded,
        )
        if not usable and excluded:
            return self.choose_for_decode(service=service, size=size, now=now)
        capacity = service.engine.capacity_tokens if service.engine else 1

        def has_room(item: _endpoints.Endpoint) -> bool:
            if now < item.full_until:
                return False
            if not item.total_in_flight:
                return True
            used = item.total_reserved_tokens + size.memory_tokens
            is_free = item.total_in_flight < item.record.slots
            return is_free and used <= capacity

        def estimate(item: _endpoints.Endpoint) -> float:
            cost = item.total_reserved_tokens / capacity
            rate = item.health.read_failure_rate(now)
            cost += _DECODE_FAILURE_COST * rate
            if item.record.zone != self._zone:
                cost += _DECODE_ZONE_COST
            return cost

        return self._choose_least(list(filter(has_room, usable)), estimate)

    def choose_for_prefill(
        self,
        *,
        service: str,
        now: float,
        near: str,
        excluded: Collection[_endpoints.Endpoint] = (),
    ) -> _endpoints.Endpoint | None:
        """Chooses the prefill engine that will be done first.

        Args:
            service: The service wanted.
            now: The time in seconds.
            near: The availability zone of the decode engine.
            excluded: Engines that have failed this request.
        """
        usable = self._endpoints.list_usable(
            service=service,
            role=membership.Role.PREFILL,
            now=now,
            excluded=excluded,
        )

        def estimate(item: _endpoints.Endpoint) -> float:
            cost = item.total_prefill_tokens / _PREFILL_TOKENS_PER_S
            cost += _FAILURE_COST_S * item.health.read_failure_rate(now)
            if item.record.zone != near:
                cost += _PREFILL_ZONE_COST_S
            return cost

        return self._choose_least(usable, estimate)

    def _choose_least(
        self,
        usable: Sequence[_endpoints.Endpoint],
        estimate: Callable[[_endpoints.Endpoint], float],
    ) -> _endpoints.Endpoint | None:
        if not usable:
            return None
        return min(
            usable,
            key=lambda item: (
                estimate(item) + _JITTER * self._generator.random()
            ),
        )
