"""Decodes the store's configuration and endpoint records."""

from typing import Annotated, Literal

import pydantic

from sassafrasstile import errors
from sassafrasstile import membership
from sassafrasstile import router
from sassafrasstile import routes
from sassafrasstile import stores
from sassafrasstile import validation
from sassafrasstile import workspaces
from sassafrasstile.platform import _addresses
from sassafrasstile.platform import _models
from sassafrasstile.platform import _names

_TOKEN_UNIT = "tokens"
_MAX_SLOTS = 1_000_000
# The largest number that each writer of JSON keeps exactly.
_MAX_WHOLE = 2**53
_Text = Annotated[str, pydantic.Field(min_length=1, max_length=255)]
_Amount = Annotated[float, pydantic.Field(ge=0, le=_MAX_WHOLE)]
_Count = Annotated[int, pydantic.Field(ge=0, le=_MAX_WHOLE)]
_Size = Annotated[int, pydantic.Field(ge=1, le=_MAX_WHOLE)]
_Rank = Annotated[int, pydantic.Field(ge=-_MAX_WHOLE, le=_MAX_WHOLE)]
_KINDS = {
    "safe": routes.RouteKind.IDEMPOTENT_CALL,
    "unsafe": routes.RouteKind.NON_IDEMPOTENT_CALL,
    "streaming": routes.RouteKind.GENERATION,
}
_ROLES = {
    "prefill": membership.Role.PREFILL,
    "decode": membership.Role.DECODE,
    None: membership.Role.PLAIN,
}


class _WeightedService(_models.Document):
    service: str
    weight: _Amount


class _Route(_models.Document):
    name: str
    hostname: str
    path_prefix: str
    route_type: Literal["safe", "unsafe", "streaming"]
    timeout_ms: _Amount
    target_latency_ms: _Amount
    target_gap_ms: _Amount = 0.0
    priority: _Rank = 0
    max_attempts: _Count = 1
    resumable: bool = False
    is_open: bool = pydantic.Field(alias="public", default=False)
    # A route has one service, or several with weights.
    service: str | None = None
    weighted_services: list[_WeightedService] = []


class _Engine(_models.Document):
    slots: _Size
    kv_capacity_tokens: _Size
    # Tokens per stream event.
    stride: _Size = 1
    # Time to live of a finished prefill's handle, in seconds.
    kv_ttl_s: _Amount = pydantic.Field(alias="kvTtlS", default=0.5)
    # The longest time for which an engine sets memory aside, in milliseconds.
    hold_ms: _Amount = 0.0


class _Service(_models.Document):
    name: str
    health_path: str = ""
    max_connections: _Count = 1
    engine: _Engine | None = None


class _Limits(_models.Document):
    max_header_bytes: _Count
    max_body_bytes: _Count
    header_timeout_ms: _Amount
    idle_timeout_ms: _Amount


class _Workspace(_models.Document):
    # It is sent as a header's value.
    name: str = pydantic.Field(
        pattern=r"^[^\x00-\x20\x7f]([^\x00-\x1f\x7f]*[^\x00-\x20\x7f])?$",
    )
    keys: list[str] = pydantic.Field(alias="apiKeys", default=[], repr=False)
    priority: _Rank | None = None
    unit: str = ""
    # The cost in tokens of a request that states no token count.
    plain_tokens: _Amount = 1.0
    # Zero means no limit.
    rate_per_s: _Amount = pydantic.Field(alias="ratePerS", default=0.0)
    burst: _Amount = 0.0


class _Configuration(_models.Document):
    version: _Count
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits
    workspaces: list[_Workspace] = pydantic.Field(alias="tenants", default=[])


class _Endpoint(_models.Document):
    service: _Text
    address: _Text
    zone: _Text
    slots: int = pydantic.Field(strict=True, gt=0, le=_MAX_SLOTS)
    state: Literal["ready", "draining"]
    stage: Literal["prefill", "decode"] | None = None
    # The version of the endpoint's software. A stream goes on only at the one
    # that began it, so an endpoint that doesn't state its own can't be used.
    version: str = pydantic.Field(min_length=1, max_length=64)
    # These two aren't used. Where one is of another type, the record isn't an
    # endpoint's.
    cold_remaining_ms: float = pydantic.Field(strict=True, ge=0, default=0.0)
    sequence: int = pydantic.Field(strict=True, ge=0, le=_MAX_WHOLE, default=0)
    # Start time in Unix milliseconds; the endpoint's counters restart with it.
    born: int = pydantic.Field(strict=True, ge=0, le=_MAX_WHOLE, default=0)


