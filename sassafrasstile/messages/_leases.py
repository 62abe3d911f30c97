"""Messages about leases and failures of attempts."""

import dataclasses

from sassafrasstile.messages import _base


@dataclasses.dataclass(frozen=True, kw_only=True)
class Renew(_base.Message):
    """Renews the lease on all that a gateway holds at a sidecar.

    A hold of this gateway whose attempt is below `issued_below` and not in
    `live` has been given up; the sidecar releases it. So a lost cancellation
    costs one renewal interval and no more.

    Attributes:
        issued_below: The gateway's next attempt number.
        live: The attempts that the gateway still wants at this sidecar.
    """

    issued_below: int
    live: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Renewed(_base.Message):
    """Answers a renewal, so that a silent sidecar is noticed."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Failed(_base.Attempted):
    """An attempt is over without a whole result.

    Attributes:
        verdict: A `verdicts.VerdictName`.
        code: An `errors.Code`.
        retry_after_s: Seconds after which a retry may succeed, or zero.
        detail: One sentence for a person.
        owner: The endpoint that owns the key, when that is why.
    """

    verdict: str
    code: str
    retry_after_s: float = 0.0
    detail: str = ""
    owner: str = ""
