import random
import unittest

from twisted.internet import defer
from twisted.internet import task

from sassafrasstile import streams

_V1 = streams.StreamOrigin(service="s", software_version="v1")


class _Network:
    """Delivers messages after a delay; gateways may be cut off."""

    def __init__(self, clock):
        self.clock = clock
        self.zones = {}
        self.directories = {}
        self.lost = set()
        self.loss = 0.0
        self.generator = random.Random(1)
        self.sent = 0

    def add(self, name, zone):
        self.zones[name] = zone
        self.directories[name] = streams.OriginDirectory(
            reactor=self.clock, transport=_Link(self, name)
        )
        return self.directories[name]

    def deliver(self, sender, receiver, payload):
        self.sent += 1
        if self.generator.random() < self.loss:
            return
        if not {sender, receiver} & self.lost:
            self.clock.callLater(
                0.002, self.directories[receiver].receive, sender, payload
            )


class _Link:
    """One gateway's transport."""

    def __init__(self, network, name):
        self._network = network
        self._name = name

    def list_zones(self):
        zones = self._network.zones
        return {name: zones[name] for name in zones if name != self._name}

    def list_live(self):
        return list(self.list_zones())

    def count_lost(self):
        return 0

    def send(self, name, payload):
        self._network.deliver(self._name, name, payload)


class OriginDirectoryTest(unittest.TestCase):
    """Gateways that tell each other where streams began."""

    def setUp(self):
        self.clock = task.Clock()
        self.network = _Network(self.clock)

    def add_gateways(self, count):
        for number in range(count):
            self.network.add(f"g{number}", "abcde"[number % 5])

    def record(self, name, stream_id):
        return self.network.directories[name].record(
            stream_id, _V1, deadline=self.clock.seconds() + 10.0
        )

    def find(self, name, stream_id):
        """Returns the lookup, and the seconds that it took."""
        results = []
        finding = defer.ensureDeferred(
            self.network.directories[name].find(stream_id)
        )
        finding.addCallback(results.append)
        began_at = self.clock.seconds()
        while not results:
            self.clock.advance(0.001)
        return results[0], self.clock.seconds() - began_at

    def test_own_streams_are_known_at_once(self):
        self.add_gateways(3)
        self.record("g0", "r1")
        lookup, waited_s = self.find("g0", "r1")
        self.assertEqual(lookup.source, streams.Source.OWN)
        self.assertEqual(lookup.origin, _V1)
        self.assertLess(waited_s, 0.002)

    # Guards against an origin that is lost with the gateway that began it.
    def test_every_gateway_finds_a_stream_of_a_lost_gateway(self):
        self.add_gateways(40)
        for number in range(20):
            self.record("g0", f"r{number}")
        self.clock.advance(0.01)
        self.network.lost.add("g0")
        for number in range(20):
            lookup, waited_s = self.find(f"g{1 + number}", f"r{number}")
            self.assertEqual(lookup.origin, _V1)
            self.assertLess(waited_s, 0.15)

    # Guards against all holders being in the zone that is lost.
    def test_streams_outlive_the_zone_of_their_gateway(self):
        self.add_gateways(40)
        for number in range(20):
            self.record("g0", f"r{number}")
        self.clock.advance(0.01)
        zones = self.network.zones
        self.network.lost.update(name for name in zones if zones[name] == "a")
        for number in range(20):
            lookup, _ = self.find("g1", f"r{number}")
            self.assertEqual(lookup.origin, _V1)

    # Guards against gateways that disagree about which others there are.
    def test_stream_is_found_after_gateways_have_come(self):
        self.add_gateways(40)
        for number in range(20):
            self.record("g0", f"r{number}")
        self.clock.advance(0.1)
        for number in range(40, 45):
            self.network.add(f"g{number}", "abcde"[number % 5])
        self.network.lost.add("g0")
        for number in range(20):
            lookup, _ = self.find("g41", f"r{number}")
            self.assertEqual(lookup.origin, _V1)

    # Guards against one lost datagram making a stream unknown.
    def test_lost_datagrams_are_sent_again(self):
        self.add_gateways(40)
        self.network.loss = 0.1
        for number in range(100):
            self.record("g0", f"r{number}")
            self.clock.advance(0.1)
        self.network.lost.add("g0")
        unknown = 0
        for number in range(100):
            lookup, _ = self.find("g1", f"r{number}")
            unknown += lookup.origin is None
        self.assertLessEqual(unknown, 1)

    def test_unknown_stream_is_given_up_when_all_have_answered(self):
        self.add_gateways(6)
        lookup, waited_s = self.find("g1", "never")
        self.assertEqual(lookup.source, streams.Source.NONE)
        self.assertIsNone(lookup.origin)
        self.assertLess(waited_s, 0.01)

    # Guards against callers waiting for gateways that can't be reached.
    def test_wait_for_answers_is_bounded(self):
        self.add_gateways(6)
        self.network.lost.add("g1")
        lookup, waited_s = self.find("g1", "r1")
        self.assertIsNone(lookup.origin)
        self.assertLess(waited_s, 0.16)
        # A gateway without others knows only its own streams.
        alone = streams.OriginDirectory(reactor=self.clock)
        results = []
        finding = defer.ensureDeferred(alone.find("r1"))
        finding.addCallback(results.append)
        self.assertEqual(results[0].source, streams.Source.NONE)

    # Guards against a cost that grows with the fleet.
    def test_cost_of_a_stream_does_not_depend_on_the_number_of_gateways(self):
        costs = []
        for count in (40, 360):
            self.network = _Network(self.clock)
            self.add_gateways(count)
            self.assertEqual(len(self.record("g0", "r1")), 3)
            self.find("g1", "r1")
            self.clock.advance(1.0)
            costs.append(self.network.sent)
        self.assertLessEqual(max(costs), 6 + 12 + 6)

    # Guards against a burst of streams that fills the links, and against a log
    # that names holders which weren't told.
    def test_rate_of_datagrams_is_bounded(self):
        self.add_gateways(40)
        told = [self.record("g0", f"r{number}") for number in range(1000)]
        self.assertLessEqual(self.network.sent, 400)
        self.assertEqual(told[-1], [])
        self.assertEqual(self.find("g0", "r999")[0].origin, _V1)

    def test_malformed_messages_are_ignored(self):
        directory = self.network.add("g0", "a")
        for payload in (b"", b"\xff", b"[]", b'["is",1]', b'["began","k"]'):
            with self.assertLogs("sassafrasstile.streams", "WARNING"):
                directory.receive("g1", payload)

    def test_nothing_is_sent_after_the_end(self):
        self.add_gateways(3)
        self.record("g0", "r1")
        self.network.directories["g0"].close()
        sent = self.network.sent
        self.clock.advance(1.0)
        self.assertEqual(self.network.sent, sent)
