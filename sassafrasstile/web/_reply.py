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
        self._chunks: collections.deque[bytes] = collections.deque()
        self._is_complete = False
        self._error: ExchangeError | None = None
        self._waiter: defer.Deferred | None = None

    async def read_head(self) -> ResponseHead:
        """Waits for status and headers.

        Raises:
            ExchangeError: The connection broke or its bytes are no answer.
        """
        while self._head is None:
            await self._wait()
        return self._head

    async def read_chunk(self) -> bytes | None:
        """Waits for the next piece of the body; None at its whole end.

        Raises:
            ExchangeError: The body broke off.
        """
        while True:
            if self._chunks:
                return self._chunks.popleft()
            if self._is_complete:
                return None
            await self._wait()

    async def read_body(self) -> bytes:
        """Waits for the whole body."""
        chunks = []
        while (chunk := await self.read_chunk()) is not None:
            chunks.append(chunk)
        return b"".join(chunks)

    def close(self) -> None:
        """Drops the connection unless the answer has ended."""
        if not self._is_complete:
            self._abort()

    async def _wait(self) -> None:
        if self._error is not None:
            raise self._error
        self._waiter = defer.Deferred()
        await self._waiter

    def _wake(self) -> None:
        waiter, self._waiter = self._waiter, None
        if waiter is not None and not waiter.called:
            waiter.callback(None)

    # Called by the connection.

    def set_head(self, head: ResponseHead) -> None:
        """Takes status and headers."""
        self._head = head
        self._wake()

    def add_chunk(self, chunk: bytes) -> None:
        """Takes a piece of the body."""
        self._chunks.append(chunk)
        self._wake()

    def end(self) -> None:
        """Takes the whole end of the body."""
        self._is_complete = True
        self._wake()

    def fail(self, reason: ExchangeError) -> None:
        """Takes the end of the connection before the answer's."""
        if not self._is_complete and self._error is None:
            self._error = reason
            self._wake()
