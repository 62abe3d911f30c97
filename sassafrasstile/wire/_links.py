"""Links between gateways and sidecars: one grpclib stream per pair.

All messages that are ready in one iteration of the event loop are sent as one
batch, so that a stream of tokens doesn't need one gRPC message per token.
"""

import asyncio
from collections.abc import Callable
import logging
import random

import grpclib
import grpclib.client
import grpclib.server

from sassafrasstile import messages
from sassafrasstile.wire import _codec
from sassafrasstile.wire import router_grpc
from sassafrasstile.wire import router_pb2

_LOG = logging.getLogger("sassafrasstile.wire")
_INITIAL_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 2.0
_CONNECT_TIMEOUT_S = 2.0
# A closing link gets this long to deliver what has been sent.
_DELIVERY_LIMIT_S = 5.0

MakeBatch = Callable[[tuple[messages.Message, ...]], messages.Batch]


class _Outbox:
    """The messages that the next batch of a stream will carry."""

    def __init__(self):
        self._messages: list[messages.Message] = []
        self._ready = asyncio.Event()
        self._closed = False

    def put(self, message: messages.Message) -> None:
        self._messages.append(message)
        self._ready.set()

    def request_batch(self) -> None:
        self._ready.set()

    def close(self) -> None:
        self._closed = True
        self._ready.set()

    async def write_to(
        self, stream, make_batch: MakeBatch, *, is_first: bool
    ) -> None:
        """Writes a batch for queued messages or on request.

        Returns once it is closed and every queued message is written.

        Args:
            stream: The stream.
            make_batch: Makes a batch of messages.
            is_first: True when no batch has been written to the stream yet.
        """
        while self._messages or not self._closed:
            await self._ready.wait()
            self._ready.clear()
            ready = tuple(self._messages)
            self._messages.clear()
            batch = make_batch(ready)
            if not is_first:
                batch = _codec.strip_identity(batch)
            is_first = False
            await stream.send_message(_codec.encode(batch))


async def _read_batches(
    stream,
    first: router_pb2.Batch,
    on_batch: Callable[[messages.Batch], None],
) -> None:
    """Reads a stream to its end."""
    identity = _codec.decode(first)
    on_batch(identity)
    while (received := await stream.recv_message()) is not None:
        on_batch(_codec.restore_identity(_codec.decode(received), identity))


class LinkServer(router_grpc.SidecarBase):
    """Accepts the links of gateways at a sidecar.

    Args:
        make_batch: Makes a batch of messages with the sender's identity and
            load.
        on_batch: Called with each batch received.
    """

    def __init__(
        self,
        *,
        make_batch: MakeBatch,
        on_batch: Callable[[messages.Batch], None],
    ):
        self._make_batch = make_batch
        self._on_batch = on_batch
        self._outboxes: dict[str, _Outbox] = {}
        self._open_links: set[asyncio.Task] = set()
        self._is_closing = False
        self._server: grpclib.server.Server | None = None

    async def start(self, *, host: str, port: int) -> int:
        """Listens.

        Args:
            host: An IP address.
            port: A port, or zero for a free one.

        Returns:
            The port.
        """
        self._server = grpclib.server.Server([self])
        await self._server.start(host, port)
        sockets = self._server._server.sockets
        return sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Delivers what has been sent, closes every link and stops listening.

        A link is delivered when its gateway has read it to its end. Batches
        that arrive meanwhile are dropped, since they can't be answered.
        """
        self._is_closing = True
        for outbox in self._outboxes.values():
            outbox.close()
        if self._open_links:
            _, pending = await asyncio.wait(
                self._open_links, timeout=_DELIVERY_LIMIT_S
            )
            if pending:
                _LOG.warning(
                    "wire: closes %d links with undelivered batches.",
                    len(pending),
                )
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def send(self, peer: str, message: messages.Message) -> None:
        """Sends a message to a gateway, or drops it when there is no link."""
        outbox = self._outboxes.get(peer)
        if outbox is not None:
            outbox.put(message)

    def announce_load(self) -> None:
        """Sends a batch with the current load to every gateway."""
        for outbox in self._outboxes.values():
            outbox.request_batch()

    async def Connect(self, stream) -> None:  # noqa: N802
        """Serves one gateway's link."""
        first = await stream.recv_message()
        if first is None or self._is_closing:
            return
        peer = first.sender
        outbox = _Outbox()
        former = self._outboxes.get(peer)
        if former is not None:
            former.close()
        self._outboxes[peer] = outbox
        outbox.request_batch()
        link = asyncio.current_task()
        self._open_links.add(link)
        try:
            await self._exchange(stream, first, outbox)
        finally:
            self._open_links.discard(link)
            if self._outboxes.get(peer) is outbox:
                del self._outboxes[peer]

    async def _exchange(
        self, stream, first: router_pb2.Batch, outbox: _Outbox
    ) -> None:
        """Exchanges batches until the link is lost, ended or delivered."""
        writer = asyncio.ensure_future(
            outbox.write_to(stream, self._make_batch, is_first=True)
        )
        reader = asyncio.ensure_future(
            _read_batches(stream, first, self._receive)
        )
        try:
            await asyncio.wait(
                (reader, writer), return_when=asyncio.FIRST_COMPLETED
            )
            if writer.done() and writer.exception() is None:
                # The gateway closes the link once it has read this.
                await stream.send_trailing_metadata()
            await reader
        finally:
            writer.cancel()
            reader.cancel()

    def _receive(self, batch: messages.Batch) -> None:
        if not self._is_closing:
            self._on_batch(batch)


