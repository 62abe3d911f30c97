"""What the bounds on quotas leave to each gateway."""

import dataclasses
import functools

from sassafrasstile import workspaces
from sassafrasstile.permits import _limits

# Shares of the slack: what is leased, and as much on its way back, when a
# window begins; what a new bucket begins with; what those hand out that stand
# in for a silent gateway; what grows in a window where gateways don't hear each
# other; what gateways use that nobody answers, or give back of older charges.
_LEASE_SHARE = 1 / 8
_FIRST_SHARE = 1 / 8
_STAND_IN_SHARE = 1 / 4
_SPREAD_SHARE = 1 / 16
_RESERVE_SHARE = 1 / 2
# This share of the overshoot is handed out as rate, the rest as burst.
_RATE_SHARE = 1 / 2
_MAX_LEASE_S = 2.0
_MAJORITY = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class QuotaBounds:
    """By how much all gateways together may exceed a quota.

    In any window, a workspace may use (rate x window + burst) x
    (1 + overshoot) + slack.

    Attributes:
        window_s: The length of the window in seconds.
        overshoot: The excess as a share of what the quota allows.
        slack: The excess beyond that share, in the unit of the quota.
    """

    window_s: float = 0.0
    overshoot: float = 0.0
    slack: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Standing:
    """What part a gateway has among those that may hand out an amount.

    Attributes:
        is_first: True if it is the one that hands out, as far as it knows.
        share: The share of the gateways that it hears of, itself included.
    """

    is_first: bool
    share: float

    @property
    def is_firm(self) -> bool:
        """True if no other gateway can hand out more at the same time."""
        return self.is_first and self.share > _MAJORITY


@dataclasses.dataclass(frozen=True)
class QuotaTerms:
    """How a quota is handed out within the bounds.

    Attributes:
        quota: The quota.
        bounds: By how much all gateways together may exceed it.

    >>> quota = workspaces.Quota(rate_per_s=10.0, burst=20.0)
    >>> terms = QuotaTerms(quota, QuotaBounds(window_s=8.0, slack=64.0))
    >>> [
    ...     terms.choose_limit(standing).rate_per_s
    ...     for standing in (
    ...         Standing(is_first=True, share=1.0),
    ...         Standing(is_first=True, share=0.25),
    ...         Standing(is_first=False, share=1.0),
    ...     )
    ... ]
    [10.0, 2.5, 0.5]
    """

    quota: workspaces.Quota
    bounds: QuotaBounds

    @functools.cached_property
    def limit(self) -> _limits.Limit:
        """What the gateway that hands out may hand out."""
        quota, bounds = self.quota, self.bounds
        rate_overshoot = bounds.overshoot * _RATE_SHARE
        rest = (bounds.overshoot - rate_overshoot) * bounds.window_s
        burst = quota.burst * (1 + bounds.overshoot) + quota.rate_per_s * rest
        if quota.unit is workspaces.QuotaUnit.REQUESTS:
            burst = max(1.0, burst)
        return _limits.Limit(
            rate_per_s=quota.rate_per_s * (1 + rate_overshoot),
            burst=burst,
            first=min(burst, bounds.slack * _FIRST_SHARE),
            overdraft=bounds.slack * _FIRST_SHARE,
        )

    @functools.cached_property
    def lease_s(self) -> float:
        """How long what was handed out may be used, in seconds."""
        leased = self.bounds.slack * _LEASE_SHARE
        return min(_MAX_LEASE_S, leased / self.limit.rate_per_s)

    def measure_reserve(self, gateways: int | None) -> float:
        """Returns a gateway's own part of the slack for each window.

        Args:
            gateways: The number of gateways, or None if it isn't known.
        """
        if not gateways:
            return 0.0
        return self.bounds.slack * _RESERVE_SHARE / gateways

    def choose_limit(self, standing: Standing) -> _limits.Limit:
        """Returns what a gateway may hand out.

        A gateway that isn't the first one stands in for it, for a short time.
        One that doesn't hear all others hands out their share of the limit
        only, since the rest may be handed out elsewhere.
        """
        limit, bounds = self.limit, self.bounds
        spread_per_s = 0.0
        if bounds.window_s:
            spread_per_s = bounds.slack * _SPREAD_SHARE / bounds.window_s
        if not standing.is_first:
            first = min(limit.burst, bounds.slack * _STAND_IN_SHARE)
            return _limits.Limit(
                rate_per_s=spread_per_s, burst=first, first=first
            )
        share = standing.share
        if standing.is_firm:
            # Those that aren't heard of hand out their share at most.
            share = min(1.0, share + spread_per_s / limit.rate_per_s)
        return limit.scale(share)
