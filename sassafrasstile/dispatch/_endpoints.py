"""The endpoints as one gateway sees them."""

from collections.abc import Collection, Mapping
import dataclasses

from sassafrasstile import membership
from sassafrasstile import peers
from sassafrasstile.dispatch import _base
from sassafrasstile.dispatch import _health

_NO_LOAD = peers.EndpointLoad()
# An endpoint that refused work gets none for so long, doubled each time.
_REFUSED_S = 0.1
_REFUSED_DOUBLINGS = 4
# This process stood still when it wasn't called for so long.
_PAUSE_S = 0.3


@dataclasses.dataclass(kw_only=True, eq=False)
class Endpoint:
    """One start of an endpoint, and the load on it.

    Attributes:
        record: What it announced.
        health: What its answers show.
        in_flight: Requests of this gateway that it runs or queues.
        reserved_tokens: KV memory that these take at their end.
        prefill_tokens: Prompt tokens of this gateway that it reads now.
        peer_loads: What other gateways have in flight there, by their name.
        peer_reserved_at: When other gateways last reserved capacity on the
            endpoint, by gateway name.
        role_change_until: This gateway is having its role changed, at the
            latest until this time.
        backoff_until: It refused work for lack of room until this time.
        consecutive_refusals: Times that it refused work in a row.
        is_removed: True once it has left.
    """

    record: membership.EndpointRecord
    health: _health.Health
    in_flight: int = 0
    reserved_tokens: int = 0
    prefill_tokens: int = 0
    peer_loads: dict[str, peers.EndpointLoad] = dataclasses.field(
        default_factory=dict
    )
    peer_reserved_at: dict[str, float] = dataclasses.field(default_factory=dict)
    role_change_until: float = 0.0
    backoff_until: float = 0.0
    consecutive_refusals: int = 0
    is_removed: bool = False

    @property
    def name(self) -> str:
        """The endpoint's id."""
        return self.record.endpoint_id

    @property
    def accepts_work(self) -> bool:
        """True unless it is leaving or gone."""
        is_ready = self.record.state is membership.EndpointState.READY
        return is_ready and not self.is_removed

    def get_own_load(self, now: float) -> peers.EndpointLoad:
        """Returns what this gateway has in flight there, and knows of it."""
        return peers.EndpointLoad(
            in_flight=self.in_flight,
            reserved_tokens=self.reserved_tokens,
            prefill_tokens=self.prefill_tokens,
            is_changing=now < self.role_change_until,
            is_unreachable=self.health.is_observed_unreachable(now),
        )

    def is_available(self, now: float) -> bool:
        """Says whether it may take work now, as far as is known."""
        if now < self.backoff_until or now < self.role_change_until:
            return False
        return not any(load.is_changing for load in self.peer_loads.values())

    def record_refusal(self, now: float) -> None:
        """Notes that it refused work; it is left alone for a while."""
        self.consecutive_refusals += 1
        pause_s = _REFUSED_S * 2 ** min(
            self.consecutive_refusals - 1, _REFUSED_DOUBLINGS
        )
        self.backoff_until = now + pause_s

    def record_acceptance(self) -> None:
        """Notes that it took work."""
        self.consecutive_refusals = 0

    @property
    def total_in_flight(self) -> int:
        """Requests of all gateways."""
        return self.in_flight + sum(
            load.in_flight for load in self.peer_loads.values()
        )

    @property
    def total_reserved_tokens(self) -> int:
        """KV memory that all gateways have reserved."""
        return self.reserved_tokens + sum(
            load.reserved_tokens for load in self.peer_loads.values()
        )

    @property
    def total_prefill_tokens(self) -> int:
        """Prompt tokens that it reads for all gateways."""
        return self.prefill_tokens + sum(
            load.prefill_tokens for load in self.peer_loads.values()
        )

    def reserve(self, size: _base.WorkSize) -> None:
        """Counts a generation in at its decode engine."""
        self.in_flight += 1
        self.reserved_tokens += size.memory_tokens

    def resize(self, before: _base.WorkSize, after: _base.WorkSize) -> None:
        """Counts a generation with another size."""
        self.reserved_tokens += after.memory_tokens - before.memory_tokens

    def release(self, size: _base.WorkSize) -> None:
        """Counts a generation out."""
        self.in_flight -= 1
        self.reserved_tokens -= size.memory_tokens


class EndpointTable:
    """All endpoints by id.

    Args:
        silence_timeout_s: The shortest silence that counts as one.
    """

    def __init__(self, *, silence_timeout_s: float):
        self._silence_s = silence_timeout_s
        self._endpoints: dict[str, Endpoint] = {}
        self._noticed_at = float("inf")

    def update_record(
        self, endpoint_id: str, record: membership.EndpointRecord | None
    ) -> Endpoint | None:
        """Notes what an endpoint announced, or that it is gone.

        Returns:
            The endpoint's former incarnation when that has ended, or None.
        """
        former = self._endpoints.get(endpoint_id)
        if record is None:
            self._endpoints.pop(endpoint_id, None)
        elif former and former.record.incarnation == record.incarnation:
            former.record = record
            return None
        else:
            self._endpoints[endpoint_id] = Endpoint(
                record=record,
                health=_health.Health(silence_timeout_s=self._silence_s),
            )
        if former is not None:
            former.is_removed = True
        return former

    def update_peer_loads(
        self, peer: str, loads: Mapping[str, peers.EndpointLoad], now: float
    ) -> None:
        """Notes what another gateway has in flight everywhere."""
        for endpoint_id, endpoint in self._endpoints.items():
            before = endpoint.peer_loads.pop(peer, _NO_LOAD)
            load = loads.get(endpoint_id, _NO_LOAD)
            if not load.is_empty:
                endpoint.peer_loads[peer] = load
            if load.reserved_tokens > before.reserved_tokens:
                endpoint.peer_reserved_at[peer] = now
            # Only news makes this gateway doubt what it knows itself.
            if load.is_unreachable and not before.is_unreachable:
                endpoint.health.mark_suspected(now)

    def detect_suspension(self, now: float) -> bool:
        """Notices that this process has stood still; to be called often.

        Returns:
            True when it has.
        """
        paused = now - self._noticed_at > _PAUSE_S
        self._noticed_at = now
        if paused:
            for endpoint in self._endpoints.values():
                endpoint.health.reset_silence(now)
        return paused

    def get_own_loads(self, now: float) -> dict[str, peers.EndpointLoad]:
        """Returns what this gateway has in flight and knows, by id."""
        return {
            name: item.get_own_load(now)
            for name, item in self._endpoints.items()
        }

    def list_all(self) -> list[Endpoint]:
        """Returns every endpoint."""
        return list(self._endpoints.values())

    def list_usable(
        self,
        *,
        service: str,
        role: membership.Role,
        now: float,
        excluded: Collection[Endpoint] = (),
    ) -> list[Endpoint]:
        """Returns the endpoints that may take new work.

        Where none is reachable, those that are not are returned: they may
        have recovered, and nothing better is left.

        Args:
            service: The service wanted.
            role: The role wanted.
            now: The time in seconds.
            excluded: Endpoints that have failed this request.
        """
        ready = [
            item
            for item in self._endpoints.values()
            if item.record.service == service
            and item.record.role is role
            and item.record.state is membership.EndpointState.READY
            and item not in excluded
        ]
        reachable = [item for item in ready if item.health.is_reachable(now)]
        return reachable or ready

    def list_unreachable(self, now: float) -> list[Endpoint]:
        """Returns the endpoints that want a probe."""
        return [
            item
            for item in self._endpoints.values()
            if not item.health.is_reachable(now)
        ]
