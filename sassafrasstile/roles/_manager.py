"""Orders role changes while this gateway holds the lease."""

from collections.abc import Callable, Collection
import dataclasses
import logging
import random

from twisted.internet import defer
from twisted.internet import task

from sassafrasstile import dispatch
from sassafrasstile import membership
from sassafrasstile import routes
from sassafrasstile import stores
from sassafrasstile.roles import _base
from sassafrasstile.roles import _lease
from sassafrasstile.roles import _plan

_LOG = logging.getLogger("sassafrasstile.roles")
_CHECK_INTERVAL_S = 1.0
# The list of engines is taken to be complete when it hasn't changed for this
# long.
_STABLE_S = 1.5
# An engine may still carry out an order this long after it was sent.
_PENDING_TIMEOUT_S = 15.0
# The holder of the lease is taken to be lost when it was silent for this long.
_HOLDER_SILENCE_TIMEOUT_S = 4.0
# A gateway that takes over the lease waits for its duration and this margin
# before its first order, so that no order of the former holder is under way.
_TAKEOVER_MARGIN_S = 0.5
# An order is sent only if the renewal of the lease before it took no longer
# than this.
_MAX_RENEWAL_S = 0.3


@dataclasses.dataclass(frozen=True, kw_only=True)
class _PendingChange:
    role: membership.Role
    expires_at: float


