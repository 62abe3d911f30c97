"""Chooses endpoints for calls, prefills and decodes."""

from collections.abc import Callable, Collection, Sequence
import enum
import random

from sassafrasstile import membership
from sassafrasstile import routes
from sassafrasstile.dispatch import _base
from sassafrasstile.dispatch import _endpoints
from sassafrasstile.dispatch import _grants

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
# Prefill engines take new prompts up to this backlog ...
_BACKLOG_S = 0.3
# ... and those of late generations up to this one.
_LATE_BACKLOG_S = 0.1
# The share of a decode engine's memory that late generations may fill.
_LATE_MEMORY_SHARE = 0.75
# Longer prompts hold up the other streams of a decode engine: it reads 1,024
# tokens between two of theirs, for 40 ms, and an event has seven tokens.
_SELF_READ_TOKENS = 6000
# ... unless there are hardly any.
_FEW_STREAMS = 1
# A usual rate, to compare engines before any is known.
_PREFILL_TOKENS_PER_S = 50_000.0
# Of many engines with room, one of this many is looked at.
_DRAWN_PART = 3
# Above this share of its memory, gateways compete for the room of an engine ...
_CONTESTED_SHARE = 0.85
# ... and those that take it within this time didn't hear of each other.
_SAME_TIME_S = 0.02
# Draws between endpoints that look alike, so that gateways spread.
_JITTER = 0.02


def _get_capacity(service: routes.Service) -> int:
    """Returns the tokens that an engine of a service holds."""
    return service.engine.capacity_tokens if service.engine else 1


class Shortage(enum.Enum):
    """What a generation lacks."""

    DECODE = "room at a decode engine"
    PREFILL = "a prefill engine without a long backlog"


