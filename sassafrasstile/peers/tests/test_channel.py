import json
import unittest

from twisted.internet import task

from sassafrasstile import peers


class _Network:
    """Delivers datagrams between channels, or drops them."""

    def __init__(self):
        self.channels = {}
        self.sent = []
        self.drops = False

    def write(self, data, address):
        self.sent.append(data)
        if not self.drops and address in self.channels:
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
        self.network = _Network()
        self.messages = []
        self.loads = {"a": {}, "b": {}}
        self.received = {"a": {}, "b": {}}
        self.refusals = {"a": (), "b": ()}
        self.received_refusals = {"a": [], "b": []}
        self.versions = {"a": None, "b": None}
        self.received_versions = {"a": [], "b": []}
        self.queues = {"a": peers.QueueReport(), "b": peers.QueueReport()}
        self.received_queues = {"a": {}, "b": {}}
        self.topics = {"a": {}, "b": {}}
        self.received_topics = {"a": {}, "b": {}}
        # What b is told of a.
        self.events = []
        self.channels = {
            name: self.make_channel(name, port)
            for name, port in (("a", 1), ("b", 2))
        }
        self.channels["a"].add_peer(
            peers.PeerAddress(name="b", host="10.0.0.1", port=2)
        )

    def make_channel(self, name, port):
        channel = peers.PeerChannel(
            reactor=self.clock,
            address=peers.PeerAddress(name=name, host="10.0.0.1", port=port),
            incarnation="1",
            read_loads=lambda: self.loads[name],
            on_report=lambda peer, loads, is_complete: self.receive(
                name, peer, loads, is_complete
            ),
            read_topics=lambda: self.topics[name],
            on_topics=self.received_topics[name].update,
            read_refusals=lambda: self.refusals[name],
            on_refusals=self.received_refusals[name].extend,
            on_message=lambda sender, payload: self.messages.append(
                (name, sender, payload)
            ),
            on_start=lambda peer: self.note(name, f"{peer} starts"),
            on_leaving=lambda peer: self.note(name, f"{peer} leaves"),
            on_silence=lambda peer: self.note(name, f"{peer} is silent"),
            read_configuration_version=lambda: self.versions[name],
            on_configuration_version=lambda _peer, version: (
                self.received_versions[name].append(version)
            ),
            read_queue=lambda _is_complete: self.queues[name],
            on_queue=self.received_queues[name].__setitem__,
        )
        channel.transport = self.network
        self.network.channels[("10.0.0.1", port)] = channel
        channel.start()
        return channel

    def note(self, name, event):
        self.events += [event] if name == "b" else []

    def receive(self, name, peer, loads, is_complete):
        known = {} if is_complete else self.received[name].get(peer, {})
        self.received[name][peer] = {**known, **loads}

    def advance(self, seconds):
        for _ in range(round(seconds / 0.02)):
            self.clock.advance(0.02)

    def reserve(self, tokens):
        self.loads["a"] = {"e": peers.EndpointLoad(reserved_tokens=tokens)}

    # Guards against an answer that is lost since the asker isn't known yet.
    def test_message_makes_its_sender_known(self):
        self.channels["a"].send("b", b"question")
        self.channels["b"].send("a", b"answer")
        self.assertEqual(
            self.messages, [("b", "a", b"question"), ("a", "b", b"answer")]
        )
        self.assertEqual(self.channels["b"].list_zones(), {"a": ""})
        self.channels["a"].send("unknown", b"question")
        self.assertEqual(len(self.messages), 2)

    def test_reservation_is_reported_immediately(self):
        self.advance(0.1)
        self.reserve(100)
        self.advance(0.04)
        self.assertEqual(self.received["b"]["a"]["e"].reserved_tokens, 100)

    def test_gateway_sends_reports_to_a_new_sender(self):
        self.advance(1.0)
        self.assertEqual(self.channels["b"].list_live(), ["a"])
        self.assertEqual(self.channels["a"].list_live(), ["b"])

    def test_complete_report_makes_up_for_a_lost_one(self):
        self.advance(0.1)
        self.network.drops = True
        self.reserve(100)
        self.advance(0.1)
        self.network.drops = False
        self.advance(0.6)
        self.assertEqual(self.received["b"]["a"]["e"].reserved_tokens, 100)

    def test_silent_gateway_has_no_load_and_is_not_live(self):
        self.reserve(100)
        self.advance(0.2)
        self.network.drops = True
        self.advance(2.0)
        self.assertEqual(self.received["b"]["a"], {})
        self.assertEqual(self.channels["b"].list_live(), [])

    # Guards against a gateway that missed messages while it was cut off and
    # isn't told again, and against a stop that shows only by silence.
    def test_silence_return_and_stop_of_a_gateway_are_told(self):
        self.advance(0.2)
        self.network.drops = True
        self.advance(2.0)
        self.network.drops = False
        self.advance(0.6)
        self.channels["a"].announce_leaving()
        self.assertEqual(
            self.events, ["a starts", "a is silent", "a starts", "a leaves"]
        )
        self.advance(2.0)
        self.assertEqual(set(self.events[4:]), {"a leaves"})

    # Guards against a gateway that is only cut off being taken for one that
    # was never there.
    def test_removed_gateways_are_counted_until_they_are_back(self):
        self.advance(0.2)
        self.network.drops = True
        self.advance(19.0)
        self.assertEqual(self.channels["b"].count_lost(), 0)
        self.advance(2.0)
        self.assertEqual(self.channels["b"].list_zones(), {})
        self.assertEqual(self.channels["b"].count_lost(), 1)
        # The regions may lose each other for an hour.
        self.clock.advance(3600.0)
        self.assertEqual(self.channels["b"].count_lost(), 1)
        self.network.drops = False
        self.channels["a"].send("b", b"question")
        self.channels["b"].add_peer(
            peers.PeerAddress(name="a", host="10.0.0.1", port=1)
        )
        self.assertEqual(self.channels["b"].count_lost(), 0)

    def test_lost_gateways_are_forgotten_in_the_end(self):
        self.advance(0.2)
        self.network.drops = True
        self.advance(21.0)
        self.clock.advance(7200.0)
        self.assertEqual(self.channels["b"].count_lost(), 0)

    def test_refusals_are_reported(self):
        refusal = peers.PromptRefusal(
            prompt_id="p1", age_s=1.5, remaining_s=12.0
        )
        self.refusals["a"] = (refusal,)
        self.advance(1.0)
        self.assertIn(refusal, self.received_refusals["b"])

    def wait_in_queue(self, *priorities):
        self.queues["a"] = peers.QueueReport(
            waiting=tuple(
                peers.WaitingGeneration(
                    service="s",
                    urgency=2,
                    priority=priority,
                    is_crowding=False,
                    remaining_s=0.5,
                )
                for priority in priorities
            )
        )

    # Guards against capacity being given to less urgent work elsewhere.
    def test_what_waits_is_reported_before_the_next_complete_report(self):
        self.advance(0.6)
        self.wait_in_queue(0, 2)
        self.advance(0.12)
        self.assertEqual(self.received_queues["b"]["a"], self.queues["a"])
        self.wait_in_queue(2)
        self.advance(0.12)
        self.assertEqual(self.received_queues["b"]["a"], self.queues["a"])

    # Guards against gateways of the last version rejecting reports.
    def test_empty_queue_leaves_reports_as_they_were(self):
        self.advance(0.6)
        self.assertEqual(len(json.loads(self.network.sent[-1])), 8)

    def test_released_capacity_is_reported_at_once_where_others_wait(self):
        self.reserve(100)
        self.channels["a"].announce_loads()
        self.reserve(40)
        self.channels["a"].announce_loads()
        self.assertEqual(self.received["b"]["a"]["e"].reserved_tokens, 100)
        self.channels["a"].announce_room()
        self.assertEqual(self.received["b"]["a"]["e"].reserved_tokens, 40)

    # A gateway that starts compares it with what the store holds.
    def test_configuration_version_is_reported(self):
        self.advance(1.0)
        self.assertEqual({*self.received_versions["b"]}, {None})
        self.versions["a"] = 7
        self.advance(1.0)
        self.assertEqual(self.received_versions["b"][-1], 7)

    def test_topic_end_is_reported_immediately(self):
        self.advance(0.1)
        self.topics["a"] = {
            "t": peers.TopicEndReport(next_offset=7, age_s=0.25)
        }
        self.channels["a"].announce_topics()
        self.assertEqual(self.received_topics["b"], self.topics["a"])

    # The receiver must not compare offsets of different epochs.
    def test_topic_end_is_reported_with_its_epoch(self):
        self.advance(0.1)
        self.topics["a"] = {
            "t": peers.TopicEndReport(next_offset=7, age_s=0.25, epoch=3),
            "u": peers.TopicEndReport(next_offset=7, age_s=0.25),
        }
        self.channels["a"].announce_topics()
        self.assertEqual(self.received_topics["b"], self.topics["a"])

    def test_datagrams_stay_within_the_rate_limit(self):
        for number in range(200):
            self.reserve(number)
            self.advance(0.02)
        # Four seconds at the rate limit and one burst.
        self.assertLessEqual(len(self.network.sent), 400 * 5)

    def test_malformed_datagram_is_ignored(self):
        with self.assertLogs("sassafrasstile.peers", "WARNING"):
            self.channels["b"].datagramReceived(b"\xff[1", ("h", 9))
        self.assertEqual(self.received["b"], {})


