import random
import statistics
import unittest

from sassafrasstile import speeds

_PREFILL = speeds.Kind.PREFILL
_STEP = speeds.Kind.STEP


def _observe(kind, work, seconds):
    return speeds.Observation(kind=kind, work=work, seconds=seconds)


class EndpointSpeedsTest(unittest.TestCase):
    """What is believed about an engine after the times of its answers."""

    def setUp(self):
        self.service = speeds.ServiceSpeeds()
        self.engines = {
            speed: speeds.EndpointSpeeds(service=self.service)
            for speed in (0.6, 1.0, 1.6)
        }
        self.generator = random.Random(1)
        self.now = 0.0

    def prefill(self, engine, tokens, speed):
        self.now += 0.05
        return engine.add(
            _observe(_PREFILL, tokens, 0.06 + tokens / (55_000 * speed)),
            self.now,
        )

    def learn(self, count, tokens=lambda _generator: 5000):
        for _ in range(count):
            for speed, engine in self.engines.items():
                self.prefill(engine, tokens(self.generator), speed)

    def estimate(self, engine, tokens=5000, kind=_PREFILL):
        return engine.estimate_s(kind, tokens, self.now)

    def list_order(self, tokens=5000):
        return sorted(
            self.engines,
            key=lambda speed: self.estimate(self.engines[speed], tokens),
        )

    def test_fresh_engines_read_fifty_thousand_tokens_a_second(self):
        for engine in self.engines.values():
            self.assertAlmostEqual(self.estimate(engine), 0.1)
            wait_s = engine.estimate_wait_s(_PREFILL, 15_000, 0.0)
            self.assertAlmostEqual(wait_s, 0.3)

    def test_three_speeds_are_in_order_after_two_prompts_of_each(self):
        self.learn(2)
        self.assertEqual(self.list_order(), [1.6, 1.0, 0.6])

    def test_durations_are_learned(self):
        self.learn(40, lambda generator: generator.choice((1000, 4000, 15000)))
        for speed, engine in self.engines.items():
            for tokens in (1000, 8000, 15_000):
                expected_s = 0.06 + tokens / (55_000 * speed)
                learned_s = self.estimate(engine, tokens)
                self.assertLess(abs(learned_s / expected_s - 1), 0.45)

    # Guards against callers who make an engine look slow by long prompts.
    def test_long_prompts_are_not_slow_engines(self):
        long_prompts, short_prompts = self.engines[0.6], self.engines[1.6]
        for _ in range(30):
            self.prefill(long_prompts, 11_000, 1.0)
            self.prefill(short_prompts, 600, 1.0)
        ratio = self.estimate(long_prompts) / self.estimate(short_prompts)
        self.assertLess(abs(ratio - 1), 0.25)

    def test_spell_of_the_fastest_engine_is_noticed_and_forgotten(self):
        self.learn(20)
        fastest = self.engines[1.6]
        usual_s = self.estimate(fastest)
        for _ in range(3):
            self.prefill(fastest, 5000, 1.6 / 5)
        self.assertGreater(self.estimate(fastest), 2 * usual_s)
        self.now += 6.0
        self.assertLess(self.estimate(fastest), 1.3 * usual_s)
        self.assertEqual(self.list_order(), [1.6, 1.0, 0.6])

    def test_new_incarnation_begins_as_a_typical_engine(self):
        self.learn(20)
        restarted = speeds.EndpointSpeeds(service=self.service)
        self.engines[1.6] = restarted
        medium_s = self.estimate(self.engines[1.0])
        self.assertLess(abs(self.estimate(restarted) / medium_s - 1), 0.3)
        for _ in range(4):
            self.prefill(restarted, 5000, 0.3)
        self.assertEqual(self.list_order(), [1.0, 0.6, 1.6])

    # Guards against an engine that gets all the work, since its answers are
    # impossibly quick or it lies.
    def test_engine_of_quick_answers_is_believed_within_bounds(self):
        self.learn(20)
        liar = self.engines[0.6]
        usual_s = self.estimate(liar)
        self.now += 0.05
        liar.add(_observe(_PREFILL, 5000, 1e-5), self.now)
        self.assertGreater(self.estimate(liar), 0.6 * usual_s)
        for _ in range(200):
            self.now += 0.05
            liar.add(_observe(_PREFILL, 5000, 1e-5), self.now)
        self.assertGreater(self.estimate(liar), 0.2 * usual_s)

    def test_values_that_are_no_durations_are_ignored(self):
        engine = self.engines[1.0]
        nan, infinite = float("nan"), float("inf")
        for work, seconds in (
            (5000, nan),
            (5000, infinite),
            (5000, -1.0),
            (nan, 0.1),
            (-1, 0.1),
        ):
            engine.add(_observe(_PREFILL, work, seconds), 0.0)
        self.assertAlmostEqual(self.estimate(engine), 0.1)

    def test_prefill_speed_is_expected_of_a_former_decode_engine(self):
        slow = self.engines[0.6]
        for _ in range(30):
            self.now += 0.05
            for speed, engine in self.engines.items():
                engine.add(_observe(_STEP, 5, 0.006 / speed), self.now)
        self.assertGreater(self.estimate(slow), 0.12)

    def test_times_of_answers_scaled_by_four_are_learned(self):
        for factor in (0.25, 4.0):
            engine = speeds.EndpointSpeeds()
            for number in range(10):
                engine.add(
                    _observe(_PREFILL, 5000, factor * 0.1), float(number)
                )
            learned_s = engine.estimate_s(_PREFILL, 5000, 10.0)
            self.assertLess(abs(learned_s / (factor * 0.1) - 1), 0.25)


class StepMeterTest(unittest.TestCase):
    """Steps measured by the events of a stream."""

    def measure(self, times, pauses=()):
        meter = speeds.StepMeter(tokens_per_event=7)
        found = []
        for number, now in enumerate(times):
            if number in pauses:
                meter.restart()
            found.append(meter.record_event(now, in_flight=4))
        return [item.seconds for item in found if item is not None]

    def test_events_that_arrive_in_groups_count_by_their_mean(self):
        times = [0.042 * (4 * (number // 4)) for number in range(49)]
        mean = statistics.fmean(self.measure(times))
        self.assertLess(abs(mean / 0.006 - 1), 0.1)

    # Guards against a caller who reads slowly and makes its engine look slow.
    def test_time_without_reading_is_left_out(self):
        times = [0.042 * number for number in range(6)]
        times += [5.0 + item for item in times] + [
            5.0 + 0.042 * number for number in range(6, 20)
        ]
        for seconds in self.measure(times, pauses=(6,)):
            self.assertAlmostEqual(seconds, 0.006)
