"""Callers that read a stream slowly or not at all."""

import socket

from twisted.internet import endpoints
from twisted.internet import protocol

from sassafrasstile import standins
from sassafrasstile import testing

_EVENT_BYTES = 16000
# More than the buffers of the kernel take.
_EVENTS = 2500
_RECEIVE_BUFFER_BYTES = 65536
_MARK = b" token "
# May wait in a gateway for one caller, of 40 MB that the engine sends.
_MAX_BUFFERED_BYTES = 1000000
# The last chunk, at the end of as many bytes as the caller keeps.
_END = b"\n0\r\n\r\n"
_PAUSE_S = 1.0
# A silent engine would have lost its stream by then.
_LONG_PAUSE_S = 2.5
_STALL_S = 0.4
_READ_S = 0.01


def _stream(request):
    """Returns a stream that doesn't fit into the buffers on its way."""
    if request.method == "GET":
        return standins.make_answer(request)
    return standins.make_stream(
        request, count=_EVENTS, text="x" * _EVENT_BYTES + " token"
    )


class _CountingCaller(protocol.Protocol):
    """Counts events and keeps only the last bytes."""

    def __init__(self):
        self.events = 0
        self.tail = b""
        self.is_open = True

    def connectionMade(self):  # noqa: N802
        # With a large buffer the kernel reports only large steps.
        self.transport.getHandle().setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )

    def dataReceived(self, data):  # noqa: N802
        data = self.tail + data
        self.events += data.count(_MARK) - self.tail.count(_MARK)
        self.tail = data[-len(_MARK) + 1 :]

    def connectionLost(self, reason=protocol.connectionDone):  # noqa: N802
        self.is_open = False


def _count_unsent(connection):
    """Returns how many bytes a connection keeps until they can be sent."""
    transport = connection.transport
    return len(transport.dataBuffer) + sum(map(len, transport._tempDataBuffer))


class SlowCallerTest(testing.PlatformTestCase):
    """The engine waits for its caller, and the gateway's memory is bounded."""

    async def start(self, *, engines=1, grace_s=8.0, **settings):
        site = self.make_site(
            [
                testing.make_platform_route(
                    "/gen/",
                    "writer",
                    "streaming",
                    targetGapMs=300,
                    timeoutMs=20000,
                    maxAttempts=2,
                    resumable=True,
                )
            ],
            grace_s=grace_s,
            **settings,
        )
        for number in range(engines):
            site.add_endpoint(
                f"e{number}", _stream, service="writer", stage="decode"
            )
        await self.wait_until_ready(site)
        caller = await endpoints.connectProtocol(
            endpoints.TCP4ClientEndpoint(
                self.reactor, "127.0.0.1", site.daemon.port
            ),
            _CountingCaller(),
        )
        caller.transport.write(
            testing.make_request(
                "/gen/", headers=("X-Token-Count: 9,9",), deadline_ms=20000
            )
        )
        await self.wait_until(lambda: caller.events)
        caller.transport.pauseProducing()
        return site, caller

    def count_buffered(self, site):
        """Returns how many bytes wait in the gateway for its callers."""
        return sum(map(_count_unsent, site.daemon._ingress.channels))

    def count_unsent_by_engine(self, site):
        return sum(map(_count_unsent, site.endpoints["e0"].connections))

    def count_streams(self, site):
        return sum(
            item.method == "POST"
            for endpoint in site.endpoints.values()
            for item in endpoint.requests
        )

    def read_failure_rates(self, site):
        now = self.reactor.seconds()
        return [
            item.health.compute_failure_rate(now)
            for item in site.daemon._endpoints.list_all()
        ]

    async def wait_until_engines_are_free(self, site):
        def are_free():
            return not any(
                item.in_flight or item.total_reserved_tokens
                for item in site.daemon._endpoints.list_all()
            )

        await self.wait_until(are_free)

    async def check_whole(self, site, caller):
        await self.wait_until(lambda: not caller.is_open)
        self.assertEqual((caller.tail, caller.events), (_END, _EVENTS))
        self.assertEqual(self.count_streams(site), 1)
        self.assertEqual(set(self.read_failure_rates(site)), {0.0})

    # All that the engine sent was kept for the caller.
    @testing.on_reactor
    async def test_engine_waits_while_the_caller_does_not_read(self):
        site, caller = await self.start()
        await self.sleep(_PAUSE_S)
        buffered = self.count_buffered(site)
        unsent = self.count_unsent_by_engine(site)
        caller.transport.resumeProducing()
        await self.check_whole(site, caller)
        await self.close_sites()
        self.assertLess(buffered, _MAX_BUFFERED_BYTES)
        # The rest is in the kernel's buffers and not in the gateway.
        self.assertGreater(unsent, _EVENTS * _EVENT_BYTES // 2)

    @testing.on_reactor
    async def test_engine_that_waits_is_not_silent(self):
        site, caller = await self.start(engines=2)
        await self.sleep(_LONG_PAUSE_S)
        caller.transport.resumeProducing()
        await self.check_whole(site, caller)
        await self.close_sites()

    @testing.on_reactor
    async def test_caller_that_never_reads_is_disconnected(self):
        site, caller = await self.start(caller_stall_s=_STALL_S)
        await self.wait_until(lambda: not site.daemon._ingress.channels)
        await self.wait_until_engines_are_free(site)
        stalled = site.metrics.registry.get_sample_value(
            "sassafrasstile_callers_stalled_total"
        )
        rates = self.read_failure_rates(site)
        caller.transport.abortConnection()
        await self.close_sites()
        self.assertEqual(stalled, 1)
        self.assertEqual(rates, [0.0])

    # It reads for a moment after each half of the time that a caller has.
    @testing.on_reactor
    async def test_caller_that_reads_now_and_then_is_served(self):
        site, caller = await self.start(caller_stall_s=2 * _STALL_S)
        for _ in range(6):
            await self.sleep(_STALL_S)
            caller.transport.resumeProducing()
            await self.sleep(_READ_S)
            caller.transport.pauseProducing()
        caller.transport.resumeProducing()
        await self.check_whole(site, caller)
        await self.close_sites()

    @testing.on_reactor
    async def test_caller_disconnects_while_the_engine_waits(self):
        site, caller = await self.start()
        await self.sleep(_PAUSE_S)
        caller.transport.abortConnection()
        await self.wait_until(lambda: not site.daemon._ingress.channels)
        await self.wait_until_engines_are_free(site)
        rates = self.read_failure_rates(site)
        await self.close_sites()
        self.assertEqual(rates, [0.0])

    @testing.on_reactor
    async def test_planned_stop_while_the_engine_waits(self):
        site, caller = await self.start(grace_s=2.0)
        await self.sleep(_PAUSE_S)
        await site.daemon.drain()
        caller.transport.resumeProducing()
        await self.wait_until(lambda: not caller.is_open)
        await self.close_sites()
        self.assertNotEqual(caller.tail, _END)