class ZoneTest(unittest.TestCase):
    """The cost of a gateway as the number of gateways grows.

    The pattern is a steady load in each of five zones: each gateway reserves
    capacity twice a second.
    """

    def setUp(self):
        self.clock = _Clock()
        self.network = _Network()
        self.loads = {}

    def make_channel(self, gateways):
        channel = peers.PeerChannel(
            reactor=self.clock,
            address=peers.PeerAddress(
                name="a", host="10.0.0.1", port=1, zone="z0"
            ),
            incarnation="1",
            read_loads=lambda: self.loads,
            on_report=lambda *_: None,
        )
        channel.transport = self.network
        channel.start()
        for number in range(1, gateways):
            channel.add_peer(
                peers.PeerAddress(
                    name=f"g{number}",
                    host="10.0.0.1",
                    port=1 + number,
                    zone=f"z{number % 5}",
                )
            )
        return channel

    def reserve(self, channel, *, per_s, seconds):
        """Reserves capacity at a rate."""
        for step in range(round(seconds * per_s)):
            self.loads = {"e": peers.EndpointLoad(reserved_tokens=step + 1)}
            channel.announce_loads()
            self.clock.pump([0.05] * round(20 / per_s))

    def count_datagrams(self, gateways, seconds=4.0):
        """Returns the datagrams a second that one gateway sends."""
        self.network.sent.clear()
        channel = self.make_channel(gateways)
        self.reserve(channel, per_s=2, seconds=seconds)
        channel.close()
        return len(self.network.sent) / seconds

    def test_rate_grows_less_than_the_number_of_gateways(self):
        small = self.count_datagrams(30)
        large = self.count_datagrams(300)
        self.assertLessEqual(large, 400)
        self.assertLess(large / small, 5)

    def test_gateways_of_other_zones_stay_live(self):
        clock = _Clock()
        network = _Network()
        channels = {}
        addresses = [
            peers.PeerAddress(
                name=f"g{number}",
                host="10.0.0.1",
                port=number + 1,
                zone=f"z{number % 5}",
            )
            for number in range(100)
        ]
        for address in (addresses[0], addresses[1]):
            channel = peers.PeerChannel(
                reactor=clock,
                address=address,
                incarnation="1",
                read_loads=dict,
                on_report=lambda *_: None,
            )
            channel.transport = network
            network.channels["10.0.0.1", address.port] = channel
            channels[address.name] = channel
            channel.start()
            for other in addresses:
                channel.add_peer(other)
        clock.advance(0.05)
        for _ in range(200):
            clock.advance(0.05)
            self.assertEqual(channels["g0"].list_live(), ["g1"])
            self.assertEqual(channels["g1"].list_live(), ["g0"])

    def test_news_lags_while_the_rate_limit_holds_reports_back(self):
        channel = self.make_channel(68)
        self.reserve(channel, per_s=2, seconds=3)
        self.assertFalse(channel.is_lagging())
        # A burst.
        self.reserve(channel, per_s=10, seconds=3)
        self.assertTrue(channel.is_lagging())
        self.loads = {}
        self.clock.pump([0.05] * 60)
        self.assertFalse(channel.is_lagging())

    def test_news_among_few_gateways_never_lags(self):
        channel = self.make_channel(5)
        self.reserve(channel, per_s=10, seconds=3)
        self.assertFalse(channel.is_lagging())

    def test_news_of_other_zones_is_late_only_among_many(self):
        for gateways, is_timely in (
            (5, True),
            (26, True),
            (68, True),
            (160, False),
        ):
            channel = self.make_channel(gateways)
            with self.subTest(gateways=gateways):
                self.assertTrue(channel.is_timely("z0"))
                self.assertEqual(channel.is_timely("z1"), is_timely)
