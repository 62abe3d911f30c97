"""Sources of an answer that are given up before a successor is secured.

The pattern: an endpoint in good order sends nothing for a second or two and
then goes on; meanwhile the gateway turns to endpoints that can't take over.
"""

import time

from twisted.internet import defer

from sassafrasstile import standins
from sassafrasstile import testing

_COUNT = ("X-Token-Count: 100,50",)
_LONG_COUNT = ("X-Token-Count: 7000,50",)
_HOLD_TARGET = "/sassafrasstile/hold-take"
_EVENTS = 6
_ENGINE = {
    "slots": 8,
    "kvCapacityTokens": 10000,
    "stride": 1,
    "kvTtlS": 0.5,
}


def _delay_stream(delay_s):
    """Returns a script whose first byte is late."""

    def answer(request):
        first, *rest = standins.make_stream(request, count=_EVENTS).segments
        return standins.EndpointAnswer(
            segments=[
                standins.Segment(data=first.data, after_s=delay_s),
                *rest,
            ]
        )

    return answer


def _pause_stream(pause_s, *, before=3):
    """Returns a script that pauses in the middle of a stream.

    A stream that is resumed there goes on after the rest of the pause.
    """

    def answer(request):
        if "last-event-id" in request.headers:
            head, *rest = _continue(request).segments
            rest[0] = standins.Segment(data=rest[0].data, after_s=0.6)
            return standins.EndpointAnswer(segments=[head, *rest])
        head, *rest = standins.make_stream(request, count=_EVENTS).segments
        rest[before] = standins.Segment(data=rest[before].data, after_s=pause_s)
        return standins.EndpointAnswer(segments=[head, *rest])

    return answer


def _stop_after_head(request):
    answer = standins.make_stream(request, count=_EVENTS)
    return standins.EndpointAnswer(segments=answer.segments[:1])


def _continue(request):
    if request.target == _HOLD_TARGET:
        return standins.make_hold(request, "m1")
    after = int(request.headers.get("last-event-id", 0))
    return standins.make_stream(request, first=after + 1, count=_EVENTS - after)


def _refuse_all(request):
    return standins.make_refusal(request)


def _ignore(_request):
    return standins.SILENCE


def _answer_prefill_after(delay_s):
    def answer(request):
        handle = standins.make_handle(request, "h1")
        return standins.EndpointAnswer(
            segments=[
                standins.Segment(
                    data=handle.segments[0].data,
                    after_s=delay_s if request.method == "POST" else 0.0,
                )
            ]
        )

    return answer


def _list_runs(endpoint, prefix="/gen/"):
    return [
        request
        for request in endpoint.requests
        if request.target.startswith(prefix)
    ]


class _GenerationCase(testing.PlatformTestCase):
    async def start_site(
        self,
        first,
        other,
        *,
        prefill=None,
        engine=None,
        changes=None,
        **options,
    ):
        """Starts a site whose first engine is chosen for the first send."""
        route = testing.make_platform_route(
            "/gen/",
            "writer",
            "streaming",
            **{
                "timeoutMs": 14000,
                "targetGapMs": 300,
                "resumable": True,
                "maxAttempts": 2,
                **(changes or {}),
            },
        )
        site = self.make_site([route], **options)
        if engine is not None:
            self._configure_service(site, engine)
        site.add_endpoint(
            "d0", first, service="writer", stage="decode", zone="a"
        )
        site.add_endpoint(
            "d1", other, service="writer", stage="decode", zone="b"
        )
        if prefill is not None:
            site.add_endpoint("p0", prefill, service="writer", stage="prefill")
        await self.wait_until_ready(site)
        return site

    @staticmethod
    def _configure_service(site, engine):
        site.version += 1
        document = testing.make_configuration_document(
            version=site.version, routes=site.routes
        )
        service = {"name": "writer", "healthPath": "/healthz", **engine}
        document["services"] = [service]
        site.store.put_json("keyed.op", "config", document)

    async def receive(self, site, *, headers=_COUNT, deadline_ms=14000):
        answer = await site.call(
            "/gen/", headers=headers, deadline_ms=deadline_ms
        )
        await self.close_sites()
        return answer

    def check_whole(self, answer):
        self.assertTrue(answer.is_complete_stream, answer.data)
        tokens = [
            line
            for line in answer.data.splitlines()
            if line.startswith(b"data")
        ]
        expected = [
            f"data: token {number}".encode() for number in range(1, _EVENTS + 1)
        ]
        self.assertEqual(tokens, expected)


