import types
import unittest

from sassafrasstile import routes
from sassafrasstile.forwarding import _retries


def _make_task(*, sends, max_attempts=5, resumable=True):
    route = routes.Route(
        name="r",
        host="h",
        prefix="/",
        kind=routes.RouteKind.GENERATION,
        services=(),
        timeout_s=14.0,
        target_s=0.9,
        max_attempts=max_attempts,
        resumable=resumable,
    )
    return types.SimpleNamespace(
        route=route, sends=sends, count_run_endpoints=lambda: sends
    )


class LastSendTest(unittest.TestCase):
    """The last send of a request waits for its answer until the deadline."""

    def test_last_of_all_sends_is_the_last(self):
        self.assertFalse(_retries.is_last_send(_make_task(sends=0)))
        before_last = _make_task(sends=_retries.MAX_SENDS - 1)
        self.assertTrue(_retries.is_last_send(before_last))

    def test_send_to_the_last_allowed_endpoint_is_the_last(self):
        task = _make_task(sends=1, max_attempts=2)
        self.assertTrue(_retries.is_last_send(task))

    def test_only_send_of_a_request_that_may_not_be_repeated_is_the_last(self):
        task = _make_task(sends=0, resumable=False)
        self.assertTrue(_retries.is_last_send(task))
