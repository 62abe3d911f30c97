"""A loopback proxy that delays, silences or resets connections."""

import collections

from twisted.internet import endpoints
from twisted.internet import interfaces
from twisted.internet import protocol


class _Side(protocol.Protocol):
    """One side of a proxied connection."""

    def __init__(self, *, proxy: "FaultProxy"):
        self._proxy = proxy
        self.other: _Side | None = None
        self._early: list[bytes] = []
        self.waiting: collections.deque[bytes] = collections.deque()

    def connectionMade(self) -> None:  # noqa: N802
        self._proxy.sides.add(self)

    def join(self, other: "_Side") -> None:
        """Links the two sides and hands over what came early."""
        if self not in self._proxy.sides:
            # It was closed before the other side was open.
            other.transport.abortConnection()
            return
        self.other, other.other = other, self
        for data in self._early:
            self._proxy.carry(other, data)
        self._early = []

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.other is None:
            self._early.append(data)
        else:
            self._proxy.carry(self.other, data)

    def connectionLost(  # noqa: N802
        self, reason=protocol.connectionDone
    ) -> None:
        self._proxy.sides.discard(self)
        other, self.other = self.other, None
        if other is not None and not self._proxy.is_silent:
            other.other = None
            other.transport.loseConnection()


class FaultProxy(protocol.Factory):
    """Carries connections to one target.

    Args:
        reactor: The reactor.
        host: The target's IP number.
        port: Its port.
    """

    noisy = False

    def __init__(self, *, reactor, host: str, port: int):
        self._reactor = reactor
        self._target = endpoints.TCP4ClientEndpoint(reactor, host, port)
        self._port: interfaces.IListeningPort | None = None
        self.sides: set[_Side] = set()
        self.is_silent = False
        self.delay_s = 0.0
        self.port = 0

    def start(self) -> None:
        """Listens."""
        self._port = self._reactor.listenTCP(0, self, interface="127.0.0.1")
        self.port = self._port.getHost().port

    def close(self):
        """Stops listening and drops every connection."""
        self.reset()
        return self._port.stopListening()

    def buildProtocol(self, _address) -> _Side:  # noqa: N802
        """Opens the other side of a new connection."""
        near = _Side(proxy=self)
        factory = protocol.Factory.forProtocol(lambda: _Side(proxy=self))
        factory.noisy = False
        connecting = self._target.connect(factory)
        connecting.addCallbacks(
            near.join, lambda _reason: near.transport.abortConnection()
        )
        return near

    def carry(self, side: _Side, data: bytes) -> None:
        """Passes bytes on, as the fault of the moment allows."""
        if self.is_silent:
            return
        if not self.delay_s and not side.waiting:
            side.transport.write(data)
            return
        # Bytes never overtake each other, however the delay changes: each
        # timer writes the oldest that wait.
        side.waiting.append(data)
        self._reactor.callLater(self.delay_s, self._write, side)

    def reset(self) -> None:
        """Breaks every connection."""
        for side in list(self.sides):
            side.transport.abortConnection()

    def _write(self, side: _Side) -> None:
        data = side.waiting.popleft()
        if side in self.sides and not self.is_silent:
            side.transport.write(data)
