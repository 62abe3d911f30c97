"""Tells gateways where to find each other, through the store."""

import logging
import random

from twisted.internet import defer
from twisted.internet import task

from sassafrasstile import errors
from sassafrasstile import stores
from sassafrasstile.peers import _base
from sassafrasstile.peers import _channel
from sassafrasstile.peers import _codec

_LOG = logging.getLogger("sassafrasstile.peers")
# A gateway that nobody told of another finds it after this time.
_REFRESH_S = 20.0
_RETRY_S = 1.0


class PeerDirectory:
    """Writes where this gateway hears from others, and reads the others'.

    A gateway that has just started tells all it finds; these learn of it by
    its first report, so that the store is rarely read.

    Args:
        reactor: The reactor.
        store: The store.
        topic: The topic that holds the addresses.
        address: This gateway's.
        channel: Where peers are added.
        generator: The source of random numbers.
    """

    def __init__(
        self,
        *,
        reactor,
        store: stores.Store,
        topic: str,
        address: _base.PeerAddress,
        channel: _channel.PeerChannel,
        generator: random.Random,
    ):
        self._reactor = reactor
        self._store = store
        self._topic = topic
        self._address = address
        self._channel = channel
        self._generator = generator
        self._running: defer.Deferred | None = None

    def start(self) -> None:
        """Starts writing and reading."""
        self._running = defer.ensureDeferred(self._run())
        self._running.addErrback(self._note_end)

    def close(self) -> None:
        """Stops."""
        running, self._running = self._running, None
        if running is not None:
            running.cancel()

    async def _run(self) -> None:
        written = False
        while True:
            pause_s = _REFRESH_S
            try:
                if not written:
                    await self._write()
                    written = True
                await self._read()
            except stores.StoreError as reason:
                _LOG.info("peers: addresses not exchanged: %s", reason)
                pause_s = _RETRY_S
            spread = 0.75 + 0.5 * self._generator.random()
            await task.deferLater(self._reactor, pause_s * spread)

    async def _write(self) -> None:
        await self._store.put(
            self._topic,
            key=self._address.name,
            value=_codec.encode_address(self._address),
        )

    async def _read(self) -> None:
        snapshot = await self._store.load(self._topic)
        for change in snapshot.entries:
            try:
                self._channel.add_peer(_codec.decode_address(change.value))
            except errors.Error as reason:
                _LOG.warning("peers: record not taken: %s", reason)

    def _note_end(self, reason) -> None:
        if not reason.check(defer.CancelledError):
            _LOG.critical(
                "peers: addresses are no longer exchanged: %s",
                reason.getTraceback(),
            )
