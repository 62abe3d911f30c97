import types
import unittest

from twisted.internet import defer
from twisted.internet import task

from sassafrasstile import errors
from sassafrasstile import stores
from sassafrasstile.router import _confirmation

_CHANGE = stores.Change(key="e", value=b"", offset=7)


class ConfirmationTest(unittest.TestCase):
    """Whether the store still lists what this gateway has read."""

    def setUp(self):
        self.clock = task.Clock()
        self.calls = []
        self.stale = []
        end = stores.TopicEnd(next_offset=7, known_at=0.0, epoch=3)
        self.follower = types.SimpleNamespace(
            end=end, mark_stale=lambda: self.stale.append(True)
        )
        self.confirmation = _confirmation.TopicConfirmation(
            reactor=self.clock, store=self, topic="t", follower=self.follower
        )

    def follow(self, topic, *, offset, wait_s):
        self.assertEqual((topic, offset, wait_s), ("t", 7, 0.0))
        self.calls.append(defer.Deferred())
        return self.calls[-1]

    def confirm(self):
        results = []
        confirming = defer.ensureDeferred(
            self.confirmation.confirm(self.clock.seconds())
        )
        confirming.addCallback(results.append)
        self.clock.advance(0)
        return results

    def answer(self, *changes, epoch=3):
        page = stores.ChangePage(
            changes=changes, next_offset=7 + len(changes), epoch=epoch
        )
        self.calls[-1].callback(page)

    def test_topic_that_ends_where_it_was_read_is_confirmed(self):
        results = self.confirm()
        self.answer()
        self.assertEqual(results, [True])

    def test_new_records_are_read_first(self):
        results = self.confirm()
        self.answer(_CHANGE)
        self.assertEqual(results, [False])
        self.assertEqual(self.stale, [True])

    # Guards against a restored store that ends at the same offset as before,
    # with other records before it.
    def test_answer_of_another_epoch_confirms_nothing(self):
        results = self.confirm()
        self.answer(epoch=4)
        self.assertEqual(results, [False])
        self.assertEqual(self.stale, [True])

    def test_answer_without_an_epoch_says_nothing_of_a_restore(self):
        results = self.confirm()
        self.answer(epoch=None)
        self.assertEqual(results, [True])

    # Guards against a call that began before a request confirming it.
    def test_later_request_waits_for_a_call_of_its_own(self):
        first = self.confirm()
        self.clock.advance(0.01)
        second, third = self.confirm(), self.confirm()
        self.assertEqual(len(self.calls), 1)
        self.answer()
        self.clock.advance(0)
        self.assertEqual((first, second, third), ([True], [], []))
        self.assertEqual(len(self.calls), 2)
        self.answer()
        self.assertEqual((second, third), ([True], [True]))

    def test_store_without_an_answer_confirms_nothing(self):
        silent = self.confirm()
        self.clock.advance(0.5)
        self.assertEqual(silent, [False])
        failing = self.confirm()
        self.calls[-1].errback(
            stores.StoreError(code=errors.Code.STORE_UNAVAILABLE, detail="x")
        )
        self.assertEqual(failing, [False])
        self.follower.end = None
        self.assertEqual(self.confirm(), [False])