class RoleManager:
    """Brings the engines' roles to the wanted share, one order at a time.

    Args:
        reactor: The reactor.
        name: This gateway's name.
        lease: The lease on the right to order role changes.
        lease_s: Minimum seconds between the last order of one gateway and the
            first of its successor.
        endpoints: The endpoints.
        active_configuration: Holds the active configuration.
        prefill_share: The share of a service's engines that should prefill.
        list_peers: Returns the names of the other live gateways.
        send_order: Sends an order with its fencing token; the Deferred's
            result is whether the engine accepted the order.
        generator: The source of random numbers.
    """

    def __init__(
        self,
        *,
        reactor,
        name: str,
        lease: _lease.LeaderLease,
        lease_s: float,
        endpoints: dispatch.EndpointTable,
        active_configuration: routes.ActiveConfiguration,
        prefill_share: float,
        list_peers: Callable[[], Collection[str]],
        send_order: Callable[[_base.RoleOrder, int], defer.Deferred],
        generator: random.Random,
    ):
        self._reactor = reactor
        self._name = name
        self._lease = lease
        self._lease_s = lease_s
        self._endpoints = endpoints
        self._active_configuration = active_configuration
        self._prefill_share = prefill_share
        self._list_peers = list_peers
        self._send_order = send_order
        self._generator = generator
        self._pending: dict[dispatch.Endpoint, _PendingChange] = {}
        self._known_engines: list[dispatch.Endpoint] = []
        self._engines_changed_at = 0.0
        self._holder_seen_at = 0.0
        self._orders_allowed_at: float | None = None
        self._running: defer.Deferred | None = None

    def start(self) -> None:
        """Starts checking the roles periodically."""
        self._holder_seen_at = self._reactor.seconds()
        self._running = defer.ensureDeferred(self._run())
        self._running.addErrback(self._log_failure)

    def close(self) -> None:
        """Stops checking the roles."""
        running, self._running = self._running, None
        if running is not None:
            running.cancel()

    async def _run(self) -> None:
        while True:
            interval_s = _CHECK_INTERVAL_S * (
                0.75 + 0.5 * self._generator.random()
            )
            await task.deferLater(self._reactor, interval_s)
            order = self._choose_order()
            if order is None or not self._is_candidate():
                continue
            try:
                await self._handle_order(order)
            except stores.StoreError as reason:
                _LOG.info("roles: no order sent. Reason: %s.", reason)

    def _is_candidate(self) -> bool:
        """Returns whether this gateway may hold or acquire the lease now.

        These are the holder and its successor, the first of the live gateways
        by name. The others needn't read the store again while they know which
        gateway holds the lease.
        """
        if self._lease.holder is None or self._lease.is_held:
            return True
        return self._name == min([self._name, *self._list_peers()])

    def _choose_order(self) -> _base.RoleOrder | None:
        """Returns the order that should be sent now, by any gateway."""
        now = self._reactor.seconds()
        engines = [
            item
            for item in self._endpoints.list_all()
            if item.accepts_work
            and item.record.role is not membership.Role.PLAIN
        ]
        if engines != self._known_engines:
            self._known_engines = engines
            self._engines_changed_at = now
        if (
            now - self._engines_changed_at < _STABLE_S
            or self._active_configuration.current is None
        ):
            return None
        self._pending = {
            engine: pending
            for engine, pending in self._pending.items()
            if now < pending.expires_at and engine.record.role != pending.role
        }
        for engine in engines:
            pending = self._pending.get(engine)
            engine.role_change_until = pending.expires_at if pending else 0.0
        for service in self._active_configuration.current.services.values():
            order = self._choose_order_for(service, engines)
            if order is not None:
                return order
        return None

    def _choose_order_for(
        self, service: routes.Service, engines: list[dispatch.Endpoint]
    ) -> _base.RoleOrder | None:
        if service.engine is None:
            return None
        own = [item for item in engines if item.record.service == service.name]
        return _plan.choose_order(
            own,
            pending_roles={
                engine: pending.role
                for engine, pending in self._pending.items()
            },
            prefill_share=self._prefill_share,
            excluded=[item for item in own if not self._takes_orders(item)],
        )

    def _takes_orders(self, engine: dispatch.Endpoint) -> bool:
        return engine.find_denial(self._reactor.seconds()) is None

    async def _handle_order(self, order: _base.RoleOrder) -> None:
        """Sends an order, or tries to acquire the lease first."""
        if not self._lease.is_held:
            await self._try_to_acquire()
            return
        now = self._reactor.seconds()
        if self._orders_allowed_at is None or now < self._orders_allowed_at:
            return
        fencing_token = await self._lease.acquire()
        if not self._takes_orders(order.engine):
            return
        self._pending[order.engine] = _PendingChange(
            role=order.role, expires_at=now + _PENDING_TIMEOUT_S
        )
        if self._reactor.seconds() - now > _MAX_RENEWAL_S:
            # Another gateway may have acquired the lease meanwhile.
            return
        accepted = await self._send_order(order, fencing_token)
        order.engine.role_change_until = now + _PENDING_TIMEOUT_S
        _LOG.info(
            "roles: engine %s ordered to change to role %s: %s.",
            order.engine.name,
            order.role.value,
            "accepted" if accepted else "not accepted",
            extra={"endpoint": order.engine.name, "fencing": fencing_token},
        )

    async def _try_to_acquire(self) -> None:
        await self._lease.read()
        now = self._reactor.seconds()
        holder = self._lease.holder
        if holder == self._name:
            # Held since before a restart: orders sent before it may still be
            # under way.
            self._orders_allowed_at = now + self._lease_s + _TAKEOVER_MARGIN_S
            return
        if holder is not None:
            if holder in self._list_peers():
                self._holder_seen_at = now
            if now - self._holder_seen_at < _HOLDER_SILENCE_TIMEOUT_S:
                return
        try:
            await self._lease.acquire()
        except stores.StoreError as reason:
            if _lease.is_conflict(reason):
                self._holder_seen_at = now
                return
            raise
        wait_s = 0.0
        if holder is not None or self._lease.may_have_been_lost:
            wait_s = self._lease_s + _TAKEOVER_MARGIN_S
        self._orders_allowed_at = now + wait_s
        _LOG.info(
            "roles: gateway %s has acquired the lease.",
            self._name,
            extra={"former": holder, "waits_s": wait_s},
        )

    def _log_failure(self, reason) -> None:
        if not reason.check(defer.CancelledError):
            _LOG.critical(
                "roles: checks of the roles have failed: %s",
                reason.getTraceback(),
            )
