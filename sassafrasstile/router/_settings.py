"""Settings of the gateway process."""

import abc
import dataclasses

from sassafrasstile import dispatch
from sassafrasstile import permits
from sassafrasstile import web


@dataclasses.dataclass(frozen=True, kw_only=True)
class RouterSettings:
    """Addresses, ports and time limits of a gateway process.

    Attributes:
        name: The gateway's name.
        zone: Its availability zone.
        host: The IP address to listen on.
        port: The port for callers.
        ready_port: The port of the readiness check.
        ready_path: The path of the readiness check.
        metrics_port: The port of the metrics, or zero for none.
        peer_port: The UDP port for reports from other gateways.
        store_host: The IP address of the platform's store.
        store_port: The store's port.
        grace_s: Seconds from SIGTERM to SIGKILL.
        propagation_limit_s: Maximum time from the writing of a configuration or
            endpoint change to its effect, in seconds.
        heartbeat_s: Interval at which endpoints renew their records, in
            seconds.
        lease_s: Minimum time between role change orders of two different
            gateways, in seconds.
        max_key_age_s: Seconds since the configuration was surely the newest
            one up to which its keys are relied on, or None to rely on the
            last known ones for good.
        quota_bounds: By how much quotas may be exceeded.
        dispatch: Settings of load balancing, retries and health checks.
        read_bounds: Bounds on what is read from endpoints and the store.
        max_buffered_bytes: Bytes buffered for all requests from which new ones
            are refused.
        caller_stall_s: Seconds after which a caller is disconnected that reads
            nothing of what waits for it.
    """

    name: str
    zone: str
    host: str
    port: int
    ready_port: int
    ready_path: str
    metrics_port: int
    peer_port: int
    store_host: str
    store_port: int
    grace_s: float
    propagation_limit_s: float
    heartbeat_s: float
    lease_s: float
    dispatch: dispatch.DispatchSettings
    max_key_age_s: float | None = None
    quota_bounds: permits.QuotaBounds = permits.QuotaBounds()
    read_bounds: web.ReadBounds = web.DEFAULT_BOUNDS
    max_buffered_bytes: int = web.DEFAULT_MAX_BUFFERED_BYTES
    caller_stall_s: float = web.DEFAULT_CALLER_STALL_S


class SettingsSource(abc.ABC):
    """Reads the settings and detects changes."""

    @abc.abstractmethod
    def read(self) -> RouterSettings:
        """Reads the settings.

        Raises:
            errors.ConfigurationError: The settings can't be read or aren't
                valid.
        """

    @abc.abstractmethod
    def has_changed(self) -> bool:
        """Returns whether the settings have changed since the last read."""
