"""The start of a gateway.

The pattern: all gateways lose power and start again at the same time, while
callers keep connecting.
"""

import socket

from twisted.internet import endpoints
from twisted.internet import protocol

from sassafrasstile import testing


class StartTest(testing.ReactorTestCase):
    """Callers that wait on a gateway's port before it can serve them."""

    def make_site(self):
        listener = socket.create_server(("127.0.0.1", 0))
        self.port = listener.getsockname()[1]
        site = testing.PlatformSite(
            reactor=self.reactor,
            routes=[testing.make_platform_route("/once/", "desk", "unsafe")],
            listener=listener,
        )
        site.start()
        return site

    async def connect(self):
        target = endpoints.TCP4ClientEndpoint(
            self.reactor, "127.0.0.1", self.port
        )
        return await target.connect(
            protocol.Factory.forProtocol(testing.Caller)
        )

    @testing.on_reactor
    async def test_waiting_caller_is_served_once_the_gateway_is_ready(self):
        site = self.make_site()
        caller = await self.connect()
        caller.send(testing.make_request("/once/"))
        site.configure()
        site.add_endpoint("e0")
        answer = await caller.read_all()
        await site.close()
        self.assertEqual(answer.status, 200)

    @testing.on_reactor
    async def test_waiting_caller_is_refused_without_a_configuration(self):
        site = self.make_site()
        caller = await self.connect()
        caller.send(testing.make_request("/once/"))
        answer = await caller.read_all()
        await site.close()
        self.assertEqual(answer.status, 503)
        self.assertIn(b"Retry-After", answer.data)

    @testing.on_reactor
    async def test_gateway_that_never_accepted_callers_closes(self):
        site = self.make_site()
        await site.close()
        with self.assertRaises(ConnectionRefusedError):
            socket.create_connection(("127.0.0.1", self.port), timeout=1.0)
