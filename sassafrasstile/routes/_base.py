"""Data classes of the configuration."""

from collections.abc import Mapping
import dataclasses
import enum

from sassafrasstile import workspaces


class RouteKind(enum.Enum):
    """The kind of requests of a route, and whether they may be repeated."""

    IDEMPOTENT_CALL = "idempotent call"
    NON_IDEMPOTENT_CALL = "non-idempotent call"
    GENERATION = "generation"


@dataclasses.dataclass(frozen=True, kw_only=True)
class WeightedService:
    """One of the services of a split route.

    Attributes:
        service: The service's name.
        weight: Its weight; its share of the requests is the weight divided
            by the sum of all weights.
    """

    service: str
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Route:
    """The destination of requests to one host and path prefix.

    Attributes:
        name: The route's name.
        host: The host, in lower case and without a port.
        prefix: The path prefix; it begins and ends with a slash.
        kind: The kind of requests.
        services: The services that may serve it.
        timeout_s: Timeout of a request in seconds.
        target_s: Latency target in seconds, of the complete response for a
            call and of the first token for a generation.
        target_gap_s: Latency target between two tokens, in seconds.
        priority: The priority of its requests; 0 is the most urgent.
        max_attempts: Maximum number of endpoints that one request may run
            on.
        resumable: True when another endpoint may continue a generation.
        is_open: True if its requests need no key.
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
    is_open: bool = False

    @property
    def idempotent(self) -> bool:
        """True when a request may be executed more than once."""
        if self.kind is RouteKind.GENERATION:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT_CALL


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineProfile:
    """The configured properties of the engines of a service.

    Attributes:
        slots: Maximum number of requests that an engine runs concurrently.
        capacity_tokens: Size of its KV cache in tokens.
        tokens_per_event: Number of tokens in one event of a stream.
        handle_ttl_s: Seconds after which a finished prefill expires.
        hold_s: Seconds for which an engine sets memory aside at most, or zero
            if it doesn't.
    """

    slots: int
    capacity_tokens: int
    tokens_per_event: int
    handle_ttl_s: float
    hold_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Service:
    """A service that routes may refer to.

    Attributes:
        name: The service's name.
        health_path: The path of its health check.
        max_connections: Maximum number of connections that one endpoint
            accepts in total.
        engine: The engines' properties, or None unless its endpoints are
            model engines.
    """

    name: str
    health_path: str = ""
    max_connections: int = 1
    engine: EngineProfile | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallerLimits:
    """Limits on the size and duration of callers' requests.

    Attributes:
        header_bytes: Maximum size of a request's headers in bytes.
        body_bytes: Maximum size of a request's body in bytes.
        header_timeout_s: Timeout for receiving the headers, in seconds.
        idle_timeout_s: Timeout of an idle connection in seconds.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


# In the class body, the attribute hides the module of the same name.
_Workspaces = tuple[workspaces.Workspace, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Configuration:
    """A complete configuration.

    Attributes:
        version: The version number; a newer configuration has a higher one.
        routes: The routes.
        services: The services by name.
        limits: Limits on callers.
        workspaces: The workspaces; without any, callers need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: CallerLimits = CallerLimits()
    workspaces: _Workspaces = ()
