import unittest

from sassafrasstile import messages
from sassafrasstile import ownership
from sassafrasstile import sidecar


class FakeLog:
    """A log in memory. Each reader reads it from the start."""

    def __init__(self):
        self.entries = []
        self.is_down = False

    def append(self, record, at):
        body = ownership.encode_record(record)
        self.entries.append(
            ownership.LogEntry(offset=len(self.entries), at=at, body=body)
        )


def _call(attempt, key, **parameters):
    return messages.Call(
        request_id=f"{key}#{attempt}",
        attempt=attempt,
        key=key,
        service="desk",
        method="POST",
        path="/bookings",
        repeatable=False,
        digest="d",
        **parameters,
    )


class ServiceKernelTest(unittest.TestCase):
    def setUp(self):
        self.log = FakeLog()

    def make(self, name="s1", incarnation="s1.1", **parameters):
        kernel = sidecar.ServiceKernel(
            name=name,
            incarnation=incarnation,
            service="desk",
            vm=f"vm-{name}",
            **parameters,
        )
        self.sync_log(kernel, 0.0)
        self.sync_log(kernel, 0.1)
        return kernel

    def sync_log(self, kernel, now, effects=()):
        """Reads the log and carries out appends until nothing changes."""
        seen = list(effects)
        pending = list(effects)
        if not self.log.is_down:
            pending += self.replay(kernel, now)
            seen += pending[len(effects) :]
        while pending:
            effect = pending.pop(0)
            if not isinstance(effect, sidecar.Append):
                continue
            if self.log.is_down:
                kernel.finish_append(succeeded=False, now=now)
                continue
            self.log.append(effect.record, now)
            more = kernel.finish_append(succeeded=True, now=now)
            more += self.replay(kernel, now)
            seen += more
            pending += more
        return seen

    def replay(self, kernel, now):
        return kernel.replay_page(
            tuple(self.log.entries),
            first=0,
            after=len(self.log.entries),
            now=now,
        )

    def send(self, kernel, now, message, incarnation="g.1"):
        batch = messages.Batch(
            sender="g", incarnation=incarnation, messages=(message,)
        )
        return self.sync_log(kernel, now, kernel.receive(batch, now))

    def runs(self, effects):
        return [
            effect.call.key
            for effect in effects
            if isinstance(effect, sidecar.RunCall)
        ]

    def failures(self, effects):
        return [
            (effect.message.verdict, effect.message.code)
            for effect in effects
            if isinstance(effect, sidecar.Send)
            and isinstance(effect.message, messages.Failed)
        ]

    def test_call_runs_only_after_its_claim_is_replayed(self):
        kernel = self.make()
        batch = messages.Batch(
            sender="g", incarnation="g.1", messages=(_call(1, "k"),)
        )
        effects = kernel.receive(batch, 1.0)
        self.assertEqual(self.runs(effects), [])
        effects = self.sync_log(kernel, 1.1, effects)
        self.assertEqual(self.runs(effects), ["k"])

    def test_retry_waits_for_the_first_attempt_and_gets_its_answer(self):
        kernel = self.make()
        self.send(kernel, 1.0, _call(1, "k"))
        again = self.send(kernel, 1.1, _call(2, "k"))
        self.assertEqual(self.runs(again), [])
        effects = kernel.finish_call(
            "k#1.g.1.1", status=201, content_type="", body=b"x", now=1.2
        )
        answers = [
            (effect.message.attempt, effect.message.replayed)
            for effect in effects
        ]
        self.assertEqual(answers, [(1, False), (2, True)])

    def test_new_incarnation_does_not_run_what_the_old_one_claimed(self):
        self.send(self.make(), 1.0, _call(1, "k"))
        successor = self.make(incarnation="s1.2")
        effects = self.send(successor, 2.0, _call(2, "k"))
        self.assertEqual(self.runs(effects), [])
        self.assertEqual(
            self.failures(effects), [("may_have_run", "outcome_unknown")]
        )

    def test_new_incarnation_runs_what_the_old_one_never_claimed(self):
        self.make()
        successor = self.make(incarnation="s1.2")
        effects = self.send(successor, 2.0, _call(2, "k"))
        self.assertEqual(self.runs(effects), ["k"])

    def test_suspended_owner_runs_nothing_after_its_replacement(self):
        old = self.make()
        batch = messages.Batch(
            sender="g", incarnation="g.1", messages=(_call(1, "k"),)
        )
        late = old.receive(batch, 1.0)
        successor = self.make(incarnation="s1.2")
        self.assertEqual(
            self.runs(self.send(successor, 2.0, _call(2, "k"))), ["k"]
        )
        effects = self.sync_log(old, 9.0, late)
        self.assertEqual(self.runs(effects), [])

    def test_outage_refuses_or_runs_calls_as_the_rule_says(self):
        for runs_unlogged, expected in ((False, []), (True, ["k"])):
            with self.subTest(runs_unlogged=runs_unlogged):
                self.log = FakeLog()
                kernel = self.make(runs_unlogged=runs_unlogged)
                self.log.is_down = True
                call = _call(1, "k", runs_unlogged=runs_unlogged)
                effects = self.send(kernel, 1.0, call)
                self.assertEqual(self.runs(effects), [])
                effects = kernel.tick(2.1)
                self.assertEqual(self.runs(effects), expected)
                if not expected:
                    self.assertEqual(
                        self.failures(effects),
                        [("not_run", "log_unavailable")],
                    )

    def test_after_a_crash_in_an_outage_only_first_attempts_run(self):
        kernel = self.make(runs_unlogged=True)
        self.log.is_down = True
        self.send(kernel, 1.0, _call(1, "k", runs_unlogged=True))
        self.assertEqual(self.runs(kernel.tick(2.1)), ["k"])
        self.log.is_down = False
        successor = self.make(incarnation="s1.2", runs_unlogged=True)
        retry = self.send(successor, 3.0, _call(2, "k"))
        self.assertEqual(
            self.failures(retry), [("may_have_run", "outcome_unknown")]
        )
        # One that may be older than the crash is refused, as not run.
        waiting = self.send(successor, 3.1, _call(3, "old", first=True))
        self.assertEqual(self.failures(waiting), [("not_run", "owner_lost")])
        call = _call(
            4,
            "new",
            first=True,
            known_loss_offset=successor.describe_load().loss_offset,
        )
        fresh = self.send(successor, 3.2, call)
        self.assertEqual(self.runs(fresh), ["new"])

    # A late copy of a release moves a slot away and its next owner dies, all
    # while a call waits for its claim: the call ran without another check.
    def test_call_that_waits_for_its_claim_is_checked_again(self):
        first = self.make(runs_unlogged=True)
        self.make("s2", "s2.1", runs_unlogged=True)
        slot = ownership.find_slot("k")
        batch = messages.Batch(
            sender="g", incarnation="g.1", messages=(_call(1, "k", first=True),)
        )
        effects = first.receive(batch, 1.0)
        self.log.append(
            ownership.Release(
                endpoint="s1", incarnation="s1.1", successor="s2", slots=(slot,)
            ),
            1.1,
        )
        self.make("s2", "s2.2", runs_unlogged=True)
        self.log.append(
            ownership.Release(
                endpoint="s2", incarnation="s2.2", successor="s1", slots=(slot,)
            ),
            1.3,
        )
        effects = self.sync_log(first, 1.4, effects)
        self.assertEqual(self.runs(effects), [])
        self.assertEqual(self.failures(effects), [("not_run", "owner_lost")])

    def test_restart_in_an_outage_refuses_as_not_run(self):
        self.make(runs_unlogged=True)
        self.log.is_down = True
        successor = self.make(incarnation="s1.2", runs_unlogged=True)
        effects = self.send(
            successor, 1.0, _call(1, "k", first=True, runs_unlogged=True)
        )
        self.assertEqual(
            self.failures(effects), [("not_run", "log_unavailable")]
        )

    def test_slots_are_shared_with_a_member_that_joins(self):
        first = self.make()
        second = self.make("s2", "s2.1")
        self.sync_log(first, 1.0)
        self.sync_log(second, 1.1)
        owners = [
            self.runs(self.send(kernel, 2.0, _call(index, f"k{index}")))
            for kernel in (first, second)
            for index in range(20)
        ]
        ran = sorted(key for keys in owners for key in keys)
        self.assertEqual(ran, sorted({f"k{index}" for index in range(20)}))

    def test_slots_with_answered_calls_are_released_last(self):
        first = self.make()
        # Few enough that half of the slots hold no answered call.
        keys = [f"k{index}" for index in range(ownership.SLOT_COUNT // 2)]
        for attempt, key in enumerate(keys):
            self.send(first, 0.2, _call(attempt, key))
            first.finish_call(
                f"{key}#{attempt}.g.1.{attempt}",
                status=201,
                content_type="",
                body=b"",
                now=0.3,
            )
        second = self.make("s2", "s2.1")
        self.sync_log(first, 1.0, first.tick(1.0))
        self.sync_log(second, 1.1)
        for attempt, key in enumerate(keys):
            effects = self.send(second, 2.0, _call(attempt, key))
            self.assertEqual(
                self.failures(effects), [("not_run", "not_owner")], key
            )

    def test_released_slots_run_nothing_without_a_claim(self):
        first = self.make(runs_unlogged=True)
        self.make("s2", "s2.1", runs_unlogged=True)
        # The release is sent, but whether it was appended stays unknown.
        first.replay_page(
            tuple(self.log.entries),
            first=0,
            after=len(self.log.entries),
            now=1.0,
        )
        self.log.is_down = True
        ran = []
        for index in range(20):
            call = _call(index, f"k{index}", first=True, runs_unlogged=True)
            self.send(first, 2.0, call)
        ran += self.runs(first.tick(3.5))
        half = sum(
            1
            for index in range(20)
            if ownership.find_slot(f"k{index}") >= ownership.SLOT_COUNT // 2
        )
        self.assertEqual(len(ran), half)

    def test_slots_of_a_removed_vm_are_taken_over(self):
        first = self.make()
        second = self.make("s2", "s2.1")
        self.sync_log(first, 1.0)
        self.sync_log(second, 1.1)
        second.update_vms(frozenset({"vm-s1", "vm-s2"}), 2.0)
        second.update_vms(frozenset({"vm-s2"}), 3.0)
        self.sync_log(second, 3.1, second.tick(3.1))
        for index in range(20):
            effects = self.send(second, 4.0, _call(index, f"k{index}"))
            self.assertEqual(self.runs(effects), [f"k{index}"])

    def test_refused_call_stays_refused_when_a_copy_comes_later(self):
        kernel = self.make(slots=1)
        self.send(kernel, 1.0, _call(1, "k1"))
        refused = self.send(kernel, 1.1, _call(2, "k2"))
        self.assertEqual(self.failures(refused), [("not_run", "no_capacity")])
        kernel.finish_call(
            "k1#1.g.1.1", status=201, content_type="", body=b"", now=1.2
        )
        effects = self.send(kernel, 1.3, _call(2, "k2"))
        self.assertEqual(self.runs(effects), [])

    def test_planned_stop_does_not_wait_for_a_log_that_is_down(self):
        kernel = self.make()
        self.log.is_down = True
        self.sync_log(kernel, 1.0, kernel.drain(1.0))
        kernel.tick(5.0)
        self.assertFalse(kernel.is_idle())
        kernel.tick(12.0)
        self.assertTrue(kernel.is_idle())

    def test_planned_stop_waits_until_unlogged_calls_are_claimed(self):
        kernel = self.make(runs_unlogged=True)
        self.log.is_down = True
        self.send(kernel, 1.0, _call(1, "k", runs_unlogged=True))
        self.sync_log(kernel, 2.1, kernel.tick(2.1))
        kernel.finish_call(
            "k#1.g.1.1", status=201, content_type="", body=b"", now=2.2
        )
        self.sync_log(kernel, 2.3, kernel.drain(2.3))
        self.sync_log(kernel, 30.0, kernel.tick(30.0))
        self.assertFalse(kernel.is_idle())
        self.log.is_down = False
        self.sync_log(kernel, 31.0)
        self.sync_log(kernel, 32.0, kernel.tick(32.0))
        self.assertTrue(kernel.is_idle())
