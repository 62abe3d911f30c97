import random
import unittest

from sassafrasstile import errors
from sassafrasstile import gateway
from sassafrasstile import messages
from sassafrasstile import policies

_TICK_S = 0.05


class SilentSidecarTest(unittest.TestCase):
    def start(self, *names, **settings):
        roles = {"p": "prefill", "d": "decode"}
        self.kernel = gateway.GatewayKernel(
            name="g",
            endpoints=[
                gateway.Endpoint(name=name, role=roles[name[0]], serves="m")
                for name in names
            ],
            policy=policies.LeastLoaded(generator=random.Random(1)),
            settings=gateway.GatewaySettings(**settings),
        )
        for name in names:
            self.kernel.connect(name, 0.0)

    def submit(self, **changes):
        request = gateway.GenerationRequest(
            request_id="r",
            workspace="w",
            model="m",
            prompt="p",
            prompt_tokens=10,
            max_tokens=4,
            **changes,
        )
        return self.kernel.submit(request, 0.0)

    def reply(self, peer, message, now):
        batch = messages.Batch(
            sender=peer,
            incarnation="x",
            load=messages.Load(slots=20, free_slots=20),
            messages=(message,),
        )
        return self.kernel.receive(peer, batch, now)

    def find_sent(self, effects, kind):
        return [
            (effect.peer, effect.message)
            for effect in effects
            if isinstance(effect, gateway.Send)
            and isinstance(effect.message, kind)
        ]

    def run_until(self, end, *, start, silent=()):
        """Ticks; sidecars that aren't silent answer each renewal."""
        effects = []
        for step in range(1, round((end - start) / _TICK_S) + 1):
            now = start + step * _TICK_S
            new = self.kernel.tick(now)
            effects.extend(new)
            for peer, _ in self.find_sent(new, messages.Renew):
                if peer not in silent:
                    effects.extend(self.reply(peer, messages.Renewed(), now))
        return effects

    def start_decode(self):
        """Runs a request up to its decode; returns endpoint and attempt."""
        [(peer, reserve)] = self.find_sent(self.submit(), messages.Reserve)
        self.decode(peer, reserve, 0.0)
        self.reply(peer, self.pieces(reserve.attempt, 0, "a"), 0.0)
        return peer, reserve.attempt

    def decode(self, peer, reserve, now):
        """Runs a reserved attempt up to its decode; returns all effects."""
        reserved = messages.Reserved(request_id="r", attempt=reserve.attempt)
        effects = self.reply(peer, reserved, now)
        [(_, prefill)] = self.find_sent(effects, messages.Prefill)
        prefilled = messages.Prefilled(
            request_id="r",
            attempt=prefill.attempt,
            source_address="a",
            handle="h",
            computed_tokens=10,
        )
        return effects + self.reply("p1", prefilled, now)

    def pieces(self, attempt, offset, *texts):
        return messages.Pieces(
            request_id="r", attempt=attempt, offset=offset, texts=texts
        )

    def refuse(self, message):
        return messages.Failed(
            request_id="r",
            attempt=message.attempt,
            verdict="not_run",
            code=errors.Code.NO_CAPACITY,
        )

    def list_cancelled(self, effects, peer):
        return [
            message.attempt
            for name, message in self.find_sent(effects, messages.Cancel)
            if name == peer
        ]

    def list_delivered(self, effects):
        return [
            effect.texts
            for effect in effects
            if isinstance(effect, gateway.Deliver)
        ]

    def list_refused(self, effects):
        return [
            effect.verdict.code
            for effect in effects
            if isinstance(effect, gateway.Refuse)
        ]

    # Fails if the link is closed although no other endpoint can go on.
    def test_answer_goes_on_after_silence_of_the_only_sidecar(self):
        self.start("p1", "d1")
        peer, attempt = self.start_decode()
        effects = self.run_until(2.2, start=0.0, silent=(peer,))
        self.assertEqual(self.list_refused(effects), [])
        effects = self.reply(peer, self.pieces(attempt, 1, "b"), 2.3)
        self.assertEqual(self.list_delivered(effects), [("b",)])

    # Fails if the link is closed before the budget allows a retry.
    def test_answer_goes_on_after_silence_without_a_retry_budget(self):
        self.start("p1", "d1", "d2", retry_share=0.0, retry_reserve=0)
        peer, attempt = self.start_decode()
        effects = self.run_until(2.2, start=0.0, silent=(peer,))
        self.assertEqual(self.list_refused(effects), [])
        effects = self.reply(peer, self.pieces(attempt, 1, "b"), 2.3)
        self.assertEqual(self.list_delivered(effects), [("b",)])

    # Fails if the sidecar is left for one that refuses the request.
    def test_answer_goes_on_after_silence_while_the_other_sidecar_is_full(self):
        self.start("p1", "d1", "d2")
        peer, attempt = self.start_decode()
        effects = self.run_until(2.1, start=0.0, silent=(peer,))
        [(other, reserve)] = self.find_sent(effects, messages.Reserve)
        effects.extend(self.reply(other, self.refuse(reserve), 2.1))
        self.assertEqual(self.list_refused(effects), [])
        effects = self.reply(peer, self.pieces(attempt, 1, "b"), 2.15)
        self.assertEqual(self.list_delivered(effects), [("b",)])

    # Fails if an answer stays with a silent sidecar although another one has
    # reserved memory for it, or if the silent one is left before that.
    def test_answer_moves_once_another_sidecar_has_reserved(self):
        self.start("p1", "d1", "d2")
        peer, attempt = self.start_decode()
        effects = self.run_until(2.1, start=0.0, silent=(peer,))
        [(other, reserve)] = self.find_sent(effects, messages.Reserve)
        self.assertNotEqual(other, peer)
        self.assertEqual(self.list_cancelled(effects, peer), [])
        reserved = messages.Reserved(request_id="r", attempt=reserve.attempt)
        effects = self.reply(other, reserved, 2.15)
        self.assertEqual(self.list_cancelled(effects, peer), [attempt])
        [(_, prefill)] = self.find_sent(effects, messages.Prefill)
        self.assertEqual(prefill.sent, ("a",))

    # Fails if memory reserved for a move stays reserved when the answer goes
    # on where it is.
    def test_successor_is_released_when_the_silent_sidecar_goes_on(self):
        self.start("p1", "d1", "d2")
        peer, attempt = self.start_decode()
        effects = self.run_until(2.1, start=0.0, silent=(peer,))
        [(other, reserve)] = self.find_sent(effects, messages.Reserve)
        effects = self.reply(peer, self.pieces(attempt, 1, "b"), 2.15)
        self.assertEqual(self.list_delivered(effects), [("b",)])
        self.assertEqual(self.list_cancelled(effects, other), [reserve.attempt])

    # Fails if a prefill is given up before another sidecar has finished one.
    def test_late_prefill_is_used_while_the_other_sidecar_is_full(self):
        self.start("p1", "p2", "d1")
        [(peer, reserve)] = self.find_sent(self.submit(), messages.Reserve)
        reserved = messages.Reserved(request_id="r", attempt=reserve.attempt)
        effects = self.reply(peer, reserved, 0.0)
        [(first, prefill)] = self.find_sent(effects, messages.Prefill)
        effects = self.run_until(2.1, start=0.0, silent=(first,))
        [(second, again)] = self.find_sent(effects, messages.Prefill)
        self.assertNotEqual(second, first)
        effects.extend(self.reply(second, self.refuse(again), 2.1))
        self.assertEqual(self.list_cancelled(effects, first), [])
        prefilled = messages.Prefilled(
            request_id="r",
            attempt=prefill.attempt,
            source_address="a",
            handle="h",
            computed_tokens=10,
        )
        effects = self.reply(first, prefilled, 2.15)
        self.assertEqual(len(self.find_sent(effects, messages.Decode)), 1)

    # Fails if the time before a renewal counts as silence too.
    def test_link_survives_a_silence_of_little_more_than_a_second(self):
        self.start("p1", "d1", "d2")
        peer, _ = self.start_decode()
        effects = self.run_until(1.55, start=0.0)
        effects.extend(self.run_until(2.85, start=1.55, silent=(peer,)))
        closed = [
            effect.peer
            for effect in effects
            if isinstance(effect, gateway.Reconnect)
        ]
        self.assertEqual(closed, [])

    # Fails if a reservation is given up before the budget allows another.
    def test_late_reservation_is_used_without_a_retry_budget(self):
        self.start("p1", "d1", "d2", retry_share=0.0, retry_reserve=0)
        [(peer, _)] = self.find_sent(self.submit(), messages.Reserve)
        effects = self.run_until(1.2, start=0.0, silent=(peer,))
        self.assertEqual(self.list_refused(effects), [])

    # Fails if a request waits for a late reservation although another sidecar
    # has reserved memory.
    def test_late_reservation_is_replaced_by_one_elsewhere(self):
        self.start("p1", "d1", "d2")
        [(peer, reserve)] = self.find_sent(self.submit(), messages.Reserve)
        effects = self.run_until(1.1, start=0.0, silent=(peer,))
        [(other, again)] = self.find_sent(effects, messages.Reserve)
        self.assertNotEqual(other, peer)
        reserved = messages.Reserved(request_id="r", attempt=again.attempt)
        effects = self.reply(other, reserved, 1.15)
        self.assertEqual(self.list_cancelled(effects, peer), [reserve.attempt])
        self.assertEqual(len(self.find_sent(effects, messages.Prefill)), 1)

    # Fails if the search for a partial answer ends, and cancels it, while
    # the only sidecar that can have it is silent.
    def test_partial_answer_is_resumed_after_a_second_of_silence(self):
        self.start("p1", "d1")
        effects = self.submit(resume_offset=1)
        [(peer, resume)] = self.find_sent(effects, messages.Resume)
        effects = self.run_until(1.0, start=0.0, silent=(peer,))
        self.assertEqual(self.find_sent(effects, messages.Cancel), [])
        resumed = messages.Resumed(
            request_id="r", attempt=resume.attempt, previous=3, tokens=2
        )
        effects = self.reply(peer, resumed, 1.1)
        effects.extend(
            self.reply(peer, self.pieces(resume.attempt, 0, "a", "b"), 1.1)
        )
        self.assertEqual(self.list_delivered(effects), [("b",)])

    # Fails if a silent sidecar's partial answer is kept, or used, once the new
    # attempt has an answer.
    def test_search_for_a_partial_answer_ends_with_the_new_answer(self):
        self.start("p1", "d1", "d2")
        asked = self.find_sent(self.submit(resume_offset=1), messages.Resume)
        [(silent, query)] = [item for item in asked if item[0] == "d1"]
        [(_, other)] = [item for item in asked if item[0] == "d2"]
        self.reply("d2", self.refuse(other), 0.0)
        effects = self.run_until(0.6, start=0.0, silent=(silent,))
        [(peer, reserve)] = self.find_sent(effects, messages.Reserve)
        self.assertEqual(peer, "d2")
        effects = self.decode(peer, reserve, 0.6)
        self.assertEqual(self.list_cancelled(effects, silent), [])
        effects = self.reply(
            peer, self.pieces(reserve.attempt, 0, "a", "b"), 0.7
        )
        self.assertEqual(self.list_delivered(effects), [("b",)])
        self.assertEqual(self.list_cancelled(effects, silent), [query.attempt])

    # Fails if a request is refused as superseded by another gateway when its
    # own late query has found the attempt that was started meanwhile.
    def test_query_that_finds_the_new_attempt_continues_it(self):
        self.start("p1", "d1")
        effects = self.submit(resume_offset=1)
        [(peer, query)] = self.find_sent(effects, messages.Resume)
        effects = self.run_until(0.6, start=0.0, silent=(peer,))
        [(_, reserve)] = self.find_sent(effects, messages.Reserve)
        self.decode(peer, reserve, 0.6)
        superseded = messages.Failed(
            request_id="r",
            attempt=reserve.attempt,
            verdict="may_have_run",
            code=errors.Code.SUPERSEDED,
        )
        effects = self.reply(peer, superseded, 0.7)
        self.assertEqual(self.list_refused(effects), [])
        resumed = messages.Resumed(
            request_id="r",
            attempt=query.attempt,
            previous=reserve.attempt,
            tokens=2,
        )
        self.reply(peer, resumed, 0.7)
        effects = self.reply(peer, self.pieces(query.attempt, 0, "a", "b"), 0.7)
        self.assertEqual(self.list_delivered(effects), [("b",)])

    # Fails if the refusal of a new attempt ends the search for a partial
    # answer.
    def test_partial_answer_is_resumed_after_the_new_attempt_was_refused(self):
        self.start("p1", "d1", "d2")
        asked = self.find_sent(self.submit(resume_offset=1), messages.Resume)
        [(silent, query)] = [item for item in asked if item[0] == "d1"]
        [(_, other)] = [item for item in asked if item[0] == "d2"]
        self.reply("d2", self.refuse(other), 0.0)
        effects = self.run_until(2.0, start=0.0, silent=(silent,))
        reserve = next(
            message
            for peer, message in self.find_sent(effects, messages.Reserve)
            if peer == "d2"
        )
        effects.extend(self.reply("d2", self.refuse(reserve), 2.05))
        effects.extend(self.run_until(2.2, start=2.05, silent=(silent,)))
        self.assertEqual(self.list_refused(effects), [])
        self.assertNotIn(query.attempt, self.list_cancelled(effects, silent))
        resumed = messages.Resumed(
            request_id="r", attempt=query.attempt, previous=3, tokens=2
        )
        self.reply(silent, resumed, 2.25)
        effects = self.reply(
            silent, self.pieces(query.attempt, 0, "a", "b"), 2.25
        )
        self.assertEqual(self.list_delivered(effects), [("b",)])
