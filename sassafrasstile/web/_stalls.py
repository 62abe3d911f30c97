"""Detects callers that don't read what is sent to them."""

from collections.abc import Callable
import fcntl
import struct
import termios

# Checks within the time after which a caller counts as stalled. A process that
# was suspended meanwhile makes only one of them.
_CHECKS = 4
_QUEUE_SIZE = struct.Struct("i")


def count_unsent(transport) -> tuple[int, int]:
    """Returns the bytes that wait to be sent, and those not acknowledged."""
    buffered = len(transport.dataBuffer) - transport.offset
    try:
        queued = fcntl.ioctl(
            transport.getHandle(), termios.TIOCOUTQ, bytes(_QUEUE_SIZE.size)
        )
    except OSError:
        return buffered, 0
    return buffered, _QUEUE_SIZE.unpack(queued)[0]


def count_buffered(transport) -> int:
    """Returns the bytes that wait in this process to be sent."""
    buffered = len(transport.dataBuffer) - transport.offset
    return buffered + transport._tempDataLen


class StallWatch:
    """Calls a function when nothing has been sent for some time.

    Args:
        reactor: The reactor.
        transport: The transport of the connection.
        stall_s: Seconds without progress after which a caller has stalled.
        on_stall: The function.
    """

    def __init__(
        self,
        *,
        reactor,
        transport,
        stall_s: float,
        on_stall: Callable[[], None],
    ):
        self._reactor = reactor
        self._transport = transport
        self._interval_s = stall_s / _CHECKS
        self._on_stall = on_stall
        self._unsent = (0, 0)
        self._checks = 0
        self._call = None

    def start(self) -> None:
        """Starts the watch, unless it runs."""
        if self._call is None:
            self._begin()

    def close(self) -> None:
        """Ends the watch."""
        call, self._call = self._call, None
        if call is not None and call.active():
            call.cancel()

    def _begin(self) -> None:
        self._unsent = count_unsent(self._transport)
        self._checks = 0
        self._call = self._reactor.callLater(self._interval_s, self._check)

    def _check(self) -> None:
        self._call = None
        unsent = count_unsent(self._transport)
        if not any(unsent):
            return
        if unsent != self._unsent:
            self._begin()
            return
        self._checks += 1
        if self._checks >= _CHECKS:
            self._on_stall()
            return
        self._call = self._reactor.callLater(self._interval_s, self._check)
