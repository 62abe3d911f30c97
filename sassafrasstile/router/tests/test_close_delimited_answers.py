"""Answers that have neither a length nor chunks and end with a connection."""

from sassafrasstile import standins
from sassafrasstile import testing

_MAY_HAVE_RUN = 502
_EVENTS = b"id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\n"


def _strip_framing(answer, *, body, end, after_s=0.0):
    """Returns the head of an answer without its framing, then a body."""
    head, _, _ = answer.segments[0].data.partition(b"\r\n\r\n")
    lines = [
        line
        for line in head.split(b"\r\n")
        if not line.startswith((b"Content-Length", b"Transfer-Encoding"))
    ]
    segments = [
        standins.Segment(data=b"\r\n".join(lines) + b"\r\n\r\n"),
        standins.Segment(data=body, after_s=after_s),
    ]
    return standins.EndpointAnswer(segments=segments, end=end)


class _Script:
    """Gives answers without framing to all but probes."""

    def __init__(self, *, make):
        self._make = make
        self.body = b""
        self.end = "close"
        self.after_s = 0.0

    def __call__(self, request):
        if request.method == "GET":
            return standins.make_answer(request)
        return _strip_framing(
            self._make(request),
            body=self.body,
            end=self.end,
            after_s=self.after_s,
        )


class CloseDelimitedAnswerTest(testing.PlatformTestCase):
    """They are whole if the connection ends cleanly, else broken off."""

    async def start_site(self, script, service):
        site = self.make_site(
            [
                testing.make_platform_route("/once/", "desk", "unsafe"),
                testing.make_platform_route(
                    "/gen/", "writer", "streaming", targetGapMs=300
                ),
            ]
        )
        stage = "decode" if service == "writer" else None
        site.add_endpoint("e0", script, service=service, stage=stage)
        await self.wait_until_ready(site)
        return site

    async def generate(self, site):
        return await site.call("/gen/", headers=("X-Token-Count: 9,9",))

    @testing.on_reactor
    async def test_call(self):
        script = _Script(make=standins.make_answer)
        site = await self.start_site(script, "desk")
        for after_s in (0.0, 0.05):
            script.after_s = after_s
            for body in (b"", b"0123", b"x" * 300000):
                script.body = body
                with self.subTest(size=len(body), after_s=after_s):
                    script.end = "close"
                    answer = await site.call("/once/")
                    self.assertEqual(answer.status, 200)
                    self.assertEqual(answer.body, body)
                    length = b"content-length: %d\r\n" % len(body)
                    self.assertIn(length, answer.data.lower())
                    script.end = "reset"
                    answer = await site.call("/once/")
                    self.assertEqual(answer.status, _MAY_HAVE_RUN)
        await self.close_sites()

    @testing.on_reactor
    async def test_stream(self):
        script = _Script(make=standins.make_stream)
        site = await self.start_site(script, "writer")
        for end, rest, is_whole in (
            ("close", b"", True),
            ("reset", b"", False),
            ("close", b"id: 3\nda", False),
            ("close", b"\n", False),
            ("reset", b"id: 3\nda", False),
        ):
            script.body, script.end = _EVENTS + rest, end
            with self.subTest(end=end, rest=rest):
                answer = await self.generate(site)
                self.assertEqual(answer.status, 200)
                self.assertEqual(answer.data.count(b"data: token"), 2)
                self.assertNotIn(b"id: 3", answer.data)
                self.assertEqual(answer.is_complete_stream, is_whole)
        await self.close_sites()

    # Without chunks only a reset shows that a stream isn't whole.
    @testing.on_reactor
    async def test_stream_to_a_caller_without_chunks(self):
        script = _Script(make=standins.make_stream)
        site = await self.start_site(script, "writer")
        for end in ("close", "reset"):
            script.body, script.end = _EVENTS, end
            with self.subTest(end=end):
                request = testing.make_request(
                    "/gen/", headers=("X-Token-Count: 9,9",)
                )
                caller = await site.connect()
                caller.send(request.replace(b"HTTP/1.1", b"HTTP/1.0", 1))
                answer = await caller.read_all()
                self.assertEqual(answer.is_reset, end == "reset")
                if end == "close":
                    self.assertEqual(answer.body, _EVENTS)
        await self.close_sites()

    @testing.on_reactor
    async def test_connection_is_not_used_again(self):
        script = _Script(make=standins.make_answer)
        script.body = b"ok"
        site = await self.start_site(script, "desk")
        endpoint = site.endpoints["e0"]
        before = endpoint.accepted_connections
        for _ in range(5):
            await site.call("/once/")
        connections = endpoint.accepted_connections - before
        await self.close_sites()
        # The first call may have used the connection of a probe.
        self.assertGreaterEqual(connections, 4)
