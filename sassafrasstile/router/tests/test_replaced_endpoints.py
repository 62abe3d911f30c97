"""Endpoints whose address another instance has taken, and the retry budget."""

from sassafrasstile import standins
from sassafrasstile import testing

_COUNT = ("X-Token-Count: 100,50",)
# The share of requests, and the slack of the only gateway, that the retries of
# `testing.PlatformSite` are limited to.
_RETRY_RATIO = 0.2
_RETRY_SLACK = 20
_REPORT_PATH = "/sassafrasstile/report"


def _misdirect(request):
    return standins.make_misdirected(request, instance="newer")


def _answer_as_other_instance(request):
    """Answers like an engine that has started again with another id."""
    match request.method, request.target:
        case "GET", "/healthz":
            return standins.make_health(request, instance="newer")
        case "GET", _:
            # The report doesn't name the instance.
            return standins.make_answer(request, body=b"{}")
        case _:
            return _misdirect(request)


def _count_runs(endpoint):
    return sum(request.method == "POST" for request in endpoint.requests)


class ReplacedEndpointTest(testing.PlatformTestCase):
    """Records outlive instances, so many gateways may call a replaced one."""

    async def start_site(self, endpoints):
        site = self.make_site(
            [
                testing.make_platform_route("/once/", "desk", "unsafe"),
                testing.make_platform_route(
                    "/gen/", "writer", "streaming", targetGapMs=300
                ),
            ]
        )
        for name, (script, service, stage) in endpoints.items():
            site.add_endpoint(name, script, service=service, stage=stage)
        await self.wait_until_ready(site)
        return site

    @testing.on_reactor
    async def test_replaced_engine_gets_no_more_requests(self):
        site = await self.start_site(
            {
                "d0": (_misdirect, "writer", "decode"),
                "d1": (_misdirect, "writer", "decode"),
                "d2": (standins.make_stream, "writer", "decode"),
            }
        )
        for number in range(8):
            answer = await site.call(
                "/gen/", headers=_COUNT, request_id=f"q{number}"
            )
            self.assertTrue(answer.is_complete_stream)
            # Longer than the first backoff after a refusal.
            await self.sleep(0.25)
        await self.close_sites()
        for name in ("d0", "d1"):
            self.assertLessEqual(_count_runs(site.endpoints[name]), 1)

    @testing.on_reactor
    async def test_engine_that_comes_back_as_another_instance_gets_nothing(
        self,
    ):
        site = await self.start_site(
            {
                "d0": (standins.make_stream, "writer", "decode"),
                "d1": (standins.make_stream, "writer", "decode"),
            }
        )
        engine = site.endpoints["d0"]
        await engine.close()
        # Long enough for calls and probes that are refused.
        for number in range(8):
            await site.call("/gen/", headers=_COUNT, request_id=f"q{number}")
            await self.sleep(0.1)
        engine.requests.clear()
        engine.script = _answer_as_other_instance
        engine.start(port=engine.port)
        for number in range(12):
            answer = await site.call(
                "/gen/", headers=_COUNT, request_id=f"r{number}"
            )
            self.assertTrue(answer.is_complete_stream)
            await self.sleep(0.1)
        await self.close_sites()
        self.assertTrue(engine.requests)
        self.assertEqual(_count_runs(engine), 0)

    @testing.on_reactor
    async def test_engine_without_a_slot_for_health_checks_is_used_again(self):
        def answer(request):
            if request.target == "/healthz":
                return standins.SILENCE
            return standins.make_stream(request)

        site = await self.start_site(
            {"d0": (standins.make_stream, "writer", "decode")}
        )
        engine = site.endpoints["d0"]
        await engine.close()
        await site.call("/gen/", headers=_COUNT, request_id="q0")
        await self.sleep(0.8)
        engine.script = answer
        engine.start(port=engine.port)
        # Two probes: the health check times out, the report is answered.
        await self.sleep(2.0)
        answer = await site.call("/gen/", headers=_COUNT, request_id="q1")
        await self.close_sites()
        self.assertTrue(
            any(item.target == "/healthz" for item in engine.requests)
        )
        reports = [
            item for item in engine.requests if item.target == _REPORT_PATH
        ]
        self.assertTrue(reports)
        self.assertTrue(answer.is_complete_stream)

    @testing.on_reactor
    async def test_wrong_role_does_not_count_as_replaced(self):
        def refuse_role(request):
            return standins.make_misdirected(request, instance="e0")

        site = await self.start_site({"e0": (refuse_role, "desk", None)})
        for number in range(2):
            answer = await site.call("/once/", request_id=f"q{number}")
            self.assertEqual(answer.status, 503)
        await self.close_sites()
        self.assertGreaterEqual(_count_runs(site.endpoints["e0"]), 2)

    @testing.on_reactor
    async def test_refused_prefills_count_against_the_retry_budget(self):
        refuse = standins.make_refusal
        site = await self.start_site(
            {
                "p0": (refuse, "writer", "prefill"),
                "p1": (refuse, "writer", "prefill"),
                "d0": (refuse, "writer", "decode"),
                "d1": (refuse, "writer", "decode"),
                "d2": (refuse, "writer", "decode"),
            }
        )
        requests = 12
        for number in range(requests):
            await site.call("/gen/", headers=_COUNT, request_id=f"q{number}")
            # Longer than the backoff after a refusal.
            await self.sleep(0.12)
        await self.close_sites()
        arrivals = sum(map(_count_runs, site.endpoints.values()))
        allowed = _RETRY_RATIO * requests + _RETRY_SLACK
        self.assertLessEqual(arrivals - requests, allowed)
