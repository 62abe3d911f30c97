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


class _FollowerTestCase(unittest.TestCase):
    """A follower of a store whose calls the test answers."""

    def setUp(self):
        self.clock = task.Clock()
        self.store = _Store()
        self.changes = []
        self.calls = []
        self.pages = []
        self.is_watcher = True
        self.follower = self.make_follower(on_change=self.changes.append)
        self.follower.start()
        self.addCleanup(self.follower.close)

    def make_follower(self, on_change):
        """Returns a follower that isn't started."""
        return stores.Follower(
            reactor=self.clock,
            store=self.store,
            topic="t",
            max_lag_s=_MAX_LAG_S,
            on_change=on_change,
            on_loaded=lambda: self.calls.append("loaded"),
            on_outage=lambda: self.calls.append("outage"),
            on_contact=lambda: self.calls.append("contact"),
            generator=random.Random(1),
            is_watcher=lambda: self.is_watcher,
            on_page=lambda offset, page: self.pages.append((offset, page)),
            **self.make_options(),
        )

    def make_options(self):
        """Returns further arguments of the follower."""
        return {}

    def load(self, *changes, next_offset=1):
        self.store.loads[-1].callback(
            stores.Snapshot(entries=changes, next_offset=next_offset)
        )
        self.clock.advance(1.0)


class ConfirmationTest(_FollowerTestCase):
    """Calls that show that nothing newer is in the topic."""

    def setUp(self):
        self.begun = []
        self.max_wait_s = 0.4
        super().setUp()

    def make_options(self):
        return {
            "read_time_s": lambda: 1000.0 + self.clock.seconds(),
            "on_confirmed": self.begun.append,
            "read_max_wait_s": lambda: self.max_wait_s,
        }

    def answer(self, *changes, **fields):
        self.store.follows[-1][0].callback(
            stores.ChangePage(changes=changes, **fields)
        )

    def test_calls_confirm_the_time_at_which_they_began(self):
        self.clock.advance(0.3)
        self.load(_make_change(0))
        self.assertEqual(self.begun, [1000.0])
        self.assertEqual(self.store.follows[-1][2], 0.4)
        self.clock.advance(0.5)
        self.answer(next_offset=1)
        # The load was answered at 0.3, and the next call began when due.
        self.assertEqual(len(self.begun), 2)
        self.assertLessEqual(self.begun[1], 1000.0 + self.clock.seconds() - 0.5)

    def test_page_that_is_not_the_last_one_confirms_nothing(self):
        self.load(_make_change(0))
        self.answer(_make_change(1), next_offset=2, end_offset=3)
        self.assertEqual(len(self.begun), 1)
        self.clock.advance(1.0)
        self.answer(_make_change(2), next_offset=3, end_offset=3)
        self.assertEqual(len(self.begun), 2)
        self.assertEqual(self.changes[-1].offset, 2)

    def test_answer_without_the_epoch_of_earlier_ones_confirms_nothing(self):
        self.load(_make_change(0))
        self.answer(next_offset=1, epoch=2)
        self.clock.advance(1.0)
        self.answer(next_offset=1)
        self.assertEqual(len(self.begun), 2)

    def test_calls_that_fail_or_are_dropped_confirm_nothing(self):
        self.load(_make_change(0))
        _fail(self.store.follows[-1][0])
        self.clock.advance(1.0)
        self.follower.start_epoch(2)
        self.assertEqual(len(self.begun), 1)


