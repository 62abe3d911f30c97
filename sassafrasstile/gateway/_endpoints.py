"""The state of endpoints as a gateway knows it."""

from collections.abc import Iterable
import dataclasses

from sassafrasstile import errors
from sassafrasstile import messages
from sassafrasstile import policies


@dataclasses.dataclass(kw_only=True)
class Endpoint:
    """One endpoint, as this gateway knows it.

    Attributes:
        name: The endpoint's name.
        role: `prefill`, `decode` or `service`.
        serves: The model's or service's name.
        zone: Its availability zone.
        vm: The VM it runs on.
        connected: True while there is a link to its sidecar.
        leaving: True once the endpoint reported that it is leaving.
        incarnation: Its sidecar's incarnation, from the last batch.
        load: Its last load report.
        unanswered_since: When the oldest renewal was sent that its sidecar
            has sent nothing after, in kernel time, or None.
        is_silent: True while that renewal has been unanswered for so long
            that the endpoint gets no new work.
        live_attempts: Numbers of this gateway's attempts that the endpoint
            holds or may hold.
        full_until: It gets no new work before this time, after a refusal.
        avoid_until: It is used only as a last resort before this time, after
            a failure.
    """

    name: str
    role: str
    serves: str
    zone: str = ""
    vm: str = ""
    connected: bool = False
    leaving: bool = False
    incarnation: str = ""
    load: messages.Load = dataclasses.field(default_factory=messages.Load)
    unanswered_since: float | None = None
    is_silent: bool = False
    live_attempts: set[int] = dataclasses.field(default_factory=set)
    full_until: float = 0.0
    avoid_until: float = 0.0

    def measure_silence(self, now: float) -> float:
        """Returns for how many seconds a renewal has been unanswered."""
        if self.unanswered_since is None:
            return 0.0
        return now - self.unanswered_since

    def record_message(self) -> None:
        """Records that the sidecar isn't silent."""
        self.unanswered_since = None
        self.is_silent = False

    def record_refusal(self, code: str, *, until: float) -> None:
        """Records that the endpoint refused work.

        Args:
            code: The error code of the refusal.
            until: When it may get new work again, in kernel time.
        """
        if code == errors.Code.LEAVING:
            self.leaving = True
        self.full_until = until


class EndpointTable:
    """All endpoints that a gateway may use.

    Args:
        endpoints: The endpoints of the configuration.
    """

    def __init__(self, *, endpoints: Iterable[Endpoint]):
        self._endpoints = {item.name: item for item in endpoints}
        self._leaving_vms: frozenset[str] = frozenset()

    def get(self, name: str) -> Endpoint | None:
        """Returns an endpoint by name, or None."""
        return self._endpoints.get(name)

    def list_all(self) -> list[Endpoint]:
        """Returns every endpoint."""
        return list(self._endpoints.values())

    def is_served(self, *, role: str, serves: str) -> bool:
        """Returns whether an endpoint is configured for a model or service."""
        return any(
            item.role == role and item.serves == serves
            for item in self._endpoints.values()
        )

    def update_leaving_vms(self, vms: frozenset[str]) -> None:
        """Sets which VMs the platform lists as leaving."""
        self._leaving_vms = vms

    def update_load(self, endpoint: Endpoint, load: messages.Load) -> None:
        """Stores a load report of an endpoint's sidecar."""
        endpoint.load = load
        endpoint.leaving = load.leaving
        if load.free_slots > 0:
            endpoint.full_until = 0.0

    def list_usable(
        self, *, role: str, serves: str, now: float, excluded: set[str]
    ) -> list[Endpoint]:
        """Returns the endpoints that can take new work now.

        Args:
            role: The required role.
            serves: The required model or service.
            now: Kernel time in seconds.
            excluded: Names of endpoints that failed this request before.

        Returns:
            Connected endpoints that are neither silent, leaving nor known to
            be full. Excluded endpoints and those that failed recently are left
            out while there are others.
        """
        usable = [
            item
            for item in self._endpoints.values()
            if item.role == role
            and item.serves == serves
            and item.connected
            and not item.is_silent
            and not item.leaving
            and item.vm not in self._leaving_vms
            and now >= item.full_until
        ]
        untried = [item for item in usable if item.name not in excluded]
        usable = untried or usable
        healthy = [item for item in usable if now >= item.avoid_until]
        return healthy or usable


def make_view(endpoint: Endpoint) -> policies.EndpointView:
    """Returns the part of an endpoint's state that policies see."""
    return policies.EndpointView(
        name=endpoint.name,
        zone=endpoint.zone,
        slots=endpoint.load.slots,
        free_slots=endpoint.load.free_slots,
        in_flight=len(endpoint.live_attempts),
        backlog_s=endpoint.load.backlog_s,
    )
