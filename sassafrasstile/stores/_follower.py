"""Follows a topic of the store, also across outages."""

from collections.abc import Callable
import logging
import random

from twisted.internet import defer
from twisted.internet import task

from sassafrasstile import errors
from sassafrasstile.stores import _base
from sassafrasstile.stores import _view

_LOG = logging.getLogger("sassafrasstile.stores")
# Duration of a long poll as a share of the maximum lag: the store may return a
# new record only when the long poll ends.
_LONG_POLL_SHARE = 0.5
# A gateway that relies on reports from peers reads the topic itself when its
# knowledge of the topic's end is older than this share of the maximum lag.
_REPORT_AGE_SHARE = 0.65
_BACKOFF_BASE_S = 0.2
_MAX_BACKOFF_S = 0.8
# Calls are at least this far apart, however fast records are appended.
_MIN_WATCHER_INTERVAL_S = 0.25
# The same for a gateway that relies on reports; it is longer, so that each call
# returns several records.
_MIN_REPORTED_INTERVAL_S = 0.6
# All gateways load a topic again when the store was restored; the calls are
# spread over this share of the maximum lag.
_RELOAD_JITTER_SHARE = 0.2


class Follower:
    """Follows a topic and passes on each change.

    Some gateways, the watchers, long-poll the topic. They report where it
    ends to the other gateways, which call the store only when the topic has
    grown or when their knowledge of its end is too old.

    In a new epoch of the store, offsets name other records than before. So all
    positions are dropped and the topic is loaded again, while the changes
    passed on so far remain valid.

    Args:
        reactor: The reactor.
        store: The store.
        topic: The topic.
        max_lag_s: The time from the append of a record within which it must
            be passed on, in seconds.
        on_change: Called with each record that is newer than the last one of
            its key.
        on_loaded: Called after a complete snapshot was applied.
        on_outage: Called after each call that the store didn't answer.
        on_contact: Called after each call that the store answered.
        on_restore: Called when the store was restored from a copy, before the
            topic is loaded again.
        generator: The source of random numbers.
        is_watcher: Returns whether this gateway long-polls the topic now.
        on_page: Called with the offset and the records of each page that this
            gateway was the first to read, as far as it knows.
        read_time_s: Returns the time in seconds on the clock of
            `on_confirmed`; that of the reactor by default.
        on_confirmed: Called after each call whose answer shows that nothing
            newer was in the topic, with the time at which the call was begun.
        read_max_wait_s: Returns the longest time for which the store may hold
            a call open, in seconds.
    """

    def __init__(
        self,
        *,
        reactor,
        store: _base.Store,
        topic: str,
        max_lag_s: float,
        on_change: Callable[[_base.Change], None],
        on_loaded: Callable[[], None],
        on_outage: Callable[[], None],
        on_contact: Callable[[], None],
        generator: random.Random,
        on_restore: Callable[[], None] = lambda: None,
        is_watcher: Callable[[], bool] = lambda: True,
        on_page: Callable[[int, _base.ChangePage], None] = (
            lambda _offset, _page: None
        ),
        read_time_s: Callable[[], float] | None = None,
        on_confirmed: Callable[[float], None] = lambda _begun_at: None,
        read_max_wait_s: Callable[[], float] = lambda: float("inf"),
    ):
        self._reactor = reactor
        self._store = store
        self._topic = topic
        self._max_reload_delay_s = _RELOAD_JITTER_SHARE * max_lag_s
        self._long_poll_s = _LONG_POLL_SHARE * max_lag_s
        self._max_report_age_s = _REPORT_AGE_SHARE * max_lag_s
        self._on_change = on_change
        self._on_loaded = on_loaded
        self._on_outage = on_outage
        self._on_contact = on_contact
        self._on_restore = on_restore
        self._generator = generator
        self._is_watcher = is_watcher
        self._on_page = on_page
        self._read_time_s = read_time_s or reactor.seconds
        self._on_confirmed = on_confirmed
        self._read_max_wait_s = read_max_wait_s
        self._view = _view.KeyedView()
        self._epoch: int | None = None
        self._peer_epoch = -1
        # The number of times that all positions were dropped.
        self._drops = 0
        self._load_due_at = float("-inf")
        self._offset: int | None = None
        self._failures = 0
        self._end: _base.TopicEnd | None = None
        self._confirmed_at = float("-inf")
        self._relayed_at = float("-inf")
        self._reported_offset = -1
        self._is_stale = False
        self._waiting: defer.Deferred | None = None
        self._long_poll: defer.Deferred | None = None
        self._running: defer.Deferred | None = None

    def start(self) -> None:
        """Starts following."""
        self._running = defer.ensureDeferred(self._run())
        self._running.addErrback(self._log_failure)

    def close(self) -> None:
        """Stops following."""
        running, self._running = self._running, None
        if running is not None:
            running.cancel()

    @property
    def end(self) -> _base.TopicEnd | None:
        """Where the topic ended, as this gateway's own calls show it."""
        return self._end

    def start_epoch(self, epoch: int) -> None:
        """Drops all positions, since the store was restored from a copy.

        Args:
            epoch: The store's new epoch.
        """
        _LOG.info(
            "store: topic %s is loaded again in epoch %s.",
            self._topic,
            epoch,
            extra={
                "epoch_before": self._epoch,
                "epoch": epoch,
                "offset_dropped": self._offset,
            },
        )
        self._epoch = epoch
        self._drops += 1
        self._offset = None
        self._end = None
        self._reported_offset = -1
        self._confirmed_at = float("-inf")
        self._relayed_at = float("-inf")
        self._view.forget_offsets()
        delay_s = self._max_reload_delay_s * self._generator.random()
        self._load_due_at = self._reactor.seconds() + delay_s
        self._on_restore()
        if self._long_poll is not None:
            self._long_poll.cancel()
        self._wake()

    def record_reported_end(self, end: _base.TopicEnd) -> None:
        """Records where the topic ended according to another gateway.

        Args:
            end: The reported end and the time at which the topic ended there.
        """
        if self._offset is None:
            return
        if end.epoch != self._epoch:
            self._check_peer_epoch(end.epoch)
        elif end.next_offset > self._offset:
            self._reported_offset = end.next_offset
            self._wake()
        elif end.next_offset == self._offset:
            self._confirmed_at = max(self._confirmed_at, end.known_at)

    def apply_relayed_page(self, offset: int, page: _base.ChangePage) -> None:
        """Applies records that another gateway has read from the store.

        So a gateway that can't reach the store itself learns of changes. A
        page that doesn't follow the records read so far only shows that the
        topic has grown.

        Args:
            offset: The offset of the page's first record.
            page: The records.
        """
        if self._offset is None:
            return
        if page.epoch != self._epoch:
            self._check_peer_epoch(page.epoch)
            return
        if page.next_offset <= self._offset:
            return
        if offset > self._offset:
            self._reported_offset = max(self._reported_offset, page.next_offset)
            self._wake()
            return
        self._relayed_at = self._reactor.seconds()
        self._on_contact()
        for change in page.changes:
            self._apply(change)
        self._offset = page.next_offset
        self._end = _base.TopicEnd(
            next_offset=page.next_offset,
            known_at=self._end.known_at,
            epoch=self._epoch,
        )

    def _check_peer_epoch(self, epoch: int | None) -> None:
        """Calls the store when another gateway names a later epoch.

        Its positions prove nothing here, whichever epoch is the later one.
        Each epoch leads to one call, so a wrong one does no harm.
        """
        known = -1 if self._epoch is None else self._epoch
        if epoch is not None and epoch > max(known, self._peer_epoch):
            self._peer_epoch = epoch
            _LOG.info(
                "store: topic %s is read, since a peer names epoch %s.",
                self._topic,
                epoch,
                extra={"epoch": self._epoch, "epoch_of_peer": epoch},
            )
            self.mark_stale()

    def mark_stale(self) -> None:
        """Reads the topic immediately, whatever peers have reported."""
        self._is_stale = True
        self._wake()

    async def _run(self) -> None:
        while True:
            started_at = self._reactor.seconds()
            try:
                if await self._poll():
                    self._record_contact()
            except _base.StoreError as reason:
                await self._handle_failure(reason)
                continue
            except defer.CancelledError:
                raise
            except Exception as reason:
                # Whatever an answer holds, following goes on.
                _LOG.exception("store: topic %s: an error.", self._topic)
                await self._handle_failure(
                    _base.StoreError(
                        code=errors.Code.STORE_UNAVAILABLE,
                        detail=f"the answer can't be used: {reason!r:.200}",
                    )
                )
                continue
            spent_s = self._reactor.seconds() - started_at
            await self._sleep(max(0.0, self._choose_min_interval_s() - spent_s))
            await self._wait_until_due()

    def _choose_min_interval_s(self) -> float:
        """Returns the minimum time from one call to the next, in seconds."""
        if self._is_watcher():
            return _MIN_WATCHER_INTERVAL_S
        return _MIN_REPORTED_INTERVAL_S

    async def _wait_until_due(self) -> None:
        """Waits until the store has to be called."""
        while (idle_s := self._compute_idle_s()) > 0:
            self._waiting = defer.Deferred()
            call = self._reactor.callLater(idle_s, self._wake)
            try:
                await self._waiting
            finally:
                if call.active():
                    call.cancel()

    def _compute_idle_s(self) -> float:
        """Returns for how long the store needn't be called, in seconds."""
        is_behind = self._offset is None or self._reported_offset > self._offset
        if is_behind or self._is_stale or self._is_watcher():
            return 0.0
        known_at = max(self._confirmed_at, self._end.known_at)
        return known_at + self._max_report_age_s - self._reactor.seconds()

    def _wake(self) -> None:
        waiting, self._waiting = self._waiting, None
        if waiting is not None:
            waiting.callback(None)

    async def _poll(self) -> bool:
        """Calls the store.

        Returns:
            False when the answer was dropped, since the store was restored
            meanwhile.
        """
        self._is_stale = False
        if self._offset is None:
            return await self._load()
        return await self._read_on()

    async def _load(self) -> bool:
        while (delay_s := self._load_due_at - self._reactor.seconds()) > 0:
            await self._sleep(delay_s)
        started_at = self._reactor.seconds()
        begun_at = self._read_time_s()
        drops = self._drops
        snapshot = await self._store.load(self._topic)
        if not self._is_current(snapshot, drops):
            return self._drop_answer(snapshot.epoch)
        self._record_epoch(snapshot.epoch)
        # The end of an outage is recorded before the changes made during the
        # outage are applied.
        self._record_contact()
        self._apply_snapshot(snapshot)
        self._update_end(started_at)
        self._confirm(begun_at, snapshot.epoch)
        return True

    def _is_current(self, snapshot: _base.Snapshot, drops: int) -> bool:
        """Returns whether a snapshot is of the current epoch.

        Args:
            snapshot: The snapshot.
            drops: The number of times that positions had been dropped before
                the call.
        """
        if snapshot.epoch is None or self._epoch is None:
            return drops == self._drops
        return snapshot.epoch == self._epoch

    def _drop_answer(self, epoch: int | None) -> bool:
        _LOG.info(
            "store: topic %s: an answer is dropped, as the store was restored.",
            self._topic,
            extra={"epoch": self._epoch, "epoch_of_answer": epoch},
        )
        return False

    async def _read_on(self) -> bool:
        started_at = self._reactor.seconds()
        reported_offset = self._reported_offset
        drops = self._drops
        wait_s = self._choose_wait_s()
        offset = self._offset
        begun_at = self._read_time_s()
        self._long_poll = self._store.follow(
            self._topic, offset=offset, wait_s=wait_s
        )
        try:
            page = await self._long_poll
        except defer.CancelledError:
            if drops == self._drops:
                raise
            return False
        if drops != self._drops:
            return self._drop_answer(page.epoch)
        self._record_epoch(page.epoch)
        self._record_contact()
        if page.next_offset > self._offset:
            # No other gateway has passed these records on meanwhile.
            self._offset = page.next_offset
            self._on_page(offset, page)
        for change in page.changes:
            self._apply(change)
        # If there is no record, the store held the call open for `wait_s`.
        self._update_end(started_at + (0.0 if page.changes else wait_s))
        if self._reported_offset == reported_offset:
            # The call covers everything that was reported before it.
            self._reported_offset = -1
        if page.is_last:
            self._confirm(begun_at, page.epoch)
        return True

    def _confirm(self, begun_at: float, epoch: int | None) -> None:
        """Tells that the topic held nothing newer when a call was begun.

        An answer that states no epoch, unlike earlier ones, may be of a
        restored store.
        """
        if epoch == self._epoch:
            self._on_confirmed(begun_at)

    def _record_epoch(self, epoch: int | None) -> None:
        if epoch is not None:
            self._epoch = epoch

    def _update_end(self, known_at: float) -> None:
        self._end = _base.TopicEnd(
            next_offset=self._offset, known_at=known_at, epoch=self._epoch
        )

    def _choose_wait_s(self) -> float:
        """Returns how long the store may hold the call open, in seconds."""
        if self._failures:
            # A call without waiting shows early that an outage has ended.
            return 0.0
        if not self._is_watcher():
            return 0.0
        return min(self._long_poll_s, self._read_max_wait_s())

    def _apply_snapshot(self, snapshot: _base.Snapshot) -> None:
        for change in snapshot.entries:
            self._apply(change)
        for key in self._view.find_missing(snapshot):
            self._remove(key, offset=snapshot.next_offset)
        self._offset = snapshot.next_offset
        _LOG.info(
            "store: topic %s loaded.",
            self._topic,
            extra={"offset": self._offset, "keys": len(snapshot.entries)},
        )
        self._on_loaded()

    def _apply(self, change: _base.Change) -> None:
        if self._view.apply(change):
            self._pass_on(change)

    def _remove(self, key: str, *, offset: int) -> None:
        self._view.mark_removed(key)
        self._pass_on(_base.Change(key=key, value=None, offset=offset))

    def _pass_on(self, change: _base.Change) -> None:
        try:
            self._on_change(change)
        except Exception:
            # One record keeps no other back.
            _LOG.exception(
                "store: topic %s: a record can't be applied.",
                self._topic,
                extra={"key": change.key, "offset": change.offset},
            )

    def _record_contact(self) -> None:
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
            _LOG.info(
                "store: topic %s lost the next record and is reloaded.",
                self._topic,
            )
            self._offset = None
            return
        if reason.code == errors.Code.EPOCH_PASSED:
            await self._sleep(self._choose_min_interval_s())
            return
        if not self._failures:
            _LOG.warning(
                "store: topic %s doesn't answer. Reason: %s.",
                self._topic,
                reason.detail,
                extra={"code": reason.code, "offset": self._offset},
            )
        self._failures += 1
        now = self._reactor.seconds()
        if now - self._relayed_at > self._max_report_age_s:
            # No other gateway reaches the store either.
            self._on_outage()
        limit_s = min(
            _MAX_BACKOFF_S, _BACKOFF_BASE_S * 2 ** min(self._failures, 8)
        )
        await self._sleep(limit_s * (0.5 + 0.5 * self._generator.random()))

    def _sleep(self, seconds: float) -> defer.Deferred:
        return task.deferLater(self._reactor, seconds)

    def _log_failure(self, reason) -> None:
        if not reason.check(defer.CancelledError):
            _LOG.critical(
                "store: following topic %s has failed: %s",
                self._topic,
                reason.getTraceback(),
            )
