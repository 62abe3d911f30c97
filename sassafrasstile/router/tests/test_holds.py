"""Engines of other zones confirm that they have room before the prefill.

The pattern: many gateways have late news of the same engine, find it the
emptiest and send it their prompts at the same time.
"""

from sassafrasstile import standins
from sassafrasstile import testing

_COUNT = ("X-Token-Count: 100,50",)
_HOLD_TARGET = "/sassafrasstile/hold-take"


def _answer_engine(request):
    """Answers a decode engine that has room."""
    if request.target == _HOLD_TARGET:
        return standins.make_hold(request, "m1")
    return standins.make_stream(request)


def _answer_full_engine(request):
    """Answers a decode engine that has no room."""
    return standins.make_refusal(request)


def _answer_prefill(request):
    return standins.make_handle(request, "h1")


def _list_runs(endpoint):
    return [
        request
        for request in endpoint.requests
        if request.target.startswith("/gen/")
    ]


def _list_holds(endpoint):
    return [
        request
        for request in endpoint.requests
        if request.target == _HOLD_TARGET
    ]


class HoldTest(testing.PlatformTestCase):
    """Memory set aside at decode engines of other zones."""

    async def start_site(
        self, decodes, prefill=_answer_prefill, other_gateways=120
    ):
        route = testing.make_platform_route(
            "/gen/", "writer", "streaming", targetGapMs=300
        )
        site = self.make_site([route], other_gateways=other_gateways)
        for name, (script, zone) in decodes.items():
            site.add_endpoint(
                name, script, service="writer", stage="decode", zone=zone
            )
        site.add_endpoint("p0", prefill, service="writer", stage="prefill")
        await self.wait_until_ready(site)
        return site

    @testing.on_reactor
    async def test_engine_of_another_zone_is_asked_first(self):
        site = await self.start_site({"d0": (_answer_engine, "b")})
        answer = await site.call("/gen/", headers=_COUNT)
        await self.close_sites()
        self.assertTrue(answer.is_complete_stream)
        hold, run = site.endpoints["d0"].requests
        self.assertEqual(hold.target, _HOLD_TARGET)
        self.assertEqual(hold.headers["x-expect-instance"], "d0")
        self.assertEqual(run.headers["x-kv-hold"], "m1")

    @testing.on_reactor
    async def test_engine_of_the_same_zone_is_not_asked(self):
        site = await self.start_site({"d0": (_answer_engine, "a")})
        await site.call("/gen/", headers=_COUNT)
        await self.close_sites()
        (run,) = site.endpoints["d0"].requests
        self.assertNotIn("x-kv-hold", run.headers)

    @testing.on_reactor
    async def test_engine_is_not_asked_where_gateways_are_few(self):
        site = await self.start_site(
            {"d0": (_answer_engine, "b")}, other_gateways=4
        )
        await site.call("/gen/", headers=_COUNT)
        await self.close_sites()
        (run,) = site.endpoints["d0"].requests
        self.assertNotIn("x-kv-hold", run.headers)

    @testing.on_reactor
    async def test_full_engines_cost_no_prefill_and_no_retry(self):
        site = await self.start_site(
            {
                "d0": (_answer_full_engine, "b"),
                "d1": (_answer_full_engine, "b"),
                "d2": (_answer_engine, "c"),
            }
        )
        for number in range(6):
            answer = await site.call(
                "/gen/", headers=_COUNT, request_id=f"q{number}"
            )
            self.assertTrue(answer.is_complete_stream)
        await self.close_sites()
        self.assertEqual(len(_list_runs(site.endpoints["p0"])), 6)
        for name in ("d0", "d1"):
            self.assertEqual(_list_runs(site.endpoints[name]), [])
            self.assertGreater(len(_list_holds(site.endpoints[name])), 0)

    @testing.on_reactor
    async def test_hold_is_released_when_the_caller_disconnects(self):
        site = await self.start_site(
            {"d0": (_answer_engine, "b")},
            prefill=lambda _request: standins.SILENCE,
        )
        caller = await site.connect()
        caller.send(testing.make_request("/gen/", headers=_COUNT))
        await self.wait_until(lambda: site.endpoints["p0"].requests)
        caller.disconnect()
        decode = site.endpoints["d0"]
        await self.wait_until(lambda: len(decode.requests) == 2, timeout_s=2)
        await self.close_sites()
        self.assertEqual(decode.requests[1].method, "DELETE")
        self.assertTrue(decode.requests[1].target.endswith("/m1"))

    @testing.on_reactor
    async def test_silent_engine_gets_no_prompt(self):
        def stay_silent(_request):
            return standins.SILENCE

        site = await self.start_site(
            {"d0": (stay_silent, "b"), "d1": (_answer_engine, "c")}
        )
        for number in range(3):
            answer = await site.call(
                "/gen/", headers=_COUNT, request_id=f"q{number}"
            )
            self.assertTrue(answer.is_complete_stream)
        await self.close_sites()
        self.assertEqual(_list_runs(site.endpoints["d0"]), [])

    @testing.on_reactor
    async def test_engine_that_knows_no_holds_is_used_without(self):
        def answer(request):
            if request.target == _HOLD_TARGET:
                return standins.make_answer(request, status=404, signed=False)
            return standins.make_stream(request)

        site = await self.start_site({"d0": (answer, "b")})
        received = await site.call("/gen/", headers=_COUNT)
        await self.close_sites()
        self.assertTrue(received.is_complete_stream)