def _make_route(route: _Route) -> routes.Route:
    services = [
        routes.WeightedService(service=item.service, weight=item.weight)
        for item in route.weighted_services
    ]
    if route.service is not None:
        services = [routes.WeightedService(service=route.service)]
    if not services:
        raise ValueError(f"route {route.name!r} names no service")
    return routes.Route(
        name=route.name,
        host=route.hostname.lower(),
        prefix=route.path_prefix,
        kind=_KINDS[route.route_type],
        services=tuple(services),
        timeout_s=route.timeout_ms / _models.MS_PER_S,
        target_s=route.target_latency_ms / _models.MS_PER_S,
        target_gap_s=route.target_gap_ms / _models.MS_PER_S,
        priority=route.priority,
        max_attempts=route.max_attempts,
        resumable=route.resumable,
        is_open=route.is_open,
    )


def _make_service(service: _Service) -> routes.Service:
    engine = None
    if service.engine is not None:
        engine = routes.EngineProfile(
            slots=service.engine.slots,
            capacity_tokens=service.engine.kv_capacity_tokens,
            tokens_per_event=service.engine.stride,
            handle_ttl_s=service.engine.kv_ttl_s,
            hold_s=service.engine.hold_ms / _models.MS_PER_S,
        )
    return routes.Service(
        name=service.name,
        health_path=service.health_path,
        max_connections=service.max_connections,
        engine=engine,
    )


def _make_workspace(workspace: _Workspace) -> workspaces.Workspace:
    quota = None
    if workspace.rate_per_s:
        unit = workspaces.QuotaUnit.REQUESTS
        if workspace.unit == _TOKEN_UNIT:
            unit = workspaces.QuotaUnit.TOKENS
        quota = workspaces.Quota(
            rate_per_s=workspace.rate_per_s,
            burst=workspace.burst,
            unit=unit,
            unstated_cost=workspace.plain_tokens,
        )
    return workspaces.Workspace(
        name=workspace.name,
        keys=frozenset(workspace.keys),
        priority=workspace.priority,
        quota=quota,
    )


class PlatformRecordDecoder(router.RecordDecoder):
    """Decodes the platform's configuration and endpoint records."""

    configuration_topic = _names.CONFIGURATION_TOPIC
    membership_topic = _names.MEMBERSHIP_TOPIC
    lease_topic = _names.LEASE_TOPIC
    peer_topic = _names.PEER_TOPIC

    def decode_configuration(
        self, change: stores.Change
    ) -> routes.Configuration | None:
        """Returns the configuration in a record, or None if it has none."""
        if change.key != _names.CONFIGURATION_KEY or change.value is None:
            return None
        try:
            document = _Configuration.model_validate_json(change.value)
            return routes.Configuration(
                version=document.version,
                routes=tuple(map(_make_route, document.routes)),
                services={
                    item.name: _make_service(item) for item in document.services
                },
                limits=routes.CallerLimits(
                    header_bytes=document.limits.max_header_bytes,
                    body_bytes=document.limits.max_body_bytes,
                    header_timeout_s=document.limits.header_timeout_ms
                    / _models.MS_PER_S,
                    idle_timeout_s=document.limits.idle_timeout_ms
                    / _models.MS_PER_S,
                ),
                workspaces=tuple(map(_make_workspace, document.workspaces)),
            )
        except ValueError as reason:
            raise errors.ConfigurationError(
                code=errors.Code.CONFIG_INVALID, detail=str(reason)
            ) from reason

    def decode_endpoint(
        self, change: stores.Change
    ) -> membership.EndpointRecord | None:
        """Returns the endpoint in a record, or None if it was removed."""
        if change.value is None:
            return None
        try:
            document = _Endpoint.model_validate_json(change.value)
            host, port = _addresses.split_address(document.address)
            validation.check_token(change.key, label="endpoint")
            validation.check_ip_address(host, label="host")
            validation.check_port(port, label="port")
        except ValueError as reason:
            raise errors.Error(
                code=errors.Code.BAD_VALUE, detail=str(reason)
            ) from reason
        return membership.EndpointRecord(
            endpoint_id=change.key,
            started_ms=document.born,
            service=document.service,
            host=host,
            port=port,
            zone=document.zone,
            role=_ROLES[document.stage],
            state=membership.EndpointState(document.state),
            slots=document.slots,
            software_version=document.version,
        )
