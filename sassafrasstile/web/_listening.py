"""Stops listening without a reset of the callers that wait."""

import contextlib
import socket

from twisted.internet import defer

_BACKLOG = 511


def close_port(port) -> defer.Deferred:
    """Accepts the callers that the kernel has queued, and stops listening.

    Closing the socket would reset them, although they may have sent requests.

    Args:
        port: The listening TCP port.
    """
    if port.connected and not port.disconnecting:
        # The port accepts up to this many connections at a time.
        port.numberAccepts = _BACKLOG + 1
        port.doRead()
        # The reactor closes the socket later. Callers are refused from now on.
        with contextlib.suppress(OSError):
            port.socket.shutdown(socket.SHUT_RD)
    return defer.maybeDeferred(port.stopListening)
