"""Peer discovery: gateways publish their addresses in the store."""

import logging
import random

from twisted.internet import defer
from twisted.internet import interfaces

from sassafrasstile import errors
from sassafrasstile import stores
from sassafrasstile.peers import _base
from sassafrasstile.peers import _channel
from sassafrasstile.peers import _codec

_LOG = logging.getLogger("sassafrasstile.peers")
# How often the addresses are read again, to find gateways from which no
# report has arrived.
_REFRESH_S = 20.0
_RETRY_S = 1.0
# After a restore of the store, the gateways read the addresses within this time
# and write again what is missing. They know each other meanwhile.
_RESTORE_DELAY_S = 4.0


class PeerDirectory:
    """Publishes this gateway's address and reads those of the others.

    A gateway that has just started sends reports to every gateway in the
    topic; these learn its address from its first report, so the store needs
    to be read only rarely. An address that the topic has lost is published
    again.

    Args:
        reactor: The reactor.
        store: The store.
        topic: The topic that holds the addresses.
        address: This gateway's address.
        channel: The channel to which peers are added.
        generator: The source of random numbers.

    Attributes:
        is_loaded: True once the addresses have been read.
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
        self.is_loaded = False
        self._timer: interfaces.IDelayedCall | None = None
        self._running: defer.Deferred | None = None

    def start(self) -> None:
        """Publishes the address and starts reading the topic periodically."""
        self._running = defer.ensureDeferred(self._run())
        self._running.addErrback(self._log_failure)

    def close(self) -> None:
        """Stops reading the topic."""
        running, self._running = self._running, None
        if running is not None:
            running.cancel()

    def start_epoch(self, _epoch: int) -> None:
        """Reads the topic soon, since the store was restored from a copy."""
        if self._timer is None or not self._timer.active():
            return
        delay_s = _RESTORE_DELAY_S * self._generator.random()
        # The next try may be due earlier, after one that has failed.
        if delay_s < self._timer.getTime() - self._reactor.seconds():
            self._timer.reset(delay_s)

    async def _run(self) -> None:
        is_written = False
        while True:
            interval_s = _RETRY_S
            try:
                if not is_written:
                    await self._write()
                    is_written = True
                is_written = await self._read()
                if is_written:
                    interval_s = _REFRESH_S
            except stores.StoreError as reason:
                _LOG.info("peers: addresses not exchanged: %s", reason)
            jitter = 0.75 + 0.5 * self._generator.random()
            await self._sleep(interval_s * jitter)

    async def _sleep(self, seconds: float) -> None:
        waiting: defer.Deferred = defer.Deferred()
        self._timer = self._reactor.callLater(seconds, waiting.callback, None)
        try:
            await waiting
        finally:
            if self._timer.active():
                self._timer.cancel()

    async def _write(self) -> None:
        await self._store.put(
            self._topic,
            key=self._address.name,
            value=_codec.encode_address(self._address),
        )

    async def _read(self) -> bool:
        """Adds the peers.

        Returns:
            False when the topic lacks this gateway's address.
        """
        snapshot = await self._store.load(self._topic)
        is_listed = False
        for change in snapshot.entries:
            try:
                address = self._decode(change)
            except errors.Error as reason:
                _LOG.warning("peers: record ignored: %s", reason)
                continue
            is_listed = is_listed or address == self._address
            self._channel.add_peer(address)
        self.is_loaded = True
        if not is_listed:
            _LOG.info(
                "peers: address of gateway %s is missing from the store.",
                self._address.name,
                extra={"offset": snapshot.next_offset, "epoch": snapshot.epoch},
            )
        return is_listed

    @staticmethod
    def _decode(change: stores.Change) -> _base.PeerAddress:
        address = _codec.decode_address(change.value)
        if address.name != change.key:
            raise errors.Error(
                code=errors.Code.BAD_VALUE,
                detail=f"peer address: {address.name} isn't the record's key",
            )
        return address

    def _log_failure(self, reason) -> None:
        if not reason.check(defer.CancelledError):
            _LOG.critical(
                "peers: exchange of addresses has failed: %s",
                reason.getTraceback(),
            )
