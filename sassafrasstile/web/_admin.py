"""The admin port: health, readiness, status and metrics."""

from collections.abc import Callable
import json

import prometheus_client
from twisted.web import resource


class AdminResource(resource.Resource):
    """Serves `/healthz`, `/readyz`, `/status` and `/metrics`.

    Args:
        registry: The registry of the metrics.
        is_ready: Returns whether the process should receive new requests.
        describe: Returns the JSON document that `/status` serves.
        ready_path: The path of the readiness check.
    """

    isLeaf = True  # noqa: N815

    def __init__(
        self,
        *,
        registry: prometheus_client.CollectorRegistry,
        is_ready: Callable[[], bool],
        describe: Callable[[], dict],
        ready_path: str = "/readyz",
    ):
        super().__init__()
        self._ready_path = ready_path.encode()
        self._registry = registry
        self._is_ready = is_ready
        self._describe = describe

    def render_GET(self, request):  # noqa: N802
        """Handles a GET request."""
        match request.path:
            case b"/healthz":
                return b"ok\n"
            case self._ready_path:
                return self._render_ready(request)
            case b"/status":
                request.setHeader(b"content-type", b"application/json")
                return json.dumps(self._describe()).encode()
            case b"/metrics":
                request.setHeader(
                    b"content-type",
                    prometheus_client.CONTENT_TYPE_LATEST.encode(),
                )
                return prometheus_client.generate_latest(self._registry)
            case _:
                request.setResponseCode(404)
                return b"not found\n"

    def _render_ready(self, request):
        if self._is_ready():
            return b"ready\n"
        request.setResponseCode(503)
        return b"not ready\n"
