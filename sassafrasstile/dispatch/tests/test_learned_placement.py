import random
import unittest

from sassafrasstile import dispatch
from sassafrasstile import membership
from sassafrasstile import routes
from sassafrasstile import speeds
from sassafrasstile import testing

_SERVICE = routes.Service(
    name="engine",
    engine=routes.EngineProfile(
        slots=8,
        capacity_tokens=40_000,
        tokens_per_event=7,
        handle_ttl_s=0.5,
        hold_s=2.0,
    ),
)
_SIZE = dispatch.WorkSize(prompt_tokens=5000, output_tokens=500)
_SPEEDS = {"slow": 0.4, "medium": 1.0, "fast": 1.6}
_NOW = 10.0


class LearnedPlacementTest(unittest.TestCase):
    """Placement on engines of three speeds that were observed for a while."""

    def setUp(self):
        self.table = dispatch.EndpointTable(silence_timeout_s=1.0)
        for role in (membership.Role.PREFILL, membership.Role.DECODE):
            for speed in _SPEEDS:
                name = f"{role.value}-{speed}"
                self.table.update_record(
                    name, testing.make_endpoint_record(name, role=role)
                )
        self.placement = dispatch.Placement(
            endpoints=self.table, zone="a", generator=random.Random(1)
        )

    def learn(self):
        for _ in range(20):
            for speed, factor in _SPEEDS.items():
                self.observe(
                    f"prefill-{speed}", speeds.Kind.PREFILL, 5000, 0.1 / factor
                )
                self.observe(
                    f"decode-{speed}", speeds.Kind.STEP, 4, 0.006 / factor
                )

    def observe(self, name, kind, work, seconds):
        self.table.find(name).speeds.add(
            speeds.Observation(kind=kind, work=work, seconds=seconds), _NOW
        )

    def set_backlogs(self, **tokens):
        for speed, count in tokens.items():
            self.table.find(f"prefill-{speed}").prefill_tokens = count

    def choose(self, size=_SIZE, *, is_late=False):
        return self.placement.choose_for_generation(
            service=_SERVICE, size=size, now=_NOW, is_late=is_late
        )

    def choose_prefill(self, **fields):
        return self.choose(**fields).prefill.name

    def test_backlog_counts_in_seconds_of_its_engine(self):
        self.set_backlogs(slow=0, medium=4000, fast=7000)
        self.assertEqual(self.choose_prefill(), "prefill-slow")
        self.learn()
        self.assertEqual(self.choose_prefill(), "prefill-fast")

    def test_equal_engines_are_placed_as_assumed(self):
        """Load: equal engines, whose answers a busy gateway reads late."""
        for _ in range(40):
            for speed in _SPEEDS:
                self.observe(f"prefill-{speed}", speeds.Kind.PREFILL, 5000, 0.3)
                self.observe(f"decode-{speed}", speeds.Kind.STEP, 4, 0.02)
        self.set_backlogs(slow=14_000, medium=14_500, fast=14_900)
        self.assertEqual(self.choose_prefill(), "prefill-slow")

    # Guards against idle slow engines in an overload.
    def test_late_prompt_takes_an_idle_slow_engine(self):
        self.learn()
        self.set_backlogs(medium=6000, fast=10_000)
        name = self.choose_prefill(is_late=True)
        self.assertEqual(name, "prefill-slow")

    def test_fast_decode_engine_gets_more(self):
        self.learn()
        counts = dict.fromkeys(_SPEEDS, 0)
        for _ in range(20):
            grants = []
            for _ in range(6):
                grants.append(self.choose())
                grants[-1].reserve()
                name = grants[-1].decode.name
                counts[name.removeprefix("decode-")] += 1
                grants[-1].release_prefill()
            for grant in grants:
                grant.release()
        self.assertGreater(counts["fast"], counts["medium"])
        self.assertGreater(counts["medium"], counts["slow"])
        self.assertGreater(counts["slow"], 0)

    def test_slow_engine_prefills_only_shorter_prompts_beside_streams(self):
        self.learn()
        allowed = {}
        for speed in _SPEEDS:
            decode = self.table.find(f"decode-{speed}")
            decode.in_flight = 5
            allowed[speed] = max(
                tokens
                for tokens in range(0, 20_000, 500)
                if self.placement.can_prefill_locally(
                    decode, dispatch.WorkSize(prompt_tokens=tokens), _NOW
                )
            )
        self.assertLess(allowed["slow"], allowed["medium"])
        self.assertLess(allowed["medium"], allowed["fast"])

    def test_expected_start_follows_what_was_seen(self):
        before_s = self.placement.estimate_start_s(_SERVICE, _SIZE)
        self.assertAlmostEqual(before_s, 0.25)
        for _ in range(30):
            self.observe("decode-fast", speeds.Kind.ADMISSION, 5000, 0.5)
        after_s = self.placement.estimate_start_s(_SERVICE, _SIZE)
        self.assertGreater(after_s, 0.35)


class LearnedCallTest(unittest.TestCase):
    """Calls to endpoints of which one has a slow spell."""

    def setUp(self):
        self.table = dispatch.EndpointTable(silence_timeout_s=1.0)
        for name in ("e1", "e2", "e3"):
            record = testing.make_endpoint_record(
                name, role=membership.Role.PLAIN
            )
            self.table.update_record(name, record)
        self.placement = dispatch.Placement(
            endpoints=self.table, zone="a", generator=random.Random(1)
        )
        for name in ("e1", "e2", "e3"):
            for _ in range(20):
                self.observe(name, 0.05)

    def observe(self, name, seconds):
        self.table.find(name).speeds.add(
            speeds.Observation(
                kind=speeds.Kind.CALL, work=1.0, seconds=seconds
            ),
            _NOW,
        )

    def count_choices(self, now):
        chosen = [
            self.placement.choose_for_call(service="engine", now=now).name
            for _ in range(60)
        ]
        return {name: chosen.count(name) for name in ("e1", "e2", "e3")}

    def test_endpoint_in_a_spell_gets_no_calls_until_it_is_forgotten(self):
        for _ in range(3):
            self.observe("e1", 0.25)
        self.assertEqual(self.count_choices(_NOW)["e1"], 0)
        self.assertGreater(self.count_choices(_NOW + 8.0)["e1"], 0)
