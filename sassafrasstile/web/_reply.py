"""The response to one request, read chunk by chunk."""

import collections
from collections.abc import Callable, Sequence
import dataclasses

from twisted.internet import defer

from sassafrasstile import errors

Headers = Sequence[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class ResponseHead:
    """Status and headers of a response.

    Attributes:
        status: The HTTP status.
        reason: The reason phrase.
        headers: The headers, with names in lower case.
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

    @property
    def is_delimited(self) -> bool:
        """True if the end of the body doesn't follow from the connection's."""
        has_length = self.get(b"content-length") is not None
        return has_length or self.get(b"transfer-encoding") is not None

    def list_values(self, name: bytes) -> list[bytes]:
        """Returns every value of a header.

        Args:
            name: The name, in lower case.
        """
        return [value for key, value in self.headers if key == name]


class ExchangeError(errors.Error):
    """A request to a server got no complete response.

    Attributes:
        was_sent: True when bytes of the request may have reached the server.
    """

    def __init__(self, *, code: errors.Code, detail: str, was_sent: bool):
        super().__init__(code=code, detail=detail)
        self.was_sent = was_sent


class Reply:
    """The response to one request, filled in by its connection.

    Args:
        abort: Closes the connection that the response is read from.
    """

    def __init__(self, *, abort: Callable[[], None]):
        self._abort = abort
        self._head: ResponseHead | None = None
        self._chunks: collections.deque[bytes] = collections.deque()
        self._is_complete = False
        self._error: ExchangeError | None = None
        self._waiter: defer.Deferred | None = None

    async def read_head(self) -> ResponseHead:
        """Waits for the status and headers.

        Raises:
            ExchangeError: The connection was lost, or the server sent no
                valid response.
        """
        while self._head is None:
            await self._wait()
        return self._head

    async def read_chunk(self) -> bytes | None:
        """Waits for the next chunk of the body.

        Returns:
            The chunk, or None when the body is complete.

        Raises:
            ExchangeError: The body is incomplete.
        """
        while True:
            if self._chunks:
                return self._chunks.popleft()
            if self._is_complete:
                return None
            await self._wait()

    async def read_body(self) -> bytes:
        """Waits for the complete body.

        Raises:
            ExchangeError: The body is incomplete.
        """
        chunks = []
        while (chunk := await self.read_chunk()) is not None:
            chunks.append(chunk)
        return b"".join(chunks)

    def close(self) -> None:
        """Closes the connection unless the response is complete."""
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

    # The following methods are called by the connection.

    def set_head(self, head: ResponseHead) -> None:
        """Sets the status and headers."""
        self._head = head
        self._wake()

    def add_chunk(self, chunk: bytes) -> None:
        """Adds a chunk of the body."""
        self._chunks.append(chunk)
        self._wake()

    def end(self) -> None:
        """Marks the body as complete."""
        self._is_complete = True
        self._wake()

    def fail(self, reason: ExchangeError) -> None:
        """Fails the response unless it is complete or has failed already."""
        if not self._is_complete and self._error is None:
            self._error = reason
            self._wake()
