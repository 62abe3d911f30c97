"""Gateways that tell each other which engines they have lost, and why.

The pattern: requests with one deadly part among many sound ones come at all
gateways, so that each gateway sees few of the crashes.
"""

import random
import unittest

from twisted.internet import task

from sassafrasstile import quarantine
from sassafrasstile import testing

_SERVICE = "writer"
_DELAY_S = 0.002


class _Network:
    """Delivers messages between gateways; some may be lost or cut off."""

    def __init__(self, clock):
        self.clock = clock
        self.quarantines = {}
        self.cut_off = set()
        self.loss = 0.0
        self.sent = 0
        self.largest = 0
        self.generator = random.Random(1)

    def add(self, name):
        gateway = quarantine.Quarantine(
            reactor=self.clock,
            generator=random.Random(name),
            transport=_Link(self, name),
        )
        gateway.start()
        self.quarantines[name] = gateway
        return gateway

    def remove(self, name):
        self.quarantines.pop(name).close()

    def deliver(self, sender, receiver, payload):
        self.sent += 1
        self.largest = max(self.largest, len(payload))
        is_lost = self.generator.random() < self.loss
        if is_lost or {sender, receiver} & self.cut_off:
            return
        self.clock.callLater(_DELAY_S, self._receive, sender, receiver, payload)

    def _receive(self, sender, receiver, payload):
        gateway = self.quarantines.get(receiver)
        if gateway is not None:
            gateway.receive(sender, payload)


class _Link:
    """One gateway's transport."""

    def __init__(self, network, name):
        self._network = network
        self._name = name

    def list_zones(self):
        names = self._network.quarantines
        return {name: "a" for name in names if name != self._name}

    def list_live(self):
        return list(self.list_zones())

    def send(self, name, payload):
        self._network.deliver(self._name, name, payload)


