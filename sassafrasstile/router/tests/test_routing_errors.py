"""Requests that can't be routed because of an error in the gateway."""

from sassafrasstile import standins
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

    # A service whose configuration describes no engine made the gateway fail
    # on a refusal: the request wasn't tried elsewhere.
    @testing.on_reactor
    async def test_refused_generation_without_an_engine_profile_is_retried(
        self,
    ):
        route = testing.make_platform_route(
            "/gen/", "desk", "streaming", resumable=True, maxAttempts=2
        )
        site = self.make_site([route])
        refusals = []

        def refuse_once(request):
            if refusals:
                return standins.make_stream(request)
            refusals.append(request)
            return standins.make_refusal(request)

        for name in ("d0", "d1"):
            site.add_endpoint(name, refuse_once, service="desk", stage="decode")
        await self.wait_until_ready(site)
        answer = await site.call("/gen/")
        await self.close_sites()
        self.assertEqual(answer.status, 200)
        self.assertTrue(answer.is_complete_stream)
