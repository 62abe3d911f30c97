"""The state of all endpoints as seen by one gateway."""

import collections
from collections.abc import Collection, Mapping
import dataclasses

from sassafrasstile import errors
from sassafrasstile import membership
from sassafrasstile import peers
from sassafrasstile import speeds as speed_models
from sassafrasstile.dispatch import _base
from sassafrasstile.dispatch import _health
from sassafrasstile.dispatch import _restrictions

_NO_LOAD = peers.EndpointLoad()
# Backoff after an endpoint refused work, doubled with each refusal in a row.
_REFUSAL_BACKOFF_S = 0.1
_MAX_BACKOFF_DOUBLINGS = 4
# Calls come at shorter intervals than this unless this process was suspended.
_SUSPENSION_GAP_S = 0.3
# The restrictions of this many former endpoints are remembered. Their records
# may return, for example when the store is restored from a copy.
_MAX_REMEMBERED = 1000
# What is typical of this many services is remembered.
_MAX_SERVICES = 100


@dataclasses.dataclass(kw_only=True)
class _PeerTotal:
    """Sums over the loads of other gateways on one endpoint.

    They are kept up to date with each report, since each decision reads them
    for many endpoints.
    """

    in_flight: int = 0
    reserved_tokens: int = 0
    prefill_tokens: int = 0
    changing: int = 0

    def add(self, load: peers.EndpointLoad, sign: int) -> None:
        """Adds a load, or subtracts it with the sign -1."""
        self.in_flight += sign * load.in_flight
        self.reserved_tokens += sign * load.reserved_tokens
        self.prefill_tokens += sign * load.prefill_tokens
        self.changing += sign * load.is_changing


@dataclasses.dataclass(frozen=True, kw_only=True)
class _RememberedRestrictions:
    """What an endpoint had asked before its record was dropped."""

    started_ms: int
    restrictions: _restrictions.SendRestrictions


