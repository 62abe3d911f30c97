"""The port that accepts callers."""

import socket

from twisted.internet import defer
from twisted.internet import interfaces

from sassafrasstile import web

# Callers that wait while the process starts are accepted after this time even
# if it has no configuration yet, and are told when to return.
_MAX_ACCEPT_DELAY_S = 1.0
_BACKLOG = 511


class CallerPort:
    """Opens the callers' port, or takes over one that is open already.

    Args:
        reactor: The reactor.
        host: The IP address to listen on.
        port: The port.
        factory: Makes the protocol of each connection.
        listener: A socket on which callers wait already, or None to open the
            port at the start. Waiting callers are accepted by `accept`, and
            after a second at the latest.
    """

    def __init__(
        self,
        *,
        reactor,
        host: str,
        port: int,
        factory: interfaces.IProtocolFactory,
        listener: socket.socket | None = None,
    ):
        self._reactor = reactor
        self._host = host
        self._port = port
        self._factory = factory
        self._listener = listener
        self._open_port: interfaces.IListeningPort | None = None
        self._delayed_call: interfaces.IDelayedCall | None = None

    @property
    def port(self) -> int:
        """The number of the open port."""
        return self._open_port.getHost().port

    def start(self) -> None:
        """Starts to listen, or to wait for `accept`."""
        if self._listener is None:
            self._open_port = self._reactor.listenTCP(
                self._port,
                self._factory,
                interface=self._host,
                backlog=_BACKLOG,
            )
            return
        self._delayed_call = self._reactor.callLater(
            _MAX_ACCEPT_DELAY_S, self.accept
        )

    def accept(self) -> None:
        """Accepts the callers that wait; further calls do nothing."""
        listener, self._listener = self._listener, None
        if listener is None:
            return
        # The reactor accepts until there are no more connections.
        listener.setblocking(False)
        self._open_port = self._reactor.adoptStreamPort(
            listener.fileno(), listener.family, self._factory
        )
        listener.close()

    def close(self) -> defer.Deferred:
        """Accepts the callers that wait, and stops listening.

        Further calls do nothing.
        """
        if self._delayed_call is not None and self._delayed_call.active():
            self._delayed_call.cancel()
        self.accept()
        return web.close_port(self._open_port)
