import unittest

from sassafrasstile import messages
from sassafrasstile import sidecar


def _batch(*items, sent_at=0.0, incarnation="g.1", target=""):
    return messages.Batch(
        sender="g",
        incarnation=incarnation,
        target=target,
        sent_at=sent_at,
        messages=items,
    )


def _reserve(attempt, *, tokens=100, request_id="r"):
    return messages.Reserve(
        request_id=request_id, attempt=attempt, model="m", tokens=tokens
    )


def _prefill(attempt, *, tokens=100):
    return messages.Prefill(
        request_id="r",
        attempt=attempt,
        model="m",
        prompt="p",
        prompt_tokens=tokens,
    )


class EngineKernelTest(unittest.TestCase):
    def make(self, role="decode", **limits):
        kernel = sidecar.EngineKernel(
            name="e",
            incarnation="e.1",
            role=role,
            model="m",
            limits=sidecar.EngineLimits(**limits),
        )
        kernel.start(0.0)
        return kernel

    def receive(self, kernel, now, *items, **parameters):
        batch = _batch(*items, sent_at=now, **parameters)
        return kernel.receive(batch, now)

    def sent(self, effects):
        return [
            effect.message
            for effect in effects
            if isinstance(effect, sidecar.Send)
        ]

    def refusals(self, effects):
        return [
            (message.verdict, message.code)
            for message in self.sent(effects)
            if isinstance(message, messages.Failed)
        ]

    def test_duplicate_reservation_holds_memory_once(self):
        kernel = self.make()
        self.receive(kernel, 0.0, _reserve(1), _reserve(1))
        self.assertEqual(len(kernel.list_held()), 1)

    def test_refused_attempt_stays_refused_when_a_copy_comes_later(self):
        kernel = self.make("prefill", slots=1)
        self.receive(kernel, 0.0, _prefill(1))
        first = self.receive(kernel, 0.1, _prefill(2))
        self.assertEqual(self.refusals(first), [("not_run", "no_capacity")])
        cancel = messages.Cancel(request_id="r", attempt=1)
        self.receive(kernel, 0.2, cancel)
        kernel.confirm_cancel("r.g.1.1", now=0.3)
        second = self.receive(kernel, 0.4, _prefill(2))
        self.assertEqual(self.refusals(second), [("may_have_run", "cancelled")])

    def test_hold_is_released_when_the_lease_expires(self):
        kernel = self.make()
        self.receive(kernel, 0.0, _reserve(1))
        kernel.tick(2.4)
        self.assertEqual(len(kernel.list_held()), 1)
        effects = kernel.tick(2.6)
        self.assertEqual(kernel.list_held(), [])
        self.assertEqual(
            self.refusals(effects), [("may_have_run", "lease_lapsed")]
        )

    def test_late_batch_does_not_prolong_the_lease(self):
        kernel = self.make()
        self.receive(kernel, 0.0, _reserve(1))
        renew = messages.Renew(issued_below=2, live=(1,))
        kernel.receive(_batch(renew, sent_at=0.5), 2.0)
        kernel.tick(2.9)
        self.assertEqual(len(kernel.list_held()), 1)
        kernel.tick(3.1)
        self.assertEqual(kernel.list_held(), [])

    def test_renewal_releases_the_attempts_that_it_omits(self):
        kernel = self.make()
        self.receive(kernel, 0.0, _reserve(1), _reserve(2, request_id="s"))
        self.receive(kernel, 0.1, messages.Renew(issued_below=3, live=(2,)))
        self.assertEqual(kernel.list_held(), ["s.g.1.2"])

    def test_older_renewal_keeps_attempts_issued_after_it(self):
        kernel = self.make()
        self.receive(kernel, 0.0, _reserve(5))
        self.receive(kernel, 0.1, messages.Renew(issued_below=5))
        self.assertEqual(len(kernel.list_held()), 1)

    def test_renewal_of_an_unknown_attempt_is_reported(self):
        kernel = self.make()
        renew = messages.Renew(issued_below=9, live=(8,))
        effects = self.receive(kernel, 0.0, renew)
        self.assertEqual(
            self.refusals(effects), [("may_have_run", "unknown_hold")]
        )

    def test_restart_of_a_gateway_releases_its_holds(self):
        kernel = self.make()
        self.receive(kernel, 0.0, _reserve(1))
        self.receive(kernel, 0.1, incarnation="g.2")
        self.assertEqual(kernel.list_held(), [])

    def test_batch_addressed_to_an_older_incarnation_is_dropped(self):
        kernel = self.make()
        effects = self.receive(kernel, 0.0, _reserve(1), target="e.0")
        self.assertEqual((effects, kernel.list_held()), ([], []))

    def test_draining_endpoint_refuses_new_work_and_keeps_holds(self):
        kernel = self.make()
        self.receive(kernel, 0.0, _reserve(1))
        kernel.drain(0.1)
        effects = self.receive(kernel, 0.2, _reserve(2))
        self.assertEqual(self.refusals(effects), [("not_run", "leaving")])
        self.assertEqual(len(kernel.list_held()), 1)
        self.assertTrue(kernel.describe_load().leaving)

    def test_suspension_of_the_sidecar_does_not_expire_leases(self):
        kernel = self.make()
        self.receive(kernel, 0.0, _reserve(1))
        kernel.tick(9.0)
        self.assertEqual(len(kernel.list_held()), 1)
        kernel.tick(11.4)
        kernel.tick(11.6)
        self.assertEqual(kernel.list_held(), [])

    def test_work_without_a_hold_is_cancelled(self):
        kernel = self.make()
        effects = kernel.reconcile_work(("lost",), now=1.0)
        self.assertEqual(effects, [sidecar.CancelWork(work_id="lost")])

    def test_answer_continues_at_the_gateway_that_resumes_it(self):
        kernel = self.make()
        self.receive(kernel, 0.0, _reserve(1))
        decode = messages.Decode(
            request_id="r",
            attempt=1,
            model="m",
            prompt="p",
            prompt_tokens=10,
            max_tokens=4,
        )
        self.receive(kernel, 0.1, decode)
        kernel.add_tokens("r.g.1.1", ("a", "b"), now=0.2)
        resume = messages.Resume(request_id="r", attempt=7, offset=1)
        batch = messages.Batch(
            sender="h", incarnation="h.1", messages=(resume,)
        )
        effects = kernel.receive(batch, 0.3)
        sent = [(item.peer, type(item.message).__name__) for item in effects]
        self.assertEqual(
            sent, [("g", "Failed"), ("h", "Resumed"), ("h", "Pieces")]
        )
        more = kernel.add_tokens("r.g.1.1", ("c",), now=0.4)
        self.assertEqual([(e.peer, e.message.offset) for e in more], [("h", 2)])
