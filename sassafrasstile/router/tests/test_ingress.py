import socket
import time
from unittest import mock

from sassafrasstile import forwarding
from sassafrasstile import standins
from sassafrasstile import testing

_HEAD = "POST /once/ HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: r1\r\n"
_HOSTILE = {
    "both framings": (
        _HEAD
        + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        400,
    ),
    "two lengths": (
        _HEAD + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        400,
    ),
    "space before the colon": (_HEAD + "Content-Length : 3\r\n\r\nabc", 400),
    "length that is no number": (_HEAD + "Content-Length: +3\r\n\r\nabc", 400),
    "bad chunk": (
        _HEAD + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
        400,
    ),
    "unknown coding": (
        _HEAD + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        400,
    ),
    "header too long": (_HEAD + f"A: {'x' * 5000}\r\n\r\n", 431),
    "body too long": (_HEAD + "Content-Length: 70000\r\n\r\n", 413),
    "no request line": ("nonsense\r\n\r\n", 400),
    "slow header": (_HEAD, 408),
    "no host": ("GET /once/ HTTP/1.1\r\nX-Attempt-Id: r1\r\n\r\n", 400),
    "deadline that is no number": (
        _HEAD + "X-Deadline-Ms: soon\r\nContent-Length: 0\r\n\r\n",
        400,
    ),
}
# No request is refused for want of time before the process ends.
_LONG_GRACE_S = 40.0


