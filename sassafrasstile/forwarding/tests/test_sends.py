import random
import types
import unittest

from twisted.internet import task

from sassafrasstile import dispatch
from sassafrasstile import errors
from sassafrasstile import forwarding
from sassafrasstile import permits
from sassafrasstile import telemetry
from sassafrasstile import testing
from sassafrasstile import workspaces
from sassafrasstile.forwarding import _sends

_REQUEST = forwarding.OutgoingRequest(method=b"POST", target=b"/")
_LEAVING = dispatch.EndpointNotice(is_leaving=True)
_BACKOFF = dispatch.EndpointNotice(backoff_s=2.0)


class _Pool:
    """A pool whose connection is ready after something has happened."""

    def __init__(self, happen=lambda: None):
        self.happen = happen
        self.sends = 0

    async def send(self, *, on_send, **_fields):
        self.happen()
        on_send()
        self.sends += 1


class SendTest(unittest.TestCase):
    """Every request to an endpoint asks for permission."""

    def setUp(self):
        table = dispatch.EndpointTable(silence_timeout_s=1.0)
        table.update_record("e0", testing.make_endpoint_record("e0"))
        (self.endpoint,) = table.list_all()
        self.pool = _Pool()
        self.metrics = telemetry.RouterMetrics()
        self.context = types.SimpleNamespace(
            access=workspaces.AccessChecker(read_directory=lambda: None),
            now=lambda: 0.0,
            metrics=self.metrics,
            get_pool=lambda _endpoint: self.pool,
            generator=random.Random(1),
            permits=permits.SharedRateLimiter(reactor=task.Clock(), name="g1"),
        )

    def name_rate(self):
        self.context.permits.record(
            permits.make_key(self.endpoint.record),
            permits.StatedRate(rate_per_s=1.0, sent_at=0.0, seen_at=0.0),
        )

    def restrict(self, notice):
        self.endpoint.restrictions.apply(notice, now=0.0, spread=0.0)

    def send(self, **fields):
        testing.run(
            lambda: _sends.send(self.context, self.endpoint, _REQUEST, **fields)
        )

    def check_denied(self, code, **fields):
        with self.assertRaises(_sends.SendDeniedError) as raised:
            self.send(**fields)
        self.assertEqual(raised.exception.code, code)
        self.assertFalse(raised.exception.was_sent)
        self.assertEqual(self.pool.sends, 0)

    def test_restricted_endpoint_is_sent_nothing(self):
        self.restrict(_LEAVING)
        self.check_denied(errors.Code.LEAVING)

    def test_only_a_backoff_denies_releases(self):
        self.restrict(_LEAVING)
        self.send(is_release=True)
        self.assertEqual(self.pool.sends, 1)
        self.pool.sends = 0
        self.restrict(_BACKOFF)
        self.check_denied(errors.Code.ENDPOINT_BACKOFF, is_release=True)

    def test_send_needs_a_permit_where_a_rate_is_named(self):
        self.name_rate()
        self.send()
        self.assertEqual(self.pool.sends, 1)
        self.pool.sends = 0
        # It isn't asked for again before the next one is due.
        for fields in ({}, {"is_release": True}):
            self.check_denied(errors.Code.ENDPOINT_RATE, **fields)
        self.assertEqual(self.endpoint.restrictions.permit_wait_until, 1.0)

    # The permit of one request was lost when another one found none.
    def test_permit_holds_though_another_request_finds_none(self):
        self.name_rate()

        def wait():
            self.endpoint.restrictions.permit_wait_until = 1.0

        self.pool.happen = wait
        self.send()
        self.assertEqual(self.pool.sends, 1)

    # A rate was named after the look at it, and the send took no permit.
    def test_rate_named_while_the_connection_is_opened_counts(self):
        self.pool.happen = self.name_rate
        self.check_denied(errors.Code.ENDPOINT_RATE)

    # The permission was looked at only before the connection was opened.
    def test_notice_that_comes_while_the_connection_is_opened_counts(self):
        self.pool.happen = lambda: self.restrict(_BACKOFF)
        sent = []
        self.check_denied(
            errors.Code.ENDPOINT_BACKOFF, on_send=lambda: sent.append(True)
        )
        self.assertEqual(sent, [])

    def test_denied_sends_are_counted(self):
        self.restrict(_LEAVING)
        self.check_denied(errors.Code.LEAVING)
        counter = self.metrics.sends_denied.labels(errors.Code.LEAVING)
        self.assertEqual(counter._value.get(), 1)
