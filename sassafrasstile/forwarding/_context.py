"""State shared by the parts of the router."""

from collections.abc import Awaitable, Callable
import dataclasses
import logging
import random
from typing import Any

from sassafrasstile import dispatch
from sassafrasstile import limits
from sassafrasstile import permits
from sassafrasstile import quarantine
from sassafrasstile import routes
from sassafrasstile import streams
from sassafrasstile import telemetry
from sassafrasstile import web
from sassafrasstile import workspaces
from sassafrasstile.forwarding import _base
from sassafrasstile.forwarding import _shutdown

# A connection to an endpoint outlasts the request on it, which has its own
# deadline. Silent endpoints are noticed earlier by their health.
_ENDPOINT_LOSS_TIMEOUT_S = 30.0
_LOG = logging.getLogger("sassafrasstile.forwarding")
# Warnings about endpoints that send more than a bound allows.
_MAX_WARNINGS_PER_S = 1.0
# Log lines about requests refused for their keys.
_MAX_KEY_LINES_PER_S = 5.0


@dataclasses.dataclass(kw_only=True)
class ForwardingContext:
    """Configuration, endpoints, connection pools and the codec.

    Attributes:
        reactor: The reactor.
        codec: The endpoints' protocol.
        active_configuration: Holds the active configuration.
        endpoints: The known endpoints and their load.
        placement: Chooses an endpoint for each request.
        settings: Settings of load balancing, retries and health checks.
        metrics: Counters and histograms.
        announce: Called after capacity was reserved, to notify the other
            gateways.
        announce_room: Called after capacity was released that is left to
            other gateways.
        count_gateways: Returns the number of gateways, this one included, or
            None while it isn't known.
        lengths: Estimates the output lengths of generations.
        refusals: Remembers refused prompts.
        origins: Knows where the streams of all gateways began, or None where
            no caller takes a stream up again.
        quarantine: Knows the prompts that crash engines.
        permits: Gives permits to send to endpoints that name a rate.
        quotas: Charges requests to the quotas of their workspaces, or None
            where no workspace has one.
        versions: The software versions that endpoints have had.
        meter: Counts what is buffered for all requests.
        read_bounds: Bounds on what is read from endpoints.
        confirm_endpoints: Returns whether the known endpoints are those that
            the store lists, as of a time in seconds or later.
        speed_sharing: Learns how fast endpoints are.
        access: Decides what each request may run as.
        shutdown: Decides what can be answered before a planned stop ends.
        generator: The random number generator.
    """

    reactor: Any
    codec: _base.EndpointCodec
    active_configuration: routes.ActiveConfiguration
    endpoints: dispatch.EndpointTable
    placement: dispatch.Placement
    settings: dispatch.DispatchSettings
    metrics: telemetry.RouterMetrics
    generator: random.Random
    quarantine: quarantine.Quarantine
    permits: permits.SharedRateLimiter
    quotas: permits.QuotaKeeper | None = None
    announce: Callable[[], None] = lambda: None
    announce_room: Callable[[], None] = lambda: None
    count_gateways: Callable[[], int | None] = lambda: 1
    lengths: dispatch.OutputLengthEstimator = dataclasses.field(
        default_factory=dispatch.OutputLengthEstimator
    )
    refusals: dispatch.RefusalMemory = dataclasses.field(
        default_factory=dispatch.RefusalMemory
    )
    origins: streams.OriginDirectory | None = None
    versions: streams.VersionHistory = dataclasses.field(
        default_factory=streams.VersionHistory
    )
    meter: web.BufferMeter = dataclasses.field(default_factory=web.BufferMeter)
    read_bounds: web.ReadBounds = web.DEFAULT_BOUNDS
    confirm_endpoints: Callable[[float], Awaitable[bool]] | None = None
    access: workspaces.AccessChecker = dataclasses.field(
        default_factory=lambda: workspaces.AccessChecker(
            read_directory=lambda: None
        )
    )

    shutdown: _shutdown.ShutdownSchedule = dataclasses.field(
        default_factory=_shutdown.ShutdownSchedule
    )

    def __post_init__(self):
        self.speed_sharing = dispatch.SpeedSharing(endpoints=self.endpoints)
        self._pools: dict[dispatch.Endpoint, web.ConnectionPool] = {}
        self._budgets: dict[str, dispatch.WindowedRetryBudget] = {}
        self._key_lines = limits.TokenBucket(rate_per_s=_MAX_KEY_LINES_PER_S)
        self._warnings = limits.TokenBucket(rate_per_s=_MAX_WARNINGS_PER_S)

    def now(self) -> float:
        """Returns the time in seconds."""
        return self.reactor.seconds()

    def take_key_line(self) -> bool:
        """Returns whether a refusal for a key may be logged now."""
        return self._key_lines.take(1, self.now())

    def get_budget(self, service: str) -> dispatch.WindowedRetryBudget:
        """Returns the retry budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = dispatch.WindowedRetryBudget(
                ratio=self.settings.retry_ratio,
                window_s=self.settings.retry_window_s,
                read_slack=self._read_slack,
            )
            self._budgets[service] = budget
        return budget

    def _read_slack(self) -> float:
        """Returns this gateway's part of the slack of all retry budgets."""
        return dispatch.divide_slack(
            self.settings.retry_slack, self.count_gateways()
        )

    def get_pool(self, endpoint: dispatch.Endpoint) -> web.ConnectionPool:
        """Returns the connection pool of an endpoint."""
        pool = self._pools.get(endpoint)
        if pool is None:
            pool = web.ConnectionPool(
                reactor=self.reactor,
                host=endpoint.record.host,
                port=endpoint.record.port,
                connect_timeout_s=self.settings.connect_timeout_s,
                on_activity=lambda: endpoint.health.record_activity(self.now()),
                loss_timeout_s=_ENDPOINT_LOSS_TIMEOUT_S,
                meter=self.meter,
                bounds=self.read_bounds,
                on_exceeded=lambda kind: self._record_exceeded(endpoint, kind),
            )
            self._pools[endpoint] = pool
        return pool

    def _record_exceeded(
        self, endpoint: dispatch.Endpoint, kind: web.ReadKind
    ) -> None:
        """Logs and counts that an endpoint has sent more than a bound."""
        self.metrics.reads_too_large.labels(kind).inc()
        if self._warnings.take(1, self.now()):
            _LOG.warning(
                "read: endpoint %s sent more than the bound on %s.",
                endpoint.name,
                kind,
                extra={"endpoint": endpoint.name, "outcome": kind.value},
            )

    def drop_endpoint(self, endpoint: dispatch.Endpoint) -> None:
        """Closes the idle connections to an endpoint that was removed."""
        pool = self._pools.pop(endpoint, None)
        if pool is not None:
            pool.close()

    def close(self) -> None:
        """Aborts all connections."""
        for pool in self._pools.values():
            pool.abort()
        self._pools.clear()
