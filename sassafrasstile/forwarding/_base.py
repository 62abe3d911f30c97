"""The interface of the protocol between gateways and endpoints."""

import abc
import dataclasses
import enum

from sassafrasstile import dispatch
from sassafrasstile import membership
from sassafrasstile import routes
from sassafrasstile import web
from sassafrasstile import workspaces


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestDetails:
    """The decoded headers of a caller's request.

    Attributes:
        request_id: The caller's id for this attempt.
        host: The value of the Host header.
        timeout_s: The caller's timeout in seconds, or None when it sent
            none.
        prompt_tokens: Tokens of a generation's prompt.
        output_tokens: The maximum number of output tokens that the caller
            accepts.
        last_event_id: The id of the last event that the caller received
            from an earlier attempt, or None.
        prompt_parts: The ids of the parts of a generation's prompt, in order.
            Requests share parts; the last one is the prompt's own.
        origin_id: The id of the attempt that brought the first event of the
            stream that the caller takes up again, or None.
        caller: What identifies the caller among all, or an empty string.
        key: The key that the caller shows, or None.
        stated_tokens: The tokens that the request states, prompt and most
            output together, or None if it states none.
    """

    request_id: str
    host: str
    timeout_s: float | None
    prompt_tokens: int
    output_tokens: int
    last_event_id: str | None
    prompt_parts: tuple[str, ...] = ()
    origin_id: str | None = None
    caller: str = dataclasses.field(default="", repr=False)
    key: str | None = dataclasses.field(default=None, repr=False)
    stated_tokens: int | None = None

    @property
    def prompt_id(self) -> str:
        """Identifies a generation's prompt, also when the request is repeated.

        It is empty if the caller names none.
        """
        return self.prompt_parts[-1] if self.prompt_parts else ""

    @property
    def is_resumption(self) -> bool:
        """True when the caller has a part of the stream already."""
        return bool(self.last_event_id or self.origin_id)


@dataclasses.dataclass(frozen=True, kw_only=True)
class KvHandle:
    """The KV cache of a finished prefill, kept by the engine that ran it.

    Attributes:
        endpoint: The prefill engine.
        token: The name of the handle at that engine.
        expires_at: The time from which the engine may have evicted it, in
            seconds.
    """

    endpoint: dispatch.Endpoint
    token: str
    expires_at: float = float("inf")


@dataclasses.dataclass(frozen=True, kw_only=True)
class OutgoingRequest:
    """A request to an endpoint.

    Attributes:
        method: The HTTP method.
        target: The path and query string.
        headers: The headers, without those that frame the body.
        body: The body.
        request_id: The id that its answer names, or an empty string.
        access: What it runs as, checked when it is sent, or None if it isn't
            on behalf of a caller.
    """

    method: bytes
    target: bytes
    headers: web.Headers = dataclasses.field(default=(), repr=False)
    body: bytes = b""
    request_id: str = ""
    access: workspaces.Access | None = None


class AnswerKind(enum.Enum):
    """What the head of an endpoint's answer proves.

    Attributes:
        SUCCESS: The endpoint ran the request.
        FAILURE: The endpoint answered with an error of its own.
        NOT_RUN: The endpoint did not run the request.
        FOREIGN: Not a valid answer to this request; it proves nothing.
    """

    SUCCESS = "success"
    FAILURE = "failure"
    NOT_RUN = "not run"
    FOREIGN = "foreign"