class Placement:
    """Chooses an endpoint by load, health and availability zone.

    Args:
        endpoints: The endpoints.
        zone: This gateway's availability zone.
        generator: The source of random numbers.
        name: This gateway's name.
    """

    def __init__(
        self,
        *,
        endpoints: _endpoints.EndpointTable,
        zone: str,
        generator: random.Random,
        name: str = "",
    ):
        self._name = name
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
            cost += _FAILURE_COST_S * item.health.compute_failure_rate(now)
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

    def choose_for_generation(
        self,
        *,
        service: routes.Service,
        size: _base.WorkSize,
        now: float,
        needs_prefill: bool = True,
        is_late: bool = False,
        excluded: Collection[_endpoints.Endpoint] = (),
    ) -> _grants.Grant | Shortage:
        """Chooses a decode engine with room, and who reads the prompt.

        Args:
            service: The service wanted.
            size: What the generation needs.
            now: The time in seconds.
            needs_prefill: False when the prompt is read already.
            is_late: True when its first token can't be on time; then some
                room is left to those that still can.
            excluded: Engines that have failed this request.

        Returns:
            The engines, or what there is too little of now.
        """
        decode = self._choose_for_decode(service, size, now, is_late, excluded)
        if decode is None:
            return Shortage.DECODE
        if not needs_prefill:
            return _grants.Grant(decode=decode, size=size)
        limit_s = _LATE_BACKLOG_S if is_late else _BACKLOG_S
        prefill = self._choose_for_prefill(
            service.name, now, decode.record.zone, limit_s
        )
        if prefill is not None:
            return _grants.Grant(decode=decode, size=size, prefill=prefill)
        if self.can_prefill_locally(decode, size):
            return _grants.Grant(decode=decode, size=size, prefill=decode)
        return Shortage.PREFILL

    def is_contested(
        self, grant: _grants.Grant, *, service: routes.Service
    ) -> bool:
        """Says whether others may well take the same room at this moment.

        Args:
            grant: The room, taken just now.
            service: The service wanted.
        """
        decode = grant.decode
        capacity = _get_capacity(service)
        is_full = decode.total_reserved_tokens > _CONTESTED_SHARE * capacity
        return is_full and bool(decode.peer_loads)

    def must_yield(
        self,
        grant: _grants.Grant,
        *,
        service: routes.Service,
        granted_at: float,
    ) -> bool:
        """Says whether this gateway has to leave room to another one.

        Of those that took the same room at the same time, all but the one
        with the first name do.

        Args:
            grant: The room.
            service: The service wanted.
            granted_at: When it was taken, in seconds.
        """
        decode = grant.decode
        capacity = _get_capacity(service)
        if decode.total_reserved_tokens <= capacity:
            return False
        since = granted_at - _SAME_TIME_S
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
        """Chooses another decode engine when a granted one is doubtful.

        Gateways may take the same room before they hear of each other, and
        an engine may leave or refuse work meanwhile.

        Args:
            grant: The room that was granted, its prompt read elsewhere.
            service: The service wanted.
            now: The time in seconds.
            excluded: Engines that have failed this request.

        Returns:
            An engine with room, or None when the granted one is as good.
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
            service, grant.size, now, False, (*excluded, decode)
        )
        return None if other is decode else other

    def _choose_for_decode(self, service, size, now, is_late, excluded):
        usable = self._endpoints.list_usable(
            service=service.name,
            role=membership.Role.DECODE,
            now=now,
            excluded=excluded,
        )
        if not usable and excluded:
            return self._choose_for_decode(service, size, now, is_late, ())
        capacity = _get_capacity(service)
        share = _LATE_MEMORY_SHARE if is_late else 1.0

        def has_room(item: _endpoints.Endpoint) -> bool:
            if not item.is_available(now):
                return False
            if not item.total_in_flight:
                return True
            used = item.total_reserved_tokens + size.memory_tokens
            is_free = item.total_in_flight < item.record.slots
            return is_free and used <= share * capacity

        def estimate(item: _endpoints.Endpoint) -> float:
            cost = item.total_reserved_tokens / capacity
            rate = item.health.compute_failure_rate(now)
            cost += _DECODE_FAILURE_COST * rate
            if item.record.zone != self._zone:
                cost += _DECODE_ZONE_COST
            return cost

        roomy = list(filter(has_room, usable))
        return self._choose_least(self._draw(roomy), estimate)

    def _draw(
        self, engines: list[_endpoints.Endpoint]
    ) -> list[_endpoints.Endpoint]:
        """Returns some of the engines, at random.

        Gateways that see the same loads must not all choose the same one.
        """
        count = max(2, len(engines) // _DRAWN_PART)
        if count >= len(engines):
            return engines
        return self._generator.sample(engines, count)

    def _choose_for_prefill(self, service, now, zone, limit_s):
        """Chooses the prefill engine that will be done first."""

        def estimate_backlog(item: _endpoints.Endpoint) -> float:
            return item.total_prefill_tokens / _PREFILL_TOKENS_PER_S

        def estimate(item: _endpoints.Endpoint) -> float:
            cost = estimate_backlog(item)
            cost += _FAILURE_COST_S * item.health.compute_failure_rate(now)
            if item.record.zone != zone:
                cost += _PREFILL_ZONE_COST_S
            return cost

        usable = [
            item
            for item in self._list_prefill(service, now)
            if item.is_available(now) and estimate_backlog(item) <= limit_s
        ]
        return self._choose_least(usable, estimate)

    def _list_prefill(self, service: str, now: float):
        return [
            item
            for item in self._endpoints.list_usable(
                service=service, role=membership.Role.PREFILL, now=now
            )
            if item.health.is_reachable(now)
        ]

    @staticmethod
    def can_prefill_locally(
        decode: _endpoints.Endpoint, size: _base.WorkSize
    ) -> bool:
        """Says whether a decode engine may read a prompt itself.

        It does so between the tokens of others, which wait meanwhile.

        Args:
            decode: The engine.
            size: The size of the generation.
        """
        if decode.total_prefill_tokens:
            return False
        is_short = size.prompt_tokens <= _SELF_READ_TOKENS
        return is_short or decode.total_in_flight <= _FEW_STREAMS

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
