from sassafrasstile import errors
from sassafrasstile import standins
from sassafrasstile import testing
from sassafrasstile import web


class ConnectionPoolTest(testing.ReactorTestCase):
    """Requests that are held back when their connection is ready."""

    # Whoever decided while the connection was being opened came too late.
    @testing.on_reactor
    async def test_request_is_not_sent_if_on_send_fails(self):
        endpoint = standins.PlatformEndpoint(reactor=self.reactor)
        endpoint.start()
        pool = web.ConnectionPool(
            reactor=self.reactor,
            host=endpoint.host,
            port=endpoint.port,
            connect_timeout_s=1.0,
        )

        def deny():
            raise web.ExchangeError(
                code=errors.Code.LEAVING, detail="denied", was_sent=False
            )

        request = {
            "method": b"GET",
            "target": b"/",
            "headers": [(b"Host", b"a")],
        }
        with self.assertRaises(web.ExchangeError):
            await pool.send(**request, on_send=deny)
        reply = await pool.send(**request)
        head = await reply.read_head()
        opened = pool.opened_count
        pool.abort()
        await endpoint.close()
        self.assertEqual(head.status, 200)
        self.assertEqual(len(endpoint.requests), 1)
        # The connection is kept for the next request.
        self.assertEqual(opened, 1)
