import unittest

from twisted.internet import task

from sassafrasstile import stores
from sassafrasstile.router import _restore_watch


class RestoreWatchTest(unittest.TestCase):
    """The store is restored; a peer may know of a withdrawal that it lost."""

    def setUp(self):
        self.clock = task.Clock()
        self.epochs = stores.EpochMonitor(reactor=self.clock)
        self.peers = ["a", "b"]
        self.lost = 0
        self.watch = _restore_watch.RestoreWatch(
            reactor=self.clock,
            epochs=self.epochs,
            list_peers=lambda: self.peers,
            count_lost=lambda: self.lost,
        )
        self.epochs.observe(1)

    def hear(self, *names):
        self.clock.advance(0.6)
        for name in names:
            self.watch.record_peer(name)

    def test_store_that_was_never_restored_is_relied_on(self):
        self.assertTrue(self.watch.may_rely_on_store())

    def test_each_known_peer_has_to_tell_its_version(self):
        self.hear("a", "b")
        self.epochs.observe(2)
        self.assertFalse(self.watch.may_rely_on_store())
        self.hear("a")
        self.assertFalse(self.watch.may_rely_on_store())
        self.hear("b")
        self.assertTrue(self.watch.may_rely_on_store())
        self.epochs.observe(3)
        self.assertFalse(self.watch.may_rely_on_store())

    def test_report_that_was_under_way_proves_nothing(self):
        self.epochs.observe(2)
        self.watch.record_peer("a")
        self.watch.record_peer("b")
        self.assertFalse(self.watch.may_rely_on_store())

    def test_wait_for_silent_peers_is_bounded(self):
        for peers, lost in ((["a", "b"], 0), ([], 1), (None, 0)):
            with self.subTest(peers=peers, lost=lost):
                self.peers, self.lost = peers, lost
                self.epochs.observe(self.epochs.current + 1)
                self.clock.advance(5.9)
                self.assertFalse(self.watch.may_rely_on_store())
                self.clock.advance(0.2)
                self.assertTrue(self.watch.may_rely_on_store())

    def test_only_gateway_does_not_wait(self):
        self.peers = []
        self.epochs.observe(2)
        self.assertTrue(self.watch.may_rely_on_store())
