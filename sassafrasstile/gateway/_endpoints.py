"""What a gateway knows of the endpoints."""

from collections.abc import Iterable
import dataclasses

from sassafrasstile import errors
from sassafrasstile import messages
from sassafrasstile import policies


@dataclasses.dataclass(kw_only=True)
class Endpoint:
    """One endpoint, as this gateway sees it.

    Attributes:
        name: The endpoint's name.
        role: `prefill`, `decode` or `service`.
        serves: The model's or service's name.
        zone: Its availability zone.
        vm: The VM it runs on.
        connected: True while there is a link to its sidecar.
        leaving: True once it or the platform's list says that it leaves.
        incarnation: Its sidecar's incarnation, as last heard.
        load: Its last report.
        last_received_at: When its sidecar last said anything, in kernel time.
        live_attempts: Attempts of this gateway that it holds or may hold.
        full_until: Until when it isn't asked after a refusal.
        avoid_until: Until when it is avoided after a failure.
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
    last_received_at: float = 0.0
    live_attempts: set[int] = dataclasses.field(default_factory=set)
    full_until: float = 0.0
    avoid_until: float = 0.0

    def record_refusal(self, code: str, *, until: float) -> None:
        """Notes that it refused work.

        Args:
            code: Why.
            until: It isn't asked before, in kernel time.
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

    def serves(self, *, role: str, serves: str) -> bool:
        """Says whether any endpoint is configured for a model or service."""
        return any(
            item.role == role and item.serves == serves
            for item in self._endpoints.values()
        )

    def update_leaving_vms(self, vms: frozenset[str]) -> None:
        """Notes the VMs that the platform's list shows as leaving."""
        self._leaving_vms = vms

    def update_load(self, endpoint: Endpoint, load: messages.Load) -> None:
        """Notes a report of an endpoint's sidecar."""
        endpoint.load = load
        endpoint.leaving = load.leaving
        if load.free_slots > 0:
            endpoint.full_until = 0.0

    def list_usable(
        self, *, role: str, serves: str, now: float, excluded: set[str]
    ) -> list[Endpoint]:
        """Returns the endpoints that may take new work now.

        Args:
            role: The role wanted.
            serves: The model or service wanted.
            now: Kernel time in seconds.
            excluded: Endpoints that failed this request before.

        Returns:
            Endpoints that aren't leaving nor known to be full. Those that
            failed lately are left out while there are others.
        """
        usable = [
            item
            for item in self._endpoints.values()
            if item.role == role
            and item.serves == serves
            and item.connected
            and not item.leaving
            and item.vm not in self._leaving_vms
            and now >= item.full_until
        ]
        untried = [item for item in usable if item.name not in excluded]
        usable = untried or usable
        healthy = [item for item in usable if now >= item.avoid_until]
        return healthy or usable


def make_view(endpoint: Endpoint) -> policies.EndpointView:
    """Returns what a policy may know of an endpoint."""
    return policies.EndpointView(
        name=endpoint.name,
        zone=endpoint.zone,
        slots=endpoint.load.slots,
        free_slots=endpoint.load.free_slots,
        in_flight=len(endpoint.live_attempts),
        backlog_s=endpoint.load.backlog_s,
    )
