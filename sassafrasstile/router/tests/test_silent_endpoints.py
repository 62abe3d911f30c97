"""Endpoints in good order that send nothing for a while and then go on.

The pattern: an engine stands still for a second or two while its streams run,
and the other engines have no room or are silent too.
"""

import time

from twisted.internet import defer

from sassafrasstile import standins
from sassafrasstile import testing
from sassafrasstile.router.tests import silent_engines

_HOLD_TARGET = "/sassafrasstile/hold-take"
# The properties of engines that set no memory aside.
_ENGINE = {
    "slots": 8,
    "kvCapacityTokens": 10000,
    "stride": 1,
    "kvTtlS": 0.5,
}
# Longer than a pause after which another engine is tried, shorter than the
# callers' patience.
_PAUSE_S = 2.6
_EVENTS_BEFORE_PAUSE = 3


def _pause_midway(request):
    """Answers a stream that pauses, and then goes on to its end."""
    answer = standins.make_stream(request, count=silent_engines.EVENT_COUNT)
    head, *rest = answer.segments
    paused = rest[_EVENTS_BEFORE_PAUSE]
    rest[_EVENTS_BEFORE_PAUSE] = standins.Segment(
        data=paused.data, after_s=_PAUSE_S
    )
    return standins.EndpointAnswer(segments=[head, *rest])


def _stop_midway(request):
    """Answers a stream that stops for good."""
    answer = standins.make_stream(request, count=silent_engines.EVENT_COUNT)
    return standins.EndpointAnswer(
        segments=answer.segments[: 1 + _EVENTS_BEFORE_PAUSE]
    )


class SilentEngineTest(silent_engines.SilentEngineCase):
    """Resumable streams of an engine that is silent for a while."""

    @testing.on_reactor
    async def test_stream_waits_for_its_engine_while_the_others_are_full(self):
        # Fails if the engine is left before another one has room: the
        # stream is cut although its engine goes on.
        site = await self.start_site(
            _pause_midway, silent_engines.refuse_request
        )
        answer = await self.receive(site)
        self.check_whole(answer)
        self.assertEqual(len(silent_engines.list_runs(site.endpoints["d0"])), 1)

    @testing.on_reactor
    async def test_stream_waits_for_its_engine_while_the_others_are_silent(
        self,
    ):
        # Fails if the engine is left for one that is silent as well: the
        # caller waits until its deadline and gets no end of the answer.
        site = await self.start_site(
            _pause_midway, silent_engines.ignore_request
        )
        answer = await self.receive(site)
        self.check_whole(answer)
        self.assertEqual(silent_engines.list_runs(site.endpoints["d1"]), [])

    @testing.on_reactor
    async def test_stream_waits_for_its_engine_without_a_retry_budget(self):
        # Fails if the engine is left before the budget allows a retry.
        site = await self.start_site(
            _pause_midway, silent_engines.continue_stream, retry_slack=0.0
        )
        answer = await self.receive(site)
        self.check_whole(answer)
        self.assertEqual(silent_engines.list_runs(site.endpoints["d1"]), [])

    @testing.on_reactor
    async def test_stream_of_an_engine_that_stays_silent_goes_on_elsewhere(
        self,
    ):
        site = await self.start_site(
            _pause_midway, silent_engines.continue_stream
        )
        site.endpoints["d0"].script = _stop_midway
        answer = await self.receive(site)
        self.check_whole(answer)
        self.assertEqual(len(silent_engines.list_runs(site.endpoints["d1"])), 1)


