import itertools
import random
import unittest

from twisted.internet import defer
from twisted.internet import task

from sassafrasstile import errors
from sassafrasstile import stores

_MAX_LAG_S = 2.0


class _Store(stores.Store):
    """A store whose calls are answered by the test."""

    def __init__(self):
        self.loads = []
        self.follows = []
        self.offsets = []

    def load(self, topic):
        self.loads.append(defer.Deferred())
        return self.loads[-1]

    def follow(self, topic, *, offset, wait_s):
        self.follows.append(defer.Deferred())
        self.offsets.append(offset)
        return self.follows[-1]

    def put(self, topic, *, key, value, at=None):
        raise NotImplementedError

    def close(self):
        pass


def _make_change(offset, value=b"v", key="k"):
    return stores.Change(key=key, value=value, offset=offset)


class _EpochTestCase(unittest.TestCase):
    """A follower of a store whose calls the test answers."""

    def setUp(self):
        self.clock = task.Clock()
        self.store = _Store()
        self.changes = []
        self.calls = []
        self.pages = []
        self.epochs = stores.EpochMonitor(reactor=self.clock)
        self.checked = stores.EpochCheckedStore(
            store=self.store, epochs=self.epochs
        )
        self.is_watcher = True
        self.follower = self.make_follower(random.Random(1))
        self.follower.start()
        self.addCleanup(self.follower.close)

    def make_follower(self, generator):
        follower = stores.Follower(
            reactor=self.clock,
            store=self.checked,
            topic="t",
            max_lag_s=_MAX_LAG_S,
            on_change=self.changes.append,
            on_loaded=lambda: self.calls.append("loaded"),
            on_outage=lambda: self.calls.append("outage"),
            on_contact=lambda: self.calls.append("contact"),
            on_restore=lambda: self.calls.append("restore"),
            generator=generator,
            is_watcher=lambda: self.is_watcher,
            on_page=lambda offset, page: self.pages.append(page),
        )
        self.epochs.subscribe(follower.start_epoch)
        return follower

    def advance(self, seconds):
        for _ in range(round(seconds / 0.05)):
            self.clock.advance(0.05)

    def load(self, *changes, next_offset, epoch):
        self.store.loads[-1].callback(
            stores.Snapshot(
                entries=changes, next_offset=next_offset, epoch=epoch
            )
        )

    def answer(self, *changes, next_offset, epoch):
        self.store.follows[-1].callback(
            stores.ChangePage(
                changes=changes, next_offset=next_offset, epoch=epoch
            )
        )

    def refuse(self, code, epoch):
        self.store.follows[-1].errback(
            stores.StoreError(code=code, detail="d", epoch=epoch)
        )

    def start(self, *changes, next_offset=5, epoch=1):
        self.load(*changes, next_offset=next_offset, epoch=epoch)
        self.advance(1.0)
        self.calls.clear()

    def values(self):
        return [change.value for change in self.changes]


