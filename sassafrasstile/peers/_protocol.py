"""The base of what gateways tell each other beside their load reports."""

from sassafrasstile.peers import _messenger
from sassafrasstile.peers import _transport


class PeerProtocol:
    """A kind of messages that gateways send each other.

    Args:
        messenger: Sends the messages.
    """

    def __init__(self, *, messenger: _messenger.Messenger):
        self._messenger = messenger

    @property
    def transport(self) -> _transport.Transport:
        """Sends to the other gateways; set once the channel to them exists."""
        return self._messenger.transport

    @transport.setter
    def transport(self, transport: _transport.Transport) -> None:
        self._messenger.transport = transport

    def start(self) -> None:
        """Does nothing by default; messages are handled as they arrive."""

    def close(self) -> None:
        """Stops sending."""
        self._messenger.close()
