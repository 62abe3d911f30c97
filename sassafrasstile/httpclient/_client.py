"""An HTTP client and a reader of server-sent events."""

from collections.abc import Callable
import io
import json
from typing import TypeVar

import pydantic
from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import error
from twisted.internet import protocol
from twisted.protocols import basic
from twisted.web import client
from twisted.web import http_headers
from twisted.web import iweb
from zope import interface

from sassafrasstile import errors
from sassafrasstile.httpclient import _bounds

# Connecting failed, so no byte of the request was sent.
CONNECT_ERRORS = (error.ConnectError,)
_CONNECT_TIMEOUT_S = 2.0
_HTTP_OK = 200
_MAX_IDLE_CONNECTIONS = 32
_Model = TypeVar("_Model", bound=pydantic.BaseModel)


class EventStreamReader(basic.LineOnlyReceiver):
    """Reads the data lines of a stream of server-sent events.

    Args:
        on_data: Called with the text of each data line.
        on_end: Called once when the body ends, complete or not.
    """

    delimiter = b"\n"
    MAX_LENGTH = 65536

    def __init__(
        self,
        *,
        on_data: Callable[[str], None],
        on_end: Callable[[], None],
    ):
        self._on_data = on_data
        self._on_end = on_end

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Handles one line."""
        text = line.rstrip(b"\r").decode()
        if text.startswith("data:"):
            self._on_data(text[len("data:") :].strip())

    def abort(self) -> None:
        """Closes the connection that the body is read from."""
        if self.transport is not None:
            self.transport.loseConnection()

    def connectionLost(  # noqa: N802
        self, reason=protocol.connectionDone
    ) -> None:
        """Handles the end of the body."""
        self._on_end()


@interface.implementer(iweb.IAgentEndpointFactory)
class _EndpointFactory:
    """Connects to IP addresses without resolving host names."""

    def __init__(self, *, reactor):
        self._reactor = reactor

    def endpointForURI(self, uri):  # noqa: N802
        host = uri.host.decode().strip("[]")
        endpoint_class = endpoints.TCP4ClientEndpoint
        if ":" in host:
            endpoint_class = endpoints.TCP6ClientEndpoint
        return endpoint_class(
            self._reactor, host, uri.port, timeout=_CONNECT_TIMEOUT_S
        )


class HttpClient:
    """An HTTP client.

    Args:
        reactor: The reactor.
        base_url: The URL that every path is appended to.
        reuses_connections: True to send further requests on a connection. The
            answers name no request, so the server must be one that never
            writes an answer twice.
    """

    def __init__(
        self, *, reactor, base_url: str, reuses_connections: bool = False
    ):
        self.base_url = base_url
        self._pool = client.HTTPConnectionPool(
            reactor, persistent=reuses_connections
        )
        self._pool._factory = _bounds.BoundedFactory
        self._pool.maxPersistentPerHost = _MAX_IDLE_CONNECTIONS
        # The pool must not resend a request when a reused connection breaks:
        # the kernel decides whether the request may be repeated.
        self._pool.retryAutomatically = False
        self._agent = client.Agent.usingEndpointFactory(
            reactor, _EndpointFactory(reactor=reactor), pool=self._pool
        )

    def close(self) -> defer.Deferred:
        """Closes the idle connections."""
        return self._pool.closeCachedConnections()

    def request(
        self,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        content_type: str = "application/json",
        headers: dict[str, str] | None = None,
    ) -> defer.Deferred:
        """Sends a request.

        Returns:
            A Deferred that fires with the response before its body is read.
        """
        fields = {"content-type": [content_type]} if body is not None else {}
        for name, value in (headers or {}).items():
            fields[name] = [value]
        producer = None
        if body is not None:
            producer = client.FileBodyProducer(io.BytesIO(body))
        return self._agent.request(
            method.encode(),
            (self.base_url + path).encode(),
            http_headers.Headers(fields),
            producer,
        )

    async def request_json(
        self, method: str, path: str, body: object | None = None
    ) -> tuple[int, object]:
        """Sends a JSON request and reads the JSON response.

        Returns:
            The HTTP status and the decoded body.

        Raises:
            BodyTooLargeError: The body is larger than `MAX_BODY_BYTES`.
        """
        data = None if body is None else json.dumps(body).encode()
        response = await self.request(method, path, body=data)
        content = await _bounds.read_body(response)
        return response.code, json.loads(content) if content else None

    async def request_model(
        self, method: str, path: str, model: type[_Model]
    ) -> _Model:
        """Sends a request and validates the JSON of a successful response.

        Args:
            method: The HTTP method.
            path: The path with its query.
            model: What the response has to hold.

        Raises:
            errors.Error: With BAD_ANSWER, if it isn't successful.
            pydantic.ValidationError: It doesn't hold what it has to.
        """
        response = await self.request(method, path)
        content = await _bounds.read_body(response)
        if response.code != _HTTP_OK:
            raise errors.Error(
                code=errors.Code.BAD_ANSWER, detail=f"status {response.code}"
            )
        return model.model_validate_json(content)
