"""Patterns of load and faults in a run."""

from collections.abc import Mapping
import dataclasses
import types


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pattern:
    """A change of load or a fault that lasts for a limited time.

    Attributes:
        start_s: Time at which the pattern begins.
        duration_s: Seconds for which the pattern lasts.
    """

    start_s: float = 8.0
    duration_s: float = 6.0

    def is_active(self, now: float) -> bool:
        """Returns whether the pattern is in effect at a time."""
        return self.start_s <= now < self.start_s + self.duration_s

    def scale_time(self, factor: float) -> "Pattern":
        """Returns the pattern with its times multiplied by a factor."""
        return dataclasses.replace(
            self,
            start_s=factor * self.start_s,
            duration_s=factor * self.duration_s,
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Steady(Pattern):
    """Constant load without faults."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Burst(Pattern):
    """More requests than usual.

    Attributes:
        factor: Factor of the arrival rate.
    """

    factor: float = 1.8


@dataclasses.dataclass(frozen=True, kw_only=True)
class LongPrompts(Pattern):
    """Longer prompts than usual at the usual arrival rate.

    Attributes:
        factor: Factor of the mean prompt length.
    """

    factor: float = 1.7


@dataclasses.dataclass(frozen=True, kw_only=True)
class UnresponsivePrefills(Pattern):
    """Some prefill engines don't respond.

    Attributes:
        share: Share of the prefill engines.
    """

    share: float = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShortHandles(Pattern):
    """Handles of finished prefills expire very soon.

    Attributes:
        ttl_s: Seconds until a handle expires.
    """

    ttl_s: float = 0.02


@dataclasses.dataclass(frozen=True, kw_only=True)
class SlowLinks(Pattern):
    """Transfers of KV cache are slow.

    Attributes:
        factor: Factor of the transfer time.
    """

    factor: float = 8.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class OneZone(Pattern):
    """Callers prefer the gateways of one availability zone.

    Attributes:
        share: Share of the attempts that go only to this zone.
    """

    share: float = 0.7


@dataclasses.dataclass(frozen=True, kw_only=True)
class UrgentBurst(Pattern):
    """More requests than usual, all of them urgent and at one gateway.

    Attributes:
        factor: Factor of the arrival rate.
    """

    factor: float = 1.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class ImmediateRetries(Pattern):
    """Refused callers retry without a delay and more often.

    Attributes:
        share: Share of the callers.
        retries: Maximum number of retries of each of these callers.
    """

    duration_s: float = 12.0
    share: float = 0.4
    retries: int = 3


@dataclasses.dataclass(frozen=True, kw_only=True)
class Wave(Pattern):
    """The arrival rate rises and falls.

    Attributes:
        swing: The largest change, as a share of the mean rate.
        period_s: Seconds from one peak to the next.
    """

    start_s: float = 0.0
    duration_s: float = float("inf")
    swing: float = 0.55
    period_s: float = 13.0

    def scale_time(self, factor: float) -> "Wave":
        """Returns the wave with its times multiplied by a factor."""
        scaled = super().scale_time(factor)
        return dataclasses.replace(scaled, period_s=factor * self.period_s)


@dataclasses.dataclass(frozen=True, kw_only=True)
class SlowSpell(Pattern):
    """The fastest engines of each kind are slow.

    Attributes:
        share: Share of the engines.
        factor: Factor of the time that they take.
    """

    share: float = 0.2
    factor: float = 5.0


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
        "urgent_burst": UrgentBurst(),
        "wave": Wave(),
        "slow_spell": SlowSpell(),
    }
)
