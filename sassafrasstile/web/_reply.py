"""The response to one request, read chunk by chunk."""

from collections.abc import Callable, Sequence
import dataclasses

from twisted.internet import defer

from sassafrasstile import errors
from sassafrasstile.web import _bounds
from sassafrasstile.web import _meter

# While more than this waits to be read, nothing is read from the connection.
_MAX_UNREAD_BYTES = 16384
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


class BoundExceededError(ExchangeError):
    """A server has sent more than a bound allows.

    Attributes:
        kind: What the bound is on.
    """

    def __init__(self, *, kind: _bounds.ReadKind, max_bytes: int):
        super().__init__(
            code=errors.Code.ANSWER_TOO_LARGE,
            detail=f"more than {max_bytes} bytes of {kind}",
            was_sent=True,
        )
        self.kind = kind


class Reply:
    """The response to one request, filled in by its connection.

    Args:
        abort: Closes the connection that the response is read from.
        set_paused: Stops reading from the connection, or goes on.
        bounds: Bounds on what is read.
        on_exceeded: Called with the kind of a bound that was exceeded.
        meter: Counts what is buffered.
    """

    def __init__(
        self,
        *,
        abort: Callable[[], None],
        set_paused: Callable[[bool], None],
        bounds: _bounds.ReadBounds,
        on_exceeded: Callable[[_bounds.ReadKind], None],
        meter: _meter.BufferMeter,
    ):
        self._abort = abort
        self._set_paused = set_paused
        self._bounds = bounds
        self._on_exceeded = on_exceeded
        self._head: ResponseHead | None = None
        self._unread = bytearray()
        self._body = bytearray()
        self._is_closed = False
        self._share = _meter.BufferShare(meter=meter, drop=self._drop)
        self._is_paused = False
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
        """Waits for further bytes of the body.

        Returns:
            All bytes that have arrived, or None when the body is complete.

        Raises:
            ExchangeError: The body is incomplete.
        """
        while True:
            if self._unread:
                chunk = bytes(self._unread)
                self._unread.clear()
                self._count()
                self._resume()
                return chunk
            if self._is_complete:
                return None
            await self._wait()

    async def read_body(
        self, kind: _bounds.ReadKind = _bounds.ReadKind.ANSWER
    ) -> bytes:
        """Waits for the complete body.

        Args:
            kind: The kind of the body; its bound applies.

        Raises:
            BoundExceededError: The body is too long.
            ExchangeError: The body is incomplete.
        """
        max_bytes = self._bounds.get(kind)
        try:
            while (chunk := await self.read_chunk()) is not None:
                self._body += chunk
                self._count()
                if len(self._body) > max_bytes:
                    raise self.exceed(kind)
            return bytes(self._body)
        finally:
            self._body = bytearray()
            self._count()

    def exceed(self, kind: _bounds.ReadKind) -> BoundExceededError:
        """Gives the response up, since a bound is exceeded.

        Its connection is closed, unless the response is complete: then the
        connection may carry another one by now.

        Args:
            kind: The kind of the bound.

        Returns:
            The error, for the caller to raise.
        """
        reason = BoundExceededError(kind=kind, max_bytes=self._bounds.get(kind))
        self.close()
        self._on_exceeded(kind)
        return reason

    def close(self) -> None:
        """Drops what is unread; closes an incomplete response's connection."""
        self._is_closed = True
        self._unread.clear()
        self._count()
        if not self._is_complete:
            self._abort()

    async def _wait(self) -> None:
        if self._error is not None:
            raise self._error
        self._waiter = defer.Deferred()
        await self._waiter

    def _drop(self) -> None:
        """Gives the response up, since too much is buffered in all."""
        self.fail(self.exceed(_bounds.ReadKind.TOTAL))

    def _count(self) -> None:
        self._share.set(len(self._unread) + len(self._body))

    def _resume(self) -> None:
        if self._is_paused:
            self._is_paused = False
            self._set_paused(False)

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
        if self._is_closed:
            return
        self._unread += chunk
        self._count()
        self._wake()
        if len(self._unread) > _MAX_UNREAD_BYTES and not self._is_paused:
            self._is_paused = True
            self._set_paused(True)

    def end(self) -> None:
        """Marks the body as complete."""
        self._is_complete = True
        # What has arrived completely can be passed on, which frees it.
        self._share.drop = None
        self._count()
        # The connection may carry another response next.
        self._resume()
        self._wake()

    def fail(self, reason: ExchangeError) -> None:
        """Fails the response unless it is complete or has failed already."""
        if not self._is_complete and self._error is None:
            self._error = reason
            self._wake()
