"""Endpoints whose answers never end."""

from sassafrasstile import standins
from sassafrasstile import testing

_MAY_HAVE_RUN = 502
# A share of each answer that doesn't end; the endpoint then sends no more, but
# leaves its connection open.
_PART = b"x" * 65536
_PARTS = 100


def _endless(answer, part=_PART, parts=_PARTS):
    """Returns the head of an answer without length, and a long body."""
    head, _, body = answer.segments[0].data.partition(b"\r\n\r\n")
    lines = head.split(b"\r\n")
    lines = [item for item in lines if not item.startswith(b"Content-Length")]
    begin = standins.Segment(data=b"\r\n".join(lines) + b"\r\n\r\n" + body)
    segments = [begin, *(standins.Segment(data=part) for _ in range(parts))]
    return standins.EndpointAnswer(segments=segments)


def _endless_body(request):
    if request.method == "GET":
        return standins.make_answer(request)
    return _endless(standins.make_answer(request))


def _endless_refusal(request):
    if request.method == "GET":
        return standins.make_answer(request)
    return _endless(standins.make_refusal(request))


def _endless_hints(request):
    if request.method == "GET":
        return standins.make_answer(request)
    hint = b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
    segments = [standins.Segment(data=hint * 1000) for _ in range(_PARTS)]
    return standins.EndpointAnswer(segments=segments)


def _endless_event(request):
    """Returns a stream whose third event doesn't end."""
    complete = standins.make_stream(request, count=2)
    chunk = b"%x\r\n%b\r\n" % (len(_PART), _PART)
    segments = complete.segments[:-1]
    segments += [standins.Segment(data=chunk) for _ in range(_PARTS)]
    return standins.EndpointAnswer(segments=segments)


class EndlessAnswerTest(testing.PlatformTestCase):
    """They are cut off at a bound and not at the caller's deadline."""

    async def start_site(self, kind, *scripts, service="desk", **fields):
        site = self.make_site(
            [
                testing.make_platform_route(
                    "/a/", service, kind, maxAttempts=2, **fields
                )
            ]
        )
        stage = "decode" if service == "writer" else None
        for number, script in enumerate(scripts):
            site.add_endpoint(
                f"e{number}", script, service=service, stage=stage
            )
        await self.wait_until_ready(site)
        return site

    def count(self, site, bound):
        return site.metrics.registry.get_sample_value(
            "sassafrasstile_reads_too_large_total", {"bound": bound}
        )

    def read_failure_rate(self, site):
        (endpoint,) = site.daemon._endpoints.list_all()
        return endpoint.health.compute_failure_rate(self.reactor.seconds())

    async def wait_until_disconnected(self, site):
        endpoints = site.endpoints.values()
        await self.wait_until(
            lambda: not any(item.connections for item in endpoints)
        )

    @testing.on_reactor
    async def test_non_idempotent_call_may_have_run(self):
        for script, bound in (
            (_endless_body, "answer"),
            (_endless_hints, "head"),
        ):
            with self.subTest(bound=bound):
                site = await self.start_site("unsafe", script)
                answer = await site.call("/a/")
                self.assertEqual(answer.status, _MAY_HAVE_RUN)
                self.assertIn(b"answer_too_large", answer.body)
                self.assertIn(b"may_have_run", answer.body)
                self.assertEqual(self.count(site, bound), 1)
                self.assertGreater(self.read_failure_rate(site), 0.0)
                await self.wait_until_disconnected(site)
        await self.close_sites()

    @testing.on_reactor
    async def test_idempotent_call_is_sent_to_another_endpoint(self):
        calls = []

        def script(request):
            if request.method == "GET":
                return standins.make_answer(request)
            calls.append(request)
            make = _endless_body if len(calls) == 1 else standins.make_answer
            return make(request)

        site = await self.start_site("safe", script, script)
        answer = await site.call("/a/")
        self.assertEqual((answer.status, answer.body), (200, b"ok"))
        self.assertEqual(len(calls), 2)
        self.assertEqual(self.count(site, "answer"), 1)
        await self.close_sites()

    # The head of the answer proves that the call wasn't run.
    @testing.on_reactor
    async def test_refusal_without_end_proves_that_nothing_ran(self):
        site = await self.start_site("unsafe", _endless_refusal)
        answer = await site.call("/a/")
        await self.wait_until(lambda: self.count(site, "control"))
        await self.wait_until_disconnected(site)
        await self.close_sites()
        self.assertEqual(answer.status, 503)
        self.assertIn(b'"not_run"', answer.body)

    @testing.on_reactor
    async def test_event_without_end_breaks_the_stream_off(self):
        site = await self.start_site(
            "streaming", _endless_event, service="writer", targetGapMs=300
        )
        answer = await site.call("/a/", headers=("X-Token-Count: 9,9",))
        await self.wait_until_disconnected(site)
        await self.close_sites()
        self.assertEqual(answer.data.count(b"data: token"), 2)
        self.assertNotIn(b"xxx", answer.data)
        self.assertFalse(answer.is_complete_stream)
        self.assertEqual(self.count(site, "event"), 1)
