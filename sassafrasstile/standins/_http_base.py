"""The base classes and helpers of the HTTP stand-ins."""

import json
import logging

from twisted.internet import interfaces
from twisted.web import resource
from twisted.web import server

_LOG = logging.getLogger("sassafrasstile.standin")


class JsonResource(resource.Resource):
    """A resource that dispatches requests by HTTP method and path.

    A subclass maps routes to the names of its methods, as in
    `{("GET", "/load"): "read_load"}`.
    """

    isLeaf = True  # noqa: N815
    routes: dict[tuple[str, str], str] = {}

    def render(self, request):
        """Calls the method for a request's route."""
        method = request.method.decode()
        path = request.path.decode()
        name = self.routes.get((method, path))
        if name is None:
            name = self.find_route(method, path)
        if name is None:
            return answer_json(request, 404, {"error": f"no {method} {path}"})
        return getattr(self, name)(request)

    def find_route(self, method: str, path: str) -> str | None:
        """Returns the name of the method for a variable path, or None."""
        return None


def read_json(request) -> dict:
    """Returns the decoded body of a request."""
    return json.loads(request.content.read() or b"{}")


def answer_json(request, status: int, body: object) -> bytes:
    """Sets the status and content type and returns the encoded body."""
    request.setResponseCode(status)
    request.setHeader(b"content-type", b"application/json")
    return json.dumps(body).encode()


def finish_json(request, status: int, body: object) -> None:
    """Answers a pending request unless its peer has disconnected."""
    if getattr(request, "is_disconnected", False):
        return
    request.write(answer_json(request, status, body))
    request.finish()


def track_disconnect(request) -> None:
    """Sets `is_disconnected` on a request when its peer disconnects."""
    request.is_disconnected = False

    def mark_disconnected(_):
        request.is_disconnected = True

    request.notifyFinish().addErrback(mark_disconnected)


class HttpStandin:
    """An HTTP server for one resource.

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
        """Starts listening.

        Args:
            host: The IP address to listen on.
            port: The port, or zero for any free port.
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
