"""Data classes of a configuration."""

from collections.abc import Mapping
import dataclasses
import enum


class RouteKind(enum.Enum):
    """What a route carries, and whether it may run twice."""

    IDEMPOTENT_CALL = "idempotent call"
    NON_IDEMPOTENT_CALL = "non-idempotent call"
    GENERATION = "generation"


@dataclasses.dataclass(frozen=True, kw_only=True)
class WeightedService:
    """One of the services of a split route.

    Attributes:
        service: The service's name.
        weight: Its share of the requests, against the sum of all weights.
    """

    service: str
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Route:
    """Where requests of one host and path prefix go.

    Attributes:
        name: The route's name.
        host: The host, in lower case and without a port.
        prefix: The path prefix; it begins and ends with a slash.
        kind: What the route carries.
        services: The services that may serve it.
        timeout_s: The longest time a request may take.
        target_s: The latency objective: the whole answer of a call, the
            first token of a generation.
        target_gap_s: The longest pause between tokens that is on time.
        priority: Its rank; 0 is the most urgent.
        max_attempts: Endpoints that one request may run on, at the most.
        resumable: True when a generation may go on at another endpoint.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    timeout_s: float
    target_s: float
    target_gap_s: float = 0.0
    priority: int = 0
    max_attempts: int = 1
    resumable: bool = False

    @property
    def idempotent(self) -> bool:
        """True when a request may run more than once."""
        if self.kind is RouteKind.GENERATION:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT_CALL


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineProfile:
    """What the operator says of the engines of a service.

    Attributes:
        slots: Requests that an engine runs at once.
        capacity_tokens: Tokens that its KV memory holds.
        tokens_per_event: Tokens that one event of a stream holds.
        handle_ttl_s: Seconds for which it keeps a finished prefill.
    """

    slots: int
    capacity_tokens: int
    tokens_per_event: int
    handle_ttl_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Service:
    """A service that routes name.

    Attributes:
        name: The service's name.
        health_path: The path of its health check.
        max_connections: Connections that one endpoint accepts from all.
        engine: Set when its endpoints are model engines.
    """

    name: str
    health_path: str = ""
    max_connections: int = 1
    engine: EngineProfile | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallerLimits:
    """What a caller may send, and how long it may take.

    Attributes:
        header_bytes: Bytes of a request's headers.
        body_bytes: Bytes of a request's body.
        header_timeout_s: Seconds until the headers are there.
        idle_timeout_s: Seconds that a connection may be idle.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Configuration:
    """A whole configuration.

    Attributes:
        version: Its version; a later one has a higher number.
        routes: The routes.
        services: The services by name.
        limits: Limits on callers.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: CallerLimits = CallerLimits()
