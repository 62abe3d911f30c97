"""Bounds on what is read from a server."""

from twisted.internet import defer
from twisted.internet import protocol
from twisted.web import _newclient
from twisted.web import client
from twisted.web import http

from sassafrasstile import errors

# Of a head with its informational heads.
_MAX_HEAD_BYTES = 65536
# Of a complete body.
MAX_BODY_BYTES = 4194304


class BodyTooLargeError(errors.Error):
    """A server has sent a larger body than is read."""


class _BoundedProtocol(client.HTTP11ClientProtocol):
    """A connection that is closed when the head of a response has no end."""

    _head_parser = None
    _head_size = 0

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Handles bytes from the server."""
        super().dataReceived(data)
        parser = self._parser
        if parser is None or parser.state in (_newclient.BODY, _newclient.DONE):
            return
        if parser is not self._head_parser:
            self._head_parser, self._head_size = parser, 0
        self._head_size += len(data)
        if self._head_size > _MAX_HEAD_BYTES:
            self.abort()


class BoundedFactory(client._HTTP11ClientFactory):
    """Makes connections with a bound on the heads of responses."""

    def buildProtocol(self, addr) -> _BoundedProtocol:  # noqa: N802
        """Returns the protocol of a new connection."""
        return _BoundedProtocol(self._quiescentCallback)


class _BodyReader(protocol.Protocol):
    """Collects a body up to a bound."""

    def __init__(self, *, max_bytes: int):
        self._max_bytes = max_bytes
        self._body = bytearray()
        self.done: defer.Deferred[bytes] = defer.Deferred(
            lambda _deferred: self._abort()
        )

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Adds a part of the body."""
        if self.done.called:
            return
        self._body += data
        if len(self._body) <= self._max_bytes:
            return
        self._body.clear()
        self.done.errback(
            BodyTooLargeError(
                code=errors.Code.ANSWER_TOO_LARGE,
                detail=f"more than {self._max_bytes} bytes of body",
            )
        )
        self._abort()

    def connectionLost(  # noqa: N802
        self, reason=protocol.connectionDone
    ) -> None:
        """Handles the end of the body."""
        if self.done.called:
            return
        if reason.check(client.ResponseDone):
            self.done.callback(bytes(self._body))
        elif reason.check(http.PotentialDataLoss):
            # A clean end and a reset can't be told apart here.
            self.done.errback(client.PartialDownloadError(0, None, b""))
        else:
            self.done.errback(reason)

    def _abort(self) -> None:
        transport = self.transport
        if transport is not None:
            abort = getattr(transport, "abortConnection", None)
            (abort or transport.loseConnection)()


def read_body(
    response, *, max_bytes: int = MAX_BODY_BYTES
) -> defer.Deferred[bytes]:
    """Reads the complete body of a response.

    Args:
        response: The response.
        max_bytes: The largest body that is read.

    Returns:
        A Deferred with the body. It fails with `BodyTooLargeError` if the body
        is larger; the connection is closed then.
    """
    reader = _BodyReader(max_bytes=max_bytes)
    response.deliverBody(reader)
    return reader.done