class StandbyTest(silent_engines.SilentEngineCase):
    """Streams whose engines don't set memory aside."""

    @testing.on_reactor
    async def test_stream_waits_without_holds_while_the_others_are_full(self):
        # Fails if an engine that sets no memory aside counts as secured.
        site = await self.start_site(
            silent_engines.pause_stream(2.6),
            silent_engines.refuse_request,
            engine={"engine": _ENGINE},
        )
        self.check_whole(await self.receive(site))

    @testing.on_reactor
    async def test_stream_waits_without_holds_while_the_others_are_silent(
        self,
    ):
        # Fails if an engine that has confirmed nothing counts as secured.
        site = await self.start_site(
            silent_engines.pause_stream(2.6),
            silent_engines.ignore_request,
            engine={"engine": _ENGINE},
            changes={"timeoutMs": 6000},
        )
        self.check_whole(await self.receive(site, deadline_ms=6000))

    @testing.on_reactor
    async def test_stream_stays_at_its_engine_after_a_suspension(self):
        # Fails if the gateway's own standstill counts as the engine's silence.
        def stream(request):
            return standins.make_stream(
                request, count=silent_engines.EVENT_COUNT, gap_s=0.2
            )

        site = await self.start_site(
            stream, silent_engines.continue_stream, engine={"engine": _ENGINE}
        )
        self.reactor.callLater(0.5, time.sleep, 2.2)
        self.check_whole(await self.receive(site))
        self.assertEqual(silent_engines.list_runs(site.endpoints["d1"]), [])

    @testing.on_reactor
    async def test_stream_stays_if_the_other_engine_begins_to_drain(self):
        # Fails if an engine that began to drain while it was asked for memory
        # still counts as a successor: its own engine has to begin anew.
        def hold_late(request):
            if request.target != _HOLD_TARGET:
                return silent_engines.continue_stream(request)
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

        site = await self.start_site(
            silent_engines.pause_stream(2.6), hold_late
        )
        self.check_whole(await self.receive(site))
        self.assertEqual(len(silent_engines.list_runs(site.endpoints["d0"])), 1)

    @testing.on_reactor
    async def test_stream_of_a_service_without_engine_facts_goes_on(self):
        # Fails if the search breaks off where the configuration describes no
        # engine; the capacity that it reserved is never released.
        site = await self.start_site(
            silent_engines.pause_stream(2.6),
            silent_engines.continue_stream,
            engine={},
        )
        answer = await self.receive(site)
        reserved = {
            item.name: (item.in_flight, item.reserved_tokens)
            for item in silent_engines.list_known(site)
        }
        self.check_whole(answer)
        self.assertEqual(reserved, {"d0": (0, 0), "d1": (0, 0)})

    @testing.on_reactor
    async def test_hold_is_dropped_if_the_engine_goes_on_meanwhile(self):
        # Fails if memory that the other engine sets aside while the stream
        # goes on stays reserved until it expires.
        def hold_late(request):
            if request.target != _HOLD_TARGET:
                return silent_engines.continue_stream(request)
            hold = standins.make_hold(request, "m1")
            return standins.EndpointAnswer(
                segments=[
                    standins.Segment(data=hold.segments[0].data, after_s=0.2)
                ]
            )

        site = await self.start_site(
            silent_engines.pause_stream(1.9), hold_late
        )
        answer = await site.call(
            "/gen/",
            headers=silent_engines.GENERATION_HEADERS,
            deadline_ms=14000,
        )
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
                return silent_engines.continue_stream(request)
            return silent_engines.pause_stream(next(pauses_s))(request)

        site = await self.start_site(pause, silent_engines.continue_stream)
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
            for item in silent_engines.list_known(site)
        ]
        moved = [
            request
            for request in silent_engines.list_runs(site.endpoints["d1"])
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
            return silent_engines.continue_stream(request)

        site = await self.start_site(silent_engines.pause_stream(5.0), hang)
        caller = await site.connect()
        caller.send(
            testing.make_request(
                "/gen/",
                headers=silent_engines.GENERATION_HEADERS,
                deadline_ms=14000,
            )
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
            for item in silent_engines.list_known(site)
        ]
        await self.close_sites()
        self.assertEqual(loads, [(0, 0), (0, 0)])
