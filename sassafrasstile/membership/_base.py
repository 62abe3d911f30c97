"""Endpoint records, as announced by the endpoints themselves."""

import dataclasses
import enum


class Role(enum.Enum):
    """The kind of work that an endpoint does."""

    PLAIN = "plain"
    PREFILL = "prefill"
    DECODE = "decode"


class EndpointState(enum.Enum):
    """Whether an endpoint accepts new work."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndpointRecord:
    """One incarnation of an endpoint, as it announced itself.

    Attributes:
        endpoint_id: The endpoint's id.
        started_ms: Start time in Unix milliseconds. A restart under the same
            id is a new incarnation without any state of the previous one.
        service: The service that the endpoint belongs to.
        host: IP address.
        port: TCP port.
        zone: Availability zone.
        role: The kind of work that it does.
        state: Whether it accepts new work.
        slots: Maximum number of requests that it runs concurrently.
        software_version: The version of its software. What engines of two
            versions write doesn't fit together.
    """

    endpoint_id: str
    started_ms: int
    service: str
    host: str
    port: int
    zone: str
    role: Role
    state: EndpointState
    slots: int
    software_version: str = ""

    @property
    def incarnation(self) -> tuple[str, int, str, int, str]:
        """Identifies this incarnation, its address and software included."""
        return (
            self.endpoint_id,
            self.started_ms,
            self.host,
            self.port,
            self.software_version,
        )
