"""Engines that crash when they begin to answer a prompt with a certain part."""

import collections

from sassafrasstile import standins
from sassafrasstile import testing

_COUNT = "X-Token-Count: 100,50"
# More than half of an engine's memory.
_LARGE_COUNT = "X-Token-Count: 6000,50"
_ENDLESS = "endless"
_ENGINES = 6
_HOLD_TARGET = "/sassafrasstile/hold-take"
_BAD = "bad"
_SLOW = "slow"
# In prompts whose answers have neither a length nor chunks.
_PLAIN = "plain"
_PREFILL_S = 1.0
# The head of a stream, without an event.
_HEAD = slice(0, 1)


def _read_parts(request):
    return request.headers.get("x-prompt-prefix", "")


def _make_plain_head(request):
    """Returns the head of a stream that ends with its connection."""
    head = (
        "HTTP/1.1 200 OK\r\n"
        f"X-Attempt-Id: {request.request_id}\r\n"
        "X-Server-Stamp: stamp\r\n"
        "Content-Type: text/event-stream\r\n\r\n"
    )
    return standins.Segment(data=head.encode())


def _decode(request):
    """Answers with a stream, or crashes under the deadly part."""
    if request.target == _HOLD_TARGET:
        return standins.make_hold(request, "m1")
    stream = standins.make_stream(request)
    if _ENDLESS in _read_parts(request):
        return standins.EndpointAnswer(segments=stream.segments[:-1])
    if _BAD not in _read_parts(request):
        return stream
    if _PLAIN in _read_parts(request):
        return standins.EndpointAnswer(
            segments=[_make_plain_head(request)], end="close"
        )
    return standins.EndpointAnswer(segments=stream.segments[_HEAD], end="close")


def _prefill(request):
    is_slow = _SLOW in _read_parts(request)
    return standins.EndpointAnswer(
        segments=[
            standins.Segment(
                data=standins.make_handle(request, "h1").segments[0].data,
                after_s=_PREFILL_S if is_slow else 0.0,
            )
        ]
    )


def _list_runs(endpoints, part):
    """Returns what reached the decode engines with a part of a prompt."""
    return [
        request
        for name, endpoint in endpoints.items()
        if name.startswith("d")
        for request in endpoint.requests
        if request.method == "POST"
        and request.target != _HOLD_TARGET
        and part in _read_parts(request)
    ]


