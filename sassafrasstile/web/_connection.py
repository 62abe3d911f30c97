"""An HTTP/1.1 client connection that carries one request at a time.

twisted.web's client ignores bytes that follow a response. Such bytes mean
that a later response may not belong to its request, so the connection must
not be reused; h11 parses the responses because it reports these bytes.
"""

from collections.abc import Callable
import socket

import h11
from twisted.internet import error
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure

from sassafrasstile import errors
from sassafrasstile.web import _bounds
from sassafrasstile.web import _meter
from sassafrasstile.web import _reply

# A connection to an unresponsive peer is lost after about this time.
LOSS_TIMEOUT_S = 3.0
# With this status h11 marks an unfinished part that has become too long.
_TOO_LONG_STATUS = 431
_TCP_KEEPIDLE_S = 1
_TCP_KEEPINTVL_S = 1
_MS_PER_S = 1000
# An idle connection is dropped this long before the server's keep-alive
# timeout, so that no request is sent while the server closes it.
_KEEP_ALIVE_MARGIN_S = 0.5
# Used when the server names no keep-alive timeout.
_DEFAULT_KEEP_ALIVE_S = 2.0
# A connection carries requests with so many ids, all of which it remembers.
MAX_CARRIED_IDS = 1000


def tune_socket(transport) -> None:
    """Sets TCP options that detect an unresponsive peer within seconds."""
    if not interfaces.ITCPTransport.providedBy(transport):
        return
    transport.setTcpNoDelay(True)
    transport.setTcpKeepAlive(True)
    sock = transport.getHandle()
    for option, value in (
        (socket.TCP_KEEPIDLE, _TCP_KEEPIDLE_S),
        (socket.TCP_KEEPINTVL, _TCP_KEEPINTVL_S),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
    _set_loss_timeout(transport, LOSS_TIMEOUT_S)


def _set_loss_timeout(transport, seconds: float) -> None:
    """Sets after which time without a sign of life a connection is lost."""
    if not interfaces.ITCPTransport.providedBy(transport):
        return
    probes = round((seconds - _TCP_KEEPIDLE_S) / _TCP_KEEPINTVL_S)
    sock = transport.getHandle()
    for option, value in (
        (socket.TCP_KEEPCNT, probes),
        (socket.TCP_USER_TIMEOUT, round(seconds * _MS_PER_S)),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


def _peek(transport) -> bytes | None:
    """Looks at the first unread byte without reading it.

    Returns:
        The byte; no bytes if the peer has closed; None if nothing has arrived.

    Raises:
        OSError: The connection is lost.
    """
    flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
    try:
        return transport.getHandle().recv(1, flags)
    except BlockingIOError:
        return None


def has_unread_bytes(transport) -> bool:
    """Returns whether bytes have arrived that the reactor hasn't read yet."""
    if not interfaces.ITCPTransport.providedBy(transport):
        return False
    try:
        return bool(_peek(transport))
    except OSError:
        return False


def _is_quiet(transport) -> bool:
    """Returns whether neither bytes nor an end of the connection wait."""
    if not interfaces.ITCPTransport.providedBy(transport):
        return True
    try:
        return _peek(transport) is None
    except OSError:
        return False


class HttpConnection(protocol.Protocol):
    """A connection that can be reused for one request after another.

    Args:
        on_idle: Called when the connection may carry another request.
        on_lost: Called once when the connection is lost.
        on_activity: Called whenever bytes arrive from the server.
        loss_timeout_s: Seconds without a sign of life after which the
            connection is lost while it carries a request.
        bounds: Bounds on what is read.
        on_exceeded: Called with the kind of a bound that was exceeded.
        meter: Counts what is buffered.

    Attributes:
        is_open: True while the connection is open.
        keep_alive_s: Seconds for which the idle connection may be reused.
        idle_since: Reactor seconds at which the connection became idle.
    """

    def __init__(
        self,
        *,
        on_idle: Callable[["HttpConnection"], None],
        on_lost: Callable[["HttpConnection"], None],
        on_activity: Callable[[], None],
        bounds: _bounds.ReadBounds,
        on_exceeded: Callable[[_bounds.ReadKind], None],
        meter: _meter.BufferMeter,
        loss_timeout_s: float = LOSS_TIMEOUT_S,
    ):
        self._loss_timeout_s = loss_timeout_s
        self._meter = meter
        self._on_idle = on_idle
        self._on_lost = on_lost
        self._on_activity = on_activity
        self._bounds = bounds
        self._on_exceeded = on_exceeded
        self._parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=bounds.head_bytes
        )
        # Bytes received of the response, while its head is incomplete.
        self._head_size = 0
        self._has_head = False
        self._reply: _reply.Reply | None = None
        self._is_answer: Callable[[_reply.ResponseHead], bool] | None = None
        # Hashes, since a caller chooses the length of an id.
        self._carried_ids: set[int] = set()
        self.is_open = False
        self.keep_alive_s = _DEFAULT_KEEP_ALIVE_S
        self.idle_since = 0.0

    def connectionMade(self) -> None:  # noqa: N802
        """Handles the start of the connection."""
        self.is_open = True
        tune_socket(self.transport)

    def is_reusable(self) -> bool:
        """Returns whether the idle connection is open and nothing waits on it.

        While the process is held up, the server may close the connection or
        send bytes that answer no request, and the reactor hasn't noticed yet.
        """
        return self.is_open and _is_quiet(self.transport)

    def has_carried(self, request_id: str) -> bool:
        """Returns whether a request with an id was sent on this connection.

        An answer to it may come once more, and its id wouldn't tell it from
        the answer to another request with the same id.

        Args:
            request_id: The id; a request with an empty one has none.
        """
        return bool(request_id) and hash(request_id) in self._carried_ids

    def send(
        self,
        *,
        method: bytes,
        target: bytes,
        headers: _reply.Headers,
        body: bytes,
        request_id: str,
        is_answer: Callable[[_reply.ResponseHead], bool],
    ) -> _reply.Reply:
        """Sends a request; the connection must be idle.

        Args:
            method: The method.
            target: The path with its query.
            headers: The headers without Content-Length and hop-by-hop headers.
            body: The body.
            request_id: The id that its answer names, empty if there is none.
                The connection must not have carried it.
            is_answer: Returns whether a head is that of the request's answer.
                Another one fails the request and closes the connection.

        Returns:
            The reply, before any of it has arrived.
        """
        fields = list(headers)
        if body or method not in (b"GET", b"HEAD", b"DELETE"):
            fields.append((b"Content-Length", str(len(body)).encode()))
        request = h11.Request(method=method, target=target, headers=fields)
        self._change_loss_timeout(self._loss_timeout_s)
        self._reply = _reply.Reply(
            abort=self.abort,
            set_paused=self._set_paused,
            bounds=self._bounds,
            on_exceeded=self._on_exceeded,
            meter=self._meter,
        )
        self._is_answer = is_answer
        if request_id:
            self._carried_ids.add(hash(request_id))
        self._head_size = 0
        self._has_head = False
        data = self._parser.send(request)
        if body:
            data += self._parser.send(h11.Data(data=body))
        data += self._parser.send(h11.EndOfMessage()) or b""
        self.transport.write(data)
        return self._reply

    def abort(self) -> None:
        """Closes the connection without waiting for unsent bytes."""
        if self.is_open:
            self.is_open = False
            self.transport.abortConnection()

    def _set_paused(self, is_paused: bool) -> None:
        """Stops reading while the response isn't read, or goes on."""
        if not self.is_open:
            return
        if is_paused:
            self.transport.pauseProducing()
        else:
            self.transport.resumeProducing()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Handles bytes from the server."""
        self._on_activity()
        if self._reply is None or not self.is_open:
            # No request is in flight that these bytes could answer.
            self.abort()
            return
        if not self._has_head:
            self._head_size += len(data)
        try:
            self._parser.receive_data(data)
            self._handle_events()
        except h11.RemoteProtocolError as reason:
            self._handle_protocol_error(reason)
        if not self._has_head and self._head_size > self._bounds.head_bytes:
            self._exceed(_bounds.ReadKind.HEAD)

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

    def _handle_protocol_error(self, reason: h11.RemoteProtocolError) -> None:
        if reason.error_status_hint == _TOO_LONG_STATUS:
            has_head = self._has_head
            kind = _bounds.ReadKind
            self._exceed(kind.FRAMING if has_head else kind.HEAD)
            return
        self._fail(errors.Code.BAD_ANSWER, str(reason))
        self.abort()

    def _exceed(self, kind: _bounds.ReadKind) -> None:
        """Fails the response, since the server sends more than is allowed."""
        reply, self._reply = self._reply, None
        if reply is not None:
            reply.fail(reply.exceed(kind))

    def _fail(self, code: errors.Code, detail: str) -> None:
        reply, self._reply = self._reply, None
        if reply is not None:
            reply.fail(
                _reply.ExchangeError(code=code, detail=detail, was_sent=True)
            )

    def _handle_events(self) -> None:
        while self._reply is not None:
            event = self._parser.next_event()
            match event:
                case h11.Response():
                    self._handle_head(event)
                case h11.Data():
                    self._reply.add_chunk(bytes(event.data))
                case h11.EndOfMessage():
                    self._handle_end()
                case h11.InformationalResponse():
                    pass
                case _:
                    return

    def _handle_head(self, event: h11.Response) -> None:
        self._has_head = True
        headers = tuple(event.headers)
        head = _reply.ResponseHead(
            status=event.status_code, reason=event.reason, headers=headers
        )
        if not self._is_answer(head):
            # The request's own answer may follow, so nothing else is sent.
            self._fail(errors.Code.BAD_ANSWER, "it answers another request")
            self.abort()
            return
        keep_alive = head.get(b"keep-alive") or b""
        for item in keep_alive.split(b","):
            name, _, value = item.strip().partition(b"=")
            if name.lower() == b"timeout" and value.isdigit():
                self.keep_alive_s = max(0.0, int(value) - _KEEP_ALIVE_MARGIN_S)
        self._reply.set_head(head)

    def _handle_end(self) -> None:
        reply, self._reply = self._reply, None
        extra, _ = self._parser.trailing_data
        states = (self._parser.our_state, self._parser.their_state)
        reusable = (
            states == (h11.DONE, h11.DONE)
            and not extra
            and len(self._carried_ids) < MAX_CARRIED_IDS
        )
        reply.end()
        if not reusable or not self.is_open:
            self.abort()
            return
        self._parser.start_next_cycle()
        self._change_loss_timeout(LOSS_TIMEOUT_S)
        self._on_idle(self)

    def _change_loss_timeout(self, seconds: float) -> None:
        if self._loss_timeout_s != LOSS_TIMEOUT_S:
            _set_loss_timeout(self.transport, seconds)
