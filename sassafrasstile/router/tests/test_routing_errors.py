"""Requests that can't be routed because of an error in the gateway."""

from sassafrasstile import testing

_WITHOUT_WEIGHT = [
    {"service": "desk", "weight": 0},
    {"service": "writer", "weight": 0},
]


class RoutingErrorTest(testing.PlatformTestCase):
    """An unexpected error in routing doesn't leave a caller without answer."""

    @testing.on_reactor
    async def test_request_that_fails_in_routing_is_answered(self):
        # Guards against a connection that is dropped without an answer when
        # no service of a split route can be chosen.
        route = testing.make_platform_route(
            "/split/", None, "unsafe", weightedServices=_WITHOUT_WEIGHT
        )
        site = self.make_site([route])
        await self.wait_until_ready(site)
        answer = await site.call("/split/")
        await self.close_sites()
        self.assertEqual(answer.status, 503)
        self.assertIn(b"Retry-After", answer.data)