class LinkClient:
    """Keeps a gateway's link to one sidecar open.

    Args:
        peer: The endpoint's name.
        host: The sidecar's IP address.
        port: Its port.
        make_batch: Makes a batch of messages with the sender's identity.
        on_connect: Called when the link has been established.
        on_batch: Called with each batch received.
        on_disconnect: Called when the link has been lost.
        generator: The source of the backoff's jitter.
    """

    def __init__(
        self,
        *,
        peer: str,
        host: str,
        port: int,
        make_batch: MakeBatch,
        on_connect: Callable[[], None],
        on_batch: Callable[[messages.Batch], None],
        on_disconnect: Callable[[], None],
        generator: random.Random,
    ):
        self.peer = peer
        self.host = host
        self.port = port
        self._make_batch = make_batch
        self._on_connect = on_connect
        self._on_batch = on_batch
        self._on_disconnect = on_disconnect
        self._generator = generator
        self._outbox: _Outbox | None = None
        self._task: asyncio.Task | None = None
        self._link_task: asyncio.Task | None = None
        self._is_closing = False

    def start(self) -> None:
        """Starts connecting; reconnects after each loss until closed."""
        self._task = asyncio.ensure_future(self._run())

    async def close(self) -> None:
        """Delivers what has been sent, and closes the link."""
        self._is_closing = True
        if self._outbox is not None:
            self._outbox.close()
            await asyncio.wait((self._link_task,), timeout=_DELIVERY_LIMIT_S)
        for task in (self._link_task, self._task):
            if task is not None:
                task.cancel()
        if self._task is not None:
            await asyncio.gather(self._task, return_exceptions=True)

    def send(self, message: messages.Message) -> None:
        """Sends a message, or drops it when there is no link."""
        if self._outbox is not None:
            self._outbox.put(message)

    def reconnect(self) -> None:
        """Closes the link, so that a new one is opened."""
        if self._link_task is not None:
            self._link_task.cancel()

    async def _run(self) -> None:
        backoff_s = _INITIAL_BACKOFF_S
        while True:
            self._link_task = asyncio.ensure_future(self._run_link())
            results = await asyncio.gather(
                self._link_task, return_exceptions=True
            )
            if self._is_closing:
                return
            was_connected = results[0] is True
            if self._outbox is not None:
                was_connected = True
                self._outbox = None
                self._on_disconnect()
            if was_connected:
                backoff_s = _INITIAL_BACKOFF_S
            await asyncio.sleep(backoff_s * self._generator.uniform(0.5, 1.5))
            backoff_s = min(_MAX_BACKOFF_S, 2 * backoff_s)

    async def _run_link(self) -> bool:
        channel = grpclib.client.Channel(self.host, self.port)
        try:
            stub = router_grpc.SidecarStub(channel)
            async with stub.Connect.open() as stream:
                await self._exchange(stream)
        except (OSError, grpclib.GRPCError, grpclib.ProtocolError) as error:
            _LOG.debug("wire: the link to %s failed: %s", self.peer, error)
        finally:
            channel.close()
        return self._outbox is not None

    async def _exchange(self, stream) -> None:
        hello = _codec.encode(self._make_batch(()))
        await asyncio.wait_for(stream.send_message(hello), _CONNECT_TIMEOUT_S)
        first = await asyncio.wait_for(
            stream.recv_message(), _CONNECT_TIMEOUT_S
        )
        if first is None:
            return
        outbox = _Outbox()
        self._outbox = outbox
        self._on_connect()
        writer = asyncio.ensure_future(self._write(stream, outbox))
        try:
            await _read_batches(stream, first, self._on_batch)
        finally:
            writer.cancel()

    async def _write(self, stream, outbox: _Outbox) -> None:
        await outbox.write_to(stream, self._make_batch, is_first=False)
        # The sidecar ends the link once it has read this.
        await stream.end()
