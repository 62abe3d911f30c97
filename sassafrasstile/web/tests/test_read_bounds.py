import unittest

from twisted.internet import protocol

from sassafrasstile import testing
from sassafrasstile import web

_HEAD = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
_BOUNDS = web.ReadBounds(
    head_bytes=2000, control_bytes=500, answer_bytes=9000, store_bytes=700
)
_INTERVAL_S = 0.001


class _EndlessServer(protocol.Protocol):
    """Sends a beginning, and then a part again and again."""

    def __init__(self, *, site):
        self._site = site
        self.is_open = True

    def dataReceived(self, data):  # noqa: N802
        self._site.connections.append(self)
        self.transport.write(self._site.beginning)
        self._send()

    def connectionLost(self, reason=protocol.connectionDone):  # noqa: N802
        self.is_open = False

    def _send(self):
        if self.is_open and self._site.part:
            self.transport.write(self._site.part)
            self.transport.reactor.callLater(_INTERVAL_S, self._send)


class ReadBoundsTest(testing.ReactorTestCase):
    """Answers that never end are cut off at the bound of their kind."""

    def start(self, beginning, part):
        self.beginning, self.part = beginning, part
        self.connections = []
        self.exceeded = []
        factory = protocol.Factory.forProtocol(
            lambda: _EndlessServer(site=self)
        )
        factory.noisy = False
        self.port = self.reactor.listenTCP(0, factory, interface="127.0.0.1")
        self.pool = web.ConnectionPool(
            reactor=self.reactor,
            host="127.0.0.1",
            port=self.port.getHost().port,
            connect_timeout_s=30.0,
            bounds=_BOUNDS,
            on_exceeded=self.exceeded.append,
        )

    async def stop(self):
        self.pool.abort()
        await self.port.stopListening()

    async def send(self):
        return await self.pool.send(
            method=b"GET", target=b"/", headers=[(b"Host", b"a")]
        )

    async def read(self, kind):
        reply = await self.send()
        await reply.read_head()
        return await reply.read_body(kind)

    async def check_cut_off(self, beginning, part, *, kind, bound):
        self.start(beginning, part)
        with self.assertRaises(web.BoundExceededError) as caught:
            await self.read(kind)
        self.assertIs(caught.exception.kind, bound)
        self.assertTrue(caught.exception.was_sent)
        await self.wait_until(lambda: not self.connections[0].is_open)
        self.assertEqual(self.exceeded, [bound])
        await self.stop()

    @testing.on_reactor
    async def test_head_without_end(self):
        kinds = web.ReadKind
        for beginning, part in (
            (_HEAD, b"A: b\r\n"),
            (_HEAD + b"A: ", b"b" * 100),
            (b"", b"x" * 100),
            (b"", b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"),
            (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 900),
        ):
            with self.subTest(beginning=beginning, part=part[:30]):
                await self.check_cut_off(
                    beginning, part, kind=kinds.ANSWER, bound=kinds.HEAD
                )

    @testing.on_reactor
    async def test_framing_without_end(self):
        kinds = web.ReadKind
        for beginning, part in (
            (_CHUNKED, b"0" * 100),
            (_CHUNKED + b"0\r\n", b"A: b\r\n"),
        ):
            with self.subTest(beginning=beginning):
                await self.check_cut_off(
                    beginning, part, kind=kinds.ANSWER, bound=kinds.FRAMING
                )

    @testing.on_reactor
    async def test_body_without_end(self):
        for kind in (
            web.ReadKind.CONTROL,
            web.ReadKind.ANSWER,
            web.ReadKind.STORE,
        ):
            for beginning, part in (
                (_HEAD + b"\r\n", b"x" * 100),
                (_CHUNKED, b"2\r\nxx\r\n"),
                (_HEAD + b"Content-Length: 99999999\r\n\r\n", b"x" * 100),
            ):
                with self.subTest(kind=kind, beginning=beginning):
                    await self.check_cut_off(
                        beginning, part, kind=kind, bound=kind
                    )

    @testing.on_reactor
    async def test_largest_answer_is_read(self):
        for kind in (web.ReadKind.CONTROL, web.ReadKind.ANSWER):
            size = _BOUNDS.get(kind)
            answer = _HEAD + b"Content-Length: %d\r\n\r\n" % size + b"x" * size
            self.start(answer, b"")
            self.assertEqual(await self.read(kind), b"x" * size)
            self.assertEqual(self.exceeded, [])
            await self.stop()

    @testing.on_reactor
    async def test_informational_heads_within_the_bound_are_read(self):
        early = b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" * 20
        self.start(early + _HEAD + b"Content-Length: 2\r\n\r\nok", b"")
        body = await self.read(web.ReadKind.ANSWER)
        await self.stop()
        self.assertEqual(body, b"ok")


class ReadBoundsSettingsTest(unittest.TestCase):
    """Checks of the bounds."""

    def test_bounds_are_positive(self):
        with self.assertRaises(ValueError):
            web.ReadBounds(event_bytes=0)
