"""Closes a connection whose peer may still be sending."""

# The peer gets this long to read the last response.
_LINGER_S = 2.0


def end_and_linger(transport, *, reactor) -> None:
    """Stops sending at once, and closes the connection a little later.

    Closing a connection while bytes arrive on it resets it, and a peer that
    sees the reset may never read the last response. The protocol has to read
    and discard what arrives until the connection is lost.

    Args:
        transport: The transport of the connection.
        reactor: The reactor.
    """
    transport.loseWriteConnection()
    reactor.callLater(_LINGER_S, transport.abortConnection)
