"""HTTP/1.1 connections to one server, each with one request at a time.

twisted.web's client drops what follows an answer; here such bytes show that
a connection can't be trusted any more, so h11 parses instead.
"""

import collections
from collections.abc import Callable, Sequence
import dataclasses
import socket

import h11
from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import error
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure

from sassafrasstile import errors

Headers = Sequence[tuple[bytes, bytes]]

_MAX_HEAD_BYTES = 65536
# Silent peers are given up after about three seconds.
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
_USER_TIMEOUT_MS = 3000
# A kept connection is dropped this much before its server would close it.
_KEPT_MARGIN_S = 0.5
_KEPT_DEFAULT_S = 2.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class ResponseHead:
    """Status and headers of an answer.

    Attributes:
        status: The HTTP status.
        reason: The reason phrase.
        headers: The headers, names in lower case.
    """

    status: int
    reason: bytes
    headers: tuple[tuple[bytes, bytes], ...]

    def get(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, or None.

        Args:
            name: The name, in lower case.
        """
        for key, value in self.headers:
            if key == name:
                return value
        return None


class ExchangeError(errors.Error):
    """An exchange with a server failed.

    Attributes:
        was_sent: True when bytes of the request may have reached the server.
    """

    def __init__(self, *, code: errors.Code, detail: str, was_sent: bool):
        super().__init__(code=code, detail=detail)
        self.was_sent = was_sent


def tune_socket(transport) -> None:
    """Makes a silent peer show as a lost connection within seconds."""
    if not interfaces.ITCPTransport.providedBy(transport):
        return
    transport.setTcpNoDelay(True)
    transport.setTcpKeepAlive(True)
    handle = transport.getHandle()
    for option, value in (
        (socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
    ):
        handle.setsockopt(socket.IPPROTO_TCP, option, value)


class Reply:
    """The answer to one request, read piece by piece."""

    def __init__(self, *, connection: "HttpConnection"):
        self._connection = connection
        self._head: ResponseHead | None = None
        self._pieces: collections.deque[bytes] = collections.deque()
        self._ended = False
        self._error: ExchangeError | None = None
        self._waiting: defer.Deferred | None = None

    async def read_head(self) -> ResponseHead:
        """Waits for status and headers.

        Raises:
            ExchangeError: The connection broke or its bytes are no answer.
        """
        while self._head is None:
            await self._wait()
        return self._head

    async def read_piece(self) -> bytes | None:
        """Waits for the next piece of the body; None at its whole end.

        Raises:
            ExchangeError: The body broke off.
        """
        while True:
            if self._pieces:
                return self._pieces.popleft()
            if self._ended:
                return None
            await self._wait()

    async def read_body(self) -> bytes:
        """Waits for the whole body."""
        pieces = []
        while (piece := await self.read_piece()) is not None:
            pieces.append(piece)
        return b"".join(pieces)

    def close(self) -> None:
        """Drops the connection unless the answer has ended."""
        if not self._ended:
            self._connection.abort()

    async def _wait(self) -> None:
        if self._error is not None:
            raise self._error
        self._waiting = defer.Deferred()
        await self._waiting

    def _wake(self) -> None:
        waiting, self._waiting = self._waiting, None
        if waiting is not None and not waiting.called:
            waiting.callback(None)

    # Called by the connection.

    def set_head(self, head: ResponseHead) -> None:
        """Takes status and headers."""
        self._head = head
        self._wake()

    def add_piece(self, piece: bytes) -> None:
        """Takes a piece of the body."""
        self._pieces.append(piece)
        self._wake()

    def end(self) -> None:
        """Takes the whole end of the body."""
        self._ended = True
        self._wake()

    def fail(self, reason: ExchangeError) -> None:
        """Takes the end of the connection before the answer's."""
        if not self._ended and self._error is None:
            self._error = reason
            self._wake()


class HttpConnection(protocol.Protocol):
    """A connection that carries one request after another.

    Args:
        on_free: Called when the connection may carry another request.
        on_lost: Called once when it is lost.
        on_heard: Called whenever the server has sent something.
    """

    def __init__(
        self,
        *,
        on_free: Callable[["HttpConnection"], None],
        on_lost: Callable[["HttpConnection"], None],
        on_heard: Callable[[], None],
    ):
        self._on_free = on_free
        self._on_lost = on_lost
        self._on_heard = on_heard
        self._parser = self._make_parser()
        self._reply: Reply | None = None
        self.is_open = False
        self.kept_s = _KEPT_DEFAULT_S
        self.free_since = 0.0

    @staticmethod
    def _make_parser() -> h11.Connection:
        return h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
        )

    def connectionMade(self) -> None:  # noqa: N802
        """Notes that the connection is up."""
        self.is_open = True
        tune_socket(self.transport)

    def send(
        self, *, method: bytes, target: bytes, headers: Headers, body: bytes
    ) -> Reply:
        """Sends a request on a free connection.

        Args:
            method: The method.
            target: The path with its query.
            headers: The headers, framing and connection headers left out.
            body: The body.
        """
        fields = list(headers)
        if body or method not in (b"GET", b"HEAD", b"DELETE"):
            fields.append((b"Content-Length", str(len(body)).encode()))
        request = h11.Request(method=method, target=target, headers=fields)
        self._reply = Reply(connection=self)
        data = self._parser.send(request)
        if body:
            data += self._parser.send(h11.Data(data=body))
        data += self._parser.send(h11.EndOfMessage()) or b""
        self.transport.write(data)
        return self._reply

    def abort(self) -> None:
        """Drops the connection at once."""
        if self.is_open:
            self.is_open = False
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Handles bytes of the server."""
        self._on_heard()
        if self._reply is None or not self.is_open:
            # Bytes that no request asked for.
            self.abort()
            return
        try:
            self._parser.receive_data(data)
            self._handle_events()
        except h11.RemoteProtocolError as reason:
            self._fail(errors.Code.BAD_ANSWER, str(reason))
            self.abort()

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Handles the end of the connection."""
        self.is_open = False
        if self._reply is not None and reason.check(error.ConnectionDone):
            try:
                self._parser.receive_data(b"")
                self._handle_events()
            except h11.RemoteProtocolError as problem:
                self._fail(errors.Code.ENDPOINT_LOST, str(problem))
        self._fail(errors.Code.ENDPOINT_LOST, reason.getErrorMessage())
        self._on_lost(self)

    def _fail(self, code: errors.Code, detail: str) -> None:
        reply, self._reply = self._reply, None
        if reply is not None:
            reply.fail(ExchangeError(code=code, detail=detail, was_sent=True))

    def _handle_events(self) -> None:
        while self._reply is not None:
            event = self._parser.next_event()
            match event:
                case h11.Response():
                    self._handle_head(event)
                case h11.Data():
                    self._reply.add_piece(bytes(event.data))
                case h11.EndOfMessage():
                    self._handle_end()
                case h11.InformationalResponse():
                    pass
                case _:
                    return

    def _handle_head(self, event: h11.Response) -> None:
        headers = tuple(event.headers)
        head = ResponseHead(
            status=event.status_code, reason=event.reason, headers=headers
        )
        kept = head.get(b"keep-alive") or b""
        for item in kept.split(b","):
            name, _, value = item.strip().partition(b"=")
            if name.lower() == b"timeout" and value.isdigit():
                self.kept_s = max(0.0, int(value) - _KEPT_MARGIN_S)
        self._reply.set_head(head)

    def _handle_end(self) -> None:
        reply, self._reply = self._reply, None
        extra, _ = self._parser.trailing_data
        states = (self._parser.our_state, self._parser.their_state)
        reusable = states == (h11.DONE, h11.DONE) and not extra
        reply.end()
        if not reusable or not self.is_open:
            self.abort()
            return
        self._parser.start_next_cycle()
        self._on_free(self)


