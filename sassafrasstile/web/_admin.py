"""The admin port: health, readiness, status and metrics."""

from collections.abc import Callable
import dataclasses
import json

import prometheus_client

from sassafrasstile.web import _ingress

_TEXT = b"text/plain; charset=utf-8"
_JSON = b"application/json"


@dataclasses.dataclass(frozen=True, kw_only=True)
class AdminPage:
    """A response of the admin port.

    Attributes:
        status: The HTTP status.
        body: The body.
        content_type: The value of the Content-Type header.
    """

    status: int = 200
    body: bytes
    content_type: bytes = _TEXT


class AdminPages:
    """Serves `/healthz`, `/readyz`, `/status` and `/metrics`.

    Args:
        registry: The registry of the metrics.
        is_ready: Returns whether the process should receive new requests.
        describe: Returns the JSON document that `/status` serves.
        ready_path: The path of the readiness check.
    """

    def __init__(
        self,
        *,
        registry: prometheus_client.CollectorRegistry,
        is_ready: Callable[[], bool],
        describe: Callable[[], dict],
        ready_path: str = "/readyz",
    ):
        self._ready_path = ready_path.encode()
        self._registry = registry
        self._is_ready = is_ready
        self._describe = describe

    def handle(
        self, request: _ingress.CallerRequest, exchange: _ingress.IngressRequest
    ) -> None:
        """Answers a request."""
        page = self._render(request)
        exchange.respond(
            status=page.status,
            headers=[(b"Content-Type", page.content_type)],
            body=page.body,
        )

    def _render(self, request: _ingress.CallerRequest) -> AdminPage:
        if request.method != b"GET":
            return AdminPage(status=405, body=b"method not allowed\n")
        path, _, _ = request.target.partition(b"?")
        match path:
            case b"/healthz":
                return AdminPage(body=b"ok\n")
            case self._ready_path:
                return self._render_ready()
            case b"/status":
                body = json.dumps(self._describe()).encode()
                return AdminPage(body=body, content_type=_JSON)
            case b"/metrics":
                return AdminPage(
                    body=prometheus_client.generate_latest(self._registry),
                    content_type=prometheus_client.CONTENT_TYPE_LATEST.encode(),
                )
            case _:
                return AdminPage(status=404, body=b"not found\n")

    def _render_ready(self) -> AdminPage:
        if self._is_ready():
            return AdminPage(body=b"ready\n")
        return AdminPage(status=503, body=b"not ready\n")
