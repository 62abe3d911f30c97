"""The server side: reads callers' requests strictly, on twisted.web."""

from collections.abc import Callable
import dataclasses

from twisted.web import http

from sassafrasstile import routes
from sassafrasstile.web import _connection
from sassafrasstile.web import _reply

# Headers that concern one connection only.
_HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
# A caller of an answer that was cut gets this long to read what was sent.
_ABORT_LINGER_S = 2.0
_PAYLOAD_TOO_LARGE = b"HTTP/1.1 413 Payload Too Large\r\n"
_BAD_REQUEST = b"HTTP/1.1 400 Bad Request\r\n"
_HEADERS_TOO_LARGE = b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
_REQUEST_TIMEOUT = b"HTTP/1.1 408 Request Timeout\r\n"
_CLOSE_HEADERS = b"Content-Length: 0\r\nConnection: close\r\n\r\n"


def drop_hop_by_hop_headers(
    headers: _reply.Headers,
) -> list[tuple[bytes, bytes]]:
    """Returns the headers that are to be passed on.

    >>> drop_hop_by_hop_headers(
    ...     [(b"TE", b"x"), (b"A", b"1"), (b"Connection", b"b")]
    ... )
    [(b'A', b'1')]
    """
    connection_options = set()
    for name, value in headers:
        if name.lower() == b"connection":
            connection_options.update(
                item.strip().lower() for item in value.split(b",")
            )
    dropped = _HOP_BY_HOP_HEADERS | connection_options
    return [item for item in headers if item[0].lower() not in dropped]


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallerRequest:
    """A caller's request, read whole.

    Attributes:
        method: The method.
        target: The path with its query.
        headers: The headers that may be passed on, in order.
        body: The body.
        received_at: Reactor seconds at which it was there.
    """

    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    received_at: float

    def get(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, or None.

        Args:
            name: The name, in lower case.
        """
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


class IngressRequest(http.Request):
    """One request on a connection, and the way to answer it."""

    def __init__(self, channel, _queued=None):
        super().__init__(channel)
        self._body_chunks: list[bytes] = []
        self._body_size = 0
        self.is_disconnected = False
        self.has_begun = False

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Checks the announced length."""
        if (
            length is not None
            and length > self.channel.factory.limits.body_bytes
        ):
            self.channel.refuse(_PAYLOAD_TOO_LARGE)

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Takes a piece of the body."""
        self._body_size += len(data)
        if self._body_size > self.channel.factory.limits.body_bytes:
            self.channel.refuse(_PAYLOAD_TOO_LARGE)
            return
        self._body_chunks.append(data)

    def requestReceived(  # noqa: N802
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Hands the whole request on."""
        self.method, self.uri, self.clientproto = command, path, version
        if self.channel.is_refused:
            return
        headers = []
        for name, values in self.requestHeaders.getAllRawHeaders():
            headers.extend((name, value) for value in values)
        request = CallerRequest(
            method=command,
            target=path,
            headers=tuple(drop_hop_by_hop_headers(headers)),
            body=b"".join(self._body_chunks),
            received_at=self.channel.factory.reactor.seconds(),
        )
        self._body_chunks = []
        # A caller that has left fails this Deferred.
        self.notifyFinish().addErrback(self._handle_disconnect)
        self.channel.factory.handler(request, self)

    def _handle_disconnect(self, _reason) -> None:
        self.is_disconnected = True
        self.on_disconnect()

    def on_disconnect(self) -> None:
        """Called when the caller has left; the handler replaces it."""

    def respond(
        self,
        *,
        status: int,
        headers: _reply.Headers = (),
        body: bytes = b"",
    ) -> None:
        """Sends a whole answer."""
        if self.is_disconnected:
            return
        self.begin(status=status, headers=headers, length=len(body))
        if body:
            self.write(body)
        self.complete()

    def begin(
        self,
        *,
        status: int,
        headers: _reply.Headers = (),
        length: int | None = None,
    ) -> None:
        """Sends status and headers."""
        if self.is_disconnected:
            return
        self.has_begun = True
        self.setResponseCode(status)
        for name, value in headers:
            self.responseHeaders.addRawHeader(name, value)
        if length is not None:
            self.responseHeaders.setRawHeaders(
                b"content-length", [str(length).encode()]
            )
        if self.channel.factory.is_closing:
            self.channel.persistent = False
            self.responseHeaders.setRawHeaders(b"connection", [b"close"])
        self.write(b"")

    def send(self, data: bytes) -> None:
        """Sends a piece of the body."""
        if not self.is_disconnected:
            self.write(data)

    def complete(self) -> None:
        """Ends the answer."""
        if self.is_disconnected:
            return
        if self.channel.factory.is_closing:
            # The head may have left before the stop began.
            self.channel.persistent = False
        self.finish()

    def abort(self) -> None:
        """Ends the connection, so that the answer doesn't look whole."""
        if self.is_disconnected:
            return
        transport = self.channel.transport
        if not self.chunked:
            # A close might pass for the end of the answer.
            transport.abortConnection()
            return
        # What was sent still reaches the caller. Its last chunk is missing.
        self.channel.loseConnection()
        self.channel.factory.reactor.callLater(
            _ABORT_LINGER_S, transport.abortConnection
        )


class IngressChannel(http.HTTPChannel):
    """A caller's connection."""

    requestFactory = IngressRequest  # noqa: N815
    # A refused caller gets this long to read the answer.
    abortTimeout = 2  # noqa: N815

    def __init__(self, *, factory: "IngressFactory"):
        super().__init__()
        self.factory = factory
        self.is_refused = False
        self._header_timer = None

    @property
    def totalHeadersSize(self) -> int:  # noqa: N802
        """Bytes of headers that are allowed."""
        return self.factory.limits.header_bytes

    @property
    def MAX_LENGTH(self) -> int:  # noqa: N802
        """Bytes of one line that are allowed."""
        return self.factory.limits.header_bytes

    @property
    def is_idle(self) -> bool:
        """True when no request is being read or answered."""
        return not self.requests and self._header_timer is None

    def connectionMade(self) -> None:  # noqa: N802
        """Notes a new connection."""
        self.timeOut = self.factory.limits.idle_timeout_s
        super().connectionMade()
        _connection.tune_socket(self.transport)
        self.factory.channels.add(self)

    def connectionLost(self, reason) -> None:  # noqa: N802
        """Notes the connection's end."""
        self.factory.channels.discard(self)
        self._stop_header_timer()
        super().connectionLost(reason)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Starts the time for the headers with their first byte."""
        if self.is_refused:
            return
        if self.is_idle:
            self._header_timer = self.factory.reactor.callLater(
                self.factory.limits.header_timeout_s, self._time_out_headers
            )
        super().dataReceived(data)

    def allHeadersReceived(self) -> None:  # noqa: N802
        """Ends the time for the headers."""
        self._stop_header_timer()
        super().allHeadersReceived()

    def lineLengthExceeded(self, line):  # noqa: N802
        """Refuses a header line that is too long."""
        self.refuse(_HEADERS_TOO_LARGE)

    def refuse(self, status_line: bytes) -> None:
        """Answers without handing the request on, and closes."""
        if self.is_refused:
            return
        self.is_refused = True
        self._stop_header_timer()
        self.transport.write(status_line + _CLOSE_HEADERS)
        self.loseConnection()

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802
        if self._receivedHeaderSize > self.totalHeadersSize:
            self.refuse(_HEADERS_TOO_LARGE)
        else:
            self.refuse(_BAD_REQUEST)

    def _time_out_headers(self) -> None:
        self._header_timer = None
        self.refuse(_REQUEST_TIMEOUT)

    def _stop_header_timer(self) -> None:
        timer, self._header_timer = self._header_timer, None
        if timer is not None and timer.active():
            timer.cancel()


class IngressFactory(http.HTTPFactory):
    """Accepts callers' connections.

    Args:
        reactor: The reactor.
        handler: Called with a `CallerRequest` and its `IngressRequest`.
    """

    noisy = False

    def __init__(
        self,
        *,
        reactor,
        handler: Callable[[CallerRequest, IngressRequest], None],
    ):
        super().__init__(reactor=reactor)
        self.reactor = reactor
        self.handler = handler
        self.limits = routes.CallerLimits()
        self.channels: set[IngressChannel] = set()
        self.is_closing = False

    def buildProtocol(self, addr) -> IngressChannel:  # noqa: N802
        """Returns the protocol of a new connection."""
        channel = IngressChannel(factory=self)
        channel.callLater = self.reactor.callLater
        return channel

    def log(self, request) -> None:
        """Leaves access lines to the handler."""

    def close_idle(self) -> None:
        """Closes the connections without a request."""
        for channel in list(self.channels):
            if channel.is_idle:
                channel.loseConnection()
