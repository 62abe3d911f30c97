"""Settings of the process."""

import abc
import dataclasses

from sassafrasstile import dispatch


@dataclasses.dataclass(frozen=True, kw_only=True)
class RouterSettings:
    """Where the process listens, and its bounds.

    Attributes:
        name: The gateway's name.
        zone: Its availability zone.
        host: The IP number to listen on.
        port: The port for callers.
        ready_port: The port of the readiness check.
        ready_path: The path of the readiness check.
        metrics_port: The port of the metrics, or zero for none.
        peer_port: The UDP port for other gateways.
        store_host: The IP number of the platform's store.
        store_port: Its port.
        grace_s: Seconds from SIGTERM to SIGKILL.
        notice_s: A change of the configuration or of an endpoint is acted on
            within this time of its writing, seconds.
        lease_s: Seconds between the last order of one gateway and the first of
            its successor, at least.
        dispatch: Settings of the decisions.
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
    notice_s: float
    lease_s: float
    dispatch: dispatch.DispatchSettings


class SettingsSource(abc.ABC):
    """Where the settings come from."""

    @abc.abstractmethod
    def read(self) -> RouterSettings:
        """Reads the settings.

        Raises:
            errors.ConfigurationError: They can't be read or aren't valid.
        """

    @abc.abstractmethod
    def has_changed(self) -> bool:
        """Says whether they have changed since they were read."""
