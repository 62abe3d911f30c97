"""An HTTP/1.1 connection to a server, with one request at a time.

twisted.web's client drops what follows an answer; here such bytes show that
a connection can't be trusted any more, so h11 parses instead.
"""

from collections.abc import Callable
import socket

import h11
from twisted.internet import error
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure

from sassafrasstile import errors
from sassafrasstile.web import _reply

_MAX_HEAD_BYTES = 65536
# Silent peers are given up after about three seconds.
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
_USER_TIMEOUT_MS = 3000
# A kept connection is dropped this much before its server would close it.
_KEEP_ALIVE_MARGIN_S = 0.5
_DEFAULT_KEEP_ALIVE_S = 2.0


def tune_socket(transport) -> None:
    """Makes a silent peer show as a lost connection within seconds."""
    if not interfaces.ITCPTransport.providedBy(transport):
        return
    transport.setTcpNoDelay(True)
    transport.setTcpKeepAlive(True)
    sock = transport.getHandle()
    for option, value in (
        (socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


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
        on_idle: Callable[["HttpConnection"], None],
        on_lost: Callable[["HttpConnection"], None],
        on_activity: Callable[[], None],
    ):
        self._on_idle = on_idle
        self._on_lost = on_lost
        self._on_activity = on_activity
        self._parser = self._make_parser()
        self._reply: _reply.Reply | None = None
        self.is_open = False
        self.keep_alive_s = _DEFAULT_KEEP_ALIVE_S
        self.idle_since = 0.0

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
        self,
        *,
        method: bytes,
        target: bytes,
        headers: _reply.Headers,
        body: bytes,
    ) -> _reply.Reply:
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
        self._reply = _reply.Reply(abort=self.abort)
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
        self._on_activity()
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
        headers = tuple(event.headers)
        head = _reply.ResponseHead(
            status=event.status_code, reason=event.reason, headers=headers
        )
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
        reusable = states == (h11.DONE, h11.DONE) and not extra
        reply.end()
        if not reusable or not self.is_open:
            self.abort()
            return
        self._parser.start_next_cycle()
        self._on_idle(self)
