import random
import unittest

from twisted.internet import defer
from twisted.internet import task

from sassafrasstile import errors
from sassafrasstile import stores

_NOTICE_S = 2.0


class _Store(stores.Store):
    """Lets a test answer each call."""

    def __init__(self):
        self.loads = []
        self.follows = []

    def load(self, topic):
        self.loads.append(defer.Deferred())
        return self.loads[-1]

    def follow(self, topic, *, offset, wait_s):
        self.follows.append((defer.Deferred(), offset, wait_s))
        return self.follows[-1][0]

    def put(self, topic, *, key, value, at=None):
        raise NotImplementedError

    def close(self):
        pass


def _fail(deferred, code=errors.Code.STORE_UNAVAILABLE):
    deferred.errback(stores.StoreError(code=code, detail="down"))


def _make_change(offset, value=b"v", key="k"):
    return stores.Change(key=key, value=value, offset=offset)


class FollowerTest(unittest.TestCase):
    """A topic followed through outages."""

    def setUp(self):
        self.clock = task.Clock()
        self.store = _Store()
        self.changes = []
        self.notes = []
        self.is_watcher = True
        self.follower = stores.Follower(
            reactor=self.clock,
            store=self.store,
            topic="t",
            notice_s=_NOTICE_S,
            on_change=self.changes.append,
            on_loaded=lambda: self.notes.append("loaded"),
            on_outage=lambda: self.notes.append("outage"),
            on_contact=lambda: self.notes.append("contact"),
            generator=random.Random(1),
            is_watcher=lambda: self.is_watcher,
        )
        self.follower.start()
        self.addCleanup(self.follower.close)

    def load(self, *changes, next_offset=1):
        self.store.loads[-1].callback(
            stores.Snapshot(entries=changes, next_offset=next_offset)
        )
        self.clock.advance(1.0)

    def test_changes_after_the_snapshot_are_handed_on(self):
        self.load(_make_change(0))
        deferred, offset, _ = self.store.follows[-1]
        self.assertEqual(offset, 1)
        page = stores.ChangePage(
            changes=(_make_change(1, b"w"),), next_offset=2
        )
        deferred.callback(page)
        self.assertEqual([item.value for item in self.changes], [b"v", b"w"])

    def test_calls_are_short_until_an_outage_has_ended(self):
        self.load()
        deferred, _, wait_s = self.store.follows[-1]
        self.assertGreater(wait_s, 0)
        _fail(deferred)
        self.clock.advance(1.0)
        deferred, _, wait_s = self.store.follows[-1]
        self.assertEqual(wait_s, 0)
        deferred.callback(stores.ChangePage(changes=(), next_offset=1))
        self.clock.advance(1.0)
        self.assertGreater(self.store.follows[-1][2], 0)

    def test_lost_history_is_read_anew_without_an_outage(self):
        self.load(_make_change(0))
        _fail(self.store.follows[-1][0], errors.Code.HISTORY_GONE)
        self.load(_make_change(7, b"new"), next_offset=8)
        self.assertEqual(self.changes[-1].value, b"new")
        self.assertNotIn("outage", self.notes)

    def test_no_call_waits_until_a_change_should_have_been_acted_on(self):
        # A call may hear of a record only when it ends, also in calm times.
        self.load(_make_change(0))
        for _ in range(20):
            deferred, offset, wait_s = self.store.follows[-1]
            self.assertLess(wait_s, 0.75 * _NOTICE_S)
            self.assertGreater(wait_s, 0.25 * _NOTICE_S)
            page = stores.ChangePage(changes=(), next_offset=offset)
            deferred.callback(page)
            self.clock.advance(1.0)

    def test_calls_after_trouble_wait_no_longer_than_usual(self):
        self.load(_make_change(0))
        usual_s = self.store.follows[-1][2]
        _fail(self.store.follows[-1][0], errors.Code.HISTORY_GONE)
        self.load(_make_change(7), next_offset=8)
        self.assertLessEqual(self.store.follows[-1][2], usual_s)

    def test_snapshot_out_of_date_changes_nothing(self):
        self.load(_make_change(5, b"new"), next_offset=6)
        _fail(self.store.follows[-1][0], errors.Code.HISTORY_GONE)
        self.load(_make_change(3, b"old"), next_offset=4)
        self.assertEqual(self.changes[-1].value, b"new")

    def test_key_missing_from_a_later_snapshot_is_removed(self):
        self.load(_make_change(0), next_offset=1)
        _fail(self.store.follows[-1][0], errors.Code.HISTORY_GONE)
        self.load(next_offset=9)
        self.assertIsNone(self.changes[-1].value)

    # Gateways that don't watch the store themselves.

    def answer(self, *changes, next_offset=1):
        page = stores.ChangePage(changes=changes, next_offset=next_offset)
        self.store.follows[-1][0].callback(page)

    def tell(self, next_offset, known_at=None):
        known_at = self.clock.seconds() if known_at is None else known_at
        self.follower.note_end(
            stores.TopicEnd(next_offset=next_offset, known_at=known_at)
        )

    def start_told(self):
        """Reads the topic, of which others tell from then on."""
        self.is_watcher = False
        self.load(_make_change(0))
        self.assertEqual(self.store.follows, [])

    def advance(self, seconds):
        for _ in range(round(seconds / 0.05)):
            self.clock.advance(0.05)

    def test_gateway_that_is_told_makes_no_calls(self):
        self.start_told()
        for _ in range(10):
            self.tell(1)
            self.advance(1.0)
        self.assertEqual(self.store.follows, [])

    def test_it_looks_at_once_when_there_is_more(self):
        self.start_told()
        self.tell(2)
        (_, offset, wait_s), *_ = self.store.follows
        self.assertEqual((offset, wait_s), (1, 0.0))
        # Another gateway tells the same meanwhile.
        self.tell(2)
        self.answer(_make_change(1, b"w"), next_offset=2)
        self.assertEqual(self.changes[-1].value, b"w")
        self.advance(0.5)
        self.assertEqual(len(self.store.follows), 1)

    def test_records_in_quick_succession_are_read_together(self):
        self.start_told()
        self.tell(2)
        self.answer(_make_change(1, b"w"), next_offset=2)
        for offset in (3, 4, 5):
            self.tell(offset)
            self.advance(0.1)
        self.assertEqual(len(self.store.follows), 1)
        self.advance(0.4)
        self.assertEqual(len(self.store.follows), 2)

    def test_it_looks_itself_before_a_change_should_be_acted_on(self):
        self.start_told()
        began_at = self.clock.seconds()
        while not self.store.follows:
            self.advance(0.05)
        self.assertLess(self.clock.seconds() - began_at, 0.75 * _NOTICE_S)
        self.assertEqual(self.store.follows[-1][2], 0.0)

    def test_old_word_is_not_taken_for_news(self):
        self.start_told()
        for _ in range(30):
            self.tell(1, known_at=0.0)
            self.advance(0.05)
        self.assertEqual(len(self.store.follows), 1)

    def test_it_looks_itself_after_it_has_stood_still(self):
        self.start_told()
        self.tell(1)
        self.follower.doubt()
        self.tell(1)
        self.assertEqual(len(self.store.follows), 1)

    def test_word_of_more_than_there_is_is_looked_into_once(self):
        self.start_told()
        self.tell(9)
        self.answer()
        self.advance(0.5)
        self.assertEqual(len(self.store.follows), 1)
