"""A server that answers with given bytes."""

from collections.abc import Sequence

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import protocol


class _Connection(protocol.Protocol):
    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.transport.write(self.factory.server.take_answer())
        self.transport.loseConnection()


class FixedServer:
    """Answers each request with bytes, and closes its connection.

    Requests have to arrive in one piece.

    Args:
        reactor: The reactor.

    Attributes:
        answers: The bytes of the next answers; the last of them is repeated.
        url: The server's URL.
        port: The server's port.
    """

    def __init__(self, *, reactor):
        self._reactor = reactor
        self.answers: Sequence[bytes] = ()
        self.url = ""
        self.port = 0
        self._listener: interfaces.IListeningPort | None = None

    def start(self) -> None:
        """Starts listening."""
        factory = protocol.Factory.forProtocol(_Connection)
        factory.noisy = False
        factory.server = self
        self._listener = self._reactor.listenTCP(
            0, factory, interface="127.0.0.1"
        )
        self.port = self._listener.getHost().port
        self.url = f"http://127.0.0.1:{self.port}"

    def close(self) -> defer.Deferred:
        """Stops listening."""
        return self._listener.stopListening()

    def take_answer(self) -> bytes:
        """Returns the next answer."""
        first, *others = self.answers
        self.answers = others or [first]
        return first


def make_json_answer(body: bytes, *, status: int = 200) -> bytes:
    """Returns an answer with a body of stated length."""
    return (
        b"HTTP/1.1 %d Status\r\nConnection: close\r\n"
        b"Content-Length: %d\r\n\r\n%b" % (status, len(body), body)
    )
