"""Concurrent attempts at an idempotent call.

An overdue attempt stays open while another endpoint is tried: only an answer
shows that the other endpoint can take the call over.
"""

from collections.abc import Callable
import enum

from twisted.internet import defer

from sassafrasstile.forwarding import _timers

# Interval at which an overdue call is checked again.
_CHECK_INTERVAL_S = 0.1


class Overdue(enum.Enum):
    """What `AttemptGroup.wait` returns when another attempt should begin."""

    OVERDUE = "overdue"


class AttemptGroup:
    """The attempts at one call that are under way.

    Args:
        reactor: The reactor.
        may_begin_another: Returns whether another attempt should begin beside
            an overdue one.
    """

    def __init__(self, *, reactor, may_begin_another: Callable[[], bool]):
        self._may_begin_another = may_begin_another
        self._running: set[defer.Deferred] = set()
        self._results = defer.DeferredQueue()
        self._timer = _timers.SilenceTimer(
            reactor=reactor, on_silence=self._check
        )

    @property
    def is_empty(self) -> bool:
        """True when no attempt is under way."""
        return not self._running

    def add(self, attempt: defer.Deferred, *, overdue_s: float | None) -> None:
        """Adds an attempt.

        Args:
            attempt: Fires with the attempt's result.
            overdue_s: Seconds until another attempt may begin beside it, or
                None if none may.
        """
        self._timer.close()
        self._running.add(attempt)
        attempt.addBoth(self._finish, attempt)
        if overdue_s is not None:
            self._timer.start(overdue_s)

    async def wait(self):
        """Waits for the next result, or until another attempt should begin.

        Returns:
            The result of an attempt, or `Overdue.OVERDUE`.

        Raises:
            Exception: What an attempt has raised.
        """
        return await self._results.get()

    def close(self) -> None:
        """Ends all attempts."""
        self._timer.close()
        for attempt in list(self._running):
            attempt.cancel()

    def _finish(self, result, attempt: defer.Deferred) -> None:
        self._running.discard(attempt)
        self._results.put(result)

    def _check(self) -> None:
        if self._may_begin_another():
            self._results.put(Overdue.OVERDUE)
        elif self._running:
            self._timer.start(_CHECK_INTERVAL_S)
