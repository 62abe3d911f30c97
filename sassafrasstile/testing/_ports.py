"""Picks ports for processes that are started later."""

import socket


def pick_port() -> int:
    """Returns a free port that stays reserved for about a minute.

    The server's end of a connection closes first and stays in TIME_WAIT for
    a minute. Meanwhile the operating system doesn't assign the port to an
    outgoing connection, but a listener with SO_REUSEADDR can still bind it.
    """
    with socket.socket() as server, socket.socket() as client:
        server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        server.bind(("127.0.0.1", 0))
        server.listen(1)
        address = server.getsockname()
        client.connect(address)
        accepted, _ = server.accept()
        accepted.close()
        client.recv(1)
    return address[1]


def pick_udp_port() -> int:
    """Returns a UDP port that is free now."""
    with socket.socket(type=socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        return server.getsockname()[1]
