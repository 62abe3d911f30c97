"""The state of all endpoints as seen by one gateway."""

from collections.abc import Collection, Mapping
import dataclasses

from sassafrasstile import membership
from sassafrasstile import peers
from sassafrasstile.dispatch import _base
from sassafrasstile.dispatch import _health

_NO_LOAD = peers.EndpointLoad()
# Backoff after an endpoint refused work, doubled with each refusal in a row.
_REFUSAL_BACKOFF_S = 0.1
_MAX_BACKOFF_DOUBLINGS = 4
# A longer gap between calls means that this process was suspended.
_SUSPENSION_S = 0.3


@dataclasses.dataclass(kw_only=True, eq=False)
class Endpoint:
    """One incarnation of an endpoint, and the load on it.

    Attributes:
        record: What the endpoint announced.
        health: Its health, as observed from its responses.
        in_flight: Requests of this gateway that it runs or queues.
        reserved_tokens: KV cache in tokens that these requests occupy when
            they end.
        prefill_tokens: Prompt tokens of this gateway that it is prefilling.
        peer_loads: The load of other gateways on it, by gateway name.
        peer_reserved_at: When other gateways last reserved capacity on it,
            by gateway name.
        role_change_until: Latest end of a role change that this gateway has
            ordered; until then it gets no work.
        backoff_until: End of the backoff after it refused work.
        consecutive_refusals: Number of refusals in a row.
        is_removed: True once the endpoint has left or restarted.
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
        """True unless the endpoint is draining or removed."""
        is_ready = self.record.state is membership.EndpointState.READY
        return is_ready and not self.is_removed

    def get_own_load(self, now: float) -> peers.EndpointLoad:
        """Returns this gateway's load on the endpoint and view of it."""
        return peers.EndpointLoad(
            in_flight=self.in_flight,
            reserved_tokens=self.reserved_tokens,
            prefill_tokens=self.prefill_tokens,
            is_changing=now < self.role_change_until,
            is_unreachable=self.health.is_observed_unreachable(now),
        )

    def is_available(self, now: float) -> bool:
        """Returns whether it is neither in backoff nor changing its role."""
        if now < self.backoff_until or now < self.role_change_until:
            return False
        return not any(load.is_changing for load in self.peer_loads.values())

    def record_refusal(self, now: float) -> None:
        """Records that it refused work, and starts a backoff."""
        self.consecutive_refusals += 1
        backoff_s = _REFUSAL_BACKOFF_S * 2 ** min(
            self.consecutive_refusals - 1, _MAX_BACKOFF_DOUBLINGS
        )
        self.backoff_until = now + backoff_s

    def record_acceptance(self) -> None:
        """Records that it accepted work."""
        self.consecutive_refusals = 0

    @property
    def total_in_flight(self) -> int:
        """Requests in flight of all gateways."""
        return self.in_flight + sum(
            load.in_flight for load in self.peer_loads.values()
        )

    @property
    def total_reserved_tokens(self) -> int:
        """KV cache in tokens that all gateways have reserved."""
        return self.reserved_tokens + sum(
            load.reserved_tokens for load in self.peer_loads.values()
        )

    @property
    def total_prefill_tokens(self) -> int:
        """Prompt tokens that it is prefilling for all gateways."""
        return self.prefill_tokens + sum(
            load.prefill_tokens for load in self.peer_loads.values()
        )

    def reserve(self, size: _base.WorkSize) -> None:
        """Adds a generation to the load of its decode engine."""
        self.in_flight += 1
        self.reserved_tokens += size.memory_tokens

    def resize(self, before: _base.WorkSize, after: _base.WorkSize) -> None:
        """Changes the size of a generation in the load."""
        self.reserved_tokens += after.memory_tokens - before.memory_tokens

    def release(self, size: _base.WorkSize) -> None:
        """Removes a generation from the load."""
        self.in_flight -= 1
        self.reserved_tokens -= size.memory_tokens


class EndpointTable:
    """All endpoints by id.

    Args:
        silence_timeout_s: Minimum silence in seconds after which an
            endpoint with pending requests is considered unreachable.
    """

    def __init__(self, *, silence_timeout_s: float):
        self._silence_timeout_s = silence_timeout_s
        self._endpoints: dict[str, Endpoint] = {}
        self._checked_at = float("inf")

    def update_record(
        self, endpoint_id: str, record: membership.EndpointRecord | None
    ) -> Endpoint | None:
        """Updates an endpoint's record, or removes the endpoint.

        Args:
            endpoint_id: The endpoint's id.
            record: What it announced, or None when it has left.

        Returns:
            The endpoint's previous incarnation if it has ended, or None.
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
                health=_health.Health(
                    silence_timeout_s=self._silence_timeout_s
                ),
            )
        if former is not None:
            former.is_removed = True
        return former

    def update_peer_loads(
        self, peer: str, loads: Mapping[str, peers.EndpointLoad], now: float
    ) -> None:
        """Updates another gateway's load on all endpoints."""
        for endpoint_id, endpoint in self._endpoints.items():
            before = endpoint.peer_loads.pop(peer, _NO_LOAD)
            load = loads.get(endpoint_id, _NO_LOAD)
            if not load.is_empty:
                endpoint.peer_loads[peer] = load
            if load.reserved_tokens > before.reserved_tokens:
                endpoint.peer_reserved_at[peer] = now
            # Only a new report counts: a repeated one may be older than what
            # this gateway has received from the endpoint.
            if load.is_unreachable and not before.is_unreachable:
                endpoint.health.mark_suspected(now)

    def detect_suspension(self, now: float) -> bool:
        """Detects that this process was suspended since the last call.

        It must be called at short intervals, since a long gap between calls
        counts as a suspension. The silence timers of all endpoints restart
        after one.

        Returns:
            True if the process was suspended.
        """
        was_suspended = now - self._checked_at > _SUSPENSION_S
        self._checked_at = now
        if was_suspended:
            for endpoint in self._endpoints.values():
                endpoint.health.reset_silence(now)
        return was_suspended

    def get_own_loads(self, now: float) -> dict[str, peers.EndpointLoad]:
        """Returns this gateway's load on each endpoint, by endpoint id."""
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

        If none is reachable, the unreachable ones are returned: they may
        have recovered, and there is no better choice.

        Args:
            service: The required service.
            role: The required role.
            now: The time in seconds.
            excluded: Endpoints on which this request has failed.
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

    def list_to_probe(self, now: float) -> list[Endpoint]:
        """Returns the unreachable endpoints that have to be probed."""
        return [
            item
            for item in self._endpoints.values()
            if item.health.needs_probe(now)
        ]