class FollowerTest(_FollowerTestCase):
    """Following a topic, also across outages."""

    def test_changes_after_the_snapshot_are_passed_on(self):
        self.load(_make_change(0))
        deferred, offset, _ = self.store.follows[-1]
        self.assertEqual(offset, 1)
        page = stores.ChangePage(
            changes=(_make_change(1, b"w"),), next_offset=2
        )
        deferred.callback(page)
        self.assertEqual([item.value for item in self.changes], [b"v", b"w"])

    def test_calls_do_not_wait_until_an_outage_has_ended(self):
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

    # Guards against a list that isn't followed any more since one record of it
    # can't be applied (issue 56).
    def test_record_that_cannot_be_applied_keeps_no_other_back(self):
        self.follower.close()
        follower = self.make_follower(on_change=self.apply_unless_odd)
        follower.start()
        self.addCleanup(follower.close)
        with self.assertLogs("sassafrasstile.stores", "ERROR") as logs:
            self.load(_make_change(0, b"odd"), _make_change(0, key="other"))
            page = stores.ChangePage(
                changes=(_make_change(1, b"odd"), _make_change(2)),
                next_offset=3,
            )
            self.store.follows[-1][0].callback(page)
        self.assertEqual(len(logs.records), 2)
        applied = [(item.key, item.value) for item in self.changes]
        self.assertEqual(applied, [("other", b"v"), ("k", b"v")])

    def apply_unless_odd(self, change):
        if change.value == b"odd":
            raise OverflowError
        self.changes.append(change)

    # Guards against a list that isn't followed any more after one answer.
    def test_unexpected_error_of_a_call_is_a_failure(self):
        with self.assertLogs("sassafrasstile.stores", "ERROR"):
            self.store.loads[-1].errback(RecursionError())
        self.clock.advance(1.0)
        self.load(_make_change(0))
        self.assertEqual(len(self.changes), 1)

    def test_lost_history_causes_a_reload_but_no_outage(self):
        self.load(_make_change(0))
        _fail(self.store.follows[-1][0], errors.Code.HISTORY_GONE)
        self.load(_make_change(7, b"new"), next_offset=8)
        self.assertEqual(self.changes[-1].value, b"new")
        self.assertNotIn("outage", self.calls)

    def test_long_polls_are_shorter_than_the_maximum_lag(self):
        # The store may return a new record only when the long poll ends, so a
        # long poll of the maximum lag or more would exceed it.
        self.load(_make_change(0))
        for _ in range(20):
            deferred, offset, wait_s = self.store.follows[-1]
            self.assertLess(wait_s, 0.75 * _MAX_LAG_S)
            self.assertGreater(wait_s, 0.25 * _MAX_LAG_S)
            page = stores.ChangePage(changes=(), next_offset=offset)
            deferred.callback(page)
            self.clock.advance(1.0)

    def test_long_polls_after_a_reload_are_not_longer_than_before(self):
        self.load(_make_change(0))
        former_s = self.store.follows[-1][2]
        _fail(self.store.follows[-1][0], errors.Code.HISTORY_GONE)
        self.load(_make_change(7), next_offset=8)
        self.assertLessEqual(self.store.follows[-1][2], former_s)

    def test_out_of_date_snapshot_changes_nothing(self):
        self.load(_make_change(5, b"new"), next_offset=6)
        _fail(self.store.follows[-1][0], errors.Code.HISTORY_GONE)
        self.load(_make_change(3, b"old"), next_offset=4)
        self.assertEqual(self.changes[-1].value, b"new")

    def test_key_missing_from_a_later_snapshot_is_removed(self):
        self.load(_make_change(0), next_offset=1)
        _fail(self.store.follows[-1][0], errors.Code.HISTORY_GONE)
        self.load(next_offset=9)
        self.assertIsNone(self.changes[-1].value)

    # Gateways that rely on reports from watchers.

    def answer(self, *changes, next_offset=1):
        page = stores.ChangePage(changes=changes, next_offset=next_offset)
        self.store.follows[-1][0].callback(page)

    def report(self, next_offset, known_at=None):
        known_at = self.clock.seconds() if known_at is None else known_at
        self.follower.record_reported_end(
            stores.TopicEnd(next_offset=next_offset, known_at=known_at)
        )

    def start_with_reports(self):
        """Loads the topic on a gateway that isn't a watcher."""
        self.is_watcher = False
        self.load(_make_change(0))
        self.assertEqual(self.store.follows, [])

    def advance(self, seconds):
        for _ in range(round(seconds / 0.05)):
            self.clock.advance(0.05)

    def test_no_calls_while_reports_confirm_the_end(self):
        self.start_with_reports()
        for _ in range(10):
            self.report(1)
            self.advance(1.0)
        self.assertEqual(self.store.follows, [])

    def test_report_of_a_later_end_causes_an_immediate_call(self):
        self.start_with_reports()
        self.report(2)
        (_, offset, wait_s), *_ = self.store.follows
        self.assertEqual((offset, wait_s), (1, 0.0))
        # Another gateway reports the same end meanwhile.
        self.report(2)
        self.answer(_make_change(1, b"w"), next_offset=2)
        self.assertEqual(self.changes[-1].value, b"w")
        self.advance(0.5)
        self.assertEqual(len(self.store.follows), 1)

    def test_records_in_quick_succession_are_read_by_one_call(self):
        self.start_with_reports()
        self.report(2)
        self.answer(_make_change(1, b"w"), next_offset=2)
        for offset in (3, 4, 5):
            self.report(offset)
            self.advance(0.1)
        self.assertEqual(len(self.store.follows), 1)
        self.advance(0.4)
        self.assertEqual(len(self.store.follows), 2)

    def test_call_without_reports_is_made_before_the_maximum_lag(self):
        self.start_with_reports()
        started_at = self.clock.seconds()
        while not self.store.follows:
            self.advance(0.05)
        self.assertLess(self.clock.seconds() - started_at, 0.75 * _MAX_LAG_S)
        self.assertEqual(self.store.follows[-1][2], 0.0)

    def test_old_reports_do_not_replace_a_call(self):
        self.start_with_reports()
        for _ in range(30):
            self.report(1, known_at=0.0)
            self.advance(0.05)
        self.assertEqual(len(self.store.follows), 1)

    def test_call_after_marking_as_stale_despite_a_report(self):
        self.start_with_reports()
        self.report(1)
        self.follower.mark_stale()
        self.report(1)
        self.assertEqual(len(self.store.follows), 1)

    def test_report_beyond_the_end_causes_only_one_call(self):
        self.start_with_reports()
        self.report(9)
        self.answer()
        self.advance(0.5)
        self.assertEqual(len(self.store.follows), 1)


