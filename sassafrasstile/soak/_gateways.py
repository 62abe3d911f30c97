"""Gateways of the soak."""

import random

from sassafrasstile import gateway
from sassafrasstile import messages
from sassafrasstile import plugins
from sassafrasstile.soak import _world

_TICK_INTERVAL_S = 0.05


class GatewayNode(_world.Node):
    """A gateway.

    Args:
        world: The world.
        name: Its name.
        report: Where broken promises go.
        settings: The gateway's settings.
        make_endpoints: Returns the endpoints of the configuration.
        policy: The routing policy's name.
    """

    def __init__(
        self, *, world, name, report, settings, make_endpoints, policy
    ):
        super().__init__(world=world, name=name)
        self.report = report
        self.settings = settings
        self.policy = policy
        self.links: dict[str, object] = {}
        self.exchanges: dict[str, object] = {}
        self.connections: dict[object, None] = {}
        self.kernel: gateway.GatewayKernel | None = None
        self.is_draining = False
        self.has_drained = False
        self._make_endpoints = make_endpoints

    def start(self) -> None:
        """Starts a new incarnation."""
        self.begin_incarnation()
        self.is_draining = False
        self.has_drained = False
        self.exchanges = {}
        seed = self.world.generator.random()
        self.kernel = gateway.GatewayKernel(
            name=self.name,
            endpoints=self._make_endpoints(),
            policy=plugins.create(
                plugins.Kind.POLICY,
                self.policy,
                generator=random.Random(seed),
            ),
            settings=self.settings,
        )
        self.repeat(
            _TICK_INTERVAL_S,
            lambda: self.apply(self.kernel.tick(self.world.now)),
        )
        for link in self.links.values():
            link.try_connect()

    def start_if_dead(self) -> None:
        """Starts the process unless it runs."""
        if not self.is_alive:
            self.world.add_trace_line(f"{self.name} starts")
            self.start()

    def kill(self) -> None:
        """Kills the process; its callers' connections break."""
        if not self.is_alive:
            return
        self.end_incarnation()
        for link in self.links.values():
            link.reset()
        if self.has_drained and self.connections:
            self.report.record_violation("cut_off", f"{self.name} ends")
        connections = list(self.connections)
        self.connections.clear()
        self.exchanges = {}
        for exchange in connections:
            exchange.handle_gateway_loss()

    def drain(self) -> None:
        """Stops by plan: takes nothing new, ends once idle."""
        if not self.is_alive or self.is_paused or self.is_draining:
            return
        self.world.add_trace_line(f"{self.name} drains")
        self.is_draining = True
        incarnation = self.incarnation

        def check_idle():
            if not self.is_alive or self.incarnation != incarnation:
                return
            if self.connections or self.is_paused:
                self.world.call_later(0.2, check_idle)
                return
            self.world.add_trace_line(f"{self.name} has drained")
            self.has_drained = True
            self.kill()
            self.world.call_later(1.0, self.start_if_dead)

        self.world.call_later(0.2, check_idle)

    # The callers' side.

    def submit(self, request, exchange) -> None:
        """Takes a request."""
        self.exchanges[request.request_id] = exchange
        if isinstance(request, gateway.GenerationRequest):
            effects = self.kernel.submit(request, self.world.now)
        else:
            effects = self.kernel.submit_call(request, self.world.now)
        self.apply(effects)

    def cancel(self, request_id: str, exchange) -> None:
        """Notes that a caller's connection has closed."""
        if self.exchanges.get(request_id) is not exchange:
            return
        del self.exchanges[request_id]
        self.apply(self.kernel.cancel(request_id, self.world.now))

    # The links' side.

    def make_batch(
        self, peer: str, ready: tuple[messages.Message, ...]
    ) -> messages.Batch:
        """Returns a batch of messages."""
        return messages.Batch(
            sender=self.name,
            incarnation=f"{self.name}.{self.incarnation}",
            target=self.kernel.find_incarnation(peer),
            sent_at=self.world.now,
            messages=ready,
        )

    def connect(self, peer: str) -> None:
        """A link is up."""
        self.apply(self.kernel.connect(peer, self.world.now))

    def disconnect(self, peer: str) -> None:
        """A link has broken."""
        self.apply(self.kernel.disconnect(peer, self.world.now))

    def receive(self, peer: str, batch: messages.Batch) -> None:
        """Handles a batch."""
        self.apply(self.kernel.receive(peer, batch, self.world.now))

    def apply(self, effects: list[gateway.Effect]) -> None:
        """Carries out effects."""
        for effect in effects:
            match effect:
                case gateway.Send():
                    self.links[effect.peer].send_to_sidecar(effect.message)
                case gateway.Reconnect():
                    self.links[effect.peer].reset()
                case gateway.Deliver():
                    self.exchanges[effect.request_id].handle(effect)
                case _:
                    exchange = self.exchanges.pop(effect.request_id)
                    exchange.handle(effect)
