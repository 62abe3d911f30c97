"""Messages about leases and failures of attempts."""

import dataclasses

from sassafrasstile.messages import _base


@dataclasses.dataclass(frozen=True, kw_only=True)
class Renew(_base.Message):
    """Renews the lease on everything that a gateway holds at a sidecar.

    The sidecar releases everything held by attempts of this gateway whose
    numbers are below `issued_below` and not in `live`. So a lost cancellation
    delays the release by at most one renewal interval.

    Attributes:
        issued_below: The gateway's next attempt number.
        live: The attempts at this sidecar that the gateway hasn't abandoned.
    """

    issued_below: int
    live: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Renewed(_base.Message):
    """Answers a renewal, so that an unresponsive sidecar is detected."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Failed(_base.Attempted):
    """An attempt ended without a complete result.

    Attributes:
        verdict: A `verdicts.VerdictName`.
        code: An `errors.Code`.
        retry_after_s: Seconds after which a retry may succeed, or zero.
        detail: A sentence that explains the failure.
        owner: The endpoint that owns the key when the attempt failed because
            another endpoint owns it, or an empty string.
    """

    verdict: str
    code: str
    retry_after_s: float = 0.0
    detail: str = ""
    owner: str = ""
