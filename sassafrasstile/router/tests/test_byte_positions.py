"""An endpoint's answer that ends at each of its bytes."""

from sassafrasstile import standins
from sassafrasstile import testing

_ENDS = ("close", "reset")
_NOT_RUN = 503
_MAY_HAVE_RUN = 502


class _Cutter:
    """A script that cuts each answer after some bytes.

    Args:
        make: Makes the whole answer.
    """

    def __init__(self, *, make):
        self._make = make
        self.place = 0
        self.end = "keep"

    def __call__(self, request):
        return standins.EndpointAnswer(
            pieces=[standins.Piece(data=self.build(request)[: self.place])],
            end=self.end,
        )

    def build(self, request) -> bytes:
        """Returns every byte of the answer."""
        return b"".join(piece.data for piece in self._make(request).pieces)

    def measure(self) -> int:
        """Returns how many bytes the whole answer has."""
        request = standins.EndpointRequest(
            method="POST", target="/", headers={"x-attempt-id": "r1"}, body=b""
        )
        return len(self.build(request))


class BytePositionTest(testing.ReactorTestCase):
    """What callers get agrees with what the bytes prove."""

    async def start_site(self, cutter, service, **fields):
        site = testing.PlatformSite(
            reactor=self.reactor,
            routes=[
                testing.make_platform_route("/once/", "desk", "unsafe"),
                testing.make_platform_route(
                    "/gen/", "writer", "streaming", targetGapMs=300
                ),
            ],
        )
        site.start()
        site.configure()
        site.add_endpoint("e0", cutter, service=service, **fields)
        await self.wait_until(site.daemon.is_ready)
        await self.sleep(0.3)
        return site

    def count_runs(self, site, path):
        """Counts what was to be run; probes of a silent endpoint aren't."""
        requests = site.endpoints["e0"].requests
        return sum(1 for item in requests if item.target == path)

    async def cut_everywhere(self, site, cutter, path):
        """Yields each cut with what the caller got."""
        whole = cutter.measure()
        for end in _ENDS:
            for place in range(whole + 1):
                cutter.place, cutter.end = place, end
                before = self.count_runs(site, path)
                answer = await site.call(path, headers=("X-Token-Count: 9,9",))
                runs = self.count_runs(site, path) - before
                with self.subTest(end=end, place=place):
                    yield place == whole, answer, runs

    @testing.on_reactor
    async def test_answer_of_what_runs_once(self):
        cutter = _Cutter(
            make=lambda request: standins.make_answer(request, body=b"0123")
        )
        site = await self.start_site(cutter, "desk")
        async for is_whole, answer, runs in self.cut_everywhere(
            site, cutter, "/once/"
        ):
            self.assertEqual(runs, 1)
            if is_whole:
                self.assertEqual((answer.status, answer.body), (200, b"0123"))
            else:
                self.assertEqual(answer.status, _MAY_HAVE_RUN)
                self.assertNotIn(b"stamp", answer.data)
        await site.close()

    @testing.on_reactor
    async def test_refusal_proves_nothing_before_its_head_is_whole(self):
        cutter = _Cutter(make=standins.make_refusal)
        site = await self.start_site(cutter, "desk")
        async for is_whole, answer, runs in self.cut_everywhere(
            site, cutter, "/once/"
        ):
            wanted = _NOT_RUN if is_whole else _MAY_HAVE_RUN
            self.assertEqual(answer.status, wanted)
            # Only a whole refusal allows another send.
            self.assertEqual(runs > 1, is_whole)
        await site.close()

    @testing.on_reactor
    async def test_stream(self):
        cutter = _Cutter(make=standins.make_stream)
        site = await self.start_site(cutter, "writer", stage="decode")
        async for is_whole, answer, runs in self.cut_everywhere(
            site, cutter, "/gen/"
        ):
            self.assertEqual(runs, 1)
            if answer.status != 200:
                self.assertEqual(answer.status, _MAY_HAVE_RUN)
                continue
            self.assertEqual(answer.is_whole_stream, is_whole)
            events = answer.data.count(b"data: token")
            self.assertEqual(answer.data.count(b"\n\n"), events)
            self.assertLessEqual(events, 3)
        await site.close()
