"""Requests and effects of the gateway kernel."""

import dataclasses

from sassafrasstile import messages
from sassafrasstile import verdicts

INTERACTIVE_PRIORITY = 0
DEFERRED_PRIORITY = 10


@dataclasses.dataclass(frozen=True, kw_only=True)
class GenerationRequest:
    """A caller's validated request for generated text.

    Attributes:
        request_id: The request's id, or the caller's idempotency key.
        workspace: The caller's workspace.
        model: The model's name.
        prompt: The prompt's text.
        prompt_tokens: The prompt's estimated length in tokens.
        max_tokens: The maximum number of output tokens.
        deferred: True for a request that isn't interactive: it has a lower
            priority and longer limits.
        resume_offset: The number of tokens that the caller already received
            through a connection that was lost, or None for a new request.
    """

    request_id: str
    workspace: str
    model: str
    prompt: str
    prompt_tokens: int
    max_tokens: int
    deferred: bool = False
    resume_offset: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallRequest:
    """A caller's validated call to a plain service.

    Attributes:
        request_id: The request's id.
        key: The idempotency key; the request's id when the caller sent none.
        workspace: The caller's workspace.
        service: The service's name.
        method: The HTTP method.
        path: The path and query below the service.
        content_type: The body's media type.
        body: The body.
        repeatable: True when the call is idempotent, so that it may run more
            than once.
        limit_s: Seconds until the call times out.
        digest: A digest of method, path and body.
        first: True when the caller declares that it sends the key for the
            first time.
        runs_unlogged: True when the call may run without a claim in the log
            while the log is unavailable.
    """

    request_id: str
    key: str
    workspace: str
    service: str
    method: str
    path: str
    content_type: str = ""
    body: bytes = b""
    repeatable: bool = True
    limit_s: float = 10.0
    digest: str = ""
    first: bool = False
    runs_unlogged: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class InquiryRequest:
    """A caller's inquiry about the outcome of a call.

    Attributes:
        request_id: The inquiry's own id.
        key: The idempotency key of the call.
        service: The service's name.
        limit_s: Seconds until the inquiry times out.
    """

    request_id: str
    key: str
    service: str
    limit_s: float = 5.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Send:
    """Effect: send a message to a sidecar.

    Attributes:
        peer: The endpoint's name.
        message: The message.
    """

    peer: str
    message: messages.Message


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reconnect:
    """Effect: close the link to a sidecar and open a new one.

    Attributes:
        peer: The endpoint's name.
    """

    peer: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Deliver:
    """Effect: write tokens to the caller.

    Attributes:
        request_id: The request.
        offset: The index of the first token in the complete answer.
        texts: One text for each token.
    """

    request_id: str
    offset: int
    texts: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Complete:
    """Effect: end the answer to the caller as complete.

    Attributes:
        request_id: The request.
        tokens: The complete answer's length.
        reason: `stop` or `length`.
    """

    request_id: str
    tokens: int
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refuse:
    """Effect: tell the caller that there is no answer or no complete one.

    Attributes:
        request_id: The request.
        verdict: Whether the work may have run.
        detail: One sentence that explains the refusal to a person.
    """

    request_id: str
    verdict: verdicts.Verdict
    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """Effect: return a service's answer to the caller.

    Attributes:
        request_id: The request.
        status: The HTTP status.
        content_type: The body's media type.
        body: The body.
        replayed: True for the stored answer of an earlier call with the
            same key.
    """

    request_id: str
    status: int
    content_type: str
    body: bytes
    replayed: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Report:
    """Effect: report the outcome of a call to the caller that inquired.

    Attributes:
        request_id: The inquiry's id.
        status: The sidecar's reply.
    """

    request_id: str
    status: messages.KeyStatus


Effect = Send | Reconnect | Deliver | Complete | Refuse | Answer | Report
