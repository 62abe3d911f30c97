"""Builds endpoint records and routes for tests."""

from sassafrasstile import membership
from sassafrasstile import routes


def make_endpoint_record(
    endpoint_id: str,
    *,
    started_ms: int = 1,
    service: str = "engine",
    host: str = "127.0.0.1",
    port: int = 1,
    zone: str = "a",
    role: membership.Role = membership.Role.DECODE,
    state: membership.EndpointState = membership.EndpointState.READY,
    slots: int = 8,
    software_version: str = "v1",
) -> membership.EndpointRecord:
    """Returns an endpoint's record with default values."""
    return membership.EndpointRecord(
        endpoint_id=endpoint_id,
        started_ms=started_ms,
        service=service,
        host=host,
        port=port,
        zone=zone,
        role=role,
        state=state,
        slots=slots,
        software_version=software_version,
    )


def make_route(
    kind: routes.RouteKind,
    *,
    service: str = "engine",
    prefix: str = "/",
    timeout_s: float = 10.0,
    target_s: float = 1.0,
    max_attempts: int = 1,
    resumable: bool = False,
) -> routes.Route:
    """Returns a route of the host `a.example` with default values."""
    return routes.Route(
        name="route",
        host="a.example",
        prefix=prefix,
        kind=kind,
        services=(routes.WeightedService(service=service),),
        timeout_s=timeout_s,
        target_s=target_s,
        target_gap_s=0.3,
        max_attempts=max_attempts,
        resumable=resumable,
    )
