"""The HTTP server for callers: strict request parsing on twisted.web."""

from collections.abc import Callable
import dataclasses

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.web import http
from zope import interface

from sassafrasstile import routes
from sassafrasstile.web import _connection
from sassafrasstile.web import _delivery
from sassafrasstile.web import _meter
from sassafrasstile.web import _reply
from sassafrasstile.web import _stalls

# Headers that apply to a single connection and aren't forwarded.
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
# A caller sends its first request within this time after it has connected.
_FIRST_REQUEST_WAIT_S = 0.5
# At a closed window the kernel also gives up after TCP_USER_TIMEOUT.
DEFAULT_CALLER_STALL_S = 3.0
_PAYLOAD_TOO_LARGE = b"HTTP/1.1 413 Payload Too Large\r\n"
_BAD_REQUEST = b"HTTP/1.1 400 Bad Request\r\n"
_HEADERS_TOO_LARGE = b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
_UNAVAILABLE = b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
# A body is refused while it arrives only if it is larger than this.
_LARGE_BODY_BYTES = 65536
_HEAD = b"HEAD"
_REQUEST_TIMEOUT = b"HTTP/1.1 408 Request Timeout\r\n"
_CLOSE_HEADERS = b"Content-Length: 0\r\nConnection: close\r\n\r\n"


def drop_hop_by_hop_headers(
    headers: _reply.Headers,
) -> list[tuple[bytes, bytes]]:
    """Returns the headers that may be forwarded.

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
    """A caller's complete request.

    Attributes:
        method: The method.
        target: The path with its query.
        headers: The headers that may be forwarded, in order.
        body: The body.
        received_at: Reactor seconds at which the request was complete.
    """

    method: bytes
    target: bytes
    # Some hold secrets.
    headers: tuple[tuple[bytes, bytes], ...] = dataclasses.field(repr=False)
    body: bytes = dataclasses.field(repr=False)
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
    """A request on a caller's connection, with methods to respond to it.

    Attributes:
        label: Names the request in logs.
        is_disconnected: True once the caller has disconnected.
        has_begun: True once the status and headers have been sent.
    """

    def __init__(self, channel, _queued=None):
        super().__init__(channel)
        self._body_chunks: list[bytes] = []
        self._body_size = 0
        self._share = _meter.BufferShare(meter=channel.factory.meter)
        self._waiter: defer.Deferred | None = None
        self.label = ""
        self.is_disconnected = False
        self.has_begun = False

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Refuses a body whose announced length is too large."""
        if (
            length is not None
            and length > self.channel.factory.limits.body_bytes
        ):
            self.channel.refuse(_PAYLOAD_TOO_LARGE)

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Adds a chunk of the body, or refuses a body that is too large."""
        self._body_size += len(data)
        if self._body_size > self.channel.factory.limits.body_bytes:
            self._refuse_body(_PAYLOAD_TOO_LARGE)
            return
        is_large = self._body_size > _LARGE_BODY_BYTES
        if is_large and self.channel.factory.meter.is_full:
            self._refuse_body(_UNAVAILABLE)
            return
        self._body_chunks.append(data)
        self._share.set(self._body_size)

    def _refuse_body(self, status_line: bytes) -> None:
        self._body_chunks = []
        self._share.set(0)
        self.channel.refuse(status_line)

    def finish(self) -> None:
        """Ends the response."""
        self._share.set(0)
        self.channel.last_label = self.label
        super().finish()

    def connectionLost(self, reason) -> None:  # noqa: N802
        """Handles the end of the connection."""
        self._share.set(0)
        super().connectionLost(reason)

    def requestReceived(  # noqa: N802
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Passes the complete request to the handler."""
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
        # This Deferred fails when the caller disconnects.
        self.notifyFinish().addErrback(self._handle_disconnect)
        self.channel.factory.handler(request, self)

    def _handle_disconnect(self, _reason) -> None:
        self.is_disconnected = True
        self.on_disconnect()

    def on_disconnect(self) -> None:
        """Called when the caller disconnects; the handler replaces it."""

    def respond(
        self,
        *,
        status: int,
        headers: _reply.Headers = (),
        body: bytes = b"",
    ) -> None:
        """Sends a complete response."""
        if self.is_disconnected:
            return
        is_bodiless = self.method == _HEAD or status in http.NO_BODY_CODES
        # The length of the body that isn't sent isn't known here.
        length = None if is_bodiless and not body else len(body)
        self.begin(status=status, headers=headers, length=length)
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
        """Sends the status and headers."""
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
        if self.channel.should_end:
            self.channel.persistent = False
            self.responseHeaders.setRawHeaders(b"connection", [b"close"])
        self.write(b"")
        # Its caller takes the end of the connection for that of the response.
        self.channel.is_unframed = length is None and not self.chunked

    def send(self, data: bytes) -> None:
        """Sends a chunk of the body."""
        if not self.is_disconnected:
            self.write(data)
            self.channel.count_buffered()

    async def wait_until_writable(self) -> None:
        """Waits while the caller hasn't read enough of what was sent."""
        while not self.is_disconnected and self.channel.is_full:
            self._waiter = defer.Deferred()
            await self._waiter

    def wake_writer(self) -> None:
        """Called when the caller has read what was sent."""
        waiter, self._waiter = self._waiter, None
        if waiter is not None and not waiter.called:
            waiter.callback(None)

    def complete(self) -> None:
        """Ends the response."""
        if self.is_disconnected:
            return
        if self.channel.should_end:
            # The headers may have been sent before the shutdown began, with
            # no `Connection: close`.
            self.channel.persistent = False
        self.finish()

    def abort(self) -> None:
        """Closes the connection so that the response appears incomplete."""
        if self.is_disconnected:
            return
        _delivery.break_off(self)


