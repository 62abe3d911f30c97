"""Follows a topic of the store through its outages."""

from collections.abc import Callable
import logging
import random

from twisted.internet import defer
from twisted.internet import task

from sassafrasstile import errors
from sassafrasstile.stores import _base
from sassafrasstile.stores import _view

_LOG = logging.getLogger("sassafrasstile.stores")
# A waiting call may not hear of a new record until it ends, so it ends after
# this share of the time within which a change has to be acted on.
_WAIT_SHARE = 0.5
# A gateway that is told of the topic's end by others looks itself when what
# it knows is older than this share of that time.
_TOLD_SHARE = 0.65
_BACKOFF_FIRST_S = 0.2
_BACKOFF_MOST_S = 0.8
# Pages are asked for no faster than this, however fast records come; a gateway
# that is told of them asks for several together.
_LEAST_INTERVAL_S = 0.25
_LEAST_TOLD_INTERVAL_S = 0.6


class Follower:
    """Keeps up with a topic and says what changed.

    Some gateways watch a topic by calls that wait for records. The others
    are told by these where it ends, and call only when it has grown or when
    they haven't been told for too long.

    Args:
        reactor: The reactor.
        store: The store.
        topic: The topic.
        notice_s: A change is acted on within this time of its writing,
            seconds.
        on_change: Called with each newer record.
        on_loaded: Called after a whole snapshot was handled.
        on_outage: Called when the store stops answering.
        on_contact: Called after each call that the store answered.
        generator: The source of random numbers.
        is_watcher: Says whether this gateway watches the topic now.
    """

    def __init__(
        self,
        *,
        reactor,
        store: _base.Store,
        topic: str,
        notice_s: float,
        on_change: Callable[[_base.Change], None],
        on_loaded: Callable[[], None],
        on_outage: Callable[[], None],
        on_contact: Callable[[], None],
        generator: random.Random,
        is_watcher: Callable[[], bool] = lambda: True,
    ):
        self._reactor = reactor
        self._store = store
        self._topic = topic
        self._wait_s = _WAIT_SHARE * notice_s
        self._told_s = _TOLD_SHARE * notice_s
        self._on_change = on_change
        self._on_loaded = on_loaded
        self._on_outage = on_outage
        self._on_contact = on_contact
        self._generator = generator
        self._is_watcher = is_watcher
        self._view = _view.KeyedView()
        self._offset: int | None = None
        self._failures = 0
        self._end: _base.TopicEnd | None = None
        self._told_at = float("-inf")
        self._told_offset = -1
        self._has_doubts = False
        self._resting: defer.Deferred | None = None
        self._running: defer.Deferred | None = None

    def start(self) -> None:
        """Starts following."""
        self._running = defer.ensureDeferred(self._run())
        self._running.addErrback(self._note_end)

    def close(self) -> None:
        """Stops following."""
        running, self._running = self._running, None
        if running is not None:
            running.cancel()

    @property
    def end(self) -> _base.TopicEnd | None:
        """Where the topic ended, by this gateway's own calls alone."""
        return self._end

    def note_end(self, end: _base.TopicEnd) -> None:
        """Notes where the topic ended by the word of another gateway.

        Args:
            end: Where it ended, and when.
        """
        if self._offset is None:
            return
        if end.next_offset > self._offset:
            self._told_offset = end.next_offset
            self._wake()
        elif end.next_offset == self._offset:
            self._told_at = max(self._told_at, end.known_at)

    def doubt(self) -> None:
        """Looks for itself at once, whatever others say."""
        self._has_doubts = True
        self._wake()

    async def _run(self) -> None:
        while True:
            began_at = self._reactor.seconds()
            try:
                await self._step()
            except _base.StoreError as reason:
                await self._handle_failure(reason)
                continue
            self._note_contact()
            spent_s = self._reactor.seconds() - began_at
            await self._sleep(max(0.0, self._choose_interval() - spent_s))
            await self._rest()

    def _choose_interval(self) -> float:
        """Returns the shortest time from one call to the next."""
        if self._is_watcher():
            return _LEAST_INTERVAL_S
        return _LEAST_TOLD_INTERVAL_S

    async def _rest(self) -> None:
        """Waits until there is a reason to call."""
        while (left_s := self._measure_rest()) > 0:
            self._resting = defer.Deferred()
            call = self._reactor.callLater(left_s, self._wake)
            try:
                await self._resting
            finally:
                if call.active():
                    call.cancel()

    def _measure_rest(self) -> float:
        """Returns for how long this gateway needn't call, in seconds."""
        is_behind = self._offset is None or self._told_offset > self._offset
        if is_behind or self._has_doubts or self._is_watcher():
            return 0.0
        known_at = max(self._told_at, self._end.known_at)
        return known_at + self._told_s - self._reactor.seconds()

    def _wake(self) -> None:
        resting, self._resting = self._resting, None
        if resting is not None:
            resting.callback(None)

    async def _step(self) -> None:
        began_at = self._reactor.seconds()
        told_offset = self._told_offset
        self._has_doubts = False
        if self._offset is None:
            snapshot = await self._store.load(self._topic)
            # An earlier outage ends before what it left is judged.
            self._note_contact()
            self._take_snapshot(snapshot)
            self._note_own_end(began_at)
            return
        wait_s = self._choose_wait()
        page = await self._store.follow(
            self._topic, offset=self._offset, wait_s=wait_s
        )
        self._note_contact()
        for change in page.changes:
            self._take(change)
        self._offset = page.next_offset
        # Without a record the store has waited for all that time.
        self._note_own_end(began_at + (0.0 if page.changes else wait_s))
        if self._told_offset == told_offset:
            # What was told before the call can't be beyond its answer.
            self._told_offset = -1

    def _note_own_end(self, known_at: float) -> None:
        self._end = _base.TopicEnd(next_offset=self._offset, known_at=known_at)

    def _choose_wait(self) -> float:
        """Returns how long the store may wait for a record."""
        if self._failures:
            # A short call shows soon that an outage has ended.
            return 0.0
        return self._wait_s if self._is_watcher() else 0.0

    def _take_snapshot(self, snapshot: _base.Snapshot) -> None:
        for change in snapshot.entries:
            self._take(change)
        for key in self._view.find_missing(snapshot):
            self._view.note_removed(key)
            offset = snapshot.next_offset
            self._on_change(_base.Change(key=key, value=None, offset=offset))
        self._offset = snapshot.next_offset
        _LOG.info(
            "store: topic %s read anew.",
            self._topic,
            extra={"offset": self._offset, "keys": len(snapshot.entries)},
        )
        self._on_loaded()

    def _take(self, change: _base.Change) -> None:
        if self._view.apply(change):
            self._on_change(change)

    def _note_contact(self) -> None:
        if self._failures:
            _LOG.info(
                "store: topic %s answers again.",
                self._topic,
                extra={"failures": self._failures},
            )
        self._failures = 0
        self._on_contact()

    async def _handle_failure(self, reason: _base.StoreError) -> None:
        if reason.code == errors.Code.HISTORY_GONE:
            _LOG.info("store: topic %s has lost its history.", self._topic)
            self._offset = None
            return
        if not self._failures:
            _LOG.warning(
                "store: topic %s doesn't answer. Reason: %s.",
                self._topic,
                reason.detail,
                extra={"code": reason.code, "offset": self._offset},
            )
        self._failures += 1
        self._on_outage()
        limit_s = min(
            _BACKOFF_MOST_S, _BACKOFF_FIRST_S * 2 ** min(self._failures, 8)
        )
        await self._sleep(limit_s * (0.5 + 0.5 * self._generator.random()))

    def _sleep(self, seconds: float) -> defer.Deferred:
        return task.deferLater(self._reactor, seconds)

    def _note_end(self, reason) -> None:
        if not reason.check(defer.CancelledError):
            _LOG.critical(
                "store: topic %s is no longer followed: %s",
                self._topic,
                reason.getTraceback(),
            )
