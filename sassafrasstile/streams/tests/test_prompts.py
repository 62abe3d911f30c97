"""Streams found by their prompts, while every gateway vouches for it."""

import random
import unittest

from twisted.internet import defer
from twisted.internet import task

from sassafrasstile import streams

_V1 = streams.StreamOrigin(service="s", software_version="v1")
_V2 = streams.StreamOrigin(service="s", software_version="v2")
_OTHER_SERVICE = streams.StreamOrigin(service="t", software_version="v1")
_LIFETIME_S = 10.0


class _Network:
    """Delivers messages after a delay; gateways may be cut off."""

    def __init__(self, clock):
        self.clock = clock
        self.directories = {}
        self.known = {}
        self.lost_counts = {}
        self.cut = set()
        self.delays = {}
        self.loss = 0.0
        self.generator = random.Random(1)
        self.sent = 0

    def add(self, name):
        self.known[name] = set()
        self.directories[name] = streams.OriginDirectory(
            reactor=self.clock, transport=_Link(self, name)
        )

    def deliver(self, sender, receiver, payload):
        self.sent += 1
        if self.generator.random() < self.loss:
            return
        if {sender, receiver} & self.cut:
            return
        delay_s = self.delays.get(sender, 0.002)
        self.clock.callLater(
            delay_s, self.directories[receiver].receive, sender, payload
        )


class _Link:
    """One gateway's transport."""

    def __init__(self, network, name):
        self._network = network
        self._name = name

    def list_zones(self):
        return dict.fromkeys(self._network.known[self._name], "a")

    def list_live(self):
        return list(self._network.known[self._name])

    def count_lost(self):
        return self._network.lost_counts.get(self._name, 0)

    def send(self, name, payload):
        self._network.deliver(self._name, name, payload)


