"""What an endpoint says of itself."""

import dataclasses
import enum


class Role(enum.Enum):
    """What an endpoint is for."""

    PLAIN = "plain"
    PREFILL = "prefill"
    DECODE = "decode"


class EndpointState(enum.Enum):
    """Whether an endpoint takes new work."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndpointRecord:
    """One start of an endpoint, as it announced itself.

    Attributes:
        endpoint_id: Its id.
        started_ms: When it started, Unix milliseconds. A new start under
            the same id is another incarnation that remembers nothing.
        service: The service that it serves.
        host: Its IP number.
        port: Its TCP port.
        zone: Its availability zone.
        role: What it is for.
        state: Whether it takes new work.
        slots: Requests that it runs at once.
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

    @property
    def incarnation(self) -> tuple[str, int, str, int]:
        """Identifies this start, its address included."""
        return (self.endpoint_id, self.started_ms, self.host, self.port)
