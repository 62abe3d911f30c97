import unittest

from twisted.internet import task

from sassafrasstile import peers
from sassafrasstile import stores
from sassafrasstile.router import _topics


class _Follower:
    """Fake of a topic follower."""

    def __init__(self):
        self.end = None
        self.ends = []
        self.pages = []
        self.doubts = 0

    def apply_relayed_page(self, offset, page):
        self.pages.append((offset, page))

    def record_reported_end(self, end):
        self.ends.append(end)

    def mark_stale(self):
        self.doubts += 1


class _Channel:
    """Fake of the channel to the other gateways."""

    def __init__(self):
        self.live = []
        self.sent = 0
        self.pages = []

    def send_page(self, page):
        self.pages.append(page)

    def list_live(self):
        return self.live

    def announce_topics(self):
        self.sent += 1


class TopicSharingTest(unittest.TestCase):
    """A few gateways watch the store for all of them."""

    def setUp(self):
        self.clock = task.Clock()
        self.clock.advance(100.0)
        self.follower = _Follower()
        self.channel = _Channel()
        self.sharing = _topics.TopicSharing(reactor=self.clock, name="m")
        self.sharing.connect(
            channel=self.channel, followers={"t": self.follower}
        )

    def set_end(self, offset, known_at):
        self.follower.end = stores.TopicEnd(
            next_offset=offset, known_at=known_at
        )

    def test_the_first_two_by_name_watch(self):
        self.assertTrue(self.sharing.is_watcher())
        self.channel.live = ["a", "z"]
        self.assertTrue(self.sharing.is_watcher())
        self.channel.live = ["a", "b", "z"]
        self.assertFalse(self.sharing.is_watcher())
        # One of the watchers fails.
        self.channel.live = ["b", "z"]
        self.assertTrue(self.sharing.is_watcher())

    def test_ends_from_own_calls_are_read_with_their_age(self):
        self.assertEqual(self.sharing.read_ages(), {})
        self.set_end(7, 99.5)
        self.assertEqual(
            self.sharing.read_ages(),
            {"t": peers.TopicEndReport(next_offset=7, age_s=0.5)},
        )

    def test_changed_ends_are_announced_once(self):
        self.set_end(7, 99.5)
        self.sharing.announce()
        self.sharing.announce()
        self.assertEqual(self.channel.sent, 1)
        self.set_end(7, 100.0)
        self.sharing.announce()
        self.assertEqual(self.channel.sent, 2)

    def test_reported_ends_are_backdated_by_the_transit_time(self):
        self.sharing.update(
            {
                "t": peers.TopicEndReport(next_offset=9, age_s=0.5),
                "other": peers.TopicEndReport(next_offset=1, age_s=0.0),
            }
        )
        (end,) = self.follower.ends
        self.assertEqual(end.next_offset, 9)
        # The report itself may have been in transit for a while.
        self.assertLess(end.known_at, 99.5)

    def test_only_watchers_announce_ends_at_once(self):
        self.channel.live = ["a", "b"]
        self.set_end(7, 99.5)
        self.sharing.announce()
        self.assertEqual(self.channel.sent, 0)

    def test_read_records_reach_the_other_gateways(self):
        page = stores.ChangePage(
            changes=(
                stores.Change(key="k", value=b"\xe9", offset=4),
                stores.Change(key="l", value=None, offset=6),
            ),
            next_offset=7,
        )
        self.sharing.relay("t", 3, page)
        for sent in self.channel.pages:
            self.sharing.apply_page(sent)
        (first_offset, first), (second_offset, second) = self.follower.pages
        self.assertEqual((first_offset, first.next_offset), (3, 5))
        self.assertEqual((second_offset, second.next_offset), (5, 7))
        self.assertEqual((*first.changes, *second.changes), page.changes)

    # Without the epoch, positions of before a restore would be compared.
    def test_epoch_goes_with_ends_and_records(self):
        self.follower.end = stores.TopicEnd(
            next_offset=7, known_at=99.5, epoch=3
        )
        ends = self.sharing.read_ages()
        self.assertEqual(ends["t"].epoch, 3)
        self.sharing.update(ends)
        self.assertEqual(self.follower.ends[0].epoch, 3)
        change = stores.Change(key="k", value=b"v", offset=4)
        self.sharing.relay(
            "t",
            4,
            stores.ChangePage(changes=(change,), next_offset=5, epoch=3),
        )
        self.sharing.apply_page(self.channel.pages[0])
        self.assertEqual(self.follower.pages[0][1].epoch, 3)