class ConnectionPool:
    """Connections to one server.

    Args:
        reactor: The reactor.
        host: The server's IP number.
        port: Its port.
        connect_timeout_s: Seconds until a connection must be up.
        on_heard: Called whenever the server has sent something.
    """

    def __init__(
        self,
        *,
        reactor,
        host: str,
        port: int,
        connect_timeout_s: float,
        on_heard: Callable[[], None] = lambda: None,
    ):
        self._reactor = reactor
        self._on_heard = on_heard
        self._endpoint = endpoints.TCP4ClientEndpoint(
            reactor, host, port, timeout=connect_timeout_s
        )
        self._address = f"{host}:{port}"
        self._free: list[HttpConnection] = []
        self._all: set[HttpConnection] = set()
        self._closed = False
        self.opened = 0

    async def send(
        self,
        *,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes = b"",
        fresh: bool = False,
        on_send: Callable[[], None] = lambda: None,
    ) -> Reply:
        """Sends a request on a free connection, or on a new one.

        Args:
            method: The method.
            target: The path with its query.
            headers: The headers, framing and connection headers left out.
            body: The body.
            fresh: True when a kept connection won't do.
            on_send: Called just before the first byte is written.

        Raises:
            ExchangeError: No connection could be made; nothing was sent.
        """
        connection = None if fresh else self._take_free()
        if connection is None:
            connection = await self._connect()
        on_send()
        return connection.send(
            method=method, target=target, headers=headers, body=body
        )

    def close(self) -> None:
        """Drops every free connection, and the others once they are free."""
        self._closed = True
        free, self._free = self._free, []
        for connection in free:
            connection.abort()

    def abort(self) -> None:
        """Drops every connection at once."""
        self.close()
        for connection in list(self._all):
            connection.abort()

    def _take_free(self) -> HttpConnection | None:
        now = self._reactor.seconds()
        while self._free:
            connection = self._free.pop()
            if not connection.is_open:
                continue
            if now - connection.free_since < connection.kept_s:
                return connection
            connection.abort()
        return None

    async def _connect(self) -> HttpConnection:
        factory = protocol.Factory.forProtocol(self._build)
        factory.noisy = False
        try:
            connection = await self._endpoint.connect(factory)
        except error.ConnectError as reason:
            raise ExchangeError(
                code=errors.Code.ENDPOINT_UNREACHABLE,
                detail=f"{self._address}: {reason}",
                was_sent=False,
            ) from reason
        self._all.add(connection)
        self.opened += 1
        return connection

    def _build(self) -> HttpConnection:
        return HttpConnection(
            on_free=self._keep, on_lost=self._forget, on_heard=self._on_heard
        )

    def _keep(self, connection: HttpConnection) -> None:
        if self._closed:
            connection.abort()
            return
        connection.free_since = self._reactor.seconds()
        self._free.append(connection)

    def _forget(self, connection: HttpConnection) -> None:
        self._all.discard(connection)
        if connection in self._free:
            self._free.remove(connection)
