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
        taken_at: When other gateways last took room there, by their name.
        changing_until: This gateway is having its role changed, at the
            latest until this time.
        full_until: It refused work for lack of room until this time.
        refusals: Times that it refused work in a row.
        is_gone: True once it has left.
    """

    record: membership.EndpointRecord
    health: _health.Health
    in_flight: int = 0
    reserved_tokens: int = 0
    prefill_tokens: int = 0
    peer_loads: dict[str, peers.EndpointLoad] = dataclasses.field(
        default_factory=dict
    )
    taken_at: dict[str, float] = dataclasses.field(default_factory=dict)
    changing_until: float = 0.0
    full_until: float = 0.0
    refusals: int = 0
    is_gone: bool = False

    @property
    def name(self) -> str:
        """The endpoint's id."""
        return self.record.endpoint_id

    @property
    def takes_work(self) -> bool:
        """True unless it is leaving or gone."""
        is_ready = self.record.state is membership.EndpointState.READY
        return is_ready and not self.is_gone

    def describe_own(self, now: float) -> peers.EndpointLoad:
        """Returns what this gateway has in flight there, and knows of it."""
        return peers.EndpointLoad(
            in_flight=self.in_flight,
            reserved_tokens=self.reserved_tokens,
            prefill_tokens=self.prefill_tokens,
            is_changing=now < self.changing_until,
            is_unreachable=self.health.is_found_unreachable(now),
        )

    def is_open(self, now: float) -> bool:
        """Says whether it may take work now, as far as is known."""
        if now < self.full_until or now < self.changing_until:
            return False
        return not any(load.is_changing for load in self.peer_loads.values())

    def note_refusal(self, now: float) -> None:
        """Notes that it refused work; it is left alone for a while."""
        self.refusals += 1
        pause_s = _REFUSED_S * 2 ** min(self.refusals - 1, _REFUSED_DOUBLINGS)
        self.full_until = now + pause_s

    def note_acceptance(self) -> None:
        """Notes that it took work."""
        self.refusals = 0

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
        silence_s: The shortest silence that counts as one.
    """

    def __init__(self, *, silence_s: float):
        self._silence_s = silence_s
        self._endpoints: dict[str, Endpoint] = {}
        self._noticed_at = float("inf")

    def note_record(
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
                health=_health.Health(silence_s=self._silence_s),
            )
        if former is not None:
            former.is_gone = True
        return former

    def note_peer(
        self, peer: str, loads: Mapping[str, peers.EndpointLoad], now: float
    ) -> None:
        """Notes what another gateway has in flight everywhere."""
        for endpoint_id, endpoint in self._endpoints.items():
            before = endpoint.peer_loads.pop(peer, _NO_LOAD)
            load = loads.get(endpoint_id, _NO_LOAD)
            if not load.is_empty:
                endpoint.peer_loads[peer] = load
            if load.reserved_tokens > before.reserved_tokens:
                endpoint.taken_at[peer] = now
            # Only news makes this gateway doubt what it knows itself.
            if load.is_unreachable and not before.is_unreachable:
                endpoint.health.suspect(now)

    def notice_pause(self, now: float) -> bool:
        """Notices that this process has stood still; to be called often.

        Returns:
            True when it has.
        """
        paused = now - self._noticed_at > _PAUSE_S
        self._noticed_at = now
        if paused:
            for endpoint in self._endpoints.values():
                endpoint.health.forgive_silence(now)
        return paused

    def list_own_loads(self, now: float) -> dict[str, peers.EndpointLoad]:
        """Returns what this gateway has in flight and knows, by id."""
        return {
            name: item.describe_own(now)
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
