"""Closes a connection only once its peer has all that was sent to it.

Closing a socket resets the connection if bytes of the peer are unread, and a
process that exits loses what it has buffered. Either cuts off an answer that
has been handed to the transport.
"""

from collections.abc import Callable
import math

from twisted.internet import interfaces

from sassafrasstile.web import _stalls

_CHECK_INTERVAL_S = 0.5
# The peer gets this long to close its end after it has received everything.
_LINGER_S = 2.0


def count_undelivered(transport) -> int:
    """Returns the bytes that the peer hasn't acknowledged.

    They wait in this process or in the kernel. The end of the connection
    counts as one byte.
    """
    if not interfaces.ITCPTransport.providedBy(transport):
        return 0
    if not transport.connected:
        return 0
    _, queued = _stalls.count_unsent(transport)
    return _stalls.count_buffered(transport) + queued


def break_off(request) -> None:
    """Closes a connection so that the response appears incomplete.

    Args:
        request: The twisted.web request, whose response has begun. Its
            connection closes once what was sent is delivered.
    """
    if request.chunked:
        # The missing last chunk shows that the response is incomplete.
        request.channel.loseConnection()
    else:
        # An orderly close could be taken for the end of the response.
        request.channel.transport.abortConnection()


class DeliveredClose:
    """Stops sending to a peer, and closes once it has received everything.

    The protocol has to discard what still arrives. A peer that reads nothing
    for `stall_s` seconds is disconnected.

    Args:
        reactor: The reactor.
        transport: The transport of the connection.
        stall_s: Seconds without progress after which a peer has stalled.
        on_check: Called whenever the progress is checked.
    """

    def __init__(
        self,
        *,
        reactor,
        transport,
        stall_s: float,
        on_check: Callable[[], None] = lambda: None,
    ):
        self._on_check = on_check
        self._reactor = reactor
        self._transport = transport
        self._stall_checks = math.ceil(stall_s / _CHECK_INTERVAL_S)
        self._undelivered = 0
        # Counted, since the process may be suspended between two checks.
        self._quiet_checks = 0
        self._call = None

    def start(self) -> None:
        """Ends the sending side once everything is written."""
        self._transport.unregisterProducer()
        self._transport.loseWriteConnection()
        self._transport.resumeProducing()
        self._undelivered = count_undelivered(self._transport)
        self._call = self._reactor.callLater(_CHECK_INTERVAL_S, self._check)

    def close(self) -> None:
        """Ends the checks, once the connection is lost."""
        if self._call is not None and self._call.active():
            self._call.cancel()

    def _check(self) -> None:
        self._on_check()
        undelivered = count_undelivered(self._transport)
        self._quiet_checks += 1
        if undelivered != self._undelivered:
            self._undelivered = undelivered
            self._quiet_checks = 0
        limit = self._stall_checks
        if not undelivered:
            limit = math.ceil(_LINGER_S / _CHECK_INTERVAL_S)
        if self._quiet_checks >= limit:
            self._transport.abortConnection()
            return
        self._call = self._reactor.callLater(_CHECK_INTERVAL_S, self._check)
