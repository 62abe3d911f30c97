import unittest.mock

from twisted.internet import defer

from sassafrasstile import standins
from sassafrasstile import testing

_NOT_RUN = 503
_MAY_HAVE_RUN = 502


def _script(*answers):
    """Returns a script that gives the answers in turn, the last one forever."""
    remaining = list(answers)

    def answer(request):
        make = remaining.pop(0) if len(remaining) > 1 else remaining[0]
        return make(request)

    return answer


def _fail(request):
    return standins.make_answer(request, status=500, body=b"no")


def _reset(_request):
    return standins.EndpointAnswer(end="reset")


def _cut(request):
    complete = standins.make_answer(request, body=b"x" * 50).segments[0].data
    segments = [standins.Segment(data=complete[:-20])]
    return standins.EndpointAnswer(segments=segments, end="close")


def _garble(_request):
    segments = [standins.Segment(data=b"\x00\x01 no answer\r\n\r\n")]
    return standins.EndpointAnswer(segments=segments)


def _unsigned(request):
    return standins.make_answer(request, signed=False)


def _foreign(request):
    complete = standins.make_answer(request).segments[0].data
    segments = [standins.Segment(data=complete.replace(b"r1", b"r9"))]
    return standins.EndpointAnswer(segments=segments)


def _answer_on_kept_connection(request):
    headers = [("Keep-Alive", "timeout=600")]
    return standins.make_answer(request, headers=headers)


def _delay_timeouts(delay_s):
    """Returns a patch that starts the timeouts of requests late.

    The process is held up between taking the time and starting a timer.
    """
    add_timeout = defer.Deferred.addTimeout

    def add_late(deferred, timeout_s, clock):
        return add_timeout(deferred, timeout_s + delay_s, clock)

    return unittest.mock.patch.object(defer.Deferred, "addTimeout", add_late)


def _unmarked(request):
    return standins.make_answer(request, status=503, body=b"")


