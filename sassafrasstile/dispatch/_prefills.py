"""Chooses the engine that prefills a generation's prompt."""

from collections.abc import Sequence
import random

from sassafrasstile import membership
from sassafrasstile import routes
from sassafrasstile.dispatch import _base
from sassafrasstile.dispatch import _costs
from sassafrasstile.dispatch import _endpoints

# Cost of a prefill in another zone than the decode, in seconds of backlog.
_PREFILL_ZONE_COST_S = 0.05
# Maximum backlog at which a prefill engine gets another prompt.
_MAX_BACKLOG_S = 0.3
# Maximum backlog at which it gets the prompt of a late generation.
_MAX_LATE_BACKLOG_S = 0.1
# Longest prompt that a decode engine prefills beside other streams. It
# prefills 1,024 tokens in 40 ms between two tokens of each stream, and an
# event has seven tokens, so longer prompts delay the events of the others.
_MAX_LOCAL_PREFILL_TOKENS = 6000
# With at most this many streams, it prefills prompts of any length.
_FEW_STREAMS = 1
# Assumed prefill rate, which turns tokens into a backlog in seconds.
_PREFILL_TOKENS_PER_S = 50_000.0


def can_prefill_locally(
    decode: _endpoints.Endpoint, size: _base.WorkSize
) -> bool:
    """Returns whether a decode engine may prefill a prompt itself.

    The prefill runs between the decode steps of the engine's other streams and
    delays them.

    Args:
        decode: The decode engine.
        size: The size of the generation.
    """
    if decode.total_prefill_tokens:
        return False
    is_short = size.prompt_tokens <= _MAX_LOCAL_PREFILL_TOKENS
    return is_short or decode.total_in_flight <= _FEW_STREAMS


class PrefillChooser:
    """Chooses among prefill engines of the decode engine's software version.

    What engines of two versions write doesn't fit together, and a decode engine
    doesn't check whose KV cache it takes over.

    Args:
        endpoints: The endpoints.
        generator: The source of random numbers.
    """

    def __init__(
        self,
        *,
        endpoints: _endpoints.EndpointTable,
        generator: random.Random,
    ):
        self._endpoints = endpoints
        self._generator = generator

    def list_versions(
        self, service: routes.Service, size: _base.WorkSize, now: float
    ) -> frozenset[str] | None:
        """Returns the versions whose engines can run a long prompt.

        Args:
            service: The required service.
            size: The size of the generation.
            now: The time in seconds.

        Returns:
            The versions with engines of both kinds; None if any version will
            do, or if there is none with both.
        """
        if size.prompt_tokens <= _MAX_LOCAL_PREFILL_TOKENS:
            return None
        prefills = self._list_reachable(service.name, now)
        decodes = self._endpoints.list_usable(
            service=service.name, role=membership.Role.DECODE, now=now
        )
        versions = {item.record.software_version for item in prefills}
        versions &= {item.record.software_version for item in decodes}
        return frozenset(versions) or None

    def choose(
        self,
        decode: _endpoints.Endpoint,
        service: routes.Service,
        size: _base.WorkSize,
        now: float,
        *,
        is_late: bool,
        is_bound: bool,
    ) -> _endpoints.Endpoint | None:
        """Chooses the engine that prefills for a decode engine, or itself.

        Args:
            decode: The decode engine.
            service: The required service.
            size: The size of the generation.
            now: The time in seconds.
            is_late: True when the first token can't meet its target.
            is_bound: True when no other version may run the generation.

        Returns:
            The engine, or None to wait for one.
        """
        version = decode.record.software_version
        engines = [
            item
            for item in self._list_reachable(service.name, now)
            if item.record.software_version == version
        ]
        limit_s = _MAX_LATE_BACKLOG_S if is_late else _MAX_BACKLOG_S
        prefill = self._choose_cheapest(
            engines, now, decode.record.zone, limit_s
        )
        if prefill is not None:
            return prefill
        # A stream that can go on nowhere else doesn't wait for a prefill
        # engine that doesn't exist.
        must_be_local = is_bound and not engines
        is_local = must_be_local or can_prefill_locally(decode, size)
        return decode if is_local else None

    def _choose_cheapest(
        self,
        engines: Sequence[_endpoints.Endpoint],
        now: float,
        zone: str,
        limit_s: float,
    ) -> _endpoints.Endpoint | None:
        """Chooses the prefill engine expected to finish the prompt first."""

        def estimate_backlog(item: _endpoints.Endpoint) -> float:
            return item.total_prefill_tokens / _PREFILL_TOKENS_PER_S

        def estimate(item: _endpoints.Endpoint) -> float:
            cost = estimate_backlog(item)
            rate = item.health.compute_failure_rate(now)
            cost += _costs.FAILURE_COST_S * rate
            if item.record.zone != zone:
                cost += _PREFILL_ZONE_COST_S
            return cost

        usable = [
            item
            for item in engines
            if item.is_available(now) and estimate_backlog(item) <= limit_s
        ]
        return _costs.choose_cheapest(
            usable, estimate, generator=self._generator
        )

    def _list_reachable(
        self, service: str, now: float
    ) -> list[_endpoints.Endpoint]:
        return [
            item
            for item in self._endpoints.list_usable(
                service=service, role=membership.Role.PREFILL, now=now
            )
            if item.health.is_reachable(now)
        ]
