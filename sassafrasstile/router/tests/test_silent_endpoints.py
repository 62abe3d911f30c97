"""Endpoints in good order that send nothing for a while and then go on.

The pattern: an engine stands still for a second or two while its streams run,
and the other engines have no room or are silent too.
"""

from sassafrasstile import standins
from sassafrasstile import testing

_COUNT = ("X-Token-Count: 100,50",)
_HOLD_TARGET = "/sassafrasstile/hold-take"
# Longer than a pause after which another engine is tried, shorter than the
# callers' patience.
_PAUSE_S = 2.6
_EVENTS = 6
_EVENTS_BEFORE_PAUSE = 3


def _pause_midway(request):
    """Answers a stream that pauses, and then goes on to its end."""
    answer = standins.make_stream(request, count=_EVENTS)
    head, *rest = answer.segments
    paused = rest[_EVENTS_BEFORE_PAUSE]
    rest[_EVENTS_BEFORE_PAUSE] = standins.Segment(
        data=paused.data, after_s=_PAUSE_S
    )
    return standins.EndpointAnswer(segments=[head, *rest])


def _stop_midway(request):
    """Answers a stream that stops for good."""
    answer = standins.make_stream(request, count=_EVENTS)
    return standins.EndpointAnswer(
        segments=answer.segments[: 1 + _EVENTS_BEFORE_PAUSE]
    )


def _continue(request):
    """Answers an engine that has room and resumes a stream."""
    if request.target == _HOLD_TARGET:
        return standins.make_hold(request, "m1")
    after = int(request.headers.get("last-event-id", 0))
    return standins.make_stream(request, first=after + 1, count=_EVENTS - after)


def _refuse_all(request):
    return standins.make_refusal(request)


def _ignore(_request):
    return standins.SILENCE


def _list_runs(endpoint):
    return [
        request
        for request in endpoint.requests
        if request.target.startswith("/gen/")
    ]


class SilentEngineTest(testing.PlatformTestCase):
    """Resumable streams of an engine that is silent for a while."""

    async def start_site(self, other, **options):
        """Starts a site whose first engine is chosen for the first stream."""
        route = testing.make_platform_route(
            "/gen/",
            "writer",
            "streaming",
            timeoutMs=14000,
            targetGapMs=300,
            resumable=True,
            maxAttempts=2,
        )
        site = self.make_site([route], **options)
        site.add_endpoint(
            "d0", _pause_midway, service="writer", stage="decode", zone="a"
        )
        # An engine of another availability zone is the second choice.
        site.add_endpoint(
            "d1", other, service="writer", stage="decode", zone="b"
        )
        await self.wait_until_ready(site)
        return site

    async def receive(self, site):
        answer = await site.call("/gen/", headers=_COUNT, deadline_ms=14000)
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

    @testing.on_reactor
    async def test_stream_waits_for_its_engine_while_the_others_are_full(self):
        # Fails if the engine is left before another one has room: the
        # stream is cut although its engine goes on.
        site = await self.start_site(_refuse_all)
        answer = await self.receive(site)
        self.check_whole(answer)
        self.assertEqual(len(_list_runs(site.endpoints["d0"])), 1)

    @testing.on_reactor
    async def test_stream_waits_for_its_engine_while_the_others_are_silent(
        self,
    ):
        # Fails if the engine is left for one that is silent as well: the
        # caller waits until its deadline and gets no end of the answer.
        site = await self.start_site(_ignore)
        answer = await self.receive(site)
        self.check_whole(answer)
        self.assertEqual(_list_runs(site.endpoints["d1"]), [])

    @testing.on_reactor
    async def test_stream_waits_for_its_engine_without_a_retry_budget(self):
        # Fails if the engine is left before the budget allows a retry.
        site = await self.start_site(_continue, retry_slack=0.0)
        answer = await self.receive(site)
        self.check_whole(answer)
        self.assertEqual(_list_runs(site.endpoints["d1"]), [])

    @testing.on_reactor
    async def test_stream_of_an_engine_that_stays_silent_goes_on_elsewhere(
        self,
    ):
        site = await self.start_site(_continue)
        site.endpoints["d0"].script = _stop_midway
        answer = await self.receive(site)
        self.check_whole(answer)
        self.assertEqual(len(_list_runs(site.endpoints["d1"])), 1)


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
