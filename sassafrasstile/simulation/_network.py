"""A reactor in virtual time that carries datagrams between gateways."""

import random

from twisted.internet import task

_DELAY_S = 0.001
_LOST_SHARE = 0.001


class _Transport:
    """Sends the datagrams of one gateway."""

    def __init__(self, *, reactor: "VirtualReactor"):
        self._reactor = reactor

    def write(self, data: bytes, address: tuple[str, int]) -> None:
        self._reactor.deliver(data, address)


class _Port:
    """A port; closing it does nothing."""

    def stopListening(self) -> None:  # noqa: N802
        pass


class VirtualReactor(task.Clock):
    """A clock that advances from one event to the next.

    Args:
        generator: Random generator that decides which datagrams are lost.
    """

    def __init__(self, *, generator: random.Random):
        super().__init__()
        self._generator = generator
        self._listeners: dict[tuple[str, int], object] = {}

    def listenUDP(self, port: int, protocol, interface: str):  # noqa: N802
        """Registers a protocol as the receiver at an address."""
        self._listeners[interface, port] = protocol
        protocol.transport = _Transport(reactor=self)
        return _Port()

    def deliver(self, data: bytes, address: tuple[str, int]) -> None:
        """Delivers a datagram after the network's delay, unless it is lost."""
        protocol = self._listeners.get(address)
        if protocol is None or self._generator.random() < _LOST_SHARE:
            return
        self.callLater(_DELAY_S, protocol.datagramReceived, data, address)

    def run_until(self, end: float) -> None:
        """Runs every event up to a time."""
        while self.calls and self.calls[0].getTime() <= end:
            self.advance(max(0.0, self.calls[0].getTime() - self.seconds()))
        self.advance(max(0.0, end - self.seconds()))
