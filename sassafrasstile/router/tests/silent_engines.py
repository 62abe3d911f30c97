"""Engines in good order that are silent for a while, and their callers."""

from sassafrasstile import standins
from sassafrasstile import testing

# The number of events of each stream.
EVENT_COUNT = 6
GENERATION_HEADERS = ("X-Token-Count: 100,50",)
LONG_GENERATION_HEADERS = ("X-Token-Count: 7000,50",)
_HOLD_TARGET = "/sassafrasstile/hold-take"


def delay_stream(delay_s):
    """Returns a script whose first byte is late."""

    def answer(request):
        first, *rest = standins.make_stream(request, count=EVENT_COUNT).segments
        return standins.EndpointAnswer(
            segments=[
                standins.Segment(data=first.data, after_s=delay_s),
                *rest,
            ]
        )

    return answer


def pause_stream(pause_s, *, before=3):
    """Returns a script that pauses in the middle of a stream.

    A stream that is resumed there goes on after the rest of the pause.
    """

    def answer(request):
        if "last-event-id" in request.headers:
            head, *rest = continue_stream(request).segments
            rest[0] = standins.Segment(data=rest[0].data, after_s=0.6)
            return standins.EndpointAnswer(segments=[head, *rest])
        head, *rest = standins.make_stream(request, count=EVENT_COUNT).segments
        rest[before] = standins.Segment(data=rest[before].data, after_s=pause_s)
        return standins.EndpointAnswer(segments=[head, *rest])

    return answer


def stop_after_head(request):
    """Answers with the head of a stream and stops for good."""
    answer = standins.make_stream(request, count=EVENT_COUNT)
    return standins.EndpointAnswer(segments=answer.segments[:1])


def continue_stream(request):
    """Answers an engine that has room and resumes a stream."""
    if request.target == _HOLD_TARGET:
        return standins.make_hold(request, "m1")
    after = int(request.headers.get("last-event-id", 0))
    return standins.make_stream(
        request, first=after + 1, count=EVENT_COUNT - after
    )


def refuse_request(request):
    """Answers a full endpoint."""
    return standins.make_refusal(request)


def ignore_request(_request):
    """Never answers."""
    return standins.SILENCE


def delay_prefill(delay_s):
    """Returns a script of a prefill engine whose handle is late."""

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


def list_runs(endpoint, prefix="/gen/"):
    """Returns the requests that an endpoint was sent to run."""
    return [
        request
        for request in endpoint.requests
        if request.target.startswith(prefix)
    ]


def list_known(site):
    """Returns the endpoints of a site as its gateway knows them."""
    return site.daemon._endpoints.list_all()


class SilentEngineCase(testing.PlatformTestCase):
    """Starts two decode engines, of which the first is chosen first."""

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

    async def receive(
        self, site, *, headers=GENERATION_HEADERS, deadline_ms=14000
    ):
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
            f"data: token {number}".encode()
            for number in range(1, EVENT_COUNT + 1)
        ]
        self.assertEqual(tokens, expected)