class CallTest(testing.PlatformTestCase):
    """Calls to plain services over the platform's protocol."""

    async def start_site(self, *scripts):
        site = self.make_site(
            [
                testing.make_platform_route("/once/", "desk", "unsafe"),
                testing.make_platform_route(
                    "/again/", "desk", "safe", maxAttempts=2
                ),
            ]
        )
        for number, script in enumerate(scripts):
            site.add_endpoint(f"e{number}", script)
        await self.wait_until_ready(site)
        return site

    def count_runs(self, site):
        return sum(len(item.requests) for item in site.endpoints.values())

    @testing.on_reactor
    async def test_answer_is_passed_on_unchanged(self):
        site = await self.start_site(standins.make_answer)
        answer = await site.call("/once/x?y=1", body="abc")
        await self.close_sites()
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.body, b"ok")
        self.assertIn(b"stamp", answer.data)
        (request,) = site.endpoints["e0"].requests
        self.assertEqual(request.target, "/once/x?y=1")
        self.assertEqual(request.body, b"abc")
        self.assertEqual(request.headers["x-expect-instance"], "e0")
        self.assertLessEqual(int(request.headers["x-deadline-ms"]), 5000)

    @testing.on_reactor
    async def test_call_that_may_have_run_is_never_sent_twice(self):
        for script in (_reset, _cut, _garble, _unsigned, _foreign, _unmarked):
            site = await self.start_site(script, script)
            answer = await site.call("/once/")
            runs = self.count_runs(site)
            await self.close_sites()
            self.sites.clear()
            with self.subTest(script=script.__name__):
                self.assertEqual(answer.status, _MAY_HAVE_RUN)
                self.assertEqual(runs, 1)
                self.assertNotIn(b"stamp", answer.data)

    @testing.on_reactor
    async def test_call_is_sent_elsewhere_after_a_marked_refusal(self):
        site = await self.start_site(
            _script(standins.make_refusal, standins.make_answer),
            _script(standins.make_answer),
        )
        for number in range(2):
            answer = await site.call("/once/", request_id=f"q{number}")
            self.assertEqual(answer.status, 200)
        await self.close_sites()

    @testing.on_reactor
    async def test_call_refused_by_all_endpoints_is_not_run(self):
        site = await self.start_site(standins.make_refusal)
        answer = await site.call("/once/")
        await self.close_sites()
        self.assertEqual(answer.status, _NOT_RUN)
        self.assertIn(b"Retry-After", answer.data)

    @testing.on_reactor
    async def test_idempotent_call_is_sent_again_within_its_attempts(self):
        for script in (_reset, _cut, _garble, _fail):
            site = await self.start_site(
                _script(script, standins.make_answer),
                _script(script, standins.make_answer),
            )
            answer = await site.call("/again/", method="GET")
            runs = self.count_runs(site)
            await self.close_sites()
            self.sites.clear()
            with self.subTest(script=script.__name__):
                # Each endpoint fails its first call, so the second attempt
                # fails as well if it is sent to the other endpoint.
                self.assertEqual(runs, 2)
                self.assertIn(answer.status, (200, 500, _MAY_HAVE_RUN))

    @testing.on_reactor
    async def test_failure_status_of_the_endpoint_is_passed_on(self):
        site = await self.start_site(_fail)
        answer = await site.call("/once/")
        await self.close_sites()
        self.assertEqual(answer.status, 500)
        self.assertEqual(answer.body, b"no")

    @testing.on_reactor
    async def test_call_to_unreachable_endpoint_is_not_run(self):
        site = await self.start_site(standins.make_answer)
        await defer.maybeDeferred(site.endpoints["e0"].close)
        answer = await site.call("/once/", deadline_ms=1000)
        await self.close_sites()
        self.assertEqual(answer.status, _NOT_RUN)

    @testing.on_reactor
    async def test_call_to_unresponsive_endpoint_gets_504_at_the_deadline(self):
        site = await self.start_site(
            _script(
                _answer_on_kept_connection, lambda _request: standins.SILENCE
            )
        )
        # Leaves a connection on which the next call is sent at once, however
        # long the process is held up: a call that isn't sent gets 503.
        answer = await site.call("/once/")
        self.assertEqual(answer.status, 200)
        answer = await site.call("/once/", deadline_ms=300)
        runs = self.count_runs(site)
        await self.close_sites()
        self.assertEqual(answer.status, 504)
        self.assertEqual(runs, 2)

    # The timeout of the attempt fired before that of the call: 502.
    @testing.on_reactor
    async def test_timeout_of_the_last_attempt_is_the_deadline(self):
        site = await self.start_site(lambda _request: standins.SILENCE)
        with _delay_timeouts(0.05):
            answer = await site.call("/once/", deadline_ms=1000)
        await self.close_sites()
        self.assertEqual(answer.status, 504)

    @testing.on_reactor
    async def test_extra_answer_never_answers_the_next_request(self):
        site = await self.start_site(_answer_on_kept_connection)
        endpoint = site.endpoints["e0"]
        for number in range(3):
            answer = await site.call("/once/", request_id=f"q{number}")
            self.assertEqual(answer.body, b"ok")
            late = standins.make_answer(endpoint.requests[-1], body=b"late")
            for connection in endpoint.connections:
                connection.write_now(late.segments[0].data)
        await self.close_sites()

    @testing.on_reactor
    async def test_extra_answer_during_the_next_request_fails_only_that(self):
        def answer_late(request):
            first = endpoint.requests[0]
            late = standins.make_answer(first, body=b"late").segments
            own = standins.make_answer(request).segments
            return standins.EndpointAnswer(segments=[*late, *own])

        site = await self.start_site(
            _script(
                _answer_on_kept_connection,
                answer_late,
                _answer_on_kept_connection,
            )
        )
        endpoint = site.endpoints["e0"]
        answers = [
            await site.call("/once/", request_id=f"q{number}")
            for number in range(3)
        ]
        runs = self.count_runs(site)
        await self.close_sites()
        self.assertEqual(runs, 3)
        self.assertEqual(answers[0].body, b"ok")
        # The call was sent before the extra answer came, so it may have run.
        self.assertEqual(answers[1].status, _MAY_HAVE_RUN)
        self.assertNotIn(b"late", answers[1].data)
        self.assertEqual(answers[2].body, b"ok")

    @testing.on_reactor
    async def test_attempt_is_aborted_when_the_caller_disconnects(self):
        site = await self.start_site(lambda _request: standins.SILENCE)
        caller = await site.connect()
        caller.send(testing.make_request("/again/", method="GET"))
        endpoint = site.endpoints["e0"]
        await self.wait_until(lambda: endpoint.requests)
        caller.disconnect()
        await self.wait_until(lambda: not endpoint.connections, timeout_s=2.0)
        await self.sleep(0.1)
        self.assertEqual(len(endpoint.requests), 1)
        await self.close_sites()

    @testing.on_reactor
    async def test_system_headers_of_callers_are_dropped(self):
        site = await self.start_site(standins.make_answer)
        forged = ("X-Expect-Instance: other", "X-Stage: prefill", "TE: x")
        await site.call("/once/", headers=forged)
        await self.close_sites()
        headers = site.endpoints["e0"].requests[0].headers
        self.assertEqual(headers["x-expect-instance"], "e0")
        self.assertNotIn("x-stage", headers)
        self.assertNotIn("te", headers)