class IngressTest(testing.ReactorTestCase):
    """Validation of callers' requests, and graceful shutdown."""

    def setUp(self):
        self.site = self.make_site()

    def make_site(self, **options):
        return testing.PlatformSite(
            reactor=self.reactor,
            routes=[testing.make_platform_route("/once/", "desk", "unsafe")],
            **options,
        )

    async def start_site(self, script=standins.make_answer):
        self.site.start()
        self.site.configure()
        endpoint = self.site.add_endpoint("e0", script)
        await self.wait_until(self.site.daemon.is_ready)
        await self.sleep(0.4)
        return endpoint

    @testing.on_reactor
    async def test_hostile_requests_reach_no_endpoint(self):
        endpoint = await self.start_site()
        for name, (data, status) in _HOSTILE.items():
            caller = await self.site.connect()
            caller.send(data.encode())
            answer = await caller.read_until(b"\r\n\r\n")
            caller.disconnect()
            with self.subTest(name=name):
                self.assertEqual(answer.status, status)
        self.assertEqual(endpoint.requests, [])
        await self.site.close()

    @testing.on_reactor
    async def test_refusal_is_read_by_a_caller_that_is_still_sending(self):
        await self.start_site()
        head = (_HEAD + "Content-Length: 70000\r\n\r\n").encode()
        caller = await self.site.connect()
        await caller.send_blindly([head, b"x" * 30000, b"x" * 40000])
        answer = await caller.read_all()
        await self.site.close()
        self.assertEqual(answer.status, 413)
        self.assertFalse(answer.is_reset)

    @testing.on_reactor
    async def test_valid_requests_in_unusual_forms_are_served(self):
        endpoint = await self.start_site()
        forms = {
            "chunked": (
                _HEAD
                + "Transfer-Encoding: chunked\r\n\r\n"
                + "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
            ),
            "lower case names": (
                "POST /once/ HTTP/1.1\r\nhost: a.example\r\n"
                "x-attempt-id: r1\r\ncontent-length: 3\r\n\r\nabc"
            ),
            "port in the host": (
                "POST /once/ HTTP/1.1\r\nHost: A.example:80\r\n"
                "X-Attempt-Id: r1\r\nContent-Length: 3\r\n\r\nabc"
            ),
        }
        for name, data in forms.items():
            caller = await self.site.connect()
            caller.send(data.encode())
            answer = await caller.read_until(b"ok")
            caller.disconnect()
            with self.subTest(name=name):
                self.assertEqual(answer.status, 200)
                self.assertEqual(endpoint.requests[-1].body, b"abc")
        await self.site.close()

    @testing.on_reactor
    async def test_pipelined_requests_are_answered_in_order(self):
        await self.start_site(
            lambda request: standins.make_answer(
                request, body=request.body, after_s=0.05
            )
        )
        caller = await self.site.connect()
        for number in range(3):
            caller.send(
                testing.make_request(
                    "/once/",
                    request_id=f"q{number}",
                    body=f"body-{number}",
                    close=False,
                )
            )
        answer = await caller.read_until(b"body-2")
        caller.disconnect()
        positions = [answer.data.index(f"body-{n}".encode()) for n in range(3)]
        self.assertEqual(positions, sorted(positions))
        await self.site.close()

    @testing.on_reactor
    async def test_requests_before_the_first_configuration_get_503(self):
        self.site.start()
        answer = await self.site.call("/once/")
        await self.site.close()
        self.assertEqual(answer.status, 503)

    @testing.on_reactor
    async def test_path_without_a_route_is_404(self):
        endpoint = await self.start_site()
        answer = await self.site.call("/other/")
        await self.site.close()
        self.assertEqual(answer.status, 404)
        self.assertEqual(endpoint.requests, [])

    @testing.on_reactor
    async def test_shutdown_answers_requests_in_flight_and_then_closes(self):
        await self.start_site(
            lambda request: standins.make_answer(request, after_s=0.5)
        )
        working = await self.site.connect()
        working.send(testing.make_request("/once/", close=False))
        idle = await self.site.connect()
        await self.sleep(0.1)
        stopping = testing.spawn(self.site.daemon.drain())
        self.assertFalse(self.site.daemon.is_ready())
        idle.send(testing.make_request("/once/", request_id="q2", close=False))
        for caller in (working, idle):
            answer = await caller.read_all()
            self.assertEqual(answer.status, 200)
            self.assertIn(b"onnection: close", answer.data)
            self.assertFalse(answer.is_reset)
        await stopping
        await self.site.close()

    @testing.on_reactor
    async def test_connection_closes_after_an_answer_begun_before_shutdown(
        self,
    ):
        self.site.routes.append(
            testing.make_platform_route("/gen/", "writer", "streaming")
        )
        await self.start_site()
        self.site.add_endpoint(
            "d0",
            lambda request: standins.make_stream(request, gap_s=0.2),
            service="writer",
            stage="decode",
        )
        await self.sleep(0.4)
        caller = await self.site.connect()
        caller.send(testing.make_request("/gen/", close=False))
        await caller.read_until(b"token 1")
        stopping = testing.spawn(self.site.daemon.drain())
        answer = await caller.read_all()
        self.assertTrue(answer.is_complete_stream)
        # The port still accepts connections, so the connection above was not
        # closed because the port was.
        (await self.site.connect()).disconnect()
        await stopping
        await self.site.close()

    @testing.on_reactor
    async def test_generation_without_time_left_is_refused_during_shutdown(
        self,
    ):
        self.site.routes.append(
            testing.make_platform_route(
                "/gen/", "writer", "streaming", timeoutMs=14000
            )
        )
        await self.start_site()
        engine = self.site.add_endpoint(
            "d0", standins.make_stream, service="writer", stage="decode"
        )
        await self.sleep(0.4)
        stopping = testing.spawn(self.site.daemon.drain())
        await self.sleep(2.0)
        answer = await self.site.call("/gen/", deadline_ms=14000)
        self.assertEqual(answer.status, 503)
        self.assertIn(b"Retry-After", answer.data)
        self.assertEqual(engine.requests, [])
        await stopping
        await self.site.close()

    async def start_endless_stream(self):
        """Starts a generation that ends when the returned function is called.

        Returns:
            The caller's connection and the function.
        """
        self.site = self.make_site(grace_s=_LONG_GRACE_S)
        self.site.routes.append(
            testing.make_platform_route(
                "/gen/", "writer", "streaming", timeoutMs=30000
            )
        )
        await self.start_site()
        engine = self.site.add_endpoint(
            "d0",
            lambda request: standins.make_stream(request, gap_s=0.5, count=99),
            service="writer",
            stage="decode",
        )
        await self.sleep(0.4)
        caller = await self.site.connect()
        caller.send(
            testing.make_request("/gen/", close=False, deadline_ms=30000)
        )
        await caller.read_until(b"token 1")

        def end():
            for connection in engine.connections:
                connection.transport.write(b"0\r\n\r\n")

        return caller, end

    @testing.on_reactor
    async def test_calls_are_accepted_throughout_shutdown(self):
        streaming, end_stream = await self.start_endless_stream()
        stopping = testing.spawn(self.site.daemon.drain())
        # The load balancer may send callers here while no gateway is ready.
        await self.sleep(4.0)
        answer = await self.site.call("/once/")
        self.assertEqual(answer.status, 200)
        end_stream()
        self.assertTrue((await streaming.read_all()).is_complete_stream)
        await stopping
        await self.site.close()

    # A connection of which the gateway has not read a request yet was closed.
    @testing.on_reactor
    async def test_new_connection_stays_open_until_its_first_request(self):
        streaming, end_stream = await self.start_endless_stream()
        stopping = testing.spawn(self.site.daemon.drain())
        await self.sleep(4.0)
        caller = await self.site.connect()
        await self.sleep(0.3)
        caller.send(testing.make_request("/once/"))
        answer = await caller.read_all()
        self.assertEqual(answer.status, 200)
        end_stream()
        self.assertTrue((await streaming.read_all()).is_complete_stream)
        await stopping
        await self.site.close()

    # Connections in the accept queue were reset when the port closed.
    @testing.on_reactor
    async def test_requests_that_wait_when_the_port_closes_are_answered(self):
        self.site = self.make_site(grace_s=_LONG_GRACE_S)
        await self.start_site()
        address = ("127.0.0.1", self.site.daemon.port)
        stopping = testing.spawn(self.site.daemon.drain())
        callers = []
        for number in range(5):
            caller = socket.create_connection(address)
            caller.sendall(
                testing.make_request("/once/", request_id=f"q{number}")
            )
            callers.append(caller)
        # Holds the process up until the port is due to be closed.
        time.sleep(3.5)
        await stopping
        for caller in callers:
            with caller:
                caller.settimeout(0.0)
                self.assertIn(b" 200 ", caller.recv(4096))
        await self.site.close()

    # A request that was read after the last check for open requests was sent
    # to an endpoint, and the process ended before the answer.
    @testing.on_reactor
    async def test_request_read_as_the_process_ends_is_refused(self):
        endpoint = await self.start_site(
            lambda request: standins.make_answer(request, after_s=1.0)
        )
        caller = await self.site.connect()
        await self.sleep(1.0)
        abort_all = forwarding.Router.abort_all

        def abort_all_and_call(router):
            abort_all(router)
            caller.send(testing.make_request("/once/", deadline_ms=2000))

        with mock.patch.object(
            forwarding.Router, "abort_all", abort_all_and_call
        ):
            await self.site.daemon.drain()
        answer = await caller.read_all()
        await self.site.close()
        self.assertEqual(answer.status, 503)
        self.assertEqual(endpoint.requests, [])
