"""Chooses endpoints for calls, prefills and decodes."""

from collections.abc import Collection
import dataclasses
import random

from sassafrasstile import membership
from sassafrasstile.dispatch import _base
from sassafrasstile.dispatch import _endpoints

# Before anything is known of an endpoint.
_DEFAULT_LATENCY_S = 0.1
# What a failure is taken to cost, in seconds of latency.
_FAILURE_COST_S = 1.0
# What another availability zone costs: its traffic is paid for.
_ZONE_COST_S = 0.02
_ZONE_COST_TOKENS = 4000
_FAILURE_COST_TOKENS = 100_000
# Draws between endpoints that look alike, so that gateways spread.
_JITTER = 0.05


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Candidate:
    endpoint: _endpoints.Endpoint
    cost: float


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
            load = (item.in_flight + 1) / max(1, item.record.slots)
            cost = latency_s * max(1.0, 2 * load)
            cost += latency_s * load
            cost += _FAILURE_COST_S * item.health.read_failure_rate(now)
            if item.record.zone != self._zone:
                cost += _ZONE_COST_S
            return cost

        return self._choose_least(usable, estimate)

    def choose_for_decode(
        self,
        *,
        service: str,
        now: float,
        excluded: Collection[_endpoints.Endpoint] = (),
    ) -> _endpoints.Endpoint | None:
        """Chooses the decode engine with the least memory in use."""
        return self._choose_by_tokens(
            service, membership.Role.DECODE, now, excluded, self._zone
        )

    def choose_for_prefill(
        self,
        *,
        service: str,
        now: float,
        near: str,
        excluded: Collection[_endpoints.Endpoint] = (),
    ) -> _endpoints.Endpoint | None:
        """Chooses the prefill engine with the least to read.

        Args:
            service: The service wanted.
            now: The time in seconds.
            near: The availability zone of the decode engine.
            excluded: Engines that have failed this request.
        """
        return self._choose_by_tokens(
            service, membership.Role.PREFILL, now, excluded, near
        )

    def _choose_by_tokens(self, service, role, now, excluded, zone):
        usable = self._endpoints.list_usable(
            service=service, role=role, now=now, excluded=excluded
        )

        def estimate(item: _endpoints.Endpoint) -> float:
            cost = float(item.reserved_tokens + item.prefill_tokens)
            rate = item.health.read_failure_rate(now)
            cost += _FAILURE_COST_TOKENS * rate
            if item.record.zone != zone:
                cost += _ZONE_COST_TOKENS
            return cost + self._generator.random()

        return self._choose_least(usable, estimate)

    def _choose_least(self, usable, estimate):
        if not usable:
            return None
        candidates = [
            _Candidate(
                endpoint=item,
                cost=estimate(item) * (1 + _JITTER * self._generator.random()),
            )
            for item in usable
        ]
        return min(candidates, key=lambda item: item.cost).endpoint


def reserve(endpoint: _endpoints.Endpoint, size: _base.WorkSize) -> None:
    """Counts a generation in at its decode engine."""
    endpoint.in_flight += 1
    endpoint.reserved_tokens += size.memory_tokens


def release(endpoint: _endpoints.Endpoint, size: _base.WorkSize) -> None:
    """Counts a generation out."""
    endpoint.in_flight -= 1
    endpoint.reserved_tokens -= size.memory_tokens
