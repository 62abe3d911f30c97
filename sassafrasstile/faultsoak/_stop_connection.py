"""A caller's connection that is used for one request after another."""

from collections.abc import Sequence
import dataclasses
import socket

import h11
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import protocol
from twisted.internet import task

from sassafrasstile.faultsoak import _stop_endpoints
from sassafrasstile.faultsoak import _stop_records

_EVENT_END = b"\n\n"
_CONNECT_TIMEOUT_S = 0.5
_SEGMENT_BYTES = 1460


@dataclasses.dataclass(frozen=True, kw_only=True)
class Manner:
    """How a caller uses its connections.

    Attributes:
        pause_s: The time between the pieces of a request, or zero to send it
            at once.
        bytes_per_s: How fast it reads, or zero to read at once.
        receive_buffer: The size of its receive buffer, or zero for the usual.
    """

    pause_s: float = 0.0
    bytes_per_s: float = 0.0
    receive_buffer: int = 0


class CallerConnection(protocol.Protocol):
    """Sends requests one after another and checks what comes back.

    Args:
        reactor: The reactor.
        manner: How it sends and reads.
        life: The process that it leads to.

    Attributes:
        may_reuse: True while another request may be sent.
        received_at: When the last bytes came.
    """

    def __init__(self, *, reactor, manner: Manner, life: _stop_records.Life):
        self._reactor = reactor
        self._manner = manner
        self._parser = h11.Connection(h11.CLIENT)
        self._attempt: _stop_records.Attempt | None = None
        self._ended: defer.Deferred | None = None
        self._data = bytearray()
        self._used = False
        self.life = life
        self.may_reuse = True
        self.received_at = 0.0

    def connect(self, port: int) -> None:
        """Connects to a port of this machine.

        Raises:
            OSError: The port isn't open.
        """
        with socket.socket() as sock:
            if self._manner.receive_buffer:
                # Large segments would let the system hold whole answers.
                sock.setsockopt(
                    socket.IPPROTO_TCP, socket.TCP_MAXSEG, _SEGMENT_BYTES
                )
                sock.setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_RCVBUF,
                    self._manner.receive_buffer,
                )
            sock.settimeout(_CONNECT_TIMEOUT_S)
            sock.connect(("127.0.0.1", port))
            sock.setblocking(False)
            factory = protocol.Factory()
            factory.noisy = False
            factory.buildProtocol = lambda _address: self
            # The reactor duplicates the descriptor.
            self._reactor.adoptStreamConnection(
                sock.fileno(), socket.AF_INET, factory
            )

    async def ask(
        self,
        attempt: _stop_records.Attempt,
        request: h11.Request,
        body: bytes,
    ) -> None:
        """Sends a request and waits for the end of its answer.

        Args:
            attempt: Records what happens.
            request: The request line and headers.
            body: The body.
        """
        self._attempt = attempt
        self._data = bytearray()
        self._ended = defer.Deferred()
        attempt.is_kept = self._used
        self._used = True
        attempt.sent_from = self._now()
        data = (
            self._parser.send(request)
            + self._parser.send(h11.Data(data=body))
            + self._parser.send(h11.EndOfMessage())
        )
        *early, last = self._split(data)
        for piece in early:
            self.transport.write(piece)
            await self._sleep(self._manner.pause_s)
            if attempt.ended_at is not None:
                self.may_reuse = False
                return
        self.transport.write(last)
        attempt.sent_at = self._now()
        await self._ended

    def leave(self) -> None:
        """Gives the request up."""
        if self._attempt is not None and self._attempt.ended_at is None:
            self.may_reuse = False
            self._end("caller")
            self.transport.abortConnection()

    def close(self) -> None:
        """Closes the connection."""
        self.may_reuse = False
        self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Reads a part of the answer, and waits if this caller is slow."""
        self.received_at = self._now()
        if self._manner.bytes_per_s:
            self.transport.pauseProducing()
            self._reactor.callLater(
                len(data) / self._manner.bytes_per_s, self._read_on
            )
        attempt = self._attempt
        if attempt is None or attempt.ended_at is not None:
            return
        self._parser.receive_data(data)
        self._read_events(attempt)

    def connectionLost(  # noqa: N802
        self, reason=protocol.connectionDone
    ) -> None:
        """Records the end of the connection."""
        self.may_reuse = False
        attempt = self._attempt
        if attempt is None or attempt.ended_at is not None:
            return
        is_clean = reason.check(error.ConnectionDone)
        self._end("close" if is_clean else "reset")

    def _split(self, data: bytes) -> Sequence[bytes]:
        if not self._manner.pause_s:
            return (data,)
        middle = data.index(b"\r\n")
        end = data.index(b"\r\n\r\n") + 6
        return data[:middle], data[middle:end], data[end:]

    def _read_on(self) -> None:
        if self.transport.connected:
            self.transport.resumeProducing()

    def _read_events(self, attempt: _stop_records.Attempt) -> None:
        while attempt.ended_at is None:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as reason:
                attempt.error = f"no answer: {reason}"
                return
            match event:
                case h11.Response():
                    attempt.status = event.status_code
                    self._check_head(attempt, dict(event.headers))
                case h11.Data():
                    self._data += event.data
                    self._check_body(attempt)
                case h11.EndOfMessage():
                    self._finish(attempt)
                case _:
                    return

    @staticmethod
    def _check_head(attempt, headers: dict[bytes, bytes]) -> None:
        echoed = headers.get(b"x-attempt-id", b"").decode()
        if attempt.status == 200 and echoed != attempt.request_id:
            attempt.error = f"answer to {echoed!r}"

    def _check_body(self, attempt: _stop_records.Attempt) -> None:
        if attempt.status != 200:
            return
        if not attempt.kind.is_stream:
            attempt.received = len(self._data)
            return
        while (end := self._data.find(_EVENT_END)) >= 0:
            end += len(_EVENT_END)
            event = bytes(self._data[:end])
            del self._data[:end]
            attempt.received += 1
            expected = _stop_endpoints.make_event(
                attempt.request_id, attempt.received
            )
            if event != expected and not attempt.error:
                attempt.error = f"event {event!r} as {attempt.received}"

    def _finish(self, attempt: _stop_records.Attempt) -> None:
        self._check_whole(attempt)
        attempt.is_whole = True
        if self._parser.their_state is h11.MUST_CLOSE:
            self.may_reuse = False
        else:
            self._parser.start_next_cycle()
        self._end("answer")

    def _check_whole(self, attempt: _stop_records.Attempt) -> None:
        if attempt.status != 200:
            return
        if attempt.received != attempt.size:
            attempt.error = f"whole after {attempt.received}/{attempt.size}"
        elif not attempt.kind.is_stream:
            expected = _stop_endpoints.make_body(
                attempt.request_id, attempt.size
            )
            if self._data != expected:
                attempt.error = "another body"

    def _end(self, how: str) -> None:
        self._attempt.ended_at = self._now()
        self._attempt.ended_by = how
        self._read_on()
        self._ended.callback(None)

    def _now(self) -> float:
        return self._reactor.seconds()

    def _sleep(self, seconds: float) -> defer.Deferred:
        return task.deferLater(self._reactor, seconds)
