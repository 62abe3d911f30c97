"""How much of an amount may be handed out."""

import dataclasses

# An endpoint that names no more than this is still asked now and then, or its
# need would never be seen to end.
_MIN_RATE_PER_S = 0.2
# The burst of an endpoint is this many seconds of its rate, and no fewer
# permits than this.
_BURST_S = 1.0
_MIN_BURST = 2.0
_FIRST_PERMITS = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limit:
    """What may be handed out for a key; the unit is up to those who ask.

    Attributes:
        rate_per_s: The amount a second.
        burst: The most that a token bucket holds.
        first: What a new bucket begins with.
        overdraft: By how much a full bucket may be exceeded, for a single
            request that it can never hold.

    >>> Limit(rate_per_s=10.0, burst=4.0).scale(0.5)
    Limit(rate_per_s=5.0, burst=2.0, first=0.0, overdraft=0.0)
    """

    rate_per_s: float
    burst: float
    first: float = 0.0
    overdraft: float = 0.0

    def scale(self, share: float) -> "Limit":
        """Returns a share of the limit."""
        return Limit(
            rate_per_s=self.rate_per_s * share,
            burst=self.burst * share,
            first=self.first * share,
            overdraft=self.overdraft * share,
        )


def make_permit_limit(rate_per_s: float) -> Limit:
    """Returns the limit of an endpoint that names a rate.

    Args:
        rate_per_s: The permits a second that may be handed out.
    """
    rate_per_s = max(rate_per_s, _MIN_RATE_PER_S)
    return Limit(
        rate_per_s=rate_per_s,
        burst=max(_MIN_BURST, _BURST_S * rate_per_s),
        first=_FIRST_PERMITS,
    )
