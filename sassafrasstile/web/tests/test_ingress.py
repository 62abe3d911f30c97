import socket

from twisted.internet import defer

from sassafrasstile import routes
from sassafrasstile import testing
from sassafrasstile import web

_REQUEST = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
_SHORT_S = 0.3
_LONG_S = 30.0


class _IngressTestCase(testing.ReactorTestCase):
    """One caller's connection to an ingress that answers at once."""

    def setUp(self):
        self.factory = web.IngressFactory(
            reactor=self.reactor,
            handler=lambda _request, exchange: exchange.respond(status=200),
        )
        self.port = self.reactor.listenTCP(
            0, self.factory, interface="127.0.0.1"
        )
        self.caller = socket.create_connection(
            ("127.0.0.1", self.port.getHost().port)
        )
        self.caller.settimeout(0.0)

    def tearDown(self):
        self.caller.close()

    async def call(self):
        self.caller.sendall(_REQUEST)
        await self.read()

    async def read(self):
        received = []

        def has_read():
            try:
                received.append(self.caller.recv(4096))
            except BlockingIOError:
                return False
            return True

        await self.wait_until(has_read)
        return received[0]

    async def close(self):
        self.caller.close()
        await self.wait_until(lambda: not self.factory.channels)
        await defer.maybeDeferred(self.port.stopListening)


class CloseIdleTest(_IngressTestCase):
    """Idle connections close, and no request is lost by that."""

    @testing.on_reactor
    async def test_answered_connection_closes(self):
        await self.call()
        self.factory.close_idle()
        self.assertEqual(await self.read(), b"")
        await self.close()

    # A connection was closed with a request in its receive buffer.
    @testing.on_reactor
    async def test_request_that_waits_unread_is_answered(self):
        await self.call()
        self.caller.sendall(_REQUEST)
        self.factory.close_idle()
        self.assertIn(b" 200 ", await self.read())
        await self.close()

    # A connection was closed before its caller had sent the first request.
    @testing.on_reactor
    async def test_connection_without_a_request_yet_stays_open(self):
        await self.wait_until(lambda: self.factory.channels)
        self.factory.close_idle()
        self.assertTrue(self.factory.expects_requests())
        await self.call()
        self.assertFalse(self.factory.expects_requests())
        await self.close()

    @testing.on_reactor
    async def test_connection_that_sends_nothing_is_not_waited_for(self):
        await self.wait_until(lambda: self.factory.channels)
        await self.wait_until(lambda: not self.factory.expects_requests())
        await self.close()


class IdleTimeoutTest(_IngressTestCase):
    """The idle timeout closes no connection that its caller may still use."""

    def set_idle_timeout(self, timeout_s):
        self.factory.limits = routes.CallerLimits(idle_timeout_s=timeout_s)

    # A connection opened under a shorter limit was closed, beside a change of
    # the configuration, before the limit in force had passed.
    @testing.on_reactor
    async def test_longer_limit_holds_for_an_idle_connection(self):
        self.set_idle_timeout(_SHORT_S)
        await self.call()
        self.set_idle_timeout(_LONG_S)
        await self.sleep(3 * _SHORT_S)
        self.caller.sendall(_REQUEST)
        self.assertIn(b" 200 ", await self.read())
        await self.close()

    # The same for a connection whose request is answered after the change.
    @testing.on_reactor
    async def test_longer_limit_holds_for_a_connection_in_use(self):
        exchanges = []
        self.factory.handler = lambda _request, exchange: exchanges.append(
            exchange
        )
        self.set_idle_timeout(_SHORT_S)
        self.caller.sendall(_REQUEST)
        await self.wait_until(lambda: exchanges)
        self.set_idle_timeout(_LONG_S)
        exchanges.pop().respond(status=200)
        await self.read()
        await self.sleep(3 * _SHORT_S)
        self.caller.sendall(_REQUEST)
        await self.wait_until(lambda: exchanges)
        exchanges.pop().respond(status=200)
        self.assertIn(b" 200 ", await self.read())
        await self.close()

    # A caller that knew only the former, longer limit found its connection
    # closed.
    @testing.on_reactor
    async def test_shorter_limit_spares_an_idle_connection(self):
        self.set_idle_timeout(_LONG_S)
        await self.call()
        self.set_idle_timeout(_SHORT_S)
        await self.sleep(3 * _SHORT_S)
        self.caller.sendall(_REQUEST)
        self.assertIn(b" 200 ", await self.read())
        await self.close()

    # A connection was closed with a request in its receive buffer, after the
    # process had been held up.
    @testing.on_reactor
    async def test_request_that_waits_at_the_idle_timeout_is_answered(self):
        await self.call()
        self.caller.sendall(_REQUEST)
        for channel in self.factory.channels:
            channel.timeoutConnection()
        self.assertIn(b" 200 ", await self.read())
        await self.close()

    @testing.on_reactor
    async def test_idle_connection_closes(self):
        self.set_idle_timeout(_SHORT_S)
        await self.call()
        self.assertEqual(await self.read(), b"")
        await self.close()

    # A connection was closed without an answer while a body was being read;
    # what arrived of it before the close was passed on all the same.
    @testing.on_reactor
    async def test_body_that_stalls_is_refused(self):
        handled = []
        self.factory.handler = lambda request, _exchange: handled.append(
            request
        )
        self.set_idle_timeout(_SHORT_S)
        self.caller.sendall(
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\na"
        )
        answer = await self.read()
        self.caller.sendall(b"b")
        self.assertIn(b" 408 ", answer)
        self.assertEqual(await self.read(), b"")
        await self.close()
        self.assertEqual(handled, [])
