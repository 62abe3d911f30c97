import unittest

from sassafrasstile.dispatch import _peer_news


class PeerNewsTest(unittest.TestCase):
    """What two gateways have told."""

    def setUp(self):
        self.news = _peer_news.PeerNews(max_age_s=1.0)
        self.news.set("g2", "busy", now=10.0)
        self.news.set("g3", "idle", now=10.6)

    def list_recent(self, now):
        return [item.content for item in self.news.list_recent(now)]

    def test_news_counts_for_a_time(self):
        self.assertEqual(self.list_recent(10.7), ["busy", "idle"])
        self.assertEqual(self.list_recent(11.2), ["idle"])
        self.assertIsNone(self.news.pop("g2", 11.2))
        self.assertEqual(self.news.pop("g3", 11.2), "idle")

    def test_last_news_counts(self):
        self.news.set("g2", "idle", now=10.8)
        self.assertEqual(self.list_recent(11.2), ["idle", "idle"])

    # Gateways are replaced over a long life.
    def test_many_former_gateways_leave_room(self):
        for number in range(1500):
            self.news.set(f"former-{number}", "idle", now=20.0)
        self.news.set("new", "busy", now=30.0)
        self.assertEqual(self.list_recent(30.0), ["busy"])
