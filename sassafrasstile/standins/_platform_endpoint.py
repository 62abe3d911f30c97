"""An endpoint that speaks the platform's protocol, for tests and the demo.

It answers as a test tells it to, byte by byte where need be: answers cut
short, late, doubled, without a length, or none at all.
"""

from collections.abc import Callable, Sequence
import dataclasses
import json

import h11
from twisted.internet import interfaces
from twisted.internet import protocol

_ID = "X-Attempt-Id"
_SIGNATURE = "X-Server-Stamp"
_NOT_EXECUTED = "X-Not-Executed"


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndpointRequest:
    """A request that reached the endpoint.

    Attributes:
        method: The method.
        target: The path with its query.
        headers: The headers, names in lower case.
        body: The body.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        """The id of the caller's attempt."""
        return self.headers.get(_ID.lower(), "")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Piece:
    """Bytes of an answer.

    Attributes:
        data: The bytes.
        after_s: Seconds to wait before them.
    """

    data: bytes
    after_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndpointAnswer:
    """What the endpoint sends.

    Attributes:
        pieces: Its bytes.
        end: `keep` the connection, `close` it, or `reset` it.
    """

    pieces: Sequence[Piece] = ()
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
    """Returns a whole answer with a length."""
    fields = [(_ID, request.request_id), *headers]
    if signed:
        fields.append((_SIGNATURE, "stamp"))
    fields.append(("Content-Length", str(len(body))))
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields)
    head = f"HTTP/1.1 {status} Status\r\n{lines}\r\n".encode()
    return EndpointAnswer(
        pieces=[Piece(data=head + body, after_s=after_s)], end=end
    )


def make_refusal(request: EndpointRequest) -> EndpointAnswer:
    """Returns the marked refusal of a full endpoint."""
    return make_answer(
        request,
        status=503,
        body=b"",
        headers=[(_NOT_EXECUTED, "1")],
        signed=False,
    )


def make_handle(request: EndpointRequest, token: str) -> EndpointAnswer:
    """Returns the answer to a prefill."""
    body = json.dumps({"kvHandle": token, "tokens": 1, "version": 1}).encode()
    return make_answer(request, body=body, signed=False)


def make_stream(
    request: EndpointRequest,
    *,
    first: int = 1,
    count: int = 3,
    gap_s: float = 0.0,
    end: str = "whole",
) -> EndpointAnswer:
    """Returns a stream of events.

    Args:
        request: The request.
        first: The id of the first event.
        count: How many events.
        gap_s: Seconds between them.
        end: `whole`, or `close` or `reset` in the middle of the next event.
    """
    head = (
        "HTTP/1.1 200 OK\r\n"
        f"{_ID}: {request.request_id}\r\n{_SIGNATURE}: stamp\r\n"
        "Content-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    )
    pieces = [Piece(data=head.encode())]
    for number in range(first, first + count):
        event = f"id: {number}\ndata: token {number}\n\n".encode()
        pieces.append(Piece(data=_make_chunk(event), after_s=gap_s))
    if end == "whole":
        pieces.append(Piece(data=b"0\r\n\r\n"))
        return EndpointAnswer(pieces=pieces)
    pieces.append(Piece(data=_make_chunk(b"id: 99\nda"), after_s=gap_s))
    return EndpointAnswer(pieces=pieces, end=end)


def _make_chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


class _Connection(protocol.Protocol):
    def __init__(self, *, endpoint: "PlatformEndpoint"):
        self._endpoint = endpoint
        self._parser = h11.Connection(h11.SERVER)
        self._head: h11.Request | None = None
        self._body: list[bytes] = []
        self._calls: list = []
        self.is_open = True

    def connectionMade(self) -> None:  # noqa: N802
        self._endpoint.connections.add(self)
        self._endpoint.accepted += 1

    def connectionLost(  # noqa: N802
        self, reason=protocol.connectionDone
    ) -> None:
        self.is_open = False
        self._endpoint.connections.discard(self)
        for call in self._calls:
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
                    self._handle()
                    # The answer is made by hand; the parser starts anew.
                    rest, _ = self._parser.trailing_data
                    self._parser = h11.Connection(h11.SERVER)
                    if rest:
                        self._parser.receive_data(rest)
                case _:
                    return

    def _handle(self) -> None:
        request = EndpointRequest(
            method=self._head.method.decode(),
            target=self._head.target.decode(),
            headers={
                name.decode(): value.decode()
                for name, value in self._head.headers
            },
            body=b"".join(self._body),
        )
        self._body = []
        self._endpoint.requests.append(request)
        self._send(self._endpoint.script(request))

    def _send(self, answer: EndpointAnswer) -> None:
        at_s = 0.0
        for piece in answer.pieces:
            at_s += piece.after_s
            self._call_later(at_s, self.transport.write, piece.data)
        if answer.end == "close":
            self._call_later(at_s, self.transport.loseConnection)
        elif answer.end == "reset":
            self._call_later(at_s + 0.01, self.transport.abortConnection)

    def _call_later(self, delay_s: float, call, *arguments) -> None:
        if delay_s:
            self._calls.append(
                self._endpoint.reactor.callLater(delay_s, call, *arguments)
            )
        else:
            call(*arguments)


class PlatformEndpoint(protocol.Factory):
    """A scripted endpoint.

    Args:
        reactor: The reactor.
        script: Returns the answer to a request.
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
        self.accepted = 0
        self.host = ""
        self.port = 0
        self._port: interfaces.IListeningPort | None = None

    def buildProtocol(self, addr) -> _Connection:  # noqa: N802
        """Returns the protocol of a new connection."""
        return _Connection(endpoint=self)

    def start(self, *, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listens."""
        self._port = self.reactor.listenTCP(port, self, interface=host)
        address = self._port.getHost()
        self.host = address.host
        self.port = address.port

    def close(self):
        """Stops listening and drops every connection."""
        for connection in list(self.connections):
            connection.transport.abortConnection()
        return self._port.stopListening()
