"""Answers of an endpoint that end at each byte position."""

from sassafrasstile import standins
from sassafrasstile import testing

_ENDS = ("close", "reset")
_NOT_RUN = 503
_MAY_HAVE_RUN = 502


class _TruncatingScript:
    """A script that ends each answer after a number of bytes.

    Args:
        make: Returns the complete answer to a request.
    """

    def __init__(self, *, make):
        self._make = make
        self.position = 0
        self.end = "keep"

    def __call__(self, request):
        return standins.EndpointAnswer(
            segments=[
                standins.Segment(data=self.build(request)[: self.position])
            ],
            end=self.end,
        )

    def build(self, request) -> bytes:
        """Returns the bytes of the complete answer."""
        return b"".join(
            segment.data for segment in self._make(request).segments
        )

    def measure_length(self) -> int:
        """Returns the length of the complete answer in bytes."""
        request = standins.EndpointRequest(
            method="POST", target="/", headers={"x-attempt-id": "r1"}, body=b""
        )
        return len(self.build(request))


class BytePositionTest(testing.PlatformTestCase):
    """Callers' statuses match what the received bytes prove."""

    async def start_site(self, script, service, **fields):
        site = self.make_site(
            [
                testing.make_platform_route("/once/", "desk", "unsafe"),
                testing.make_platform_route(
                    "/gen/", "writer", "streaming", targetGapMs=300
                ),
            ]
        )
        site.add_endpoint("e0", script, service=service, **fields)
        await self.wait_until_ready(site)
        return site

    def count_runs(self, site, path):
        """Counts the requests, without probes of an unresponsive endpoint."""
        requests = site.endpoints["e0"].requests
        return sum(1 for item in requests if item.target == path)

    async def try_positions(self, site, script, path, check):
        """Ends the answer at each position and checks the caller's answer.

        Args:
            site: The site.
            script: The script of its endpoint.
            path: The path to call.
            check: Called with whether the endpoint's answer is complete, the
                caller's answer, and how often the endpoint got the request.
        """
        length = script.measure_length()
        for end in _ENDS:
            for position in range(length + 1):
                script.position, script.end = position, end
                before = self.count_runs(site, path)
                answer = await site.call(path, headers=("X-Token-Count: 9,9",))
                runs = self.count_runs(site, path) - before
                with self.subTest(end=end, position=position):
                    check(position == length, answer, runs)

    @testing.on_reactor
    async def test_answer_to_non_idempotent_call(self):
        script = _TruncatingScript(
            make=lambda request: standins.make_answer(request, body=b"0123")
        )
        site = await self.start_site(script, "desk")

        def check(is_complete, answer, runs):
            self.assertEqual(runs, 1)
            if is_complete:
                self.assertEqual((answer.status, answer.body), (200, b"0123"))
            else:
                self.assertEqual(answer.status, _MAY_HAVE_RUN)
                self.assertNotIn(b"stamp", answer.data)

        await self.try_positions(site, script, "/once/", check)
        await self.close_sites()

    @testing.on_reactor
    async def test_refusal_proves_nothing_before_its_head_is_complete(self):
        script = _TruncatingScript(make=standins.make_refusal)
        site = await self.start_site(script, "desk")

        def check(is_complete, answer, runs):
            expected = _NOT_RUN if is_complete else _MAY_HAVE_RUN
            self.assertEqual(answer.status, expected)
            # Only a complete refusal allows another attempt.
            self.assertEqual(runs > 1, is_complete)

        await self.try_positions(site, script, "/once/", check)
        await self.close_sites()

    @testing.on_reactor
    async def test_stream(self):
        script = _TruncatingScript(make=standins.make_stream)
        site = await self.start_site(script, "writer", stage="decode")

        def check(is_complete, answer, runs):
            self.assertEqual(runs, 1)
            if answer.status != 200:
                self.assertEqual(answer.status, _MAY_HAVE_RUN)
                return
            self.assertEqual(answer.is_complete_stream, is_complete)
            events = answer.data.count(b"data: token")
            self.assertEqual(answer.data.count(b"\n\n"), events)
            self.assertLessEqual(events, 3)

        await self.try_positions(site, script, "/gen/", check)
        await self.close_sites()
