"""Sends messages to other gateways, within a rate limit."""

from collections.abc import Callable, Collection

from twisted.internet import interfaces

from sassafrasstile import limits
from sassafrasstile.peers import _transport


class Messenger:
    """Sends messages, some of them twice, since any datagram may be lost.

    Args:
        reactor: The reactor.
        max_datagrams_per_s: The rate limit.
        repeat_s: Seconds after which a message is sent again.
        transport: Sends to the other gateways.

    Attributes:
        transport: Sends to the other gateways. It is set once the channel to
            them exists.
    """

    def __init__(
        self,
        *,
        reactor,
        max_datagrams_per_s: float,
        repeat_s: float,
        transport: _transport.Transport | None = None,
    ):
        self.transport = transport or _transport.NoTransport()
        self._reactor = reactor
        self._repeat_s = repeat_s
        self._calls: set[interfaces.IDelayedCall] = set()
        self._bucket = limits.TokenBucket(rate_per_s=max_datagrams_per_s)

    def close(self) -> None:
        """Stops sending."""
        for call in self._calls:
            call.cancel()
        self._calls.clear()

    def send_twice(
        self,
        names: Collection[str],
        payload: bytes,
        *,
        list_repeated: Callable[[], Collection[str]] | None = None,
    ) -> bool:
        """Sends a message now and once more.

        Args:
            names: The gateways.
            payload: The message.
            list_repeated: Returns the gateways that need it again; all by
                default.

        Returns:
            False when the rate limit held the first one back.
        """
        is_sent = self.send(names, payload)

        def repeat():
            self.send(list_repeated() if list_repeated else names, payload)

        self.call_later(repeat)
        return is_sent

    def call_later(self, send: Callable[[], None]) -> None:
        """Calls a function when messages sent now are due to be repeated."""

        def run():
            self._calls.discard(call)
            send()

        call = self._reactor.callLater(self._repeat_s, run)
        self._calls.add(call)

    def send(self, names: Collection[str], payload: bytes) -> bool:
        """Sends a message once.

        Returns:
            False when the rate limit held it back.
        """
        if not self._bucket.take(len(names), self._reactor.seconds()):
            return False
        for name in names:
            self.transport.send(name, payload)
        return True