class RelayTest(_FollowerTestCase):
    """Records that another gateway has read and passed on."""

    def make_page(self, *changes):
        return stores.ChangePage(
            changes=changes, next_offset=changes[-1].offset + 1
        )

    def test_relayed_page_replaces_a_call(self):
        self.is_watcher = False
        self.load()
        change = _make_change(1, b"w")
        self.follower.apply_relayed_page(1, self.make_page(change))
        self.assertEqual(self.changes, [change])
        calls = len(self.store.follows)
        end = stores.TopicEnd(next_offset=2, known_at=self.clock.seconds())
        self.follower.record_reported_end(end)
        self.clock.advance(0.01)
        self.assertEqual(len(self.store.follows), calls)

    def test_page_after_a_lost_one_leads_to_a_call(self):
        self.is_watcher = False
        self.load()
        calls = len(self.store.follows)
        self.follower.apply_relayed_page(3, self.make_page(_make_change(3)))
        self.clock.advance(0.01)
        self.assertEqual(self.changes, [])
        self.assertEqual(len(self.store.follows), calls + 1)

    def test_only_new_pages_are_passed_on(self):
        self.load()
        first = self.make_page(_make_change(1, b"w"))
        self.follower.apply_relayed_page(1, first)
        self.store.follows[-1][0].callback(first)
        self.assertEqual(self.pages, [])
        self.clock.advance(1.0)
        second = self.make_page(_make_change(2, b"x"))
        self.store.follows[-1][0].callback(second)
        self.assertEqual(self.pages, [(2, second)])
        self.assertEqual(len(self.changes), 2)

    def test_gateway_cut_off_from_the_store_learns_of_changes(self):
        self.load()
        _fail(self.store.follows[-1][0])
        self.assertEqual(self.calls[-1], "outage")
        change = _make_change(1, b"w")
        self.follower.apply_relayed_page(1, self.make_page(change))
        self.assertEqual(self.changes, [change])
        self.assertEqual(self.calls[-1], "contact")
        # Only this gateway is cut off, so that isn't an outage of the list.
        self.clock.advance(0.6)
        _fail(self.store.follows[-1][0])
        self.assertEqual(self.calls[-1], "contact")
