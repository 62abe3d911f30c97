"""Ports for processes that are started later."""

import socket


def pick_port() -> int:
    """Returns a port that the kernel picked and will not pick again soon.

    The server's end of a connection closes first and waits for a minute.
    Meanwhile the kernel gives the port to no outgoing connection, and a
    listener that reuses addresses can still bind it.
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
