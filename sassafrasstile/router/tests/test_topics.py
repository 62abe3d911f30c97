import unittest

from twisted.internet import task

from sassafrasstile import peers
from sassafrasstile import stores
from sassafrasstile.router import _topics


class _Follower:
    """Stands for a follower of a topic."""

    def __init__(self):
        self.end = None
        self.told = []
        self.doubts = 0

    def record_reported_end(self, end):
        self.told.append(end)

    def mark_stale(self):
        self.doubts += 1


class _Channel:
    """Stands for the channel to other gateways."""

    def __init__(self):
        self.live = []
        self.sent = 0

    def list_live(self):
        return self.live

    def announce_topics(self):
        self.sent += 1


class TopicSharingTest(unittest.TestCase):
    """A few gateways watch the store for all."""

    def setUp(self):
        self.clock = task.Clock()
        self.clock.advance(100.0)
        self.follower = _Follower()
        self.channel = _Channel()
        self.sharing = _topics.TopicSharing(reactor=self.clock, name="m")
        self.sharing.connect(
            channel=self.channel, followers={"t": self.follower}
        )

    def know(self, offset, known_at):
        self.follower.end = stores.TopicEnd(
            next_offset=offset, known_at=known_at
        )

    def test_the_first_two_by_name_watch(self):
        self.assertTrue(self.sharing.is_watcher())
        self.channel.live = ["a", "z"]
        self.assertTrue(self.sharing.is_watcher())
        self.channel.live = ["a", "b", "z"]
        self.assertFalse(self.sharing.is_watcher())
        # One of them is lost.
        self.channel.live = ["b", "z"]
        self.assertTrue(self.sharing.is_watcher())

    def test_only_own_calls_are_told_with_their_age(self):
        self.assertEqual(self.sharing.read(), {})
        self.know(7, 99.5)
        self.assertEqual(
            self.sharing.read(),
            {"t": peers.TopicEndReport(next_offset=7, age_s=0.5)},
        )

    def test_news_is_told_once(self):
        self.know(7, 99.5)
        self.sharing.tell()
        self.sharing.tell()
        self.assertEqual(self.channel.sent, 1)
        self.know(7, 100.0)
        self.sharing.tell()
        self.assertEqual(self.channel.sent, 2)

    def test_what_others_know_is_dated_back(self):
        self.sharing.note(
            {
                "t": peers.TopicEndReport(next_offset=9, age_s=0.5),
                "other": peers.TopicEndReport(next_offset=1, age_s=0.0),
            }
        )
        (end,) = self.follower.told
        self.assertEqual(end.next_offset, 9)
        # The report itself was on its way for a while.
        self.assertLess(end.known_at, 99.5)
