import unittest

from sassafrasstile.frontend import _identity


class _Request:
    """A request with nothing but headers."""

    def __init__(self, **headers):
        self._headers = {
            name.replace("_", "-"): value for name, value in headers.items()
        }

    def getHeader(self, name):  # noqa: N802
        return self._headers.get(name)


class FirstAttemptTest(unittest.TestCase):
    def check(self, expected, **headers):
        with self.subTest(headers=headers):
            request = _Request(**headers)
            self.assertEqual(_identity.is_first_attempt(request), expected)

    def test_caller_that_names_no_key_can_not_retry(self):
        self.check(True)
        self.check(True, x_request_id="not an id")

    def test_caller_declares_the_first_attempt_of_its_key(self):
        self.check(False, idempotency_key="k")
        self.check(True, idempotency_key="k", x_retry_count="0")
        self.check(False, idempotency_key="k", x_retry_count="1")

    # Such an id is the key of its call, and each retry with it counted as the
    # first attempt: after a crash in an outage of the log it ran again.
    def test_request_id_of_the_caller_is_a_key(self):
        self.check(False, x_request_id="r")
        self.check(True, x_request_id="r", x_retry_count="0")
        self.check(False, x_request_id="r", x_retry_count="1")
