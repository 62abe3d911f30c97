"""Endpoints in good order that can't be reached for some seconds."""

import socket

from sassafrasstile import testing

# More than the sockets on the way can hold.
_BODY = "x" * 8_000_000
_RECEIVE_BUFFER_BYTES = 4096
# Longer than the connections to other processes last without a sign of life.
_PAUSE_S = 5.0
_ANSWER = (
    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nX-Server-Stamp: stamp\r\n"
    b"Content-Length: 2\r\n\r\nok"
)


class LostPathTest(testing.PlatformTestCase):
    """A request outlasts a pause of the path to its endpoint."""

    def listen(self):
        """Opens the port of an endpoint that has to be read by hand."""
        listener = socket.socket()
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        listener.setblocking(False)
        self.addCleanup(listener.close)
        return listener

    async def accept_run(self, listener):
        """Returns the first connection that carries a request to be run."""
        accepted = []

        def has_run():
            try:
                connection, _ = listener.accept()
                accepted.append(connection)
            except BlockingIOError:
                pass
            for connection in accepted:
                connection.setblocking(False)
                try:
                    if connection.recv(1, socket.MSG_PEEK) == b"P":
                        return True
                except BlockingIOError:
                    pass
            return False

        await self.wait_until(has_run)
        run = accepted.pop()
        for connection in accepted:
            connection.close()
        return run

    # The connection to an endpoint that took nothing for three seconds was
    # given up, and with it the only source of the answer.
    @testing.on_reactor
    async def test_request_outlasts_a_pause_of_its_endpoint(self):
        route = testing.make_platform_route(
            "/once/", "desk", "unsafe", timeoutMs=20000
        )
        site = self.make_site([route])
        site.configure(maxBodyBytes=2 * len(_BODY))
        listener = self.listen()
        site.store.put_json(
            "keyed.servers",
            "e0",
            testing.make_endpoint_document(port=listener.getsockname()[1]),
        )
        await self.wait_until_ready(site)
        calling = testing.spawn(
            site.call("/once/", body=_BODY, deadline_ms=20000)
        )
        run = await self.accept_run(listener)
        await self.sleep(_PAUSE_S)
        received = bytearray()

        def has_read_all():
            try:
                while chunk := run.recv(1 << 20):
                    received.extend(chunk)
            except OSError:
                pass
            return len(received) > len(_BODY) or calling.called

        await self.wait_until(has_read_all)
        if not calling.called:
            run.sendall(_ANSWER)
        answer = await calling
        run.close()
        await self.close_sites()
        self.assertEqual(answer.status, 200)