class FirstTokenTest(_GenerationCase):
    """Generations whose engine is silent before the first token."""

    @testing.on_reactor
    async def test_late_first_token_is_awaited_while_the_others_are_full(self):
        # Fails if the engine is left for one that only seems to have room.
        site = await self.start_site(
            _delay_stream(1.6), _refuse_all, changes={"timeoutMs": 6000}
        )
        self.check_whole(await self.receive(site, deadline_ms=6000))

    @testing.on_reactor
    async def test_late_first_token_is_awaited_while_the_others_are_silent(
        self,
    ):
        # Fails if the engine is left for one that is silent as well.
        site = await self.start_site(
            _delay_stream(1.6), _ignore, changes={"timeoutMs": 6000}
        )
        self.check_whole(await self.receive(site, deadline_ms=6000))

    @testing.on_reactor
    async def test_late_first_token_is_awaited_without_a_prefill_engine(self):
        # Fails if room for the decode is taken for room for the whole
        # generation: no engine may prefill the long prompt again.
        site = await self.start_site(
            _delay_stream(1.6),
            _continue,
            prefill=_answer_prefill_after(0.0),
            changes={"timeoutMs": 6000},
        )

        def forget_prefills():
            site.announce(
                "p0", service="writer", stage="prefill", state="draining"
            )

        # Two short streams keep the other engine from prefilling locally.
        other = next(
            item
            for item in site.daemon._endpoints.list_all()
            if item.name == "d1"
        )
        other.in_flight += 2
        self.reactor.callLater(0.4, forget_prefills)
        answer = await self.receive(site, headers=_LONG_COUNT, deadline_ms=6000)
        self.check_whole(answer)

    @testing.on_reactor
    async def test_generation_without_an_event_is_prefilled_remotely(self):
        # Fails if a stream that moves before its first event has its whole
        # prompt prefilled by the decode engine, beside its other streams.
        site = await self.start_site(
            _stop_after_head,
            _continue,
            prefill=_answer_prefill_after(0.0),
        )
        other = next(
            item
            for item in site.daemon._endpoints.list_all()
            if item.name == "d1"
        )
        other.in_flight += 2
        await self.receive(site, headers=_LONG_COUNT)
        (run,) = _list_runs(site.endpoints["d1"])
        self.assertIn("x-kv-source", run.headers)

    @testing.on_reactor
    async def test_error_of_an_engine_is_kept_without_a_retry_budget(self):
        # Fails if the engine's answer is thrown away before a retry is
        # allowed.
        def fail(request):
            return standins.make_answer(request, status=500, body=b"broken")

        site = await self.start_site(fail, _continue, retry_slack=0.0)
        answer = await self.receive(site)
        self.assertEqual((answer.status, answer.body), (500, b"broken"))


