"""Requests and effects of the gateway kernel."""

import dataclasses

from sassafrasstile import messages
from sassafrasstile import verdicts

INTERACTIVE_PRIORITY = 0
DEFERRED_PRIORITY = 10


@dataclasses.dataclass(frozen=True, kw_only=True)
class GenerationRequest:
    """A caller's request for generated text, already checked.

    Attributes:
        request_id: The request's id, or the caller's idempotency key.
        workspace: Who asks.
        model: The model's name.
        prompt: The prompt's text.
        prompt_tokens: Its length in tokens, estimated.
        max_tokens: Output tokens at the most.
        deferred: True when the caller can wait.
        resume_offset: Tokens that the caller already has from a gateway
            that was lost, or None for a new request.
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
    """A caller's call to a plain service, already checked.

    Attributes:
        request_id: The request's id.
        key: The idempotency key; the request's id when the caller sent none.
        workspace: Who asks.
        service: The service's name.
        method: The HTTP method.
        path: The path and query below the service.
        content_type: The body's media type.
        body: The body.
        repeatable: True when running it twice does no harm.
        limit_s: Seconds until the answer must be there.
        digest: A digest of method, path and body.
        first: True when the caller says that it sends the key for the first
            time.
        runs_unlogged: True when it may run without a claim in the log while
            the log is down.
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
    """A caller's question what became of a call.

    Attributes:
        request_id: The id of the question.
        key: The idempotency key of the call.
        service: The service's name.
        limit_s: Seconds until the answer must be there.
    """

    request_id: str
    key: str
    service: str
    limit_s: float = 5.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Send:
    """Send a message to a sidecar.

    Attributes:
        peer: The endpoint's name.
        message: The message.
    """

    peer: str
    message: messages.Message


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reconnect:
    """Break the link to a sidecar and open a new one.

    Attributes:
        peer: The endpoint's name.
    """

    peer: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Deliver:
    """Write tokens to the caller.

    Attributes:
        request_id: The request.
        offset: The index of the first token in the whole answer.
        texts: One text for each token.
    """

    request_id: str
    offset: int
    texts: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Complete:
    """Tell the caller that the answer is whole.

    Attributes:
        request_id: The request.
        tokens: The whole answer's length.
        reason: `stop` or `length`.
    """

    request_id: str
    tokens: int
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refuse:
    """Tell the caller that there is no (whole) answer.

    Attributes:
        request_id: The request.
        verdict: Whether the work may have run.
        detail: One sentence for a person.
    """

    request_id: str
    verdict: verdicts.Verdict
    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """Give the caller a service's answer.

    Attributes:
        request_id: The request.
        status: The HTTP status.
        content_type: The body's media type.
        body: The body.
        replayed: True when the answer is that of an earlier attempt.
    """

    request_id: str
    status: int
    content_type: str
    body: bytes
    replayed: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Report:
    """Tell the caller what became of a call.

    Attributes:
        request_id: The question's id.
        status: The sidecar's message.
    """

    request_id: str
    status: messages.KeyStatus


Effect = Send | Reconnect | Deliver | Complete | Refuse | Answer | Report
