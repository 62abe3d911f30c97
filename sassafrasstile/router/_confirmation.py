"""Confirms that a topic has no records that this gateway hasn't seen."""

import logging

from twisted.internet import defer
from twisted.python import failure

from sassafrasstile import limits
from sassafrasstile import stores

_LOG = logging.getLogger("sassafrasstile.router")
_MAX_LOG_LINES_PER_S = 1.0
_TIMEOUT_S = 0.2


class TopicConfirmation:
    """Asks the store whether a topic still ends where it was read.

    Requests that ask at the same time share a call to the store.

    Args:
        reactor: The reactor.
        store: The store.
        topic: The topic.
        follower: Follows the topic.
    """

    def __init__(
        self,
        *,
        reactor,
        store: stores.Store,
        topic: str,
        follower: stores.Follower,
    ):
        self._reactor = reactor
        self._store = store
        self._topic = topic
        self._follower = follower
        self._waiting: list[defer.Deferred] = []
        self._is_calling = False
        self._called_at = float("-inf")
        self._warnings = limits.TokenBucket(rate_per_s=_MAX_LOG_LINES_PER_S)

    async def confirm(self, since: float) -> bool:
        """Returns whether all records up to a time have been seen.

        Args:
            since: The time in seconds. The topic is confirmed by a call to the
                store that began then or later.
        """
        while True:
            if not self._is_calling:
                self._begin()
            is_recent = self._called_at >= since
            waiting: defer.Deferred = defer.Deferred()
            self._waiting.append(waiting)
            is_confirmed = await waiting
            if is_recent:
                return is_confirmed

    def _begin(self) -> None:
        self._is_calling = True
        self._called_at = self._reactor.seconds()
        # Started in a later turn of the reactor, so that the caller is in the
        # list of waiters even if the answer is immediate.
        self._reactor.callLater(
            0,
            lambda: defer.ensureDeferred(self._call()).addBoth(
                self._finish_call
            ),
        )

    def _finish_call(self, result) -> None:
        if isinstance(result, failure.Failure):
            self._log_failure(result)
        self._is_calling = False
        waiting, self._waiting = self._waiting, []
        for waiter in waiting:
            if not waiter.called:
                waiter.callback(result is True)

    def _log_failure(self, reason: failure.Failure) -> None:
        if self._warnings.take(1, self._reactor.seconds()):
            _LOG.info(
                "store: topic %s isn't confirmed: %s",
                self._topic,
                reason.getErrorMessage(),
            )

    async def _call(self) -> bool:
        """Compares the topic's end at the store with the one read here."""
        end = self._follower.end
        if end is None:
            return False
        reading = defer.maybeDeferred(
            self._store.follow,
            self._topic,
            offset=end.next_offset,
            wait_s=0.0,
        )
        reading.addTimeout(_TIMEOUT_S, self._reactor)
        page = await reading
        # Offsets of different epochs can't be compared.
        is_same_epoch = page.epoch in (None, end.epoch)
        is_same_end = page.next_offset == end.next_offset
        if page.changes or not is_same_epoch or not is_same_end:
            self._follower.mark_stale()
            return False
        return True
