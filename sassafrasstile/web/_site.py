"""A twisted.web site that knows what its callers are still owed."""

from twisted.web import http
from twisted.web import server

from sassafrasstile.web import _connection
from sassafrasstile.web import _delivery

# A caller sends its first request within this time after it has connected.
_FIRST_REQUEST_WAIT_S = 0.5


class _CallerChannel(http.HTTPChannel):
    """A caller's connection; see `CallerSite`."""

    site: "CallerSite"

    def __init__(self):
        super().__init__()
        self._accepted_at = 0.0
        self._is_unused = True
        self._awaits_head = False
        self._close: _delivery.DeliveredClose | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Handles the start of the connection."""
        super().connectionMade()
        self._accepted_at = self.site.reactor.seconds()
        self.site.channels.add(self)

    def connectionLost(self, reason) -> None:  # noqa: N802
        """Handles the end of the connection."""
        self.site.channels.discard(self)
        if self._close is not None:
            self._close.close()
        super().connectionLost(reason)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Reads a request; discards what follows the last one."""
        if self._close is not None:
            return
        self._is_unused = False
        self._awaits_head = self._awaits_head or not self.requests
        super().dataReceived(data)

    def setLineMode(self, extra: bytes = b""):  # noqa: N802
        """Goes on with what was received behind the last request."""
        self._awaits_head = bool(extra)
        return super().setLineMode(extra)

    def allHeadersReceived(self) -> None:  # noqa: N802
        """Handles the end of a request's head."""
        self._awaits_head = False
        super().allHeadersReceived()

    def writeHeaders(self, version, code, reason, headers):  # noqa: N802
        """Says that the connection will be closed, when it will be."""
        if self.site.is_closing:
            headers.setRawHeaders(b"connection", [b"close"])
        super().writeHeaders(version, code, reason, headers)

    def requestDone(self, request) -> None:  # noqa: N802
        """Handles the end of an answer."""
        if self.site.is_closing:
            self.persistent = False
        super().requestDone(request)

    def timeoutConnection(self) -> None:  # noqa: N802
        """Closes a connection on which the caller sends nothing."""
        self.loseConnection()

    def loseConnection(self) -> None:  # noqa: N802
        """Closes the connection once the caller has all that was sent."""
        if self._close is not None:
            return
        self.setTimeout(None)
        self._close = _delivery.DeliveredClose(
            reactor=self.site.reactor,
            transport=self.transport,
            stall_s=self.site.stall_s,
        )
        self._close.start()

    def is_owed(self) -> bool:
        """Returns whether a request is being read or answered."""
        if _delivery.count_undelivered(self.transport):
            return True
        if self._close is not None:
            return False
        if self._is_unused:
            age_s = self.site.reactor.seconds() - self._accepted_at
            if age_s < _FIRST_REQUEST_WAIT_S:
                return True
        return (
            bool(self.requests)
            or self._awaits_head
            or _connection.has_unread_bytes(self.transport)
        )


class CallerSite(server.Site):
    """A site whose connections are closed only once they are delivered.

    Args:
        resource: The root of the resource tree.
        reactor: The reactor.
        stall_s: Seconds after which a caller is disconnected that reads
            nothing of the last answer on its connection.
        **parameters: As for `server.Site`.

    Attributes:
        channels: The open connections.
        is_closing: Set to True during a shutdown; each answer then says that
            it closes its connection.
    """

    protocol = _CallerChannel

    def __init__(self, resource, *, reactor, stall_s: float, **parameters):
        super().__init__(resource, reactor=reactor, **parameters)
        self.stall_s = stall_s
        self.channels: set[_CallerChannel] = set()
        self.is_closing = False

    def count_owed(self) -> int:
        """Returns the connections with a request or an answer on its way."""
        return sum(channel.is_owed() for channel in self.channels)

    def close_connections(self) -> None:
        """Closes each connection once its caller has all that was sent."""
        for channel in list(self.channels):
            channel.loseConnection()
