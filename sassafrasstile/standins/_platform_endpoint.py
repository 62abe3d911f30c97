"""An endpoint that speaks the platform's protocol, for tests and the demo.

A script chooses the bytes, their timing and the end of each answer, so that
tests can send truncated, delayed, duplicate, unframed or missing answers.
"""

from collections.abc import Callable, Sequence
import dataclasses
import json

import h11
from twisted.internet import error
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure

_ATTEMPT_ID_HEADER = "X-Attempt-Id"
_SERVER_STAMP_HEADER = "X-Server-Stamp"
_NOT_EXECUTED_HEADER = "X-Not-Executed"
_INSTANCE_ID_HEADER = "X-Instance-Id"
_LEAVING_HEADER = "Server-Leaving"
_RETRY_AFTER_HEADER = "Retry-After"
_RATE_HEADER = "Server-Limit"


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndpointRequest:
    """A request received by the endpoint.

    Attributes:
        method: The HTTP method.
        target: The path with the query.
        headers: The headers by name in lower case.
        body: The body.
        connection: The number of its connection, counted from 1.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    connection: int = 0

    @property
    def request_id(self) -> str:
        """The id of the caller's attempt."""
        return self.headers.get(_ATTEMPT_ID_HEADER.lower(), "")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Segment:
    """A part of an answer, written in one call after a delay.

    Attributes:
        data: The bytes.
        after_s: The delay before the bytes in seconds.
    """

    data: bytes
    after_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndpointAnswer:
    """The bytes that the endpoint sends and how it ends the connection.

    Attributes:
        segments: The bytes, in order.
        end: What happens to the connection afterwards: `keep`, `close` or
            `reset`.
    """

    segments: Sequence[Segment] = ()
    end: str = "keep"


SILENCE = EndpointAnswer()


def make_answer(
    request: EndpointRequest,
    *,
    status: int = 200,
    body: bytes = b"ok",
    headers: Sequence[tuple[str, str]] = (),
    signed: bool = True,
    after_s: float = 0.0,
    end: str = "keep",
) -> EndpointAnswer:
    """Returns a complete answer with a Content-Length header."""
    fields = list(headers)
    if request.request_id:
        fields.append((_ATTEMPT_ID_HEADER, request.request_id))
    if signed:
        fields.append((_SERVER_STAMP_HEADER, "stamp"))
    fields.append(("Content-Length", str(len(body))))
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields)
    head = f"HTTP/1.1 {status} Status\r\n{lines}\r\n".encode()
    return EndpointAnswer(
        segments=[Segment(data=head + body, after_s=after_s)], end=end
    )


def make_refusal(
    request: EndpointRequest, *, retry_after: str | None = None
) -> EndpointAnswer:
    """Returns the refusal of a full endpoint, marked as not executed.

    Args:
        request: The request.
        retry_after: The back-off that the endpoint asks for, or None.
    """
    refusal = make_answer(
        request,
        status=503,
        body=b"",
        headers=[(_NOT_EXECUTED_HEADER, "1")],
        signed=False,
    )
    if retry_after is None:
        return refusal
    return add_header(refusal, _RETRY_AFTER_HEADER, retry_after)


def add_header(answer: EndpointAnswer, name: str, value: str) -> EndpointAnswer:
    """Returns an answer with a further header."""
    first, *others = answer.segments
    status_line, _, rest = first.data.partition(b"\r\n")
    line = f"{name}: {value}\r\n".encode()
    data = status_line + b"\r\n" + line + rest
    segments = [dataclasses.replace(first, data=data), *others]
    return dataclasses.replace(answer, segments=segments)


def announce_leaving(answer: EndpointAnswer) -> EndpointAnswer:
    """Returns an answer with the drain notice of its endpoint."""
    return add_header(answer, _LEAVING_HEADER, "1")


def state_rate(answer: EndpointAnswer, rate: str) -> EndpointAnswer:
    """Returns an answer that names the rate its endpoint takes.

    Args:
        answer: The answer.
        rate: Requests a second from all gateways together.
    """
    return add_header(answer, _RATE_HEADER, rate)


def make_misdirected(
    request: EndpointRequest, *, instance: str
) -> EndpointAnswer:
    """Returns the answer of another instance at the expected one's address."""
    return make_answer(
        request,
        status=421,
        body=b"",
        headers=[(_INSTANCE_ID_HEADER, instance)],
        signed=False,
    )


def make_health(request: EndpointRequest, *, instance: str) -> EndpointAnswer:
    """Returns the answer of an instance to a health check."""
    return make_answer(
        request, headers=[(_INSTANCE_ID_HEADER, instance)], signed=False
    )


def make_handle(request: EndpointRequest, token: str) -> EndpointAnswer:
    """Returns the answer to a prefill."""
    body = json.dumps({"kvHandle": token, "tokens": 1, "version": 1}).encode()
    return make_answer(request, body=body, signed=False)


def make_hold(request: EndpointRequest, token: str) -> EndpointAnswer:
    """Returns the answer of an engine that has set memory aside."""
    body = json.dumps({"hold": token}).encode()
    return make_answer(request, body=body, signed=False)