class PromptDirectoryTest(unittest.TestCase):
    """A stream is found by its prompt, or not at all."""

    def setUp(self):
        self.clock = task.Clock()
        self.network = _Network(self.clock)
        self.add_gateways(5)
        self.clock.advance(100.0)

    def add_gateways(self, count):
        for number in range(count):
            self.network.add(f"g{number}")
        for name, known in self.network.known.items():
            known.update(set(self.network.known) - {name})

    def record(self, name, origin=_V1, *, prompt_id="p"):
        self.network.directories[name].prompts.record(
            prompt_id, origin, deadline=self.clock.seconds() + _LIFETIME_S
        )

    def find(self, name, prompt_id="p"):
        """Returns the lookup, and the seconds that it took."""
        results = []
        prompts = self.network.directories[name].prompts
        finding = defer.ensureDeferred(prompts.find(prompt_id))
        finding.addCallback(results.append)
        began_at = self.clock.seconds()
        while not results:
            self.clock.advance(0.001)
        return results[0], self.clock.seconds() - began_at

    def check_unknown(self, name, obstacle, prompt_id="p"):
        lookup, waited_s = self.find(name, prompt_id)
        self.assertEqual(lookup.source, streams.Source.NONE)
        self.assertIsNone(lookup.origin)
        self.assertEqual(lookup.obstacle, obstacle)
        self.assertLess(waited_s, 0.16)

    # Guards against refusing a caller that doesn't name its first attempt.
    def test_every_gateway_finds_a_stream_by_its_prompt(self):
        self.record("g0")
        for name in self.network.directories:
            lookup, waited_s = self.find(name)
            self.assertEqual(lookup.source, streams.Source.PROMPT)
            self.assertEqual(lookup.origin, _V1)
            self.assertLess(waited_s, 0.01)

    def test_gateway_without_others_finds_its_own_streams(self):
        alone = _Network(self.clock)
        alone.add("g0")
        self.network = alone
        self.clock.advance(100.0)
        self.record("g0")
        self.assertEqual(self.find("g0")[0].origin, _V1)

    def test_unknown_prompt_is_not_found(self):
        self.record("g0")
        self.check_unknown("g1", streams.Obstacle.NEVER_SEEN, "other")

    # Guards against prompts without an id being taken for one another.
    def test_empty_prompt_is_never_found(self):
        self.record("g0", prompt_id="")
        self.check_unknown("g0", streams.Obstacle.NO_PROMPT, "")
        self.check_unknown("g1", streams.Obstacle.NO_PROMPT, "")

    # Guards against an abandoned first attempt deciding for a later one.
    def test_prompt_begun_at_two_versions_is_ambiguous(self):
        self.record("g0", _V1)
        self.record("g1", _V2)
        for name in self.network.directories:
            self.check_unknown(name, streams.Obstacle.SEVERAL_ORIGINS)

    def test_prompt_begun_at_two_versions_by_one_gateway_is_ambiguous(self):
        self.record("g0", _V1)
        self.record("g0", _V2)
        self.record("g0", _V1)
        for name in ("g0", "g1"):
            self.check_unknown(name, streams.Obstacle.SEVERAL_ORIGINS)

    # Guards against the same prompt at another service deciding.
    def test_prompt_begun_at_two_services_is_ambiguous(self):
        self.record("g0", _V1)
        self.record("g1", _OTHER_SERVICE)
        self.check_unknown("g2", streams.Obstacle.SEVERAL_ORIGINS)

    # A session's later request, or another caller with the same prompt.
    def test_prompt_begun_twice_at_one_version_is_found(self):
        self.record("g0")
        self.clock.advance(1.0)
        self.record("g1")
        self.assertEqual(self.find("g2")[0].origin, _V1)

    def test_ambiguity_ends_with_the_deadline_of_the_older_stream(self):
        self.record("g0", _V1)
        self.clock.advance(_LIFETIME_S)
        self.record("g1", _V2)
        self.check_unknown("g2", streams.Obstacle.SEVERAL_ORIGINS)
        self.clock.advance(_LIFETIME_S / 2)
        self.assertEqual(self.find("g2")[0].origin, _V2)

    # Guards against a second attempt at a gateway that is out of touch with the
    # others: one known origin doesn't prove that there is no later one.
    def test_silent_gateway_leaves_the_origin_open(self):
        self.record("g0", _V1)
        self.record("g1", _V2)
        self.network.cut.add("g1")
        for name in ("g0", "g2"):
            self.check_unknown(name, streams.Obstacle.GATEWAY_MISSING)

    # Guards against the same when the cut lasts so long that the others have
    # removed it from their lists.
    def test_removed_gateway_leaves_the_origin_open(self):
        self.record("g0", _V1)
        self.network.cut.add("g1")
        for name, known in self.network.known.items():
            known.discard("g1")
            self.network.lost_counts[name] = 1
        sent = self.network.sent
        self.check_unknown("g0", streams.Obstacle.GATEWAY_MISSING)
        # It is known beforehand, so nobody is asked.
        self.assertEqual(self.network.sent, sent)

    # Guards against a gateway of which only another one knows.
    def test_gateway_known_to_another_leaves_the_origin_open(self):
        self.record("g0", _V1)
        self.record("g4", _V2)
        for name in ("g0", "g2", "g3"):
            self.network.known[name].discard("g4")
        self.check_unknown("g0", streams.Obstacle.GATEWAY_MISSING)

    # Guards against a gateway that has forgotten a later attempt.
    def test_restarted_gateway_leaves_older_origins_open(self):
        self.record("g0", _V1)
        self.record("g1", _V2)
        self.network.add("g1")
        self.network.known["g1"] = {"g0", "g2", "g3", "g4"}
        self.clock.advance(1.0)
        for name in ("g0", "g1", "g2"):
            self.check_unknown(name, streams.Obstacle.MEMORY_TOO_SHORT)
        # Of what begins from now on, it knows.
        self.clock.advance(1.0)
        self.record("g2", prompt_id="new")
        self.clock.advance(1.0)
        self.assertEqual(self.find("g0", "new")[0].origin, _V1)

    # Guards against memory that grows with the load, and against the streams
    # that it drops being taken to have never begun.
    def test_memory_is_bounded_and_says_so(self):
        self.record("g0", _V1, prompt_id="p")
        self.record("g1", _V2, prompt_id="p")
        for number in range(10_000):
            self.record("g1", prompt_id=f"p{number}")
        self.check_unknown("g2", streams.Obstacle.MEMORY_TOO_SHORT)

    # Guards against callers waiting for a gateway that can't be reached.
    def test_lost_datagrams_are_sent_again(self):
        self.record("g0")
        self.network.loss = 0.1
        found = sum(self.find("g1")[0].origin is not None for _ in range(100))
        self.assertGreater(found, 70)

    # Guards against datagrams that grow with the fleet, and against an origin
    # that only some of the gateways vouch for.
    def test_many_gateways_are_not_asked(self):
        self.network = _Network(self.clock)
        self.add_gateways(40)
        self.clock.advance(100.0)
        self.record("g0")
        self.assertEqual(self.network.sent, 0)
        self.check_unknown("g0", streams.Obstacle.TOO_MANY_GATEWAYS)
        self.check_unknown("g1", streams.Obstacle.TOO_MANY_GATEWAYS)
        self.assertEqual(self.network.sent, 0)

    # Guards against a cost of each begin.
    def test_nothing_is_sent_when_a_stream_begins(self):
        self.record("g0")
        self.clock.advance(1.0)
        self.assertEqual(self.network.sent, 0)
        self.find("g1")
        self.assertEqual(self.network.sent, 2 * 4)

    # Guards against long ids, which callers choose, in datagrams.
    def test_length_of_datagrams_does_not_depend_on_the_id(self):
        prompt_id = "x" * 10_000
        payloads = []
        link = self.network.directories["g1"].transport
        link.send = lambda _name, payload: payloads.append(payload)
        self.check_unknown("g1", streams.Obstacle.GATEWAY_MISSING, prompt_id)
        self.assertLess(max(map(len, payloads)), 100)

    # Guards against an answer that is older than the stream's begin: its caller
    # was refused, began anew at the gateway that answered late, and is back.
    def test_late_answer_to_an_earlier_question_is_ignored(self):
        self.record("g0", _V1)
        self.network.delays["g1"] = 0.2
        self.check_unknown("g2", streams.Obstacle.GATEWAY_MISSING)
        self.record("g1", _V2)
        self.clock.advance(0.04)
        for _ in range(3):
            lookup, _ = self.find("g2")
            self.assertIsNone(lookup.origin)

    def test_malformed_messages_are_ignored(self):
        for payload in (
            b'["vouch","k",7,[["s"]],0,1,5]',
            b'["vouch","k",7,[],"0",1,5]',
            b'["vouch","k",7,{},0,1,5]',
            b'["whose","k"]',
        ):
            with self.assertLogs("sassafrasstile.streams", "WARNING"):
                self.network.directories["g0"].receive("g1", payload)
