import random
import types
import unittest

from twisted.internet import defer
from twisted.internet import task

from sassafrasstile import dispatch
from sassafrasstile import errors
from sassafrasstile import forwarding
from sassafrasstile import permits
from sassafrasstile import telemetry
from sassafrasstile import testing
from sassafrasstile import verdicts
from sassafrasstile import web
from sassafrasstile import workspaces
from sassafrasstile.forwarding import _attempts
from sassafrasstile.platform import _codec

_MISDIRECTED = 421
_REQUEST = forwarding.OutgoingRequest(method=b"POST", target=b"/")


class _Connection:
    """A connection on which one answer arrives."""

    def __init__(self, head):
        self.head = head

    async def send(self, *, on_send, **_fields):
        on_send()
        return self

    async def read_head(self):
        return self.head

    async def read_body(self, _kind):
        return b""

    def close(self):
        pass


class AttemptTest(unittest.TestCase):
    """What an answer proves about a request that may run once at most."""

    def setUp(self):
        table = dispatch.EndpointTable(silence_timeout_s=1.0)
        table.update_record("e0", testing.make_endpoint_record("e0"))
        (self.endpoint,) = table.list_all()

    def attempt(self, *headers):
        """Sends request r1, which is answered with status 421."""
        clock = task.Clock()
        head = web.ResponseHead(
            status=_MISDIRECTED, reason=b"", headers=headers
        )
        attempt = _attempts.Attempt(
            context=types.SimpleNamespace(
                access=workspaces.AccessChecker(read_directory=lambda: None),
                now=clock.seconds,
                reactor=clock,
                codec=_codec.PlatformCodec(),
                permits=permits.SharedRateLimiter(reactor=clock, name="g1"),
                metrics=telemetry.RouterMetrics(),
                get_pool=lambda _endpoint: _Connection(head),
                generator=random.Random(1),
            ),
            endpoint=self.endpoint,
            request_id="r1",
            number=1,
        )
        results = []
        sending = attempt.start(_REQUEST, timeout_s=1.0)
        defer.ensureDeferred(sending).addBoth(results.append)
        return results[0]

    def test_other_instance_refuses_the_request(self):
        verdict = self.attempt(
            (b"x-attempt-id", b"r1"), (b"x-instance-id", b"e9")
        )
        self.assertIsInstance(verdict, verdicts.NotRun)
        self.assertEqual(verdict.code, errors.Code.ENDPOINT_REPLACED)

    # A late answer to an earlier request counted as proof that this one hadn't
    # run, since only answers of the same instance were asked whose they are.
    def test_late_refusal_of_another_request_proves_nothing(self):
        for instance in (b"e0", b"e9"):
            with self.subTest(instance=instance):
                verdict = self.attempt(
                    (b"x-attempt-id", b"r0"), (b"x-instance-id", instance)
                )
                self.assertIsInstance(verdict, verdicts.MayHaveRun)
                self.assertEqual(verdict.code, errors.Code.BAD_ANSWER)