@dataclasses.dataclass(kw_only=True, eq=False)
class Endpoint:
    """One incarnation of an endpoint, and the load on it.

    Attributes:
        record: What the endpoint announced.
        health: Its health, as observed from its responses.
        restrictions: What it has asked of this gateway.
        speeds: How fast it is, as learned from its answers.
        in_flight: Requests of this gateway that it runs or queues.
        reserved_tokens: KV cache in tokens that these requests occupy when
            they end.
        prefill_tokens: Prompt tokens of this gateway that it is prefilling.
        peer_loads: The load of other gateways on it, by gateway name.
        peer_reserved_at: When other gateways with a load on it last reserved
            capacity, by gateway name.
        peer_total: The sums of `peer_loads`.
        role_change_until: Latest end of a role change that this gateway has
            ordered; until then it gets no work.
        backoff_until: End of the backoff after it refused work.
        consecutive_refusals: Number of refusals in a row.
        is_removed: True once the endpoint has left or restarted.
        is_missing: True while its record is missing after an outage of the
            list of endpoints; it may have left.
        is_withheld: True while it gets no new work, since it is missing and
            most endpoints like it aren't.
    """

    record: membership.EndpointRecord
    health: _health.Health
    restrictions: _restrictions.SendRestrictions = dataclasses.field(
        default_factory=_restrictions.SendRestrictions
    )
    speeds: speed_models.EndpointSpeeds = dataclasses.field(
        default_factory=speed_models.EndpointSpeeds
    )
    in_flight: int = 0
    reserved_tokens: int = 0
    prefill_tokens: int = 0
    peer_loads: dict[str, peers.EndpointLoad] = dataclasses.field(
        default_factory=dict
    )
    peer_reserved_at: dict[str, float] = dataclasses.field(default_factory=dict)
    peer_total: _PeerTotal = dataclasses.field(default_factory=_PeerTotal)
    role_change_until: float = 0.0
    backoff_until: float = 0.0
    consecutive_refusals: int = 0
    is_removed: bool = False
    is_missing: bool = False
    is_withheld: bool = False

    @property
    def name(self) -> str:
        """The endpoint's id."""
        return self.record.endpoint_id

    @property
    def accepts_work(self) -> bool:
        """True unless the endpoint is draining, leaving, missing or removed."""
        is_ready = self.record.state is membership.EndpointState.READY
        is_ending = self.is_removed or self.restrictions.is_leaving
        return is_ready and not is_ending and not self.is_withheld

    def find_denial(
        self, now: float, *, has_permit: bool = False
    ) -> errors.Code | None:
        """Returns why it may not be sent new work now, or None if it may.

        Args:
            now: The time in seconds.
            has_permit: True if the work has a permit to be sent there.
        """
        if not self.accepts_work:
            return errors.Code.LEAVING
        return self.restrictions.find_denial(now, has_permit=has_permit)

    def has_version(self, software_version: str | None) -> bool:
        """Returns whether its software has a version; None stands for any."""
        return software_version in (None, self.record.software_version)

    def has_own_load(self, now: float) -> bool:
        """Returns whether there is anything to report about it."""
        return bool(
            self.in_flight
            or self.reserved_tokens
            or self.prefill_tokens
            or now < self.role_change_until
            or self.health.is_observed_unreachable(now)
        )

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
        """Returns whether it may be sent work and isn't changing its role."""
        if now < self.backoff_until or now < self.role_change_until:
            return False
        if now < self.restrictions.closed_until:
            return False
        return not self.peer_total.changing

    def set_peer_load(
        self, peer: str, load: peers.EndpointLoad, now: float
    ) -> None:
        """Updates another gateway's load on it."""
        before = self.peer_loads.pop(peer, _NO_LOAD)
        self.peer_total.add(before, -1)
        if load.is_empty:
            self.peer_reserved_at.pop(peer, None)
            return
        self.peer_loads[peer] = load
        self.peer_total.add(load, 1)
        if load.reserved_tokens > before.reserved_tokens:
            self.peer_reserved_at[peer] = now
        # Only a new report counts: a repeated one may be older than what this
        # gateway has received from the endpoint.
        if load.is_unreachable and not before.is_unreachable:
            self.health.mark_suspected(now)

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
        return self.in_flight + self.peer_total.in_flight

    @property
    def total_reserved_tokens(self) -> int:
        """KV cache in tokens that all gateways have reserved."""
        return self.reserved_tokens + self.peer_total.reserved_tokens

    @property
    def total_prefill_tokens(self) -> int:
        """Prompt tokens that it is prefilling for all gateways."""
        return self.prefill_tokens + self.peer_total.prefill_tokens

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
        self._peer_loads: dict[str, dict[str, peers.EndpointLoad]] = {}
        self._checked_at = float("inf")
        self._remembered: collections.OrderedDict[
            str, _RememberedRestrictions
        ] = collections.OrderedDict()
        self._services: collections.OrderedDict[
            str, speed_models.ServiceSpeeds
        ] = collections.OrderedDict()

    def find(self, endpoint_id: str) -> Endpoint | None:
        """Returns the present incarnation of an endpoint, if it is known."""
        return self._endpoints.get(endpoint_id)

    def get_service_speeds(self, service: str) -> speed_models.ServiceSpeeds:
        """Returns what is typical of the endpoints of a service."""
        known = self._services.get(service)
        if known is None:
            known = self._services[service] = speed_models.ServiceSpeeds()
            if len(self._services) > _MAX_SERVICES:
                self._services.popitem(last=False)
        self._services.move_to_end(service)
        return known

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
            self._remember_restrictions(former)
        elif former and former.record.incarnation == record.incarnation:
            former.record = record
            self._withhold_missing()
            return None
        else:
            self._endpoints[endpoint_id] = self._make_endpoint(record)
        if former is not None:
            former.is_removed = True
        self._withhold_missing()
        return former

    def set_missing(self, endpoint_id: str, is_missing: bool) -> None:
        """Records that an endpoint's record is missing, or is back."""
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is not None:
            endpoint.is_missing = is_missing
            self._withhold_missing()

    def _withhold_missing(self) -> None:
        """Withholds work from endpoints that are missing while few are.

        Few have left. Where most are missing, their records have expired, and
        without them the others would get too much work.
        """
        groups: dict[tuple[str, membership.Role], list[Endpoint]] = {}
        for item in self._endpoints.values():
            key = (item.record.service, item.record.role)
            groups.setdefault(key, []).append(item)
        for group in groups.values():
            missing = sum(item.is_missing for item in group)
            are_few = 2 * missing < len(group)
            for item in group:
                item.is_withheld = item.is_missing and are_few

    def _remember_restrictions(self, former: Endpoint | None) -> None:
        """Keeps what an endpoint has asked, since its record may return."""
        if former is None or not former.restrictions.has_asked:
            return
        self._remembered[former.name] = _RememberedRestrictions(
            started_ms=former.record.started_ms,
            restrictions=former.restrictions,
        )
        self._remembered.move_to_end(former.name)
        if len(self._remembered) > _MAX_REMEMBERED:
            self._remembered.popitem(last=False)

    def _take_restrictions(
        self, record: membership.EndpointRecord
    ) -> _restrictions.SendRestrictions:
        """Returns what this instance has asked before.

        One that started later has asked for nothing yet.
        """
        former = self._remembered.pop(record.endpoint_id, None)
        known = self._endpoints.get(record.endpoint_id)
        if known is not None:
            former = _RememberedRestrictions(
                started_ms=known.record.started_ms,
                restrictions=known.restrictions,
            )
        if former is None or record.started_ms > former.started_ms:
            return _restrictions.SendRestrictions()
        return former.restrictions

    def _make_endpoint(self, record: membership.EndpointRecord) -> Endpoint:
        endpoint = Endpoint(
            record=record,
            health=_health.Health(silence_timeout_s=self._silence_timeout_s),
            restrictions=self._take_restrictions(record),
            speeds=speed_models.EndpointSpeeds(
                service=self.get_service_speeds(record.service)
            ),
        )
        # A gateway's report may arrive before the endpoint's record.
        for peer, loads in self._peer_loads.items():
            load = loads.get(record.endpoint_id)
            if load is not None:
                endpoint.set_peer_load(peer, load, float("-inf"))
        return endpoint

    def update_peer_loads(
        self,
        peer: str,
        loads: Mapping[str, peers.EndpointLoad],
        now: float,
        *,
        is_complete: bool = True,
    ) -> None:
        """Updates another gateway's load on the endpoints.

        Args:
            peer: The gateway's name.
            loads: The load by endpoint id.
            now: The time in seconds.
            is_complete: True when the gateway has no load on endpoints that
                are left out; False when its load on them is unchanged.
        """
        known = self._peer_loads.setdefault(peer, {})
        if is_complete:
            for endpoint_id in known.keys() - loads.keys():
                self._set_peer_load(peer, endpoint_id, _NO_LOAD, now)
        for endpoint_id, load in loads.items():
            if known.get(endpoint_id, _NO_LOAD) != load:
                self._set_peer_load(peer, endpoint_id, load, now)
        if not known:
            del self._peer_loads[peer]

    def _set_peer_load(
        self,
        peer: str,
        endpoint_id: str,
        load: peers.EndpointLoad,
        now: float,
    ) -> None:
        if load.is_empty:
            self._peer_loads[peer].pop(endpoint_id, None)
        else:
            self._peer_loads[peer][endpoint_id] = load
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is not None:
            endpoint.set_peer_load(peer, load, now)

    def detect_suspension(self, now: float) -> bool:
        """Detects that this process was suspended since the last call.

        It must be called at short intervals, since a long gap between calls
        counts as a suspension. The silence timers of all endpoints restart
        after one.

        Returns:
            True if the process was suspended.
        """
        was_suspended = now - self._checked_at > _SUSPENSION_GAP_S
        self._checked_at = now
        if was_suspended:
            for endpoint in self._endpoints.values():
                endpoint.health.reset_silence(now)
        return was_suspended

    def get_own_loads(self, now: float) -> dict[str, peers.EndpointLoad]:
        """Returns this gateway's load by endpoint id.

        Endpoints without anything to report are left out.
        """
        return {
            name: item.get_own_load(now)
            for name, item in self._endpoints.items()
            if item.has_own_load(now)
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
        versions: Collection[str] | None = None,
    ) -> list[Endpoint]:
        """Returns the endpoints that may take new work.

        If none is reachable, the unreachable ones are returned: they may
        have recovered, and there is no better choice. Those that leave or
        have asked for a back-off are never returned.

        Args:
            service: The required service.
            role: The required role.
            now: The time in seconds.
            excluded: Endpoints on which this request has failed.
            versions: The software versions that they may have, or None for
                any.
        """
        ready = [
            item
            for item in self._endpoints.values()
            if item.record.service == service
            and item.record.role is role
            and item.find_denial(now) is None
            and item not in excluded
            and (versions is None or item.record.software_version in versions)
        ]
        reachable = [item for item in ready if item.health.is_reachable(now)]
        return reachable or ready

    def list_to_probe(self, now: float) -> list[Endpoint]:
        """Returns the unreachable endpoints that have to be probed."""
        return [
            item
            for item in self._endpoints.values()
            if item.health.needs_probe(now)
            and item.restrictions.find_denial(now) is None
        ]

    def measure_backoff_s(
        self, *, service: str, role: membership.Role, now: float
    ) -> float:
        """Returns the seconds until an endpoint of a service takes requests.

        It is zero if one takes requests now, or if all of them leave.

        Args:
            service: The service.
            role: The role of its endpoints.
            now: The time in seconds.
        """
        ends = [
            item.restrictions.closed_until
            for item in self._endpoints.values()
            if item.record.service == service
            and item.record.role is role
            and item.accepts_work
        ]
        return max(0.0, min(ends, default=now) - now)

    def list_slowness(self, kind: speed_models.Kind, now: float) -> list[float]:
        """Returns how much slower than typical each known endpoint is.

        Args:
            kind: The kind of work; endpoints not seen at it are left out.
            now: The time in seconds.
        """
        return [
            item.speeds.estimate_factor(kind, now)
            for item in self._endpoints.values()
            if item.speeds.has_seen(kind)
        ]

    def count_leaving(self) -> int:
        """Returns the number of endpoints that have announced to leave."""
        return sum(
            item.restrictions.is_leaving for item in self._endpoints.values()
        )

    def count_backing_off(self, now: float) -> int:
        """Returns the number of endpoints that have asked for a back-off."""
        return sum(
            item.restrictions.is_backing_off(now)
            for item in self._endpoints.values()
        )
