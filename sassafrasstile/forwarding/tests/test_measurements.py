import types
import unittest

from twisted.internet import task

from sassafrasstile import dispatch
from sassafrasstile import membership
from sassafrasstile import speeds
from sassafrasstile import testing
from sassafrasstile.forwarding import _measurements


class MeasurementsTest(unittest.TestCase):
    """What is learned from the times of one generation."""

    def setUp(self):
        self.clock = task.Clock()
        self.table = dispatch.EndpointTable(silence_timeout_s=1.0)
        record = testing.make_endpoint_record("e", role=membership.Role.DECODE)
        self.table.update_record("e", record)
        self.engine = self.table.find("e")
        self.context = types.SimpleNamespace(
            now=self.clock.seconds,
            speed_sharing=dispatch.SpeedSharing(endpoints=self.table),
        )

    def estimate_s(self, kind, work):
        return self.engine.speeds.estimate_s(kind, work, self.clock.seconds())

    def stream(self, meter, *, events, gap_s):
        for _ in range(events):
            self.clock.advance(gap_s)
            meter.record_event(self.clock.seconds())

    def make_meter(self, start=None):
        return _measurements.StreamMeter(
            context=self.context,
            engine=self.engine,
            tokens_per_event=7,
            start=start,
        )

    def test_prefill_counts_with_the_prompts_queued_before_it(self):
        for _ in range(20):
            self.engine.prefill_tokens = 20_000
            timer = _measurements.time_prefill(self.context, self.engine)
            self.clock.advance(0.8)
            timer.record_end()
        alone_s = self.estimate_s(speeds.Kind.PREFILL, 5000)
        self.assertLess(abs(alone_s - 0.2), 0.05)

    def test_time_from_the_admission_ends_with_the_first_event(self):
        for _ in range(20):
            granted_at = self.clock.seconds()
            self.clock.advance(0.3)
            start = _measurements.time_admission(
                self.context,
                self.engine,
                prefill_work=5000,
                granted_at=granted_at,
            )
            meter = self.make_meter(start)
            self.stream(meter, events=1, gap_s=0.2)
            self.stream(meter, events=5, gap_s=0.04)
        seconds = self.estimate_s(speeds.Kind.ADMISSION, 5000)
        self.assertLess(abs(seconds - 0.5), 0.05)

    def test_steps_are_learned_from_gaps(self):
        self.stream(self.make_meter(), events=200, gap_s=0.14)
        seconds = self.estimate_s(speeds.Kind.STEP, 0)
        self.assertLess(abs(seconds - 0.02), 0.004)

    # Guards against callers who make an engine look slow by reading slowly.
    def test_slow_caller_does_not_make_the_engine_look_slow(self):
        meter = self.make_meter()
        for _ in range(20):
            self.stream(meter, events=13, gap_s=0.042)
            meter.pause(self.clock.seconds())
            self.clock.advance(5.0)
            meter.resume(self.clock.seconds())
        seconds = self.estimate_s(speeds.Kind.STEP, 0)
        self.assertLess(abs(seconds - 0.006), 0.001)
