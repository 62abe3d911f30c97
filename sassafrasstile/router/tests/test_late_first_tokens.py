"""Generations whose engine is silent before the first token.

The pattern: an engine in good order starts late, and the gateway turns to
engines that can't take the generation over.
"""

from sassafrasstile import standins
from sassafrasstile import testing
from sassafrasstile.router.tests import silent_engines


class FirstTokenTest(silent_engines.SilentEngineCase):
    """Generations whose engine is silent before the first token."""

    @testing.on_reactor
    async def test_late_first_token_is_awaited_while_the_others_are_full(self):
        # Fails if the engine is left for one that only seems to have room.
        site = await self.start_site(
            silent_engines.delay_stream(1.6),
            silent_engines.refuse_request,
            changes={"timeoutMs": 6000},
        )
        self.check_whole(await self.receive(site, deadline_ms=6000))

    @testing.on_reactor
    async def test_late_first_token_is_awaited_while_the_others_are_silent(
        self,
    ):
        # Fails if the engine is left for one that is silent as well.
        site = await self.start_site(
            silent_engines.delay_stream(1.6),
            silent_engines.ignore_request,
            changes={"timeoutMs": 6000},
        )
        self.check_whole(await self.receive(site, deadline_ms=6000))

    @testing.on_reactor
    async def test_late_first_token_is_awaited_without_a_prefill_engine(self):
        # Fails if room for the decode is taken for room for the whole
        # generation: no engine may prefill the long prompt again.
        site = await self.start_site(
            silent_engines.delay_stream(1.6),
            silent_engines.continue_stream,
            prefill=silent_engines.delay_prefill(0.0),
            changes={"timeoutMs": 6000},
        )

        def forget_prefills():
            site.announce(
                "p0", service="writer", stage="prefill", state="draining"
            )

        # Two short streams keep the other engine from prefilling locally.
        other = next(
            item
            for item in silent_engines.list_known(site)
            if item.name == "d1"
        )
        other.in_flight += 2
        self.reactor.callLater(0.4, forget_prefills)
        answer = await self.receive(
            site,
            headers=silent_engines.LONG_GENERATION_HEADERS,
            deadline_ms=6000,
        )
        self.check_whole(answer)

    @testing.on_reactor
    async def test_generation_without_an_event_is_prefilled_remotely(self):
        # Fails if a stream that moves before its first event has its whole
        # prompt prefilled by the decode engine, beside its other streams.
        site = await self.start_site(
            silent_engines.stop_after_head,
            silent_engines.continue_stream,
            prefill=silent_engines.delay_prefill(0.0),
        )
        other = next(
            item
            for item in silent_engines.list_known(site)
            if item.name == "d1"
        )
        other.in_flight += 2
        await self.receive(site, headers=silent_engines.LONG_GENERATION_HEADERS)
        (run,) = silent_engines.list_runs(site.endpoints["d1"])
        self.assertIn("x-kv-source", run.headers)

    @testing.on_reactor
    async def test_error_of_an_engine_is_kept_without_a_retry_budget(self):
        # Fails if the engine's answer is thrown away before a retry is
        # allowed.
        def fail(request):
            return standins.make_answer(request, status=500, body=b"broken")

        site = await self.start_site(
            fail, silent_engines.continue_stream, retry_slack=0.0
        )
        answer = await self.receive(site)
        self.assertEqual((answer.status, answer.body), (500, b"broken"))


class PrefillTest(silent_engines.SilentEngineCase):
    """Prefill engines that are silent for about a second."""

    @testing.on_reactor
    async def test_prefill_of_a_silent_engine_is_used(self):
        # Fails if the prefill is given up after 0.8 s; it is done in vain.
        site = await self.start_site(
            silent_engines.continue_stream,
            silent_engines.continue_stream,
            prefill=silent_engines.delay_prefill(1.1),
        )
        self.check_whole(await self.receive(site))
        (run,) = silent_engines.list_runs(
            site.endpoints["d0"]
        ) or silent_engines.list_runs(site.endpoints["d1"])
        self.assertIn("x-kv-source", run.headers)

    @testing.on_reactor
    async def test_prefill_is_awaited_without_a_retry_budget(self):
        # Fails if the prefill is given up before the budget allows another
        # one: the caller is refused though the engine goes on.
        site = await self.start_site(
            silent_engines.continue_stream,
            silent_engines.continue_stream,
            prefill=silent_engines.delay_prefill(1.1),
            retry_slack=0.0,
        )
        for item in silent_engines.list_known(site):
            if item.name != "p0":
                item.in_flight += 2
        self.check_whole(
            await self.receive(
                site, headers=silent_engines.LONG_GENERATION_HEADERS
            )
        )
