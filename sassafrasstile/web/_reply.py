"""The answer to one request, read piece by piece."""

import collections
from collections.abc import Callable, Sequence
import dataclasses

from twisted.internet import defer

from sassafrasstile import errors

Headers = Sequence[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class ResponseHead:
    """Status and headers of an answer.

    Attributes:
        status: The HTTP status.
        reason: The reason phrase.
        headers: The headers, names in lower case.
    """

    status: int
    reason: bytes
    headers: tuple[tuple[bytes, bytes], ...]

    def get(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, or None.

        Args:
            name: The name, in lower case.
        """
        for key, value in self.headers:
            if key == name:
                return value
        return None


class ExchangeError(errors.Error):
    """An exchange with a server failed.

    Attributes:
        was_sent: True when bytes of the request may have reached the server.
    """

    def __init__(self, *, code: errors.Code, detail: str, was_sent: bool):
        super().__init__(code=code, detail=detail)
        self.was_sent = was_sent


class Reply:
    """The answer to one request.

    Args:
        abort: Drops the connection that it is read from.
    """

    def __init__(self, *, abort: Callable[[], None]):
        self._abort = abort
        self._head: ResponseHead | None = None
        self._pieces: collections.deque[bytes] = collections.deque()
        self._ended = False
        self._error: ExchangeError | None = None
        self._waiting: defer.Deferred | None = None

    async def read_head(self) -> ResponseHead:
        """Waits for status and headers.

        Raises:
            ExchangeError: The connection broke or its bytes are no answer.
        """
        while self._head is None:
            await self._wait()
        return self._head

    async def read_piece(self) -> bytes | None:
        """Waits for the next piece of the body; None at its whole end.

        Raises:
            ExchangeError: The body broke off.
        """
        while True:
            if self._pieces:
                return self._pieces.popleft()
            if self._ended:
                return None
            await self._wait()

    async def read_body(self) -> bytes:
        """Waits for the whole body."""
        pieces = []
        while (piece := await self.read_piece()) is not None:
            pieces.append(piece)
        return b"".join(pieces)

    def close(self) -> None:
        """Drops the connection unless the answer has ended."""
        if not self._ended:
            self._abort()

    async def _wait(self) -> None:
        if self._error is not None:
            raise self._error
        self._waiting = defer.Deferred()
        await self._waiting

    def _wake(self) -> None:
        waiting, self._waiting = self._waiting, None
        if waiting is not None and not waiting.called:
            waiting.callback(None)

    # Called by the connection.

    def set_head(self, head: ResponseHead) -> None:
        """Takes status and headers."""
        self._head = head
        self._wake()

    def add_piece(self, piece: bytes) -> None:
        """Takes a piece of the body."""
        self._pieces.append(piece)
        self._wake()

    def end(self) -> None:
        """Takes the whole end of the body."""
        self._ended = True
        self._wake()

    def fail(self, reason: ExchangeError) -> None:
        """Takes the end of the connection before the answer's."""
        if not self._ended and self._error is None:
            self._error = reason
            self._wake()