class QuarantineTest(unittest.TestCase):
    """What one gateway has seen holds at all of them."""

    def setUp(self):
        self.clock = task.Clock()
        self.network = _Network(self.clock)
        self.engines = 0

    def add_gateways(self, count):
        for number in range(count):
            self.network.add(f"g{number}")

    def make_prompt(self, *parts):
        return quarantine.make_prompt(_SERVICE, parts)

    def watch(self, gateway, *parts, engine="engine"):
        record = testing.make_endpoint_record(
            endpoint_id=engine, service=_SERVICE
        )
        return self.network.quarantines[gateway].watch(
            self.make_prompt(*parts), record, request_id=f"r-{parts[-1]}"
        )

    def crash(self, gateway, *parts):
        """Lets a gateway lose a further engine."""
        self.engines += 1
        self.pass_time(0.2)
        name = f"engine-{self.engines}"
        self.watch(gateway, *parts, engine=name).record_loss()

    def answer(self, gateway, *parts):
        self.watch(gateway, *parts).record_end()

    def pass_time(self, seconds):
        for _ in range(round(seconds / 0.01)):
            self.clock.advance(0.01)

    def list_refusing(self, *parts):
        prompt = self.make_prompt(*parts)
        return [
            name
            for name, gateway in self.network.quarantines.items()
            if gateway.find(prompt) is not None
        ]

    def crash_at_three(self):
        for number in range(3):
            self.crash(f"g{number}", "system", "bad", f"own {number}")

    # Guards against engines that crash at one gateway after the other.
    def test_crashes_at_several_gateways_count_together(self):
        self.add_gateways(5)
        self.answer("g4", "system", "s")
        self.crash_at_three()
        self.pass_time(0.1)
        self.assertEqual(len(self.list_refusing("system", "bad", "new")), 5)
        self.assertEqual(self.list_refusing("system", "good", "new"), [])

    # Guards against a gateway that starts later and learns it the hard way.
    def test_gateway_that_starts_is_told(self):
        self.add_gateways(5)
        self.crash_at_three()
        self.pass_time(1.0)
        for number in range(3):
            self.network.remove(f"g{number}")
        self.network.add("late")
        self.pass_time(2.5)
        self.assertIn("late", self.list_refusing("system", "bad", "new"))

    def test_gateway_that_was_cut_off_is_told(self):
        self.add_gateways(5)
        self.network.cut_off = {"g4"}
        self.crash_at_three()
        self.pass_time(1.0)
        self.assertNotIn("g4", self.list_refusing("system", "bad", "new"))
        self.network.cut_off = set()
        self.pass_time(2.5)
        self.assertIn("g4", self.list_refusing("system", "bad", "new"))

    def test_lost_datagrams_are_made_up_for(self):
        self.add_gateways(60)
        self.network.loss = 0.5
        self.crash_at_three()
        self.pass_time(3.0)
        self.assertEqual(len(self.list_refusing("system", "bad", "new")), 60)

    # Guards against refusing sound prompts at gateways that haven't answered
    # any of them: a part that one gateway knows to be sound is so at all.
    def test_answer_at_one_gateway_clears_parts_at_all(self):
        self.add_gateways(5)
        for number in range(3):
            self.crash(f"g{number}", "session", f"own {number}")
        self.pass_time(0.1)
        self.assertEqual(len(self.list_refusing("session", "new")), 5)
        self.answer("g4", "session", "other")
        self.pass_time(3.0)
        self.assertEqual(self.list_refusing("session", "new"), [])

    def test_parts_that_another_gateway_has_answered_before_are_sound(self):
        self.add_gateways(5)
        self.answer("g4", "session", "other")
        for number in range(3):
            self.crash(f"g{number}", "session", f"own {number}")
        self.pass_time(0.1)
        self.assertEqual(self.list_refusing("session", "new"), [])

    # Guards against a part that counts as sound for good, since gateways renew
    # each other's knowledge of an answer that is long past.
    def test_knowledge_of_an_old_answer_is_not_renewed_by_hearsay(self):
        self.add_gateways(2)
        self.answer("g0", "system", "bad", "s0")
        for number in range(7):
            self.pass_time(50.0)
            gateway = f"g{(number + 1) % 2}"
            self.crash(gateway, "system", "bad", f"own {number}")
        self.pass_time(0.1)
        self.assertEqual(
            sorted(self.list_refusing("system", "bad", "new")), ["g0", "g1"]
        )

    # Guards against a session that is refused although it was answered between
    # the crashes: other gateways told of the first one again.
    def test_answered_prompt_is_no_suspect_again_by_hearsay(self):
        self.add_gateways(2)
        self.crash("g0", "system", "session")
        self.pass_time(2.0)
        self.answer("g1", "system", "session")
        self.pass_time(2.0)
        self.crash("g1", "system", "session")
        self.pass_time(2.0)
        self.assertEqual(self.list_refusing("system", "session"), [])

    # Guards against an engine that writes something just before it crashes.
    def test_first_events_prove_nothing_yet(self):
        self.add_gateways(1)
        for number in range(3):
            self.pass_time(0.2)
            watch = self.watch("g0", "bad", f"{number}", engine=f"e{number}")
            watch.record_event(0.0)
            watch.record_event(0.4)
            watch.record_loss()
        self.assertEqual(self.list_refusing("bad", "new"), ["g0"])

    def test_engine_lost_in_the_middle_of_an_answer_is_no_evidence(self):
        self.add_gateways(1)
        for number in range(3):
            self.pass_time(0.2)
            watch = self.watch("g0", "good", f"{number}", engine=f"e{number}")
            watch.record_event(0.0)
            watch.record_event(0.6)
            watch.record_loss()
        self.assertEqual(self.list_refusing("good", "new"), [])

    # Guards against a deadly part that counts as sound: the engine wrote one
    # event, crashed, and its connection was lost only a while later.
    def test_silence_after_the_first_event_is_no_survival(self):
        self.add_gateways(1)
        watch = self.watch("g0", "system", "bad", "first", engine="e0")
        watch.record_event(0.0)
        self.pass_time(3.0)
        watch.record_loss()
        for number in range(5):
            self.crash("g0", "system", "bad", f"own {number}")
        self.assertEqual(self.list_refusing("system", "bad", "new"), ["g0"])

    def test_nothing_is_sent_while_no_engine_is_lost(self):
        self.add_gateways(5)
        self.answer("g0", "system", "s")
        self.pass_time(10.0)
        self.assertEqual(self.network.sent, 0)

    # Guards against a cost that grows with the square of the gateways.
    def test_repeats_are_few_and_datagrams_small(self):
        self.add_gateways(20)
        for number in range(30):
            parts = (f"p{number} {item}" for item in range(16))
            self.crash(f"g{number % 20}", *parts, f"own {number}")
        self.pass_time(1.5)
        self.network.sent = 0
        self.pass_time(2.0)
        repeated = 2 * 20 * 5
        self.assertLessEqual(self.network.sent, repeated * 30)
        self.assertLessEqual(self.network.largest, 1400)

    # Guards against datagrams in fragments, where many prompts waited at an
    # engine.
    def test_crash_under_many_prompts_fits_into_datagrams(self):
        self.add_gateways(2)
        for item in range(16):
            parts = (f"p{item} {number}" for number in range(8))
            self.watch("g0", *parts, f"own {item}").record_loss()
        self.pass_time(2.5)
        self.assertGreater(self.network.sent, 0)
        self.assertLessEqual(self.network.largest, 1400)

    # Guards against messages that raise something else than a bad value.
    def test_messages_with_extreme_values_are_ignored(self):
        self.add_gateways(1)
        for data in (
            b'["crashes",[["e",Infinity,[["own","bad"]],[]]]]',
            b'["crashes",[["e",1' + b"0" * 400 + b',[["own","bad"]],[]]]]',
            b'["crashes",' + b"[" * 30000,
        ):
            with (
                self.subTest(data=data[:40]),
                self.assertLogs("sassafrasstile.quarantine", "WARNING"),
            ):
                self.network.quarantines["g0"].receive("g9", data)

    def test_malformed_messages_change_nothing(self):
        self.add_gateways(1)
        for data in (
            b'["crashes"',
            b'["crashes",1]',
            b'["crashes",[],[]]',
            b'["crashes",[["e",1]]]',
            b'["crashes",[["e","x",[["own","bad"]],[]]]]',
            b'["crashes",[["e",-1,[["own","bad"]],[]]]]',
            b'["crashes",[["e",1,[[7,"bad"]],[]]]]',
            b'["crashes",[["e",1,[["own",["bad"]]],[]]]]',
            b'["crashes",[["e",1,[],[7]]]]',
            b'["crashes",[["' + b"x" * 100 + b'",1,[],[]]]]',
        ):
            self.pass_time(1.0)
            with (
                self.subTest(data=data),
                self.assertLogs("sassafrasstile.quarantine", "WARNING"),
            ):
                self.network.quarantines["g0"].receive("g9", data)
        self.assertEqual(self.list_refusing("bad", "new"), [])
