"""Follows one stream of the log by long polling."""

from collections.abc import Callable
import logging

from twisted.internet import defer

from sassafrasstile import errors
from sassafrasstile.logs import _base

_LOG = logging.getLogger("sassafrasstile.log")
_LONG_POLL_S = 1.0
_BACKOFF_S = 0.5


class LogFollower:
    """Reads a stream from its oldest record on and polls for new records.

    Args:
        reactor: The reactor.
        client: The log client.
        stream: The stream.
        on_page: Called with each page read, including empty pages.
    """

    def __init__(
        self,
        *,
        reactor,
        client: _base.LogClient,
        stream: str,
        on_page: Callable[[_base.LogPage], None],
    ):
        self.stream = stream
        self._reactor = reactor
        self._client = client
        self._on_page = on_page
        self._next_offset = 0
        self._closed = False

    def start(self) -> None:
        """Starts reading."""
        defer.ensureDeferred(self._run()).addErrback(
            lambda failure: _LOG.error(
                "log: following failed: %s", failure.getTraceback()
            )
        )

    def close(self) -> None:
        """Stops reading."""
        self._closed = True

    async def _run(self) -> None:
        while not self._closed:
            try:
                page = await self._client.read(
                    self.stream, start=self._next_offset, wait_s=_LONG_POLL_S
                )
            except errors.LogUnavailableError as failure:
                _LOG.info(
                    "log: reading stream %s failed: %s", self.stream, failure
                )
                await self._sleep(_BACKOFF_S)
                continue
            if self._closed:
                return
            if page.entries:
                self._next_offset = page.entries[-1].offset + 1
            self._on_page(page)

    def _sleep(self, seconds: float) -> defer.Deferred:
        deferred: defer.Deferred = defer.Deferred()
        self._reactor.callLater(seconds, deferred.callback, None)
        return deferred
