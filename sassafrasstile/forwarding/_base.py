"""The contract of codecs between gateways and endpoints."""

import abc
import dataclasses
import enum

from sassafrasstile import dispatch
from sassafrasstile import membership
from sassafrasstile import routes
from sassafrasstile import web


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestDetails:
    """What the headers of a caller's request say.

    Attributes:
        request_id: The id of this attempt of the caller.
        host: The host that it names.
        timeout_s: Seconds that the caller waits, or None when it doesn't
            say.
        prompt_tokens: Tokens of a generation's prompt.
        output_tokens: The longest output that the caller would take.
        last_event_id: The id of the last event that the caller has, or None.
    """

    request_id: str
    host: str
    timeout_s: float | None
    prompt_tokens: int
    output_tokens: int
    last_event_id: str | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class KvHandle:
    """A finished prefill that waits at the engine that ran it.

    Attributes:
        endpoint: The engine.
        token: The handle's name there.
        expires_at: It may be gone from then on, in seconds.
    """

    endpoint: dispatch.Endpoint
    token: str
    expires_at: float = float("inf")


@dataclasses.dataclass(frozen=True, kw_only=True)
class OutgoingRequest:
    """A request to an endpoint.

    Attributes:
        method: The method.
        target: The path with its query.
        headers: Its headers without framing.
        body: Its body.
    """

    method: bytes
    target: bytes
    headers: web.Headers = ()
    body: bytes = b""


class AnswerKind(enum.Enum):
    """What the head of an endpoint's answer proves."""

    SUCCESS = "success"
    FAILURE = "failure"
    NOT_RUN = "not run"
    FOREIGN = "foreign"


class EndpointCodec(abc.ABC):
    """Translates between this project's types and an endpoint's protocol."""

    @abc.abstractmethod
    def decode_request(self, request: web.CallerRequest) -> RequestDetails:
        """Reads the headers of a caller's request.

        Raises:
            errors.RequestError: A header is missing or malformed.
        """

    @abc.abstractmethod
    def encode_run(
        self,
        request: web.CallerRequest,
        *,
        record: membership.EndpointRecord,
        remaining_s: float,
        priority: int,
        handle: KvHandle | None = None,
        last_event_id: str | None = None,
    ) -> OutgoingRequest:
        """Returns the request that makes an endpoint run the work.

        Args:
            request: The caller's request.
            record: The endpoint that is meant.
            remaining_s: Seconds until the caller's deadline.
            priority: The rank of its route; 0 is the most urgent.
            handle: The finished prefill to start from, if any.
            last_event_id: The id of the last event that the caller has.
        """

    @abc.abstractmethod
    def encode_prefill(
        self,
        request: web.CallerRequest,
        *,
        record: membership.EndpointRecord,
        remaining_s: float,
        priority: int,
    ) -> OutgoingRequest:
        """Returns the request that makes an engine only read the prompt."""

    @abc.abstractmethod
    def decode_handle(self, body: bytes) -> str:
        """Reads the name of the handle from the answer to a prefill.

        Raises:
            errors.Error: With BAD_ANSWER.
        """

    @abc.abstractmethod
    def encode_release(self, handle: KvHandle) -> OutgoingRequest:
        """Returns the request that frees a handle."""

    @abc.abstractmethod
    def encode_probe(
        self, *, record: membership.EndpointRecord, service: routes.Service
    ) -> OutgoingRequest:
        """Returns a request that shows whether an endpoint is alive."""

    @abc.abstractmethod
    def encode_order(
        self,
        *,
        record: membership.EndpointRecord,
        role: membership.Role,
        holder: str,
        fencing_token: int,
    ) -> OutgoingRequest:
        """Returns the order that changes an engine's role.

        Args:
            record: The engine.
            role: The role wanted.
            holder: The gateway that gives the order.
            fencing_token: The fencing token of the order.
        """

    @abc.abstractmethod
    def classify(
        self, head: web.ResponseHead, *, request_id: str, is_run: bool
    ) -> AnswerKind:
        """Says what the head of an answer proves.

        Args:
            head: Status and headers.
            request_id: The id of the request that it should answer.
            is_run: False when the answer is to a prefill alone.
        """

    @abc.abstractmethod
    def encode_retry_after(self, seconds: float) -> web.Headers:
        """Returns the headers that tell a caller when to come back."""
