import unittest

from sassafrasstile.faultsoak import _deadly_prompts
from sassafrasstile.faultsoak import _notice_log


class DeadlyPromptCheckTest(unittest.TestCase):
    """The check of what reaches engines and of what callers receive."""

    def check(self, *requests, disturbed_at=0.0):
        """Returns the number of violations after five crashes."""
        notices = _notice_log.NoticeLog()
        notices.disturb("g0", disturbed_at).until = disturbed_at
        prompts = _deadly_prompts.DeadlyPrompts(
            reactor=None, gateways=[], notices=notices, seed=1
        )
        prompts.crashes = [100.0, 101.0, 102.0, 103.0, 104.0]
        for number, (sent_at, fields) in enumerate(requests):
            prompts.requests[f"p{number}"] = _deadly_prompts.Request(
                gateway="g0", sent_at=sent_at, **fields
            )
        return len(prompts.check())

    def test_fourth_late_arrival_is_found(self):
        for at, expected in ((108.9, 0), (109.1, 1)):
            late = {"is_deadly": True, "arrivals": [110.0, 111.0, 112.0, at]}
            with self.subTest(at=at):
                self.assertEqual(self.check((100.0, late)), expected)
        self.assertEqual(self.check((100.0, late), disturbed_at=107.5), 0)
        self.assertEqual(self.check((100.0, late), disturbed_at=104.0), 1)

    def test_sound_requests_that_begin_too_seldom_are_found(self):
        whole = {"is_deadly": False, "has_begun": True}
        none = {"is_deadly": False}
        for begun, expected in ((10, 0), (9, 1)):
            requests = [(99.0, whole)] * 20 + [(115.0, whole)] * begun
            requests += [(115.0, none)] * (20 - begun)
            with self.subTest(begun=begun):
                self.assertEqual(self.check(*requests), expected)

    def test_refused_request_that_reached_an_engine_is_found(self):
        refused = {"is_deadly": True, "status": 503, "arrivals": [99.0]}
        self.assertEqual(self.check((99.0, refused)), 1)
