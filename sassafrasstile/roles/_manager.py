"""Gives orders while this gateway holds the term."""

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
from sassafrasstile.roles import _plan
from sassafrasstile.roles import _term

_LOG = logging.getLogger("sassafrasstile.roles")
_STEP_S = 1.0
# The list of endpoints is taken for whole once it hasn't changed so long.
_STABLE_S = 1.5
# An order without an answer may be carried out for so long.
_PENDING_S = 15.0
# The holder is taken for lost after so much silence ...
_HOLDER_SILENCE_S = 4.0
# ... and its last order is past after so much more than a term.
_TAKEOVER_MARGIN_S = 0.5
# An order leaves this soon after the term's confirmation was asked for.
_CONFIRMED_S = 0.3


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Pending:
    role: membership.Role
    until: float


class RoleManager:
    """Brings the engines' roles to the share wanted, one order at a time.

    Args:
        reactor: The reactor.
        name: This gateway's name.
        term: The right to give orders.
        term_s: Orders of two gateways lie at least this far apart.
        endpoints: The endpoints.
        active_configuration: Holds the configuration in force.
        prefill_share: The share of a service's engines that should prefill.
        list_peers: Returns the names of the other live gateways.
        send_order: Sends an order with its fencing number; the Deferred
            says whether it was accepted.
        generator: The source of random numbers.
    """

    def __init__(
        self,
        *,
        reactor,
        name: str,
        term: _term.TermHolder,
        term_s: float,
        endpoints: dispatch.EndpointTable,
        active_configuration: routes.ActiveConfiguration,
        prefill_share: float,
        list_peers: Callable[[], Collection[str]],
        send_order: Callable[[_base.RoleOrder, int], defer.Deferred],
        generator: random.Random,
    ):
        self._reactor = reactor
        self._name = name
        self._term = term
        self._term_s = term_s
        self._endpoints = endpoints
        self._active_configuration = active_configuration
        self._prefill_share = prefill_share
        self._list_peers = list_peers
        self._send_order = send_order
        self._generator = generator
        self._pending: dict[dispatch.Endpoint, _Pending] = {}
        self._known: list[dispatch.Endpoint] = []
        self._changed_at = 0.0
        self._holder_seen_at = 0.0
        self._may_order_at: float | None = None
        self._running: defer.Deferred | None = None

    def start(self) -> None:
        """Starts."""
        self._holder_seen_at = self._reactor.seconds()
        self._running = defer.ensureDeferred(self._run())
        self._running.addErrback(self._note_end)

    def close(self) -> None:
        """Stops."""
        running, self._running = self._running, None
        if running is not None:
            running.cancel()

    async def _run(self) -> None:
        while True:
            pause_s = _STEP_S * (0.75 + 0.5 * self._generator.random())
            await task.deferLater(self._reactor, pause_s)
            order = self._choose()
            if order is None or not self._takes_part():
                continue
            try:
                await self._follow_up(order)
            except stores.StoreError as reason:
                _LOG.info("roles: no order given. Reason: %s.", reason)

    def _takes_part(self) -> bool:
        """Says whether this gateway looks after the orders now.

        The holder does, and the first by name of the live gateways, which
        would succeed it; the others needn't ask the store who that is.
        """
        if self._term.holder is None or self._term.is_held:
            return True
        return self._name == min([self._name, *self._list_peers()])

    def _choose(self) -> _base.RoleOrder | None:
        """Returns the order that is wanted now, whoever gives it."""
        now = self._reactor.seconds()
        engines = [
            item
            for item in self._endpoints.list_all()
            if item.accepts_work
            and item.record.role is not membership.Role.PLAIN
        ]
        if engines != self._known:
            self._known = engines
            self._changed_at = now
        if (
            now - self._changed_at < _STABLE_S
            or self._active_configuration.current is None
        ):
            return None
        self._pending = {
            engine: pending
            for engine, pending in self._pending.items()
            if now < pending.until and engine.record.role != pending.role
        }
        for engine in engines:
            pending = self._pending.get(engine)
            engine.role_change_until = pending.until if pending else 0.0
        for service in self._active_configuration.current.services.values():
            order = self._choose_for(service, engines)
            if order is not None:
                return order
        return None

    def _choose_for(
        self, service: routes.Service, engines: list[dispatch.Endpoint]
    ) -> _base.RoleOrder | None:
        if service.engine is None:
            return None
        own = [item for item in engines if item.record.service == service.name]
        return _plan.choose_order(
            own,
            changing={
                engine: pending.role
                for engine, pending in self._pending.items()
            },
            prefill_share=self._prefill_share,
        )

    async def _follow_up(self, order: _base.RoleOrder) -> None:
        if not self._term.is_held:
            await self._claim()
            return
        now = self._reactor.seconds()
        if self._may_order_at is None or now < self._may_order_at:
            return
        number = await self._term.write()
        self._pending[order.engine] = _Pending(
            role=order.role, until=now + _PENDING_S
        )
        if self._reactor.seconds() - now > _CONFIRMED_S:
            # The term may have been lost again meanwhile.
            return
        accepted = await self._send_order(order, number)
        order.engine.role_change_until = now + _PENDING_S
        _LOG.info(
            "roles: engine %s is to be %s: %s.",
            order.engine.name,
            order.role.value,
            "accepted" if accepted else "not accepted",
            extra={"endpoint": order.engine.name, "fencing": number},
        )

    async def _claim(self) -> None:
        await self._term.read()
        now = self._reactor.seconds()
        holder = self._term.holder
        if holder == self._name:
            # Held since before a restart; its orders may be on their way.
            self._may_order_at = now + self._term_s + _TAKEOVER_MARGIN_S
            return
        if holder is not None:
            if holder in self._list_peers():
                self._holder_seen_at = now
            if now - self._holder_seen_at < _HOLDER_SILENCE_S:
                return
        try:
            await self._term.write()
        except stores.StoreError as reason:
            if _term.is_conflict(reason):
                self._holder_seen_at = now
                return
            raise
        wait_s = 0.0 if holder is None else self._term_s + _TAKEOVER_MARGIN_S
        self._may_order_at = now + wait_s
        _LOG.info(
            "roles: gateway %s gives the orders from now on.",
            self._name,
            extra={"former": holder, "waits_s": wait_s},
        )

    def _note_end(self, reason) -> None:
        if not reason.check(defer.CancelledError):
            _LOG.critical(
                "roles: no orders any more: %s", reason.getTraceback()
            )
