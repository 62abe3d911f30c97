"""Data types of stated rates, quotas and the messages about them."""

import dataclasses

from sassafrasstile import membership
from sassafrasstile import workspaces

# Times that lie further apart than this don't matter any more.
MAX_AGE_S = 3600.0


def make_key(record: membership.EndpointRecord) -> str:
    """Returns the key of one incarnation of an endpoint.

    Another incarnation has named no rate yet.
    """
    return f"{record.endpoint_id}/{record.started_ms}"


@dataclasses.dataclass(frozen=True, kw_only=True)
class StatedRate:
    """What one answer of an endpoint says about the rate that it takes.

    The endpoint said so at some time between the two.

    Attributes:
        rate_per_s: Requests a second that it takes from all gateways together,
            or None if it named no rate.
        sent_at: When the answered request was sent, in seconds.
        seen_at: When the answer arrived, in seconds.
    """

    rate_per_s: float | None
    sent_at: float
    seen_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class PermitDecision:
    """What is handed out to a gateway that asks.

    Attributes:
        wait_s: Seconds until it is worth asking again, or zero if something
            is handed out.
        amount: What is handed out; one permit by default.
        left: What is left at the gateway that hands out.
        is_firm: False if that gateway may only hand out a part, so that others
            might hand out more.
    """

    wait_s: float = 0.0
    amount: float = 1.0
    left: float = 0.0
    is_firm: bool = True

    @property
    def is_granted(self) -> bool:
        """True if the request may be sent."""
        return not self.wait_s


@dataclasses.dataclass(frozen=True, kw_only=True)
class RateNews:
    """What a gateway tells others about an endpoint's rate.

    Attributes:
        key: The key of the endpoint's incarnation.
        rate_per_s: Requests a second, or None if it names no rate any more.
        sent_age_s: Seconds since the answered request was sent.
        seen_age_s: Seconds since the answer arrived.
    """

    key: str
    rate_per_s: float | None
    sent_age_s: float
    seen_age_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class QuotaNews:
    """What a gateway tells others about a workspace's quota.

    Attributes:
        key: The workspace's name.
        version: The version of the configuration that says so.
        quota: The quota, or None if there is none.
    """

    key: str
    version: int
    quota: workspaces.Quota | None


News = RateNews | QuotaNews


@dataclasses.dataclass(frozen=True, kw_only=True)
class Amounts:
    """What a gateway asks for.

    Attributes:
        least: What the first request that waits needs; nothing is handed out
            if there is less.
        needed: What all requests that wait need.
        extra: What those are likely to need that come soon.
    """

    least: float
    needed: float
    extra: float = 0.0


ONE = Amounts(least=1.0, needed=1.0)


@dataclasses.dataclass(frozen=True, kw_only=True)
class PermitRequest:
    """Asks the gateway that hands out a key's amounts for some.

    Attributes:
        number: Identifies the request at its sender.
        news: What the sender knows about the limit.
        amounts: What is needed and wanted.
    """

    number: int
    news: News
    amounts: Amounts = ONE


@dataclasses.dataclass(frozen=True, kw_only=True)
class PermitAnswer:
    """The answer to a permit request.

    Attributes:
        number: The number of the request.
        decision: What is handed out.
        news: What the sender knows about the limit.
    """

    number: int
    decision: PermitDecision
    news: News


@dataclasses.dataclass(frozen=True, kw_only=True)
class PermitReturn:
    """Gives back what was handed out and not used.

    Attributes:
        number: Identifies the message at its sender.
        news: What the sender knows about the limit.
        amount: What is given back.
    """

    number: int
    news: News
    amount: float


Message = RateNews | PermitRequest | PermitAnswer | PermitReturn
