"""Chooses the engine that prefills a generation's prompt."""

from collections.abc import Callable, Sequence
import random

from sassafrasstile import membership
from sassafrasstile import routes
from sassafrasstile import speeds
from sassafrasstile.dispatch import _base
from sassafrasstile.dispatch import _costs
from sassafrasstile.dispatch import _endpoints

# Cost of a prefill in another zone than the decode, in seconds of backlog.
_PREFILL_ZONE_COST_S = 0.05
# Where engines are about equally fast, these are assumed: the longest prompt
# that a decode engine prefills beside other streams; the rate of a prefill
# engine; its longest backlog, and that for the prompt of a late generation.
_MAX_LOCAL_PREFILL_TOKENS = 6000
_PREFILL_TOKENS_PER_S = 50_000.0
_MAX_BACKLOG_S = 0.3
_MAX_LATE_BACKLOG_S = 0.1
# Maximum backlog at which a prefill engine gets another prompt, as a share of
# the target for the first token. It is at most the one above: generations that
# have less time come after those that have much.
_MAX_BACKLOG_SHARE = 1 / 3
# The same for the prompt of a late generation.
_MAX_LATE_BACKLOG_SHARE = 1 / 9
# With at most this many streams, a decode engine prefills prompts of any
# length.
_FEW_STREAMS = 1
# Number of engines compared while gateways hear late of each other's choices.
_LAGGING_SAMPLE = 2


def can_prefill_locally(
    decode: _endpoints.Endpoint, size: _base.WorkSize, now: float
) -> bool:
    """Returns whether a decode engine may prefill a prompt itself.

    The prefill runs between the decode steps of the engine's other streams and
    delays them.

    Args:
        decode: The decode engine.
        size: The size of the generation.
        now: The time in seconds.
    """
    if decode.total_prefill_tokens:
        return False
    if decode.total_in_flight <= _FEW_STREAMS:
        return True
    if not decode.speeds.is_uneven:
        return size.prompt_tokens <= _MAX_LOCAL_PREFILL_TOKENS
    # The time to the first event has the steps of one event in it.
    gap_s = decode.speeds.estimate_s(
        speeds.Kind.LOCAL_PREFILL, size.prompt_tokens, now
    )
    return gap_s <= size.max_gap_s


class PrefillChooser:
    """Chooses among prefill engines of the decode engine's software version.

    What engines of two versions write doesn't fit together, and a decode engine
    doesn't check whose KV cache it takes over.

    Args:
        endpoints: The endpoints.
        generator: The source of random numbers.
        is_lagging: Returns whether this gateway hears late of what others
            reserve just now.
    """

    def __init__(
        self,
        *,
        endpoints: _endpoints.EndpointTable,
        generator: random.Random,
        is_lagging: Callable[[], bool] = lambda: False,
    ):
        self._endpoints = endpoints
        self._generator = generator
        self._is_lagging = is_lagging

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
        if self._is_short(service, size):
            return None
        prefills = self._list_reachable(service.name, now)
        decodes = self._endpoints.list_usable(
            service=service.name, role=membership.Role.DECODE, now=now
        )
        versions = {item.record.software_version for item in prefills}
        versions &= {item.record.software_version for item in decodes}
        return frozenset(versions) or None

    def _is_short(self, service: routes.Service, size: _base.WorkSize) -> bool:
        """Returns whether typical decode engines may prefill a prompt."""
        typical = self._endpoints.get_service_speeds(service.name)
        if not typical.is_uneven:
            return size.prompt_tokens <= _MAX_LOCAL_PREFILL_TOKENS
        gap_s = typical.estimate_s(
            speeds.Kind.LOCAL_PREFILL, size.prompt_tokens
        )
        return gap_s <= size.max_gap_s

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
        prefill = self._choose_cheapest(
            engines,
            size,
            now,
            zone=decode.record.zone,
            is_late=is_late,
            is_uneven=decode.speeds.is_uneven,
        )
        if prefill is not None:
            return prefill
        # A stream that can go on nowhere else doesn't wait for a prefill
        # engine that doesn't exist.
        must_be_local = is_bound and not engines
        is_local = must_be_local or can_prefill_locally(decode, size, now)
        return decode if is_local else None

    def _choose_cheapest(
        self,
        engines: Sequence[_endpoints.Endpoint],
        size: _base.WorkSize,
        now: float,
        *,
        zone: str,
        is_late: bool,
        is_uneven: bool,
    ) -> _endpoints.Endpoint | None:
        """Chooses the prefill engine expected to finish the prompt first."""
        limit_s = _choose_backlog_limit_s(
            size, is_late=is_late, is_uneven=is_uneven
        )

        def estimate_backlog(item: _endpoints.Endpoint) -> float:
            if not is_uneven:
                return item.total_prefill_tokens / _PREFILL_TOKENS_PER_S
            return item.speeds.estimate_wait_s(
                speeds.Kind.PREFILL, item.total_prefill_tokens, now
            )

        def estimate(item: _endpoints.Endpoint) -> float:
            cost = estimate_backlog(item)
            if is_uneven:
                cost = item.speeds.estimate_s(
                    speeds.Kind.PREFILL,
                    item.total_prefill_tokens + size.prompt_tokens,
                    now,
                )
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
        if is_uneven and self._is_lagging():
            usable = self._generator.sample(
                usable, min(_LAGGING_SAMPLE, len(usable))
            )
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


def _choose_backlog_limit_s(
    size: _base.WorkSize, *, is_late: bool, is_uneven: bool
) -> float:
    """Returns the longest backlog behind which a prompt is queued."""
    if not is_uneven:
        return _MAX_LATE_BACKLOG_S if is_late else _MAX_BACKLOG_S
    share = _MAX_LATE_BACKLOG_SHARE if is_late else _MAX_BACKLOG_SHARE
    target_s = min(size.target_s, _MAX_BACKLOG_S / _MAX_BACKLOG_SHARE)
    return share * target_s