class StandbyTest(_GenerationCase):
    """Streams whose engines don't set memory aside."""

    @testing.on_reactor
    async def test_stream_waits_without_holds_while_the_others_are_full(self):
        # Fails if an engine that sets no memory aside counts as secured.
        site = await self.start_site(
            _pause_stream(2.6), _refuse_all, engine={"engine": _ENGINE}
        )
        self.check_whole(await self.receive(site))

    @testing.on_reactor
    async def test_stream_waits_without_holds_while_the_others_are_silent(
        self,
    ):
        # Fails if an engine that has confirmed nothing counts as secured.
        site = await self.start_site(
            _pause_stream(2.6),
            _ignore,
            engine={"engine": _ENGINE},
            changes={"timeoutMs": 6000},
        )
        self.check_whole(await self.receive(site, deadline_ms=6000))

    @testing.on_reactor
    async def test_stream_stays_at_its_engine_after_a_suspension(self):
        # Fails if the gateway's own standstill counts as the engine's silence.
        def stream(request):
            return standins.make_stream(request, count=_EVENTS, gap_s=0.2)

        site = await self.start_site(
            stream, _continue, engine={"engine": _ENGINE}
        )
        self.reactor.callLater(0.5, time.sleep, 2.2)
        self.check_whole(await self.receive(site))
        self.assertEqual(_list_runs(site.endpoints["d1"]), [])

    @testing.on_reactor
    async def test_stream_stays_if_the_other_engine_begins_to_drain(self):
        # Fails if an engine that began to drain while it was asked for memory
        # still counts as a successor: its own engine has to begin anew.
        def hold_late(request):
            if request.target != _HOLD_TARGET:
                return _continue(request)
            site.announce(
                "d1",
                service="writer",
                stage="decode",
                zone="b",
                state="draining",
            )
            hold = standins.make_hold(request, "m1")
            return standins.EndpointAnswer(
                segments=[
                    standins.Segment(data=hold.segments[0].data, after_s=0.2)
                ]
            )

        site = await self.start_site(_pause_stream(2.6), hold_late)
        self.check_whole(await self.receive(site))
        self.assertEqual(len(_list_runs(site.endpoints["d0"])), 1)

    @testing.on_reactor
    async def test_stream_of_a_service_without_engine_facts_goes_on(self):
        # Fails if the search breaks off where the configuration describes no
        # engine; the capacity that it reserved is never released.
        site = await self.start_site(_pause_stream(2.6), _continue, engine={})
        answer = await self.receive(site)
        reserved = {
            item.name: (item.in_flight, item.reserved_tokens)
            for item in site.daemon._endpoints.list_all()
        }
        self.check_whole(answer)
        self.assertEqual(reserved, {"d0": (0, 0), "d1": (0, 0)})

    @testing.on_reactor
    async def test_hold_is_dropped_if_the_engine_goes_on_meanwhile(self):
        # Fails if memory that the other engine sets aside while the stream
        # goes on stays reserved until it expires.
        def hold_late(request):
            if request.target != _HOLD_TARGET:
                return _continue(request)
            hold = standins.make_hold(request, "m1")
            return standins.EndpointAnswer(
                segments=[
                    standins.Segment(data=hold.segments[0].data, after_s=0.2)
                ]
            )

        site = await self.start_site(_pause_stream(1.9), hold_late)
        answer = await site.call("/gen/", headers=_COUNT, deadline_ms=14000)
        await self.sleep(0.5)
        await self.close_sites()
        self.check_whole(answer)
        methods = [request.method for request in site.endpoints["d1"].requests]
        self.assertEqual(methods.count("DELETE"), methods.count("POST"))

    @testing.on_reactor
    async def test_streams_are_whole_if_bytes_arrive_at_the_move(self):
        # Guards the instant at which the engine goes on while the other one
        # sets memory aside; each stream goes on at a slightly other time, and
        # the last one surely later.
        pauses_s = iter((1.79, 1.794, 1.798, 1.802, 2.6))

        def pause(request):
            if "last-event-id" in request.headers:
                return _continue(request)
            return _pause_stream(next(pauses_s))(request)

        site = await self.start_site(pause, _continue)
        calls = [
            defer.ensureDeferred(
                site.call(
                    "/gen/",
                    headers=("X-Token-Count: 50,20",),
                    request_id=f"r{number}",
                    deadline_ms=14000,
                )
            )
            for number in range(5)
        ]
        answers = [await call for call in calls]
        loads = [
            (item.in_flight, item.reserved_tokens)
            for item in site.daemon._endpoints.list_all()
        ]
        moved = [
            request
            for request in _list_runs(site.endpoints["d1"])
            if "last-event-id" in request.headers
        ]
        await self.close_sites()
        for answer in answers:
            self.check_whole(answer)
        self.assertEqual(loads, [(0, 0), (0, 0)])
        self.assertGreater(len(moved), 0)

    @testing.on_reactor
    async def test_search_releases_everything_when_the_caller_leaves(self):
        # Guards the reservation made while the other engine is asked.
        def hang(request):
            if request.target == _HOLD_TARGET:
                return standins.SILENCE
            return _continue(request)

        site = await self.start_site(_pause_stream(5.0), hang)
        caller = await site.connect()
        caller.send(
            testing.make_request("/gen/", headers=_COUNT, deadline_ms=14000)
        )
        await self.wait_until(
            lambda: any(
                request.target == _HOLD_TARGET
                for request in site.endpoints["d1"].requests
            )
        )
        caller.disconnect()
        await self.sleep(0.1)
        loads = [
            (item.in_flight, item.reserved_tokens)
            for item in site.daemon._endpoints.list_all()
        ]
        await self.close_sites()
        self.assertEqual(loads, [(0, 0), (0, 0)])


class PrefillTest(_GenerationCase):
    """Prefill engines that are silent for about a second."""

    @testing.on_reactor
    async def test_prefill_of_a_silent_engine_is_used(self):
        # Fails if the prefill is given up after 0.8 s; it is done in vain.
        site = await self.start_site(
            _continue, _continue, prefill=_answer_prefill_after(1.1)
        )
        self.check_whole(await self.receive(site))
        (run,) = _list_runs(site.endpoints["d0"]) or _list_runs(
            site.endpoints["d1"]
        )
        self.assertIn("x-kv-source", run.headers)

    @testing.on_reactor
    async def test_prefill_is_awaited_without_a_retry_budget(self):
        # Fails if the prefill is given up before the budget allows another
        # one: the caller is refused though the engine goes on.
        site = await self.start_site(
            _continue,
            _continue,
            prefill=_answer_prefill_after(1.1),
            retry_slack=0.0,
        )
        for item in site.daemon._endpoints.list_all():
            if item.name != "p0":
                item.in_flight += 2
        self.check_whole(await self.receive(site, headers=_LONG_COUNT))


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
        site = await self.start_site(self.answer_late, _refuse_all)
        self.assertEqual((await self.receive(site)).status, 200)

    @testing.on_reactor
    async def test_call_waits_while_the_others_are_silent(self):
        # Fails if the endpoint is left for one that is silent as well.
        site = await self.start_site(self.answer_late, _ignore)
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
        runs = _list_runs(site.endpoints["e1"], "/again/")
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
        site = await self.start_site(_ignore, _ignore, retry_slack=0.0)
        await site.call("/again/", method="GET", deadline_ms=700)
        now = self.reactor.seconds()
        rates = [
            item.health.compute_failure_rate(now)
            for item in site.daemon._endpoints.list_all()
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

        site = await self.start_site(fail, _ignore)
        answer = await self.receive(site)
        self.assertEqual((answer.status, answer.body), (500, b"broken"))