class DeadlyPromptTest(testing.PlatformTestCase):
    """What crashes have in common isn't sent again."""

    def setUp(self):
        super().setUp()
        self.starts = collections.Counter()
        self.has_restarts = True

    async def start_site(self, *, engines=_ENGINES, gateways=(), **route):
        path = testing.make_platform_route(
            "/gen/", "writer", "streaming", targetGapMs=300, **route
        )
        site = self.make_site([path])
        for name in gateways:
            site.add_gateway(name, zone="a")
        for number in range(engines):
            site.add_endpoint(
                f"d{number}", _decode, service="writer", stage="decode"
            )
        site.add_endpoint("p0", _prefill, service="writer", stage="prefill")
        await self.wait_until_ready(site)
        for name in gateways:
            await self.wait_until(site.get_gateway(name).is_ready)
        # Reports between the gateways.
        await self.sleep(0.6)
        return site

    async def fill_engines(self, site):
        """Lets endless streams leave no room for a further large prompt."""
        for number in range(_ENGINES):
            caller = await site.connect()
            text = f"X-Prompt-Prefix: a1:20,{_ENDLESS}{number}:20"
            caller.send(
                testing.make_request(
                    "/gen/",
                    request_id=f"f{number}",
                    deadline_ms=12000,
                    headers=(_LARGE_COUNT, text),
                )
            )
        await self.wait_until(
            lambda: len(_list_runs(site.endpoints, _ENDLESS)) == _ENGINES
        )

    async def ask(self, site, *parts, gateway="gateway-1"):
        text = ",".join(f"{part}:20" for part in parts)
        answer = await site.call(
            "/gen/",
            gateway=gateway,
            request_id=f"r-{parts[-1]}",
            headers=(_COUNT, f"X-Prompt-Prefix: {text}"),
        )
        await self.restart_crashed(site)
        return answer

    async def crash_until_refused(self, site):
        """Crashes engines that don't restart; one may be chosen again."""
        self.has_restarts = False
        for number in range(20):
            answer = await self.ask(site, "a0", _BAD, f"b{number}")
            if answer.status == 503:
                return
        self.fail("the part isn't refused")

    async def restart_crashed(self, site):
        """Announces a new start of each engine that has crashed since."""
        for name, endpoint in site.endpoints.items():
            crashes = len(_list_runs({name: endpoint}, _BAD))
            if self.has_restarts and crashes > self.starts[name]:
                self.starts[name] = crashes
                site.announce(
                    name, service="writer", stage="decode", born=crashes + 1
                )
        # Until the gateways have read it; crashes within a shorter time count
        # as one.
        await self.sleep(0.15)

    # Guards against requests with one deadly part that crash engine after
    # engine, at whichever gateway they come.
    @testing.on_reactor
    async def test_deadly_part_reaches_few_engines(self):
        gateways = ("gateway-1", "gateway-2", "gateway-3")
        site = await self.start_site(gateways=gateways[1:])
        answers = [
            await self.ask(
                site, "a0", _BAD, f"b{number}", gateway=gateways[number % 3]
            )
            for number in range(9)
        ]
        await self.close_sites()
        self.assertEqual([item.status for item in answers[3:]], [503] * 6)
        self.assertIn(b"Retry-After", answers[-1].data)
        self.assertIn(b"prompt_refused", answers[-1].data)
        self.assertEqual(len(_list_runs(site.endpoints, _BAD)), 3)

    # Guards against crashes that aren't noticed, since the answers end with
    # their connections.
    @testing.on_reactor
    async def test_crash_in_an_answer_without_length_counts(self):
        site = await self.start_site()
        # The same engine may be chosen again; its crashes count once.
        for number in range(20):
            answer = await self.ask(site, _PLAIN, _BAD, f"b{number}")
            if answer.status == 503:
                break
        engines = [
            name
            for name, endpoint in site.endpoints.items()
            if any(
                _BAD in _read_parts(request) for request in endpoint.requests
            )
            and name.startswith("d")
        ]
        await self.close_sites()
        self.assertIn(b"prompt_refused", answer.data)
        self.assertLessEqual(len(engines), 3)

    # Guards against refusing sound requests that share their first part with
    # those that crash engines.
    @testing.on_reactor
    async def test_requests_that_share_other_parts_are_answered(self):
        gateways = ("gateway-1", "gateway-2")
        site = await self.start_site(gateways=gateways[1:])
        for number in range(4):
            gateway = gateways[number % 2]
            await self.ask(site, "a0", _BAD, f"b{number}", gateway=gateway)
        answers = [
            await self.ask(
                site, "a0", f"s{number}", f"c{number}", gateway=gateways[1]
            )
            for number in range(6)
        ]
        await self.close_sites()
        self.assertEqual([item.status for item in answers], [200] * 6)

    # Guards against a single request that crashes as many engines as it may
    # be sent to.
    @testing.on_reactor
    async def test_request_is_not_sent_on_after_two_crashes(self):
        site = await self.start_site(resumable=True, maxAttempts=5)
        answer = await self.ask(site, "a0", _BAD, "b0")
        again = await self.ask(site, "a0", _BAD, "b0")
        await self.close_sites()
        self.assertEqual((answer.status, again.status), (502, 503))
        self.assertEqual(len(_list_runs(site.endpoints, _BAD)), 2)

    # Guards against a gateway that starts and learns it by crashes of its own.
    @testing.on_reactor
    async def test_gateway_that_starts_is_told_at_once(self):
        site = await self.start_site()
        for number in range(3):
            await self.ask(site, "a0", _BAD, f"b{number}")
        late = site.add_gateway("gateway-2", zone="a")
        await self.wait_until(late.is_ready)
        # Far less than the interval of the repeats.
        await self.sleep(0.1)
        answer = await self.ask(site, "a0", _BAD, "b4", gateway="gateway-2")
        await self.close_sites()
        self.assertEqual(answer.status, 503)
        self.assertEqual(len(_list_runs(site.endpoints, _BAD)), 3)

    # Guards against a request that is sent to a decode engine although its part
    # was found to be deadly during its prefill.
    @testing.on_reactor
    async def test_part_that_is_found_during_a_prefill_is_not_decoded(self):
        site = await self.start_site()
        late = await site.connect()
        text = f"X-Prompt-Prefix: a0:20,{_BAD}:20,{_SLOW}:20"
        late.send(
            testing.make_request(
                "/gen/", request_id="late", headers=(_COUNT, text)
            )
        )
        prefill = site.endpoints["p0"]
        await self.wait_until(lambda: prefill.requests)
        for number in range(3):
            await self.ask(site, "a0", _BAD, f"b{number}")
        self.assertEqual(late.data, b"")
        answer = await late.read_all()
        await self.close_sites()
        self.assertEqual(answer.status, 503)
        self.assertEqual(_list_runs(site.endpoints, _SLOW), [])

    # Guards against a request that waits for capacity although it won't be
    # sent to any engine.
    @testing.on_reactor
    async def test_queued_request_is_refused_once_its_part_is_known(self):
        site = await self.start_site(targetLatencyMs=2500, timeoutMs=12000)
        await self.fill_engines(site)
        queued = await site.connect()
        text = f"X-Prompt-Prefix: a0:20,{_BAD}:20,b9:20"
        queued.send(
            testing.make_request(
                "/gen/",
                request_id="queued",
                deadline_ms=12000,
                headers=(_LARGE_COUNT, text),
            )
        )
        await self.sleep(0.3)
        self.assertEqual(queued.data, b"")
        await self.crash_until_refused(site)
        answer = await queued.read_within(1.0)
        await self.close_sites()
        self.assertEqual(answer.status, 503)
        self.assertIn(b"prompt_refused", answer.data)

    # Guards against crashes that count once, since nobody is told that their
    # engine has restarted while the store is away.
    @testing.on_reactor
    async def test_deadly_part_is_refused_while_the_store_is_away(self):
        site = await self.start_site(engines=2)
        site.store.outage = "busy"
        await self.crash_until_refused(site)
        await self.close_sites()
        self.assertLessEqual(len(_list_runs(site.endpoints, _BAD)), 8)
