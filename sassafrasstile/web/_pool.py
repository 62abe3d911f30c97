"""A pool of reusable connections to one server."""

from collections.abc import Callable

from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import error
from twisted.internet import protocol

from sassafrasstile import errors
from sassafrasstile.web import _bounds
from sassafrasstile.web import _connection
from sassafrasstile.web import _meter
from sassafrasstile.web import _reply


class ConnectionPool:
    """A pool of connections to one server.

    Args:
        reactor: The reactor.
        host: The server's IP address.
        port: The server's port.
        connect_timeout_s: Seconds until a connection attempt times out.
        on_activity: Called whenever bytes arrive from the server.
        loss_timeout_s: Seconds without a sign of life after which a
            connection is lost while it carries a request.
        bounds: Bounds on what is read.
        on_exceeded: Called with the kind of a bound that was exceeded; the
            connection is closed then.
        meter: Counts what is buffered, or None.

    Attributes:
        opened_count: Number of connections opened so far.
    """

    def __init__(
        self,
        *,
        reactor,
        host: str,
        port: int,
        connect_timeout_s: float,
        on_activity: Callable[[], None] = lambda: None,
        loss_timeout_s: float = _connection.LOSS_TIMEOUT_S,
        bounds: _bounds.ReadBounds = _bounds.DEFAULT_BOUNDS,
        on_exceeded: Callable[[_bounds.ReadKind], None] = lambda _kind: None,
        meter: _meter.BufferMeter | None = None,
    ):
        self._meter = meter or _meter.BufferMeter()
        self._reactor = reactor
        self._loss_timeout_s = loss_timeout_s
        self._bounds = bounds
        self._on_exceeded = on_exceeded
        self._on_activity = on_activity
        self._endpoint = endpoints.TCP4ClientEndpoint(
            reactor, host, port, timeout=connect_timeout_s
        )
        self._address = f"{host}:{port}"
        self._idle: list[_connection.HttpConnection] = []
        self._connections: set[_connection.HttpConnection] = set()
        self._closed = False
        self.opened_count = 0

    async def send(
        self,
        *,
        method: bytes,
        target: bytes,
        headers: _reply.Headers,
        body: bytes = b"",
        request_id: str = "",
        is_answer: Callable[[_reply.ResponseHead], bool] = lambda _head: True,
        fresh: bool = False,
        on_send: Callable[[], None] = lambda: None,
    ) -> _reply.Reply:
        """Sends a request on an idle connection or a new one.

        Args:
            method: The method.
            target: The path with its query.
            headers: The headers without Content-Length and hop-by-hop headers.
            body: The body.
            request_id: The id that its answer names, empty if there is none.
                No connection carries the same id twice.
            is_answer: Returns whether a head is that of the request's answer.
                Another one fails the request and closes the connection.
            fresh: True to open a new connection rather than reuse one.
            on_send: Called just before the first byte is written. If it
                raises an `ExchangeError`, nothing is sent and the connection
                is kept.

        Returns:
            The reply, before any of it has arrived.

        Raises:
            ExchangeError: No connection could be made, or `on_send` refused;
                nothing was sent.
        """
        connection = None if fresh else self._pop_idle(request_id)
        if connection is None:
            connection = await self._connect()
        try:
            on_send()
        except _reply.ExchangeError:
            self._keep(connection)
            raise
        return connection.send(
            method=method,
            target=target,
            headers=headers,
            body=body,
            request_id=request_id,
            is_answer=is_answer,
        )

    async def can_connect(self) -> bool:
        """Opens a connection, and keeps it, to see whether that is possible."""
        try:
            connection = await self._connect()
        except _reply.ExchangeError:
            return False
        self._keep(connection)
        return True

    def close(self) -> None:
        """Closes the idle connections, and the others once they are idle."""
        self._closed = True
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.abort()

    def abort(self) -> None:
        """Closes every connection immediately."""
        self.close()
        for connection in list(self._connections):
            connection.abort()

    def _pop_idle(self, request_id: str) -> _connection.HttpConnection | None:
        """Takes the newest idle connection that hasn't carried an id."""
        now = self._reactor.seconds()
        for connection in reversed(tuple(self._idle)):
            if connection.has_carried(request_id):
                continue
            self._idle.remove(connection)
            if not connection.is_open:
                continue
            is_fresh = now - connection.idle_since < connection.keep_alive_s
            if is_fresh and connection.is_reusable():
                return connection
            connection.abort()
        return None

    async def _connect(self) -> _connection.HttpConnection:
        factory = protocol.Factory.forProtocol(self._build)
        factory.noisy = False
        try:
            connection = await self._endpoint.connect(factory)
        except error.ConnectingCancelledError as reason:
            raise defer.CancelledError from reason
        except error.ConnectError as reason:
            raise _reply.ExchangeError(
                code=errors.Code.ENDPOINT_UNREACHABLE,
                detail=f"{self._address}: {reason}",
                was_sent=False,
            ) from reason
        connection.idle_since = self._reactor.seconds()
        self._connections.add(connection)
        self.opened_count += 1
        return connection

    def _build(self) -> _connection.HttpConnection:
        return _connection.HttpConnection(
            on_idle=self._add_idle,
            on_lost=self._remove,
            on_activity=self._on_activity,
            loss_timeout_s=self._loss_timeout_s,
            bounds=self._bounds,
            on_exceeded=self._on_exceeded,
            meter=self._meter,
        )

    def _add_idle(self, connection: _connection.HttpConnection) -> None:
        connection.idle_since = self._reactor.seconds()
        self._keep(connection)

    def _keep(self, connection: _connection.HttpConnection) -> None:
        """Keeps an idle connection for a later request."""
        if self._closed:
            connection.abort()
        else:
            self._idle.append(connection)

    def _remove(self, connection: _connection.HttpConnection) -> None:
        self._connections.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
