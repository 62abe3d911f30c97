"""Patterns of load and trouble that a run may meet."""

from collections.abc import Mapping
import dataclasses
import types


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pattern:
    """Something that happens for a while.

    Attributes:
        start_s: When it begins.
        length_s: How long it lasts.
    """

    start_s: float = 8.0
    duration_s: float = 6.0

    def is_active(self, now: float) -> bool:
        """Says whether it happens now."""
        return self.start_s <= now < self.start_s + self.duration_s


@dataclasses.dataclass(frozen=True, kw_only=True)
class Steady(Pattern):
    """Nothing beyond the usual load."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Burst(Pattern):
    """More requests than usual.

    Attributes:
        factor: How many times as many.
    """

    factor: float = 1.8


@dataclasses.dataclass(frozen=True, kw_only=True)
class LongPrompts(Pattern):
    """Longer prompts than usual, and as many requests.

    Attributes:
        factor: How many times as long.
    """

    factor: float = 1.7


@dataclasses.dataclass(frozen=True, kw_only=True)
class UnresponsivePrefills(Pattern):
    """Some prefill engines don't answer.

    Attributes:
        share: Which share of them.
    """

    share: float = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShortHandles(Pattern):
    """Finished prefills are kept for a moment only.

    Attributes:
        ttl_s: For how many seconds.
    """

    ttl_s: float = 0.02


@dataclasses.dataclass(frozen=True, kw_only=True)
class SlowLinks(Pattern):
    """KV cache moves slowly.

    Attributes:
        factor: How many times as slowly.
    """

    factor: float = 8.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class OneZone(Pattern):
    """Callers come to the gateways of one availability zone.

    Attributes:
        share: Which share of them.
    """

    share: float = 0.7


@dataclasses.dataclass(frozen=True, kw_only=True)
class ImmediateRetries(Pattern):
    """Refused callers don't wait, and repeat more often.

    Attributes:
        share: Which share of them.
        repeats: How often each does.
    """

    duration_s: float = 12.0
    share: float = 0.4
    retries: int = 3


PATTERNS: Mapping[str, Pattern] = types.MappingProxyType(
    {
        "steady": Steady(),
        "burst": Burst(),
        "long_prompts": LongPrompts(),
        "dark_prefills": UnresponsivePrefills(),
        "short_handles": ShortHandles(),
        "slow_links": SlowLinks(),
        "one_zone": OneZone(),
        "repeat_at_once": ImmediateRetries(),
    }
)