@interface.implementer(interfaces.IHalfCloseableProtocol)
class IngressChannel(http.HTTPChannel):
    """A caller's connection.

    Attributes:
        is_refused: True once a request has been refused.
        last_label: The label of the last request whose response was ended.
        is_unframed: True if the response ends with its connection.
        is_full: True while as much waits for the caller as may be buffered.
    """

    requestFactory = IngressRequest  # noqa: N815
    # A caller gets this many seconds to read an answer after an idle timeout.
    abortTimeout = 2  # noqa: N815

    def __init__(self, *, factory: "IngressFactory"):
        super().__init__()
        self.factory = factory
        self.is_refused = False
        self._close: _delivery.DeliveredClose | None = None
        self.last_label = ""
        self.is_unframed = False
        self._header_timer = None
        self._accepted_at = 0.0
        self._is_unused = True
        self._share = _meter.BufferShare(meter=factory.meter, drop=self._drop)
        self._stall_watch: _stalls.StallWatch | None = None
        self.is_full = False

    @property
    def totalHeadersSize(self) -> int:  # noqa: N802
        """Maximum size of all headers in bytes."""
        return self.factory.limits.header_bytes

    @property
    def MAX_LENGTH(self) -> int:  # noqa: N802
        """Maximum size of one line in bytes."""
        return self.factory.limits.header_bytes

    @property
    def is_idle(self) -> bool:
        """True when no request is being read or answered."""
        return not self.requests and self._header_timer is None

    @property
    def is_ending(self) -> bool:
        """True once nothing more is sent; what arrives is discarded."""
        return self._close is not None

    @property
    def undelivered_bytes(self) -> int:
        """Bytes of responses that the caller hasn't received yet."""
        return _delivery.count_undelivered(self.transport)

    @property
    def should_end(self) -> bool:
        """True if a response that ends now is the last one.

        During a shutdown it is, unless its caller has sent another request.
        """
        if not self.factory.is_closing:
            return False
        has_more = bool(self._dataBuffer) or _connection.has_unread_bytes(
            self.transport
        )
        return not has_more

    @property
    def can_close(self) -> bool:
        """True when all requests are answered and no more bytes have come."""
        return (
            self.is_idle
            and not self._is_unused
            and not _connection.has_unread_bytes(self.transport)
        )

    @property
    def expects_request(self) -> bool:
        """True when a request is being read, or has probably been sent."""
        if self.is_ending:
            return False
        if self._is_unused:
            age_s = self.factory.reactor.seconds() - self._accepted_at
            return age_s < _FIRST_REQUEST_WAIT_S
        return not self._handlingRequest and not self.can_close

    def connectionMade(self) -> None:  # noqa: N802
        """Handles the start of the connection."""
        self.timeOut = self.factory.limits.idle_timeout_s
        super().connectionMade()
        _connection.tune_socket(self.transport)
        self._accepted_at = self.factory.reactor.seconds()
        self.factory.channels.add(self)

    def extend_idle_timeout(self, timeout_s: float) -> None:
        """Lets the connection be idle for longer; a shorter time is ignored.

        Its caller may know only the longest time that has been in force.

        Args:
            timeout_s: The new idle timeout in seconds.
        """
        if self.is_ending:
            return
        if self._handlingRequest:
            # It applies again once the request is answered.
            self._savedTimeOut = max(self._savedTimeOut or 0.0, timeout_s)
        elif timeout_s > self.timeOut:
            self.setTimeout(timeout_s)

    def timeoutConnection(self) -> None:  # noqa: N802
        """Closes an idle connection, and refuses a request that stalls."""
        has_stopped_reading = self._waitingForTransport
        if not has_stopped_reading and _connection.has_unread_bytes(
            self.transport
        ):
            # After the process was held up, timers fire before sockets are
            # read.
            self.setTimeout(self.timeOut)
        elif self.is_idle and self.undelivered_bytes:
            # The caller still reads its last answer. One that has stopped
            # reading is disconnected elsewhere.
            self.setTimeout(self.timeOut)
        elif self.is_idle:
            super().timeoutConnection()
        else:
            self.refuse(_REQUEST_TIMEOUT)

    def connectionLost(self, reason) -> None:  # noqa: N802
        """Handles the end of the connection."""
        self.factory.channels.discard(self)
        self._stop_header_timer()
        self._stop_stall_watch()
        if self._close is not None:
            self._close.close()
        self.is_full = False
        self._share.set(0)
        super().connectionLost(reason)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Starts the header timeout with the first byte of a request."""
        self._is_unused = False
        if self.is_ending:
            return
        if self.is_idle:
            self._header_timer = self.factory.reactor.callLater(
                self.factory.limits.header_timeout_s, self._time_out_headers
            )
        super().dataReceived(data)

    def readConnectionLost(self) -> None:  # noqa: N802
        """Called when the caller sends nothing more.

        One that waits for an answer has left. One that has its answer, but not
        all bytes of it, may still be reading.
        """
        if self._handlingRequest or not self.is_idle:
            self.transport.abortConnection()
        elif self.undelivered_bytes:
            self.loseConnection()
        else:
            self.transport.loseConnection()

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Called when nothing more can be sent."""

    def loseConnection(self) -> None:  # noqa: N802
        """Closes the connection once the caller has what was sent."""
        if self.is_ending:
            return
        self.setTimeout(None)
        self._close = _delivery.DeliveredClose(
            reactor=self.factory.reactor,
            transport=self.transport,
            stall_s=self.factory.caller_stall_s,
            on_check=self._count_left,
        )
        self._close.start()

    def pauseProducing(self) -> None:  # noqa: N802
        """Called when as much waits for the caller as may be buffered."""
        super().pauseProducing()
        self.is_full = True
        self.count_buffered()
        if self._stall_watch is None:
            self._stall_watch = _stalls.StallWatch(
                reactor=self.factory.reactor,
                transport=self.transport,
                stall_s=self.factory.caller_stall_s,
                on_stall=self._end_stalled,
            )
            self._stall_watch.start()

    def resumeProducing(self) -> None:  # noqa: N802
        """Called when the caller has read what was buffered."""
        super().resumeProducing()
        self.is_full = False
        self._share.set(0)
        self._stop_stall_watch()
        for request in list(self.requests):
            request.wake_writer()

    def count_buffered(self) -> None:
        """Counts what waits for a caller who doesn't read."""
        if self.is_full:
            self._share.set(_stalls.count_buffered(self.transport))

    def _count_left(self) -> None:
        self._share.set(_stalls.count_buffered(self.transport))

    def _drop(self) -> None:
        """Disconnects a caller, since too much is buffered in all."""
        self.transport.abortConnection()

    def _end_stalled(self) -> None:
        self.factory.on_stall()
        self.transport.abortConnection()

    def _stop_stall_watch(self) -> None:
        watch, self._stall_watch = self._stall_watch, None
        if watch is not None:
            watch.close()

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Handles a line, unless the request has been refused."""
        if not self.is_refused:
            super().lineReceived(line)

    def allHeadersReceived(self) -> None:  # noqa: N802
        """Cancels the header timeout."""
        self._stop_header_timer()
        super().allHeadersReceived()

    def lineLengthExceeded(self, line):  # noqa: N802
        """Refuses a header line that is too long."""
        self.refuse(_HEADERS_TOO_LARGE)

    def refuse(self, status_line: bytes) -> None:
        """Responds without calling the handler, and closes the connection.

        Args:
            status_line: The status line of the response.
        """
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
        caller_stall_s: Seconds after which a caller is disconnected that
            reads nothing of what waits for it.
        on_stall: Called before such a caller is disconnected.
        meter: Counts what is buffered, or None.

    Attributes:
        channels: The open connections.
        is_closing: Set to True during a shutdown; responses then close their
            connection.
    """

    noisy = False

    def __init__(
        self,
        *,
        reactor,
        handler: Callable[[CallerRequest, IngressRequest], None],
        caller_stall_s: float = DEFAULT_CALLER_STALL_S,
        on_stall: Callable[[], None] = lambda: None,
        meter: _meter.BufferMeter | None = None,
    ):
        super().__init__(reactor=reactor)
        self.caller_stall_s = caller_stall_s
        self.on_stall = on_stall
        self.meter = meter or _meter.BufferMeter()
        self.reactor = reactor
        self.handler = handler
        self.channels: set[IngressChannel] = set()
        self.is_closing = False
        self._limits = routes.CallerLimits()

    @property
    def limits(self) -> routes.CallerLimits:
        """Limits of callers' requests."""
        return self._limits

    @limits.setter
    def limits(self, limits: routes.CallerLimits) -> None:
        is_extended = limits.idle_timeout_s > self._limits.idle_timeout_s
        self._limits = limits
        if is_extended:
            for channel in self.channels:
                channel.extend_idle_timeout(limits.idle_timeout_s)

    def buildProtocol(self, addr) -> IngressChannel:  # noqa: N802
        """Returns the protocol of a new connection."""
        channel = IngressChannel(factory=self)
        channel.callLater = self.reactor.callLater
        return channel

    def log(self, request) -> None:
        """Writes no access log; the handler logs each request."""

    def flush(self) -> None:
        """Hands what waits to be sent to the operating system at once."""
        for channel in list(self.channels):
            transport = channel.transport
            is_socket = interfaces.ITCPTransport.providedBy(transport)
            if is_socket and transport.connected and channel.undelivered_bytes:
                transport.doWrite()

    def abort_unframed(self) -> None:
        """Resets connections that would seem to end a whole response.

        Call this before the process ends, which closes them in order.
        """
        for channel in list(self.channels):
            if channel.is_unframed and channel.undelivered_bytes:
                channel.transport.abortConnection()

    def close_idle(self) -> None:
        """Closes the connections on which all requests are answered.

        A connection that hasn't carried a request stays open, since its first
        request may be on its way.
        """
        for channel in list(self.channels):
            if channel.can_close:
                channel.loseConnection()

    def list_undelivered(self) -> list[tuple[str, int]]:
        """Returns the responses that their callers haven't received in whole.

        Returns:
            The label of each one's request, and the number of bytes left.
        """
        found = [
            (channel.last_label, channel.undelivered_bytes)
            for channel in self.channels
        ]
        return [(label, left) for label, left in found if left]

    def expects_requests(self) -> bool:
        """Returns whether callers have probably sent requests to be read."""
        return any(channel.expects_request for channel in self.channels)
