"""Idempotent calls to endpoints that answer late.

The pattern: the endpoints tried beside the first one are full, silent or gone.
"""

import time

from twisted.internet import defer

from sassafrasstile import standins
from sassafrasstile import testing
from sassafrasstile.router.tests import silent_engines


class CallTest(testing.PlatformTestCase):
    """Idempotent calls to a service that answers late."""

    async def start_site(self, first, other=None, **options):
        route = testing.make_platform_route(
            "/again/", "desk", "safe", maxAttempts=2
        )
        site = self.make_site([route], **options)
        site.add_endpoint("e0", first, zone="a")
        if other is not None:
            site.add_endpoint("e1", other, zone="b")
        await self.wait_until_ready(site)
        return site

    async def receive(self, site):
        answer = await site.call("/again/", method="GET", deadline_ms=1800)
        await self.close_sites()
        return answer

    @staticmethod
    def answer_late(request):
        return standins.make_answer(request, after_s=1.1)

    @testing.on_reactor
    async def test_call_waits_while_the_others_are_full(self):
        # Fails if the endpoint is left for one that then refuses.
        site = await self.start_site(
            self.answer_late, silent_engines.refuse_request
        )
        self.assertEqual((await self.receive(site)).status, 200)

    @testing.on_reactor
    async def test_call_waits_while_the_others_are_silent(self):
        # Fails if the endpoint is left for one that is silent as well.
        site = await self.start_site(
            self.answer_late, silent_engines.ignore_request
        )
        self.assertEqual((await self.receive(site)).status, 200)

    @testing.on_reactor
    async def test_answer_that_came_during_a_suspension_is_read(self):
        # Fails if an attempt is ended after the gateway's own standstill
        # although its answer has arrived.
        def answer(request):
            return standins.make_answer(request, after_s=0.3)

        site = await self.start_site(answer, answer)
        self.reactor.callLater(0.2, time.sleep, 1.0)
        self.assertEqual((await self.receive(site)).status, 200)
        runs = silent_engines.list_runs(site.endpoints["e1"], "/again/")
        self.assertEqual(runs, [])

    @testing.on_reactor
    async def test_call_waits_for_the_only_endpoint(self):
        # Fails if the endpoint has to begin anew with too little time left.
        site = await self.start_site(self.answer_late)
        self.assertEqual((await self.receive(site)).status, 200)

    @testing.on_reactor
    async def test_call_waits_for_an_endpoint_that_drains(self):
        # Fails if the endpoint is left although there is no other one.
        site = await self.start_site(self.answer_late)
        self.reactor.callLater(
            0.3, lambda: site.announce("e0", state="draining")
        )
        self.assertEqual((await self.receive(site)).status, 200)

    @testing.on_reactor
    async def test_endpoint_that_never_answers_counts_as_failed(self):
        # Fails if an endpoint that swallows calls is never found out while
        # the retry budget is spent, and keeps getting calls.
        site = await self.start_site(
            silent_engines.ignore_request,
            silent_engines.ignore_request,
            retry_slack=0.0,
        )
        await site.call("/again/", method="GET", deadline_ms=700)
        now = self.reactor.seconds()
        rates = [
            item.health.compute_failure_rate(now)
            for item in silent_engines.list_known(site)
        ]
        await self.close_sites()
        self.assertGreater(max(rates), 0.0)

    @testing.on_reactor
    async def test_call_is_not_sent_again_shortly_before_its_deadline(self):
        # Fails if an attempt that has waited for the budget is ended as soon
        # as the budget allows it, however little time is left.
        def answer(request):
            is_slow = request.request_id == "r1"
            after_s = 1.6 if is_slow else 0.0
            return standins.make_answer(request, after_s=after_s)

        site = await self.start_site(answer, answer, retry_slack=0.0)

        async def earn():
            for number in range(10):
                await site.call(
                    "/again/", method="GET", request_id=f"q{number}"
                )

        self.reactor.callLater(1.3, lambda: defer.ensureDeferred(earn()))
        self.assertEqual((await self.receive(site)).status, 200)

    @testing.on_reactor
    async def test_error_of_an_endpoint_is_kept_while_the_retry_is_silent(
        self,
    ):
        # Fails if the endpoint's complete answer is lost with the retry.
        def fail(request):
            return standins.make_answer(request, status=500, body=b"broken")

        site = await self.start_site(fail, silent_engines.ignore_request)
        answer = await self.receive(site)
        self.assertEqual((answer.status, answer.body), (500, b"broken"))


class SilentServiceTest(testing.PlatformTestCase):
    """Idempotent calls to a service that answers late."""

    @testing.on_reactor
    async def test_call_waits_for_its_endpoint_without_a_retry_budget(self):
        # Fails if the endpoint is left before the budget allows a retry: the
        # caller gets an error although the answer arrives in time.
        def answer_late(request):
            return standins.make_answer(request, after_s=1.0)

        route = testing.make_platform_route(
            "/again/", "desk", "safe", maxAttempts=2
        )
        site = self.make_site([route], retry_slack=0.0)
        for name in ("e0", "e1"):
            site.add_endpoint(name, answer_late)
        await self.wait_until_ready(site)
        answer = await site.call("/again/", method="GET", deadline_ms=1800)
        await self.close_sites()
        self.assertEqual(answer.status, 200)
        runs = [
            request
            for endpoint in site.endpoints.values()
            for request in endpoint.requests
            if request.target == "/again/"
        ]
        self.assertEqual(len(runs), 1)
