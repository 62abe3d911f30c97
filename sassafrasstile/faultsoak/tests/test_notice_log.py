import unittest

from sassafrasstile.faultsoak import _callers
from sassafrasstile.faultsoak import _notice_log


class NoticeLogTest(unittest.TestCase):
    """The check of what endpoints are sent after a notice."""

    def setUp(self):
        self.log = _notice_log.NoticeLog()
        self.outcomes = {}
        self.arrive("q0", 10.0)

    def arrive(self, request_id, at, gateway="g0"):
        """Records a request that is sent and arrives at once."""
        self.outcomes[request_id] = _callers.Outcome(
            kind="once", gateway=gateway, sent_at=at
        )
        self.log.arrivals.append(
            _notice_log.Arrival(endpoint="e0", request_id=request_id, at=at)
        )

    def announce(self, **fields):
        self.log.notices.append(
            _notice_log.Notice(
                endpoint="e0", request_id="q0", at=10.0, **fields
            )
        )

    def count_violations(self):
        return len(self.log.check(self.outcomes))

    def test_late_request_to_a_leaving_endpoint_is_found(self):
        self.announce(is_leaving=True)
        self.arrive("soon", 10.9)
        self.assertEqual(self.count_violations(), 0)
        self.arrive("late", 11.1)
        self.assertEqual(self.count_violations(), 1)

    def test_other_gateways_have_not_heard_the_notice(self):
        self.announce(is_leaving=True)
        self.arrive("late", 12.0, gateway="g1")
        self.assertEqual(self.count_violations(), 0)

    def test_new_instance_may_be_sent_requests(self):
        self.announce(is_leaving=True)
        self.log.end_notices("e0", 12.0)
        self.arrive("after", 12.1)
        self.assertEqual(self.count_violations(), 0)
        self.arrive("before", 11.9)
        self.assertEqual(self.count_violations(), 1)

    # What an endpoint asked for ends with its instance.
    def test_new_instance_has_not_asked_for_a_backoff(self):
        self.announce(until=14.0)
        self.log.end_notices("e0", 12.0)
        for number in range(3):
            self.arrive(f"after{number}", 12.1)
        self.assertEqual(self.count_violations(), 0)

    def test_third_request_in_a_backoff_is_found(self):
        self.announce(until=12.0)
        for number in range(2):
            self.arrive(f"early{number}", 10.4)
            self.arrive(f"during{number}", 11.0)
            self.arrive(f"after{number}", 12.1)
        self.assertEqual(self.count_violations(), 0)
        self.arrive("third", 11.5)
        self.assertEqual(self.count_violations(), 1)

    # The answer may be lost, or what it said forgotten in a restart.
    def test_disturbances_of_the_gateway_or_the_link_excuse(self):
        for name, expected in (("g0", 0), ("e0", 0), ("g1", 1)):
            self.setUp()
            self.announce(is_leaving=True)
            self.log.disturb(name, 10.5).end(10.6)
            self.arrive("late", 12.0)
            with self.subTest(name=name):
                self.assertEqual(self.count_violations(), expected)

    def test_disturbances_before_the_notice_excuse_nothing(self):
        self.log.disturb("g0", 8.0).end(8.5)
        self.announce(is_leaving=True)
        self.arrive("late", 12.0)
        self.assertEqual(self.count_violations(), 1)

    # The gateway closes the connection of a caller that is gone.
    def test_answer_that_the_caller_did_not_wait_for_counts_as_unread(self):
        self.announce(is_leaving=True)
        self.outcomes["q0"].has_disconnected = True
        self.arrive("late", 12.0)
        self.assertEqual(self.count_violations(), 0)