class EndpointCodec(abc.ABC):
    """Translates between this project's types and an endpoint's protocol."""

    @abc.abstractmethod
    def decode_request(self, request: web.CallerRequest) -> RequestDetails:
        """Decodes the headers of a caller's request.

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
        access: workspaces.Access = workspaces.ANONYMOUS,
        handle: KvHandle | None = None,
        hold: str | None = None,
        last_event_id: str | None = None,
    ) -> OutgoingRequest:
        """Returns the request that makes an endpoint run a caller's request.

        Args:
            request: The caller's request.
            record: The endpoint.
            remaining_s: Seconds until the caller's deadline.
            priority: Its priority; 0 is the most urgent.
            access: What it runs as.
            handle: The finished prefill to start from, if any.
            hold: The name of the memory that the engine has set aside, if any.
            last_event_id: The id of the last event that the caller has
                received, to resume a stream after it.
        """

    @abc.abstractmethod
    def encode_prefill(
        self,
        request: web.CallerRequest,
        *,
        record: membership.EndpointRecord,
        remaining_s: float,
        priority: int,
        access: workspaces.Access = workspaces.ANONYMOUS,
    ) -> OutgoingRequest:
        """Returns the request that makes an engine only prefill the prompt."""

    @abc.abstractmethod
    def decode_handle(self, body: bytes) -> str:
        """Decodes the name of the handle from the answer to a prefill.

        Raises:
            errors.Error: With BAD_ANSWER.
        """

    @abc.abstractmethod
    def encode_release(self, handle: KvHandle) -> OutgoingRequest:
        """Returns the request that releases a handle."""

    @abc.abstractmethod
    def encode_hold(
        self, *, record: membership.EndpointRecord, tokens: int, ttl_s: float
    ) -> OutgoingRequest:
        """Returns the request that makes an engine set memory aside.

        Args:
            record: The engine.
            tokens: The KV cache in tokens.
            ttl_s: Seconds after which the engine frees it unless it is used.
        """

    @abc.abstractmethod
    def decode_hold(self, body: bytes) -> str:
        """Decodes the name of the hold from the engine's answer.

        Raises:
            errors.Error: With BAD_ANSWER.
        """

    @abc.abstractmethod
    def encode_hold_release(
        self, *, record: membership.EndpointRecord, token: str
    ) -> OutgoingRequest:
        """Returns the request that releases a hold."""

    @abc.abstractmethod
    def encode_probe(
        self,
        *,
        record: membership.EndpointRecord,
        service: routes.Service,
        must_name_instance: bool,
    ) -> OutgoingRequest:
        """Returns a health-check request for an endpoint.

        Args:
            record: The endpoint.
            service: Its service.
            must_name_instance: True if the answer has to name the instance,
                which may cost the endpoint more.
        """

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
            role: The new role.
            holder: The name of the gateway that sends the order.
            fencing_token: The fencing token of that gateway's lease.
        """

    @abc.abstractmethod
    def answers(self, head: web.ResponseHead, *, request_id: str) -> bool:
        """Returns whether a head is that of the answer to a request.

        It names the request's id, or none if the request has none. Whatever
        else comes where the answer is due belongs to another request.

        Args:
            head: Status and headers.
            request_id: The request's id, empty if it has none.
        """

    @abc.abstractmethod
    def classify(
        self, head: web.ResponseHead, *, request_id: str, is_run: bool
    ) -> AnswerKind:
        """Returns what the head of an answer proves.

        Args:
            head: Status and headers.
            request_id: The id of the request that it should answer.
            is_run: False when it answers a request to prefill only.
        """

    @abc.abstractmethod
    def is_from_other_instance(
        self, head: web.ResponseHead, *, endpoint_id: str
    ) -> bool:
        """Returns whether another instance has refused a request.

        It has taken the endpoint's address, and the request was not run.

        Args:
            head: Status and headers of the answer.
            endpoint_id: The endpoint that the request was meant for.
        """

    @abc.abstractmethod
    def names_other_instance(
        self, head: web.ResponseHead, *, endpoint_id: str
    ) -> bool:
        """Returns whether an answer names another instance as its sender.

        Args:
            head: Status and headers of the answer.
            endpoint_id: The endpoint that the request was meant for.
        """

    @abc.abstractmethod
    def decode_notice(
        self, head: web.ResponseHead, *, endpoint_id: str, request_id: str
    ) -> dispatch.EndpointNotice:
        """Returns what an answer says about further requests.

        The answer of another instance, or to another request, says nothing.

        Args:
            head: Status and headers of the answer.
            endpoint_id: The endpoint that the request was meant for.
            request_id: The id of the request, empty if it has none.
        """

    @abc.abstractmethod
    def encode_retry_after(self, seconds: float) -> web.Headers:
        """Returns the headers that tell a caller when to retry."""
