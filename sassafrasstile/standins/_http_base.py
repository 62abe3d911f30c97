"""What the HTTP stand-ins share."""

import json
import logging

from twisted.internet import interfaces
from twisted.web import resource
from twisted.web import server

_LOG = logging.getLogger("sassafrasstile.standin")


class JsonResource(resource.Resource):
    """A resource that routes by method and path to its methods.

    A subclass lists its routes as `{("GET", "/load"): "read_load"}`.
    """

    isLeaf = True  # noqa: N815
    routes: dict[tuple[str, str], str] = {}

    def render(self, request):
        """Routes a request."""
        method = request.method.decode()
        path = request.path.decode()
        name = self.routes.get((method, path))
        if name is None:
            name = self.find_route(method, path)
        if name is None:
            return answer_json(request, 404, {"error": f"no {method} {path}"})
        return getattr(self, name)(request)

    def find_route(self, method: str, path: str) -> str | None:
        """Returns the method for a path that isn't fixed, or None."""
        return None


def read_json(request) -> dict:
    """Returns the decoded body of a request."""
    return json.loads(request.content.read() or b"{}")


def answer_json(request, status: int, body: object) -> bytes:
    """Sets status and type and returns the encoded body."""
    request.setResponseCode(status)
    request.setHeader(b"content-type", b"application/json")
    return json.dumps(body).encode()


def finish_json(request, status: int, body: object) -> None:
    """Answers a request that was left open, if its peer is still there."""
    if getattr(request, "is_gone", False):
        return
    request.write(answer_json(request, status, body))
    request.finish()


def watch_peer(request) -> None:
    """Marks a request as gone when its peer disconnects."""
    request.is_gone = False

    def mark(_):
        request.is_gone = True

    request.notifyFinish().addErrback(mark)


class HttpStandin:
    """A server for one resource.

    Args:
        reactor: The reactor.
        root: The resource.
    """

    def __init__(self, *, reactor, root: resource.Resource):
        self.reactor = reactor
        self._root = root
        self._port: interfaces.IListeningPort | None = None
        self.host = ""
        self.port = 0

    def start(self, *, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listens.

        Args:
            host: An IP number.
            port: A port, or zero to let the kernel pick one.
        """
        site = server.Site(self._root)
        site.displayTracebacks = False
        self._port = self.reactor.listenTCP(port, site, interface=host)
        address = self._port.getHost()
        self.host = address.host
        self.port = address.port

    def close(self):
        """Stops listening."""
        return self._port.stopListening()

    @property
    def url(self) -> str:
        """The base URL."""
        return f"http://{self.host}:{self.port}"
