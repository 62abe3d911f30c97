import unittest

from sassafrasstile import peers
from sassafrasstile.peers.tests import test_channel


class SpeedReportTest(unittest.TestCase):
    """Observations of endpoints' speeds beside the loads that change often."""

    def setUp(self):
        self.clock = test_channel._Clock()
        self.network = test_channel._Network()
        self.observed = []
        self.received = []
        self.reserved_tokens = 0
        self.own = self.make_channel("a", 1)
        self.make_channel("b", 2)
        self.own.add_peer(peers.PeerAddress(name="b", host="10.0.0.1", port=2))

    def make_channel(self, name, port):
        is_own = name == "a"
        channel = peers.PeerChannel(
            reactor=self.clock,
            address=peers.PeerAddress(name=name, host="10.0.0.1", port=port),
            incarnation="1",
            read_loads=lambda: self.read_loads() if is_own else {},
            on_report=lambda _peer, _loads, _is_complete: None,
            read_speeds=lambda number: (
                (len(self.observed), tuple(self.observed[number:]))
                if is_own
                else (number, ())
            ),
            on_speeds=self.received.extend,
        )
        channel.transport = self.network
        self.network.channels[("10.0.0.1", port)] = channel
        channel.start()
        return channel

    def read_loads(self):
        self.reserved_tokens += 1
        load = peers.EndpointLoad(reserved_tokens=self.reserved_tokens)
        return {"e": load}

    def observe(self, seconds):
        report = peers.SpeedReport(
            endpoint_id="e",
            started_ms=1,
            kind="prefill",
            work=5000.0,
            seconds=seconds,
            age_s=0.25,
        )
        self.observed.append(report)
        return report

    def advance(self, seconds):
        for _ in range(round(seconds / 0.02)):
            self.clock.advance(0.02)

    def test_each_observation_arrives_once(self):
        first = self.observe(0.1)
        self.advance(2.0)
        second = self.observe(0.2)
        self.advance(2.0)
        self.assertEqual(self.received, [first, second])

    # Guards against a network full of speeds where loads change often.
    def test_speeds_come_with_complete_reports_only(self):
        self.advance(0.1)
        before = len(self.network.sent)
        self.observe(0.1)
        self.advance(0.2)
        self.assertGreater(len(self.network.sent), before + 5)
        self.assertEqual(self.received, [])

    def test_malformed_speeds_are_ignored(self):
        self.observe(0.1)
        self.advance(2.0)
        data = next(item for item in self.network.sent if b"prefill" in item)
        channel = self.network.channels[("10.0.0.1", 2)]
        received = list(self.received)
        for bad in (b"[]", b'"x"', b"null"):
            changed = data.replace(b"5000.0", bad)
            with self.assertLogs("sassafrasstile.peers") as logs:
                channel.datagramReceived(changed, None)
            self.assertIn("datagram ignored", logs.output[0])
        changed = data.replace(b"100000", b"Infinity")
        with self.assertLogs("sassafrasstile.peers") as logs:
            channel.datagramReceived(changed, None)
        self.assertEqual(self.received, received)
