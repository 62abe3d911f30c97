"""Admission of generation requests: limits and deadlines."""

from sassafrasstile import errors
from sassafrasstile.gateway import _base
from sassafrasstile.gateway import _endpoints
from sassafrasstile.gateway import _generation
from sassafrasstile.gateway import _settings


class Admission:
    """Admits requests within the configured limits.

    Args:
        settings: The gateway's settings.
        endpoints: The endpoints that the gateway may use.
    """

    def __init__(
        self,
        *,
        settings: _settings.GatewaySettings,
        endpoints: _endpoints.EndpointTable,
    ):
        self.settings = settings
        self._endpoints = endpoints
        self._workspaces: dict[str, int] = {}

    def find_refusal(
        self, request: _base.GenerationRequest, *, queued: int
    ) -> errors.Code | None:
        """Returns the error code that refuses a new request, or None.

        Args:
            request: The request.
            queued: The number of requests in the queue.
        """
        if not self._endpoints.is_served(role="decode", serves=request.model):
            return errors.Code.UNKNOWN_MODEL
        in_flight = self._workspaces.get(request.workspace, 0)
        if in_flight >= self.settings.workspace_limit:
            return errors.Code.WORKSPACE_LIMIT
        if queued >= self.settings.queue_limit:
            return errors.Code.QUEUE_FULL
        return None

    def admit(
        self, request: _base.GenerationRequest, now: float
    ) -> _generation.Generation:
        """Counts a request as in flight and sets its deadlines."""
        workspace = request.workspace
        self._workspaces[workspace] = self._workspaces.get(workspace, 0) + 1
        queue_s = self.settings.interactive_queue_s
        limit_s = self.settings.interactive_limit_s
        if request.deferred:
            queue_s = self.settings.deferred_queue_s
            limit_s = self.settings.deferred_limit_s
        return _generation.Generation(
            request=request,
            arrived_at=now,
            queue_deadline=now + queue_s,
            deadline=now + limit_s,
        )

    def release(self, request: _base.GenerationRequest) -> None:
        """Stops counting a request as in flight."""
        left = self._workspaces.get(request.workspace, 1) - 1
        if left > 0:
            self._workspaces[request.workspace] = left
        else:
            self._workspaces.pop(request.workspace, None)