def make_stream(
    request: EndpointRequest,
    *,
    first: int = 1,
    count: int = 3,
    gap_s: float = 0.0,
    end: str = "whole",
    text: str = "token",
) -> EndpointAnswer:
    """Returns a stream of events.

    Args:
        request: The request.
        first: The id of the first event.
        count: The number of events.
        gap_s: Seconds between events.
        end: `whole` for a complete stream; `close` or `reset` ends the
            connection in the middle of the next event.
        text: The text before the number of each event.
    """
    head = (
        "HTTP/1.1 200 OK\r\n"
        f"{_ATTEMPT_ID_HEADER}: {request.request_id}\r\n"
        f"{_SERVER_STAMP_HEADER}: stamp\r\n"
        "Content-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    )
    segments = [Segment(data=head.encode())]
    for number in range(first, first + count):
        event = f"id: {number}\ndata: {text} {number}\n\n".encode()
        segments.append(Segment(data=_encode_chunk(event), after_s=gap_s))
    if end == "whole":
        segments.append(Segment(data=b"0\r\n\r\n"))
        return EndpointAnswer(segments=segments)
    segments.append(Segment(data=_encode_chunk(b"id: 99\nda"), after_s=gap_s))
    return EndpointAnswer(segments=segments, end=end)


class RepeatingScript:
    """Writes the last answer of a connection once more before the next one.

    Args:
        make: Makes the answer to a request.
    """

    def __init__(self, make: Callable[[EndpointRequest], EndpointAnswer]):
        self._make = make
        self._last: dict[int, EndpointAnswer] = {}

    def __call__(self, request: EndpointRequest) -> EndpointAnswer:
        """Returns the answer to a request, behind a copy of the last one."""
        answer = self._make(request)
        copy = self._last.get(request.connection, EndpointAnswer())
        self._last[request.connection] = answer
        return dataclasses.replace(
            answer, segments=[*copy.segments, *answer.segments]
        )


def _encode_chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


class _Connection(protocol.Protocol):
    def __init__(self, *, endpoint: "PlatformEndpoint"):
        self._endpoint = endpoint
        self._parser = h11.Connection(h11.SERVER)
        self._head: h11.Request | None = None
        self._body: list[bytes] = []
        self._delayed_calls: list = []
        self._number = 0
        self.is_open = True

    def connectionMade(self) -> None:  # noqa: N802
        self._endpoint.connections.add(self)
        self._endpoint.accepted_connections += 1
        self._number = self._endpoint.accepted_connections

    def connectionLost(  # noqa: N802
        self, reason=protocol.connectionDone
    ) -> None:
        self.is_open = False
        self._endpoint.connections.discard(self)
        for call in self._delayed_calls:
            if call.active():
                call.cancel()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._parser.receive_data(data)
        while True:
            event = self._parser.next_event()
            match event:
                case h11.Request():
                    self._head = event
                case h11.Data():
                    self._body.append(bytes(event.data))
                case h11.EndOfMessage():
                    self._handle_request()
                    # Answers bypass the parser, which therefore can't be
                    # reused for the next request.
                    rest, _ = self._parser.trailing_data
                    self._parser = h11.Connection(h11.SERVER)
                    if rest:
                        self._parser.receive_data(rest)
                case _:
                    return

    def _handle_request(self) -> None:
        request = EndpointRequest(
            method=self._head.method.decode(),
            target=self._head.target.decode(),
            headers={
                name.decode(): value.decode()
                for name, value in self._head.headers
            },
            body=b"".join(self._body),
            connection=self._number,
        )
        self._body = []
        self._endpoint.requests.append(request)
        self._send(self._endpoint.script(request))

    def _send(self, answer: EndpointAnswer) -> None:
        at_s = 0.0
        for segment in answer.segments:
            at_s += segment.after_s
            self._call_later(at_s, self.transport.write, segment.data)
        if answer.end == "close":
            self._call_later(at_s, self.transport.loseConnection)
        elif answer.end == "reset":
            self._call_later(at_s, self.reset)

    def write_now(self, data: bytes) -> None:
        """Sends bytes before the reactor runs anything else."""
        self.transport.write(data)
        self.transport.doWrite()

    def reset(self) -> None:
        """Sends what was written and resets the connection at once.

        Nothing else runs in between, so the peer can't send another request
        before the reset.
        """
        if not self.is_open:
            return
        self.transport.doWrite()
        self.transport.connectionLost(
            failure.Failure(error.ConnectionAborted())
        )

    def _call_later(self, delay_s: float, call, *arguments) -> None:
        if delay_s:
            self._delayed_calls.append(
                self._endpoint.reactor.callLater(delay_s, call, *arguments)
            )
        else:
            call(*arguments)


class PlatformEndpoint(protocol.Factory):
    """A scripted endpoint.

    Args:
        reactor: The reactor.
        script: Called with each request; returns the answer to send.
    """

    noisy = False

    def __init__(
        self,
        *,
        reactor,
        script: Callable[[EndpointRequest], EndpointAnswer] = make_answer,
    ):
        self.reactor = reactor
        self.script = script
        self.requests: list[EndpointRequest] = []
        self.connections: set[_Connection] = set()
        self.accepted_connections = 0
        self.host = ""
        self.port = 0
        self._port: interfaces.IListeningPort | None = None

    def buildProtocol(self, addr) -> _Connection:  # noqa: N802
        """Returns the protocol of a new connection."""
        return _Connection(endpoint=self)

    def start(self, *, host: str = "127.0.0.1", port: int = 0) -> None:
        """Starts listening."""
        self._port = self.reactor.listenTCP(port, self, interface=host)
        address = self._port.getHost()
        self.host = address.host
        self.port = address.port

    def close(self):
        """Stops listening and aborts every connection."""
        for connection in list(self.connections):
            connection.transport.abortConnection()
        return self._port.stopListening()
