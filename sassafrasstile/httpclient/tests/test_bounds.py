from twisted.internet import defer
from twisted.internet import protocol
from twisted.web import client

from sassafrasstile import httpclient
from sassafrasstile import testing

_HEAD = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
_PART = b"x" * 65536
_INTERVAL_S = 0.001
# Far more than the largest bound.
_MAX_SENT_BYTES = 100000000


class _EndlessServer(protocol.Protocol):
    """Sends a beginning, and then a part again and again."""

    def __init__(self, *, test):
        self._test = test
        self._size = 0

    def dataReceived(self, data):  # noqa: N802
        self._test.connections.add(self)
        self.transport.write(self._test.beginning)
        self._send()

    def connectionLost(self, reason=protocol.connectionDone):  # noqa: N802
        self._test.connections.discard(self)

    def _send(self):
        if self not in self._test.connections or not self._test.part:
            return
        self._size += len(self._test.part)
        if self._size < _MAX_SENT_BYTES:
            self.transport.write(self._test.part)
        self.transport.reactor.callLater(_INTERVAL_S, self._send)


class BoundTest(testing.ReactorTestCase):
    """Responses without end are cut off."""

    async def start(self, beginning, part):
        self.beginning, self.part = beginning, part
        self.connections = set()
        factory = protocol.Factory.forProtocol(
            lambda: _EndlessServer(test=self)
        )
        factory.noisy = False
        self.port = self.reactor.listenTCP(0, factory, interface="127.0.0.1")
        self.http = httpclient.HttpClient(
            reactor=self.reactor,
            base_url=f"http://127.0.0.1:{self.port.getHost().port}",
        )

    async def stop(self):
        await self.wait_until(lambda: not self.connections)
        await self.http.close()
        await self.port.stopListening()

    async def fail(self, call):
        try:
            await call
        except Exception as reason:
            return reason
        raise AssertionError("the call has succeeded")

    @testing.on_reactor
    async def test_head_without_end(self):
        for beginning, part in (
            (_HEAD, b"A: b\r\n" * 1000),
            (b"", b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" * 100),
        ):
            with self.subTest(beginning=beginning):
                await self.start(beginning, part)
                reason = await self.fail(self.http.request("GET", "/"))
                await self.stop()
                self.assertIsInstance(reason, client.ResponseFailed)

    @testing.on_reactor
    async def test_body_without_end(self):
        for beginning, part in (
            (_HEAD + b"\r\n", _PART),
            (_CHUNKED, b"10000\r\n" + _PART + b"\r\n"),
            (_HEAD + b"Content-Length: 99999999\r\n\r\n", _PART),
        ):
            with self.subTest(beginning=beginning):
                await self.start(beginning, part)
                reason = await self.fail(self.http.request_json("GET", "/"))
                await self.stop()
                self.assertIsInstance(reason, httpclient.BodyTooLargeError)

    @testing.on_reactor
    async def test_line_of_a_stream_without_end(self):
        await self.start(_HEAD + b"\r\ndata: 1\n", _PART)
        lines = []
        ended = defer.Deferred()
        reader = httpclient.EventStreamReader(
            on_data=lines.append, on_end=lambda: ended.callback(None)
        )
        response = await self.http.request("GET", "/")
        response.deliverBody(reader)
        await ended
        await self.stop()
        self.assertEqual(lines, ["1"])

    @testing.on_reactor
    async def test_largest_body_is_read(self):
        size = httpclient.MAX_BODY_BYTES
        beginning = _HEAD + b"Content-Length: %d\r\n\r\n" % size
        await self.start(beginning + b"x" * size, b"")
        response = await self.http.request("GET", "/")
        body = await httpclient.read_body(response)
        await self.http.close()
        await self.stop()
        self.assertEqual(len(body), size)

    @testing.on_reactor
    async def test_cancelled_read_closes_the_connection(self):
        await self.start(_HEAD + b"Content-Length: 9\r\n\r\n1", b"")
        response = await self.http.request("GET", "/")
        reading = httpclient.read_body(response)
        reading.cancel()
        reason = await self.fail(reading)
        await self.stop()
        self.assertIsInstance(reason, defer.CancelledError)
