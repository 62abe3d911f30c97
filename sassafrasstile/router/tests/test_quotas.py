"""Workspaces whose requests gateways keep within a quota."""

import re

from sassafrasstile import permits
from sassafrasstile import standins
from sassafrasstile import testing

_GATEWAYS = ("gateway-1", "gateway-2")
_KEY = "k1"
_BURST = 3
_RATE_PER_S = 0.1
_OK = 200
_OVER_QUOTA = 429
_NOT_RUN = 503


class QuotaTest(testing.PlatformTestCase):
    """What runs of a workspace is counted at all gateways together."""

    async def start_site(self, script=standins.make_answer):
        self.site = self.make_site(
            [
                testing.make_platform_route(
                    "/safe/", "desk", "safe", maxAttempts=2
                )
            ],
            quota_bounds=permits.QuotaBounds(window_s=8.0, slack=24.0),
        )
        self.configure(ratePerS=_RATE_PER_S, burst=_BURST)
        self.site.add_gateway(_GATEWAYS[1], zone="a")
        self.site.add_endpoint("e0", script)
        await self.wait_until_ready(self.site)
        await self.wait_until(self.site.get_gateway(_GATEWAYS[1]).is_ready)
        await self.sleep(1.0)

    def configure(self, **quota):
        self.site.workspaces = [
            testing.make_workspace_document("one", _KEY, **quota)
        ]
        self.site.configure()

    async def call(self, number, **fields):
        return await self.site.call(
            "/safe/",
            gateway=_GATEWAYS[number % 2],
            request_id=f"q{number}",
            headers=(f"Authorization: Token {_KEY}",),
            **fields,
        )

    async def call_often(self, numbers):
        return [(await self.call(number)).status for number in numbers]

    def read_metric(self, name):
        return self.site.metrics.registry.get_sample_value(
            f"sassafrasstile_quota_{name}_total", {"workspace": "one"}
        )

    # Each gateway would let a burst of its own run.
    @testing.on_reactor
    async def test_burst_is_shared(self):
        await self.start_site()
        statuses = await self.call_often(range(8))
        self.assertEqual(statuses.count(_OK), _BURST)
        self.assertEqual(statuses.count(_OVER_QUOTA), 8 - _BURST)
        answer = await self.call(8)
        (value,) = re.findall(rb"Retry-After: ([0-9.]+)\r\n", answer.data)
        self.assertGreater(float(value), 1.0)
        self.assertLess(float(value), 1.5 / _RATE_PER_S)

    # A second attempt was charged again.
    @testing.on_reactor
    async def test_second_attempt_is_not_charged(self):
        statuses = iter((503, 200))

        def answer(request):
            return standins.make_answer(request, status=next(statuses, 200))

        await self.start_site(answer)
        self.site.add_endpoint("e1", answer)
        await self.sleep(0.5)
        self.assertEqual((await self.call(0)).status, _OK)
        self.assertEqual(self.read_metric("used"), 1.0)

    # Requests that no endpoint took used the quota up.
    @testing.on_reactor
    async def test_request_that_has_not_run_is_given_back(self):
        await self.start_site()
        self.site.withdraw("e0")
        await self.sleep(1.0)
        statuses = await self.call_often(range(0, 12, 2))
        self.assertEqual(set(statuses), {_NOT_RUN})
        self.assertEqual(self.read_metric("used"), self.read_metric("refunded"))

    @testing.on_reactor
    async def test_raised_limit_is_in_force_at_all_gateways(self):
        await self.start_site()
        await self.call_often(range(6))
        self.configure(ratePerS=100.0, burst=100)
        await self.sleep(1.5)
        self.assertEqual(set(await self.call_often(range(6, 14))), {_OK})
