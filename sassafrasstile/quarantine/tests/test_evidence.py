import unittest

from sassafrasstile import quarantine
from sassafrasstile.quarantine import _base
from sassafrasstile.quarantine import _evidence

_SERVICE = "writer"


def _make_prompt(*parts):
    return quarantine.Prompt.make(_SERVICE, parts)


def _make_key(part):
    return _base.make_key(_SERVICE, part)


class CrashLogTest(unittest.TestCase):
    """What crashes have in common."""

    def setUp(self):
        self.log = quarantine.CrashLog()
        self.now = 10.0
        self.engines = 0

    def crash(self, *prompts):
        """Loses a further engine under some prompts."""
        self.engines += 1
        self.log.add(
            f"engine {self.engines}", prompts, at=self.now, now=self.now
        )

    def answer(self, *parts):
        prompt = _make_prompt(*parts)
        self.log.record_answered(prompt)
        return self.log.record_sound(prompt.shared, now=self.now)

    def is_refused(self, *parts):
        return self.log.find(_make_prompt(*parts), self.now) is not None

    # Guards against engines that crash one after the other under new prompts
    # with the same part.
    def test_part_at_three_crashes_is_refused(self):
        self.answer("system", "sound", "s0")
        for number in range(2):
            self.crash(_make_prompt("system", "bad", f"own {number}"))
            self.assertFalse(self.is_refused("system", "bad", "new"))
        self.crash(_make_prompt("system", "bad", "own 2"))
        self.assertTrue(self.is_refused("system", "bad", "new"))
        self.assertTrue(self.is_refused("other", "bad", "more", "new"))

    # Guards against refusing sound prompts that share their other parts with
    # the deadly ones.
    def test_prompts_without_the_part_are_let_through(self):
        self.answer("system", "sound", "s0")
        for number in range(5):
            self.crash(
                _make_prompt("system", "bad", f"own {number}"),
                _make_prompt("system", f"session {number}", f"s{number}"),
            )
        self.assertTrue(self.is_refused("system", "bad", "new"))
        self.assertFalse(self.is_refused("system", "session 1", "new"))
        self.assertFalse(self.is_refused("system", "new"))

    # Guards against the same before any prompt was answered, as after a restart
    # of all gateways.
    def test_fewest_prompts_are_refused_while_no_part_is_known_to_be_sound(
        self,
    ):
        for number in range(5):
            self.crash(
                _make_prompt("system", "bad", f"own {number}"),
                _make_prompt("system", f"session {number}", f"s{number}"),
            )
        self.assertTrue(self.is_refused("system", "bad", "new"))
        self.assertFalse(self.is_refused("system", "session 1", "new"))
        self.assertFalse(self.is_refused("system", "other", "new"))

    # Guards against a deadly part that is let through beside a part that most
    # of the prompts at the crashes had by chance.
    def test_part_is_found_beside_a_part_that_is_answered_later(self):
        for number in range(3):
            self.crash(_make_prompt("session", "bad", f"own {number}"))
        self.assertFalse(self.is_refused("other", "bad", "new"))
        self.assertEqual(self.answer("session", "s"), [_make_key("session")])
        self.assertTrue(self.is_refused("other", "bad", "new"))
        self.assertFalse(self.is_refused("session", "good", "new"))

    def test_part_without_others_is_found_at_the_first_place_too(self):
        for number in range(3):
            self.crash(_make_prompt("bad", f"own {number}"))
        self.assertTrue(self.is_refused("bad", "new"))

    # Guards against refusing the prompts of a session because one of them was
    # sent again and again while engines were lost.
    def test_one_prompt_at_crashes_says_nothing_about_its_parts(self):
        prompt = _make_prompt("system", "session", "own")
        for _ in range(4):
            self.crash(prompt)
        self.assertTrue(self.is_refused("system", "session", "own"))
        self.assertFalse(self.is_refused("system", "session", "other"))

    # Guards against a prompt that is sent to engine after engine.
    def test_prompt_at_two_crashes_is_not_sent_again(self):
        prompt = _make_prompt("system", "session", "own")
        self.crash(prompt)
        self.assertFalse(self.is_refused("system", "session", "own"))
        self.crash(prompt)
        self.assertTrue(self.is_refused("system", "session", "own"))

    def test_prompt_that_was_answered_is_no_suspect(self):
        prompt = _make_prompt("system", "session", "own")
        self.crash(prompt)
        self.answer("system", "session", "own")
        self.crash(prompt)
        self.assertFalse(self.is_refused("system", "session", "own"))

    def test_one_engine_counts_once(self):
        for number in range(4):
            prompt = _make_prompt("bad", f"own {number}")
            self.log.add("engine", (prompt,), at=self.now, now=self.now)
        self.assertFalse(self.is_refused("bad", "new"))

    def test_refusal_ends_and_one_more_crash_renews_it(self):
        for number in range(3):
            self.crash(_make_prompt("bad", f"own {number}"))
        self.now += _evidence.REFUSAL_S
        self.assertFalse(self.is_refused("bad", "new"))
        self.crash(_make_prompt("bad", "new"))
        self.assertTrue(self.is_refused("bad", "newer"))

    def test_suspicion_tells_when_it_ends(self):
        for number in range(3):
            self.crash(_make_prompt("bad", f"own {number}"))
        suspicion = self.log.find(_make_prompt("bad", "new"), self.now)
        self.assertEqual(suspicion.until, self.now + _evidence.REFUSAL_S)
        self.assertEqual(suspicion.crashes, 3)

    # Guards against a session that stays refused since two of its requests were
    # at crashes of other causes.
    def test_prompt_is_refused_for_itself_only_briefly(self):
        prompt = _make_prompt("system", "session")
        for _ in range(2):
            self.crash(prompt)
        self.now += _evidence.PROMPT_REFUSAL_S
        self.assertFalse(self.is_refused("system", "session"))

    def test_crashes_are_forgotten(self):
        for number in range(2):
            self.crash(_make_prompt("bad", f"own {number}"))
        self.now += _evidence.MEMORY_S
        self.crash(_make_prompt("bad", "own 2"))
        self.assertFalse(self.is_refused("bad", "new"))
        self.assertEqual(len(self.log.list_crashes(self.now)), 1)

    # Guards against a part that became deadly with a new software version, and
    # was answered by the former one.
    def test_part_that_was_answered_long_ago_may_be_deadly(self):
        self.answer("bad", "s0")
        self.now += _evidence.SOUND_S
        for number in range(3):
            self.crash(_make_prompt("bad", f"own {number}"))
        self.assertTrue(self.is_refused("bad", "new"))

    # Guards against callers who fill the gateway's memory.
    def test_memory_is_bounded(self):
        for number in range(300):
            prompts = [
                _make_prompt(f"a{number} {item}", f"own {number} {item}")
                for item in range(30)
            ]
            self.crash(*prompts)
        crashes = self.log.list_crashes(self.now)
        self.assertLessEqual(len(crashes), 64)
        self.assertLessEqual(max(len(item.suspects) for item in crashes), 16)

    def test_prompt_has_a_bounded_number_of_parts(self):
        prompt = _make_prompt(*(f"p{number}" for number in range(1000)))
        self.assertLessEqual(len(prompt.shared), 16)

    def test_other_services_are_not_concerned(self):
        for number in range(3):
            self.crash(_make_prompt("bad", f"own {number}"))
        other = quarantine.Prompt.make("reader", ("bad", "new"))
        self.assertIsNone(self.log.find(other, self.now))

    def test_prompts_without_parts_are_never_refused(self):
        for _ in range(5):
            self.crash(_make_prompt())
        self.assertFalse(self.is_refused())
