"""Gateways of the soak."""

import random

from sassafrasstile import gateway
from sassafrasstile import messages
from sassafrasstile import plugins
from sassafrasstile.soak import _world

_TICK_INTERVAL_S = 0.05


class GatewayNode(_world.Node):
    """A gateway process.

    Args:
        world: The world.
        name: The gateway's name.
        report: The report to which violations are added.
        settings: The gateway's settings.
        make_endpoints: Returns the configured endpoints.
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
        """Starts the process unless it is running."""
        if not self.is_alive:
            self.world.add_trace_line(f"{self.name} starts")
            self.start()

    def kill(self) -> None:
        """Kills the process and breaks its links and connections."""
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
        """Drains the gateway and restarts it once it is idle.

        Callers choose no gateway that is draining.
        """
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

    # Requests of callers.

    def submit(self, request, exchange) -> None:
        """Submits a request to the kernel."""
        self.exchanges[request.request_id] = exchange
        if isinstance(request, gateway.GenerationRequest):
            effects = self.kernel.submit(request, self.world.now)
        else:
            effects = self.kernel.submit_call(request, self.world.now)
        self.apply(effects)

    def cancel(self, request_id: str, exchange) -> None:
        """Cancels a request, unless a newer exchange has replaced this one."""
        if self.exchanges.get(request_id) is not exchange:
            return
        del self.exchanges[request_id]
        self.apply(self.kernel.cancel(request_id, self.world.now))

    # Links to sidecars.

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
        """Handles the opening of a link."""
        self.apply(self.kernel.connect(peer, self.world.now))

    def disconnect(self, peer: str) -> None:
        """Handles the loss of a link."""
        self.apply(self.kernel.disconnect(peer, self.world.now))

    def receive(self, peer: str, batch: messages.Batch) -> None:
        """Handles a batch."""
        self.apply(self.kernel.receive(peer, batch, self.world.now))

    def apply(self, effects: list[gateway.Effect]) -> None:
        """Executes effects of the kernel."""
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
