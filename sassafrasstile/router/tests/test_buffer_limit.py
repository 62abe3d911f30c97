"""The limit on what a gateway buffers for all its requests."""

from unittest import mock

from sassafrasstile import standins
from sassafrasstile import testing
from sassafrasstile.web import _meter

_MAX_BUFFERED_BYTES = 300000
_UNAVAILABLE = 503
_LARGE = b"x" * 1000000
# More than the buffers of the kernel take.
_HUGE = b"x" * 4000000
_CALLERS = 3
_SMALL_BYTES = 100000
_FIRST_BYTES = 400000


class BufferLimitTest(testing.PlatformTestCase):
    """New requests are refused while as much is buffered as is allowed."""

    async def start_site(self, script=standins.make_answer, **limits):
        site = self.make_site(
            [testing.make_platform_route("/a/", "desk", "unsafe")],
            max_buffered_bytes=_MAX_BUFFERED_BYTES,
        )
        site.configure(**limits)
        site.add_endpoint("e0", script)
        await self.wait_until_ready(site)
        return site

    def drop_nothing(self):
        """Lets answers be much larger than the limit."""
        patch = mock.patch.object(_meter, "_DROP_FACTOR", 100.0)
        patch.start()
        self.addCleanup(patch.stop)

    def is_full(self, site):
        return site.daemon._meter.is_full

    async def check_refused(self, site):
        calls = len(site.endpoints["e0"].requests)
        answer = await site.call("/a/small", request_id="other")
        self.assertEqual(answer.status, _UNAVAILABLE)
        self.assertIn(b"memory_limit", answer.body)
        self.assertIn(b"retry-after:", answer.data.lower())
        self.assertEqual(len(site.endpoints["e0"].requests), calls)

    async def check_served(self, site):
        """Checks that all was released and that requests are served again."""
        await self.wait_until(lambda: not self.is_full(site))
        answer = await site.call("/a/small", request_id="last")
        self.assertEqual(answer.status, 200)
        await self.wait_until(lambda: not site.daemon._meter.used_bytes)
        await self.close_sites()

    # The caller of a whole answer doesn't read it.
    @testing.on_reactor
    async def test_answers_that_callers_do_not_read(self):
        def script(request):
            is_large = request.target == "/a/large"
            body = _HUGE if is_large else b"ok"
            return standins.make_answer(request, body=body)

        self.drop_nothing()
        site = await self.start_site(script)
        callers = [await site.connect() for _ in range(_CALLERS)]
        for number, caller in enumerate(callers):
            caller.transport.pauseProducing()
            caller.send(
                testing.make_request("/a/large", request_id=f"r{number}")
            )
        await self.wait_until(lambda: self.is_full(site))
        await self.check_refused(site)
        for caller in callers:
            caller.transport.resumeProducing()
            answer = await caller.read_all()
            self.assertEqual(len(answer.body), len(_HUGE))
        await self.check_served(site)

    @testing.on_reactor
    async def test_answers_that_are_incomplete(self):
        def script(request):
            answer = standins.make_answer(request, body=_LARGE)
            if request.target != "/a/large":
                return standins.make_answer(request)
            data = answer.segments[0].data
            return standins.EndpointAnswer(
                segments=[
                    standins.Segment(data=data[:_FIRST_BYTES]),
                    standins.Segment(data=data[_FIRST_BYTES:], after_s=1.0),
                ]
            )

        self.drop_nothing()
        site = await self.start_site(script)
        caller = await site.connect()
        caller.send(testing.make_request("/a/large"))
        await self.wait_until(lambda: self.is_full(site))
        await self.check_refused(site)
        answer = await caller.read_all()
        self.assertEqual(answer.body, _LARGE)
        await self.check_served(site)

    # All calls began before anything was buffered, so that none was refused.
    @testing.on_reactor
    async def test_largest_answers_are_given_up(self):
        def script(request):
            if request.target != "/a/large":
                return standins.make_answer(request)
            data = standins.make_answer(request, body=_LARGE).segments[0].data
            size = _FIRST_BYTES if request.request_id == "r0" else _SMALL_BYTES
            return standins.EndpointAnswer(
                segments=[
                    standins.Segment(data=data[:size], after_s=0.2),
                    standins.Segment(data=data[size:], after_s=1.0),
                ]
            )

        site = await self.start_site(script)
        callers = [await site.connect() for _ in range(_CALLERS)]
        for number, caller in enumerate(callers):
            caller.send(
                testing.make_request("/a/large", request_id=f"r{number}")
            )
        first = await callers[0].read_all()
        self.assertEqual(first.status, 502)
        self.assertIn(b"answer_too_large", first.body)
        self.assertLessEqual(
            site.daemon._meter.used_bytes, 1.5 * _MAX_BUFFERED_BYTES
        )
        for caller in callers[1:]:
            await caller.read_all()
        await self.check_served(site)

    @testing.on_reactor
    async def test_bodies_of_requests(self):
        site = await self.start_site(maxBodyBytes=2 * len(_LARGE))
        caller = await site.connect()
        request = testing.make_request("/a/large", body=_LARGE.decode())
        # The last byte that is taken fills the buffers.
        count = len(request) - len(_LARGE) + _MAX_BUFFERED_BYTES
        caller.send(request[:count])
        await self.wait_until(lambda: self.is_full(site))
        await self.check_refused(site)
        # The body that has filled the buffers isn't read to its end either.
        caller.send(request[count:])
        answer = await caller.read_all()
        self.assertEqual(answer.status, _UNAVAILABLE)
        self.assertIn(b"Retry-After", answer.data)
        await self.check_served(site)

    @testing.on_reactor
    async def test_nothing_is_counted_after_a_caller_is_gone(self):
        site = await self.start_site(maxBodyBytes=2 * len(_LARGE))
        caller = await site.connect()
        request = testing.make_request("/a/large", body=_LARGE.decode())
        # The last byte that is taken fills the buffers.
        count = len(request) - len(_LARGE) + _MAX_BUFFERED_BYTES
        caller.send(request[:count])
        await self.wait_until(lambda: self.is_full(site))
        caller.disconnect()
        await self.check_served(site)
