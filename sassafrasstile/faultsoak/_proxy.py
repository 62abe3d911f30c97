"""A loopback proxy that delays, silences or resets connections."""

import collections

from twisted.internet import endpoints
from twisted.internet import interfaces
from twisted.internet import protocol


class _Side(protocol.Protocol):
    """One side of a proxied connection."""

    def __init__(self, *, proxy: "FaultProxy"):
        self._proxy = proxy
        self.peer: _Side | None = None
        self._buffered: list[bytes] = []
        self.delayed_chunks: collections.deque[bytes] = collections.deque()

    def connectionMade(self) -> None:  # noqa: N802
        self._proxy.sides.add(self)

    def link(self, peer: "_Side") -> None:
        """Connects the two sides and forwards the bytes received so far."""
        if self not in self._proxy.sides:
            # This side closed before the peer had connected.
            peer.transport.abortConnection()
            return
        self.peer, peer.peer = peer, self
        for data in self._buffered:
            self._proxy.forward(peer, data)
        self._buffered = []

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.peer is None:
            self._buffered.append(data)
        else:
            self._proxy.forward(self.peer, data)

    def connectionLost(  # noqa: N802
        self, reason=protocol.connectionDone
    ) -> None:
        self._proxy.sides.discard(self)
        peer, self.peer = self.peer, None
        if peer is not None and not self._proxy.is_silent:
            peer.peer = None
            peer.transport.loseConnection()


class FaultProxy(protocol.Factory):
    """Forwards connections to one target.

    Args:
        reactor: The reactor.
        host: The target's IP address.
        port: The target's port.
    """

    noisy = False

    def __init__(self, *, reactor, host: str, port: int):
        self._reactor = reactor
        self._target = endpoints.TCP4ClientEndpoint(reactor, host, port)
        self._port: interfaces.IListeningPort | None = None
        self.sides: set[_Side] = set()
        self.is_silent = False
        self.is_held = False
        self.delay_s = 0.0
        self.port = 0

    def start(self) -> None:
        """Starts listening on a free port."""
        self._port = self._reactor.listenTCP(0, self, interface="127.0.0.1")
        self.port = self._port.getHost().port

    def close(self):
        """Stops listening and aborts every connection."""
        self.reset()
        return self._port.stopListening()

    def buildProtocol(self, _address) -> _Side:  # noqa: N802
        """Connects a new connection to the target."""
        client_side = _Side(proxy=self)
        factory = protocol.Factory.forProtocol(lambda: _Side(proxy=self))
        factory.noisy = False
        connecting = self._target.connect(factory)
        connecting.addCallbacks(
            client_side.link,
            lambda _reason: client_side.transport.abortConnection(),
        )
        return client_side

    def forward(self, side: _Side, data: bytes) -> None:
        """Forwards bytes, subject to the current fault."""
        if self.is_silent:
            return
        if self.is_held:
            side.delayed_chunks.append(data)
            return
        if not self.delay_s and not side.delayed_chunks:
            side.transport.write(data)
            return
        # Each timer writes the oldest delayed chunk, so that bytes stay in
        # order even if the delay changes.
        side.delayed_chunks.append(data)
        self._reactor.callLater(self.delay_s, self._write, side)

    def hold(self) -> None:
        """Keeps all bytes back until `release`."""
        self.is_held = True

    def release(self) -> None:
        """Forwards the bytes that were kept back."""
        self.is_held = False
        for side in list(self.sides):
            while side.delayed_chunks:
                self._write(side)

    def reset(self) -> None:
        """Aborts every connection."""
        for side in list(self.sides):
            side.transport.abortConnection()

    def _write(self, side: _Side) -> None:
        if self.is_held or not side.delayed_chunks:
            # A release writes all chunks, also those with a timer.
            return
        data = side.delayed_chunks.popleft()
        if side in self.sides and not self.is_silent:
            side.transport.write(data)
