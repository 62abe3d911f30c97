import unittest

from twisted.internet import task

from sassafrasstile import peers


class _Wire:
    """Carries datagrams between channels, or loses them."""

    def __init__(self):
        self.channels = {}
        self.sent = []
        self.loses = False

    def write(self, data, address):
        self.sent.append(data)
        if not self.loses and address in self.channels:
            self.channels[address].datagramReceived(data, address)


class _Clock(task.Clock):
    def listenUDP(self, _port, _protocol, interface=""):  # noqa: N802
        return self

    def stopListening(self):  # noqa: N802
        pass


class ChannelTest(unittest.TestCase):
    """Load reports between two gateways."""

    def setUp(self):
        self.clock = _Clock()
        self.wire = _Wire()
        self.loads = {"a": {}, "b": {}}
        self.heard = {"a": {}, "b": {}}
        self.topics = {"a": {}, "b": {}}
        self.heard_topics = {"a": {}, "b": {}}
        self.channels = {
            name: self.make_channel(name, port)
            for name, port in (("a", 1), ("b", 2))
        }
        self.channels["a"].add_peer(
            peers.PeerAddress(name="b", host="h", port=2)
        )

    def make_channel(self, name, port):
        channel = peers.PeerChannel(
            reactor=self.clock,
            address=peers.PeerAddress(name=name, host="h", port=port),
            incarnation="1",
            read_loads=lambda: self.loads[name],
            on_report=self.heard[name].__setitem__,
            read_topics=lambda: self.topics[name],
            on_topics=self.heard_topics[name].update,
        )
        channel.transport = self.wire
        self.wire.channels[("h", port)] = channel
        channel.start()
        return channel

    def advance(self, seconds):
        for _ in range(round(seconds / 0.02)):
            self.clock.advance(0.02)

    def take(self, tokens):
        self.loads["a"] = {"e": peers.EndpointLoad(reserved_tokens=tokens)}

    def test_room_taken_is_told_at_once(self):
        self.advance(0.1)
        self.take(100)
        self.advance(0.04)
        self.assertEqual(self.heard["b"]["a"]["e"].reserved_tokens, 100)

    def test_peer_answers_one_that_it_didn_t_know(self):
        self.advance(1.0)
        self.assertEqual(self.channels["b"].list_live(), ["a"])
        self.assertEqual(self.channels["a"].list_live(), ["b"])

    def test_lost_report_is_made_good_by_the_next_whole_one(self):
        self.advance(0.1)
        self.wire.loses = True
        self.take(100)
        self.advance(0.1)
        self.wire.loses = False
        self.advance(0.6)
        self.assertEqual(self.heard["b"]["a"]["e"].reserved_tokens, 100)

    def test_silent_gateway_has_nothing_in_flight(self):
        self.take(100)
        self.advance(0.2)
        self.wire.loses = True
        self.advance(2.0)
        self.assertEqual(self.heard["b"]["a"], {})
        self.assertEqual(self.channels["b"].list_live(), [])

    def test_end_of_a_topic_is_told_at_once(self):
        self.advance(0.1)
        self.topics["a"] = {"t": peers.TopicAge(next_offset=7, age_s=0.25)}
        self.channels["a"].tell_topics()
        self.assertEqual(self.heard_topics["b"], self.topics["a"])

    def test_datagrams_stay_within_their_allowance(self):
        for number in range(200):
            self.take(number)
            self.advance(0.02)
        # Four seconds, and what was saved up for a burst.
        self.assertLessEqual(len(self.wire.sent), 400 * 5)

    def test_datagram_of_another_kind_is_dropped(self):
        with self.assertLogs("sassafrasstile.peers", "WARNING"):
            self.channels["b"].datagramReceived(b"\xff[1", ("h", 9))
        self.assertEqual(self.heard["b"], {})
