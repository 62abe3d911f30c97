"""Streams that callers take up again, at the version that began them."""

import logging

from sassafrasstile import dispatch
from sassafrasstile import errors
from sassafrasstile import routes
from sassafrasstile import streams
from sassafrasstile import verdicts
from sassafrasstile.forwarding import _context
from sassafrasstile.forwarding import _task

_LOG = logging.getLogger("sassafrasstile.forwarding")
# Another gateway may know what this one doesn't, so a caller may return soon.
_UNKNOWN_RETRY_AFTER_S = 0.3
# An engine that changes its role, or whose record is late, may be back then.
_GONE_RETRY_AFTER_S = 0.5


def record_begin(
    context: _context.ForwardingContext,
    task: _task.RequestTask,
    endpoint: dispatch.Endpoint,
) -> None:
    """Records where a stream begins, or goes on for a caller that returned.

    Call this before the first event is passed on.

    Args:
        context: State shared by the parts of the router.
        task: The request.
        endpoint: The engine that the event comes from.
    """
    details = task.details
    version = endpoint.record.software_version
    task.software_version = version
    holders: list[str] = []
    stream_id = details.origin_id if details.is_resumption else task.request_id
    if context.origins and stream_id and task.route.resumable:
        holders = context.origins.record(
            task.access.qualify(stream_id),
            streams.StreamOrigin(
                service=task.service.name, software_version=version
            ),
            deadline=max(task.deadline, task.caller_deadline),
        )
    _LOG.info(
        "stream: request %s %s at %s.",
        task.request_id,
        "goes on" if details.is_resumption else "begins",
        endpoint.name,
        extra={
            "request": task.request_id,
            "workspace": task.workspace_name,
            "endpoint": endpoint.name,
            "software_version": version,
            "origin": stream_id,
            "holders": holders,
        },
    )


class ResumptionResolver:
    """Finds the only version at which a returned caller's stream may go on.

    What two versions write doesn't fit together and engines don't check it, so
    a stream whose version isn't known isn't sent to any.

    Args:
        context: State shared by the parts of the router.
    """

    def __init__(self, *, context: _context.ForwardingContext):
        self._context = context

    async def resolve(self, task: _task.RequestTask) -> verdicts.NotRun | None:
        """Binds a request to the service and version that began its stream.

        Args:
            task: The request of a caller that has a part of the stream.

        Returns:
            None when the stream may go on, else the refusal.
        """
        began_at = self._context.now()
        lookup = await self._find(task)
        refusal = self._bind(task, lookup)
        self._log(task, lookup, refusal, self._context.now() - began_at)
        return refusal

    async def _find(self, task: _task.RequestTask) -> streams.Lookup:
        origin_id = task.details.origin_id
        if origin_id and self._context.origins:
            stream_id = task.access.qualify(origin_id)
            lookup = await self._context.origins.find(stream_id)
            if lookup.origin is not None:
                # This attempt may bring no event before it is cut.
                self._context.origins.record(
                    stream_id,
                    lookup.origin,
                    deadline=max(task.deadline, task.caller_deadline),
                )
                return lookup
        origin = await self._find_only_version(task)
        if origin is None:
            return streams.Lookup(source=streams.Source.NONE)
        return streams.Lookup(source=streams.Source.ONLY_VERSION, origin=origin)

    async def _find_only_version(
        self, task: _task.RequestTask
    ) -> streams.StreamOrigin | None:
        """Returns the only origin possible, if the store confirms it.

        The stream may have begun at a version that this gateway hasn't heard
        of yet, so what the store lists now has to be known.
        """
        confirm = self._context.confirm_endpoints
        if confirm is None or self._find_only_known(task) is None:
            return None
        if not await confirm(task.request.received_at):
            return None
        return self._find_only_known(task)

    def _find_only_known(
        self, task: _task.RequestTask
    ) -> streams.StreamOrigin | None:
        configuration = self._context.active_configuration.current
        timeouts_s = [
            route.timeout_s
            for route in configuration.routes
            if route.kind is routes.RouteKind.GENERATION
        ]
        return self._context.versions.find_only(
            {item.service for item in task.route.services},
            timeout_s=max(timeouts_s, default=task.route.timeout_s),
            now=self._context.now(),
        )

    def _bind(
        self, task: _task.RequestTask, lookup: streams.Lookup
    ) -> verdicts.NotRun | None:
        origin = lookup.origin
        if origin is None:
            return verdicts.NotRun(
                code=errors.Code.VERSION_UNKNOWN,
                retry_after_s=_UNKNOWN_RETRY_AFTER_S,
            )
        allowed = {item.service for item in task.route.services}
        has_engine = self._context.placement.has_decode_engine(
            origin.service, software_version=origin.software_version
        )
        if origin.service not in allowed or not has_engine:
            return verdicts.NotRun(
                code=errors.Code.VERSION_GONE,
                retry_after_s=_GONE_RETRY_AFTER_S,
            )
        services = self._context.active_configuration.current.services
        task.service = services.get(origin.service) or routes.Service(
            name=origin.service
        )
        task.software_version = origin.software_version
        return None

    def _log(
        self,
        task: _task.RequestTask,
        lookup: streams.Lookup,
        refusal: verdicts.NotRun | None,
        waited_s: float,
    ) -> None:
        outcome = refusal.code if refusal else lookup.source.value
        self._context.metrics.resumptions.labels(outcome).inc()
        origin = lookup.origin
        _LOG.info(
            "resumption: request %s takes up %s: %s.",
            task.request_id,
            task.details.origin_id,
            outcome,
            extra={
                "request": task.request_id,
                "workspace": task.workspace_name,
                "origin": task.details.origin_id,
                "last_event_id": task.details.last_event_id,
                "source": lookup.source.value,
                "software_version": origin.software_version if origin else None,
                "waited_ms": round(waited_s * 1000),
                "outcome": outcome,
            },
        )
