"""Sends messages about streams to other gateways, within a rate limit."""

from collections.abc import Callable, Collection

from sassafrasstile import limits
from sassafrasstile import peers
from sassafrasstile.streams import _base
from sassafrasstile.streams import _codec

# Each datagram may be lost, so it is sent again after this time.
_REPEAT_S = 0.05
_MAX_DATAGRAMS_PER_S = 400.0


class Messenger:
    """Sends each message twice, since any datagram may be lost.

    Args:
        reactor: The reactor.
        transport: Sends to the other gateways.

    Attributes:
        transport: Sends to the other gateways. It is set once the channel to
            them exists.
    """

    def __init__(self, *, reactor, transport: peers.Transport):
        self._reactor = reactor
        self.transport = transport
        self._calls: set = set()
        self._bucket = limits.TokenBucket(rate_per_s=_MAX_DATAGRAMS_PER_S)

    def close(self) -> None:
        """Stops sending."""
        for call in self._calls:
            call.cancel()
        self._calls.clear()

    def send_twice(
        self,
        names: Collection[str],
        message: _base.Message,
        *,
        list_repeated: Callable[[], Collection[str]] | None = None,
    ) -> bool:
        """Sends a message now and once more.

        Args:
            names: The gateways.
            message: The message.
            list_repeated: Returns the gateways that need it again; all by
                default.

        Returns:
            False when the rate limit held the first one back.
        """
        is_sent = self.send(names, message)

        def repeat():
            self._calls.discard(call)
            self.send(list_repeated() if list_repeated else names, message)

        call = self._reactor.callLater(_REPEAT_S, repeat)
        self._calls.add(call)
        return is_sent

    def send(self, names: Collection[str], message: _base.Message) -> bool:
        """Sends a message once.

        Returns:
            False when the rate limit held it back.
        """
        if not self._bucket.take(len(names), self._reactor.seconds()):
            return False
        payload = _codec.encode_message(message)
        for name in names:
            self.transport.send(name, payload)
        return True
