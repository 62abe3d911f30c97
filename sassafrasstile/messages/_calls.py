"""Messages of a call to a plain service."""

import dataclasses

from sassafrasstile.messages import _base


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call(_base.Attempted):
    """A call to a plain service.

    Attributes:
        key: The idempotency key, or an empty string.
        service: The service's name.
        method: The HTTP method.
        path: The path and query below the service.
        content_type: The body's media type.
        body: The body.
        repeatable: True when running it twice is harmless.
        limit_s: Seconds until the call times out.
        digest: A digest of method, path and body, to detect a key that is
            reused for another call.
        first: True when the caller declares that it sends this key for the
            first time.
        runs_unlogged: True when it may run without a claim in the log
            while the log is unavailable.
        known_loss_offset: The highest loss offset of the service that the
            gateway knew before it received the call.
    """

    key: str
    service: str
    method: str
    path: str
    content_type: str = ""
    body: bytes = b""
    repeatable: bool = True
    limit_s: float = 0.0
    digest: str = ""
    first: bool = False
    runs_unlogged: bool = False
    known_loss_offset: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Inquire(_base.Attempted):
    """Asks for the outcome of a call that may not be repeated.

    Attributes:
        key: The idempotency key of the call.
    """

    key: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallAnswered(_base.Attempted):
    """The service has answered.

    Attributes:
        status: The HTTP status.
        content_type: The body's media type.
        body: The body.
        replayed: True when this is the stored answer of an earlier attempt.
    """

    status: int
    content_type: str
    body: bytes
    replayed: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class KeyStatus(_base.Attempted):
    """The outcome of a call.

    Attributes:
        verdict: A `verdicts.VerdictName`.
        status: The HTTP status of its answer, or zero.
        content_type: The media type of its answer.
        body: The body of its answer.
        code: An `errors.Code`, or an empty string.
    """

    verdict: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    code: str = ""