class EpochTest(_EpochTestCase):
    """A topic is followed while the store is restored from copies."""

    # The page's records are at offsets that named others before, and records
    # before them would be missed.
    def test_page_of_a_new_epoch_leads_to_one_load(self):
        self.start(_make_change(4, b"old"))
        self.answer(_make_change(5, b"x"), next_offset=6, epoch=2)
        self.assertEqual(self.values(), [b"old"])
        self.assertEqual(self.pages, [])
        self.advance(1.0)
        self.assertEqual(len(self.store.loads), 2)
        self.load(_make_change(3, b"new"), next_offset=6, epoch=2)
        self.assertEqual(self.values(), [b"old", b"new"])
        self.advance(1.0)
        self.assertEqual(self.store.offsets[-1], 6)
        self.assertEqual(len(self.store.loads), 2)

    def test_error_of_a_new_epoch_leads_to_a_load(self):
        for code in (
            errors.Code.HISTORY_GONE,
            errors.Code.CONFLICT,
            errors.Code.STORE_UNAVAILABLE,
        ):
            with self.subTest(code=code):
                self.setUp()
                self.start()
                self.refuse(code, epoch=2)
                self.advance(1.0)
                self.assertEqual(len(self.store.loads), 2)
                self.assertEqual(self.calls.count("restore"), 1)

    # The first answer to show the restore may be to a call for another topic.
    def test_restore_seen_elsewhere_ends_all_waits(self):
        self.is_watcher = False
        self.start()
        self.epochs.observe(2)
        self.advance(0.5)
        self.assertEqual(len(self.store.loads), 2)
        self.assertEqual(self.store.follows, [])

    # It was sent before the restore, so its positions belong to the past.
    def test_late_answers_of_the_old_epoch_change_nothing(self):
        for epoch in (1, None):
            with self.subTest(epoch=epoch):
                self.setUp()
                self.start(_make_change(4, b"old"))
                call = self.store.follows[-1]
                self.epochs.observe(2)
                # The call was cancelled, so its answer is no longer awaited.
                self.assertTrue(call.called)
                self.answer(
                    _make_change(5, b"late"), next_offset=6, epoch=epoch
                )
                self.advance(1.5)
                self.assertEqual(self.values(), [b"old"])
                self.assertNotIn("contact", self.calls)
                self.load(_make_change(1, b"new"), next_offset=2, epoch=2)
                self.assertEqual(self.values(), [b"old", b"new"])

    def test_late_snapshot_of_the_old_epoch_changes_nothing(self):
        for epoch in (1, None):
            with self.subTest(epoch=epoch):
                self.setUp()
                self.epochs.observe(1)
                self.epochs.observe(2)
                self.load(_make_change(9, b"late"), next_offset=10, epoch=epoch)
                self.assertEqual(self.changes, [])
                self.advance(1.5)
                self.load(_make_change(1, b"new"), next_offset=2, epoch=2)
                self.assertEqual(self.values(), [b"new"])

    # A snapshot of the new epoch needs no second one.
    def test_snapshot_that_shows_the_restore_is_used(self):
        self.start(_make_change(4, b"old"))
        self.refuse(errors.Code.HISTORY_GONE, epoch=1)
        self.load(_make_change(2, b"new"), next_offset=3, epoch=2)
        self.assertEqual(self.values(), [b"old", b"new"])
        self.advance(1.0)
        self.assertEqual(len(self.store.loads), 2)

    # A missing key may only be missing from the copy: membership decides, so
    # it has to know of the restore first.
    def test_key_that_the_copy_lacks_is_removed_after_the_restore(self):
        self.start(_make_change(4, b"old"))
        self.epochs.observe(2)
        self.advance(1.5)
        self.load(next_offset=1, epoch=2)
        self.assertEqual(self.values(), [b"old", None])
        self.assertEqual(self.calls[:2], ["restore", "contact"])

    def test_gateways_load_at_different_times(self):
        self.start()
        others = [self.make_follower(random.Random(n)) for n in range(20)]
        for other in others:
            other.start()
            self.addCleanup(other.close)
            self.load(next_offset=5, epoch=1)
        self.advance(1.0)
        before = len(self.store.loads)
        self.epochs.observe(2)
        counts = []
        for _ in range(10):
            self.clock.advance(0.05)
            counts.append(len(self.store.loads) - before)
        self.assertLess(counts[0], 10)
        self.assertEqual(counts[-1], 21)
        steps = [b - a for a, b in itertools.pairwise(counts)]
        self.assertLess(max(steps), 10)

    # A mistaken header mustn't stop the gateway from reading for good.
    def test_epoch_that_stays_lower_becomes_the_current_one(self):
        self.epochs.observe(900)
        for _ in range(60):
            if not self.store.loads[-1].called:
                self.load(_make_change(1, b"new"), next_offset=2, epoch=1)
            self.advance(1.0)
        self.assertEqual(self.epochs.current, 1)
        self.assertEqual(self.values(), [b"new"])

    def test_missing_epoch_is_no_news(self):
        self.start(_make_change(4, b"old"))
        self.answer(_make_change(5, b"x"), next_offset=6, epoch=None)
        self.assertEqual(self.values(), [b"old", b"x"])
        self.advance(1.0)
        self.assertEqual(self.store.offsets[-1], 6)


class PeerEpochTest(_EpochTestCase):
    """Positions that other gateways report, of this epoch or another."""

    def setUp(self):
        super().setUp()
        self.is_watcher = False

    def report(self, next_offset, epoch):
        self.follower.record_reported_end(
            stores.TopicEnd(
                next_offset=next_offset,
                known_at=self.clock.seconds(),
                epoch=epoch,
            )
        )

    def relay(self, offset, epoch):
        page = stores.ChangePage(
            changes=(_make_change(offset, b"relayed"),),
            next_offset=offset + 1,
            epoch=epoch,
        )
        self.follower.apply_relayed_page(offset, page)

    # Offsets of a later epoch prove nothing, but the store has to be asked.
    def test_later_epoch_leads_to_one_call(self):
        for send in (self.report, self.relay):
            with self.subTest(send=send.__name__):
                self.setUp()
                self.start()
                send = getattr(self, send.__name__)
                send(5, 2)
                self.assertEqual(self.store.offsets, [5])
                self.answer(next_offset=5, epoch=1)
                send(5, 2)
                self.advance(0.6)
                send(5, 2)
                self.assertEqual(self.values(), [])
                self.assertEqual(self.store.offsets, [5])

    def test_earlier_epoch_is_ignored(self):
        self.start(epoch=2)
        for epoch in (1, None):
            self.report(9, epoch)
            self.relay(5, epoch)
            self.relay(7, epoch)
        self.assertEqual(self.store.follows, [])
        self.assertEqual(self.changes, [])

    # Otherwise an old report would replace a call by which the restore is seen.
    def test_earlier_epoch_confirms_nothing(self):
        self.start(epoch=2)
        for _ in range(40):
            self.report(5, 1)
            self.advance(0.05)
        self.assertEqual(len(self.store.follows), 1)

    def test_page_of_the_same_epoch_is_applied(self):
        self.start()
        self.relay(5, 1)
        self.assertEqual(self.values(), [b"relayed"])
        self.assertEqual(self.follower.end.epoch, 1)

    # The positions from before the restore are dropped with the others.
    def test_page_in_flight_during_a_restore_is_not_applied(self):
        self.start()
        self.epochs.observe(2)
        self.relay(5, 1)
        self.relay(5, 2)
        self.assertEqual(self.changes, [])
        self.assertIsNone(self.follower.end)
