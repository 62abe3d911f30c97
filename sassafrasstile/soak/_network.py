"""Links between gateways and sidecars, with delays, duplicates and breaks."""

from collections.abc import Callable
import dataclasses

from sassafrasstile import messages
from sassafrasstile.soak import _world

_DELAY_S = (0.0003, 0.002)
_RECONNECT_S = 0.2
_BREAK_DETECTION_S = (0.0, 0.05)


@dataclasses.dataclass(kw_only=True)
class NetworkFaults:
    """The current faults of the network.

    Attributes:
        duplicate_share: Share of batches that are delivered twice.
        delayed_share: Share of batches that are delayed and may be reordered.
        max_delay_s: Maximum delay of these and of duplicates, in seconds.
    """

    duplicate_share: float = 0.0
    delayed_share: float = 0.0
    max_delay_s: float = 1.0


class Link:
    """The link between one gateway and one sidecar.

    Args:
        world: The world.
        gateway: The gateway's node.
        sidecar: The sidecar's node.
        network_faults: The current faults of the network.
    """

    def __init__(
        self, *, world: _world.World, gateway, sidecar, network_faults
    ):
        self.world = world
        self.gateway = gateway
        self.sidecar = sidecar
        self.network_faults = network_faults
        self.cut_until = 0.0
        self._session = 0
        self._incarnations = (0, 0)
        self._is_up = False
        self._outgoing: list[messages.Message] = []
        self._incoming: list[messages.Message] = []

    @property
    def is_up(self) -> bool:
        """True while the link carries batches."""
        return self._is_up

    def _can_connect(self) -> bool:
        return (
            self.world.now >= self.cut_until
            and self.gateway.is_alive
            and self.sidecar.is_alive
            and not self.gateway.is_paused
            and not self.sidecar.is_paused
        )

    def try_connect(self) -> None:
        """Opens the link if it isn't cut and both ends are running."""
        if self._is_up or not self._can_connect():
            return
        self._session += 1
        self._is_up = True
        self._incarnations = (
            self.gateway.incarnation,
            self.sidecar.incarnation,
        )
        self._outgoing.clear()
        self._incoming.clear()
        self.gateway.deliver(
            self._incarnations[0],
            lambda: self.gateway.connect(self.sidecar.name),
        )

    def reset(self) -> None:
        """Breaks the link and drops batches in flight; reconnects later."""
        if not self._is_up:
            return
        self._is_up = False
        self._session += 1
        incarnations = self._incarnations
        delay_s = self.world.generator.uniform(*_BREAK_DETECTION_S)
        self.world.call_later(
            delay_s, lambda: self._notify_gateway(incarnations[0])
        )

    def _notify_gateway(self, incarnation: int) -> None:
        self.gateway.deliver(
            incarnation, lambda: self.gateway.disconnect(self.sidecar.name)
        )
        self.world.call_later(_RECONNECT_S, self.try_connect)

    def cut(self, duration_s: float) -> None:
        """Breaks the link and prevents it from reopening for a time."""
        self.cut_until = self.world.now + duration_s
        self.reset()
        self.world.call_later(duration_s, self.try_connect)

    def send_to_sidecar(self, message: messages.Message) -> None:
        """Adds a message to the gateway's next batch."""
        if not self._is_up or self.gateway.incarnation != self._incarnations[0]:
            return
        if not self._outgoing:
            self.world.call_later(0.0, self._flush_outgoing)
        self._outgoing.append(message)

    def send_to_gateway(self, message: messages.Message) -> None:
        """Adds a message to the sidecar's next batch."""
        if not self._is_up or self.sidecar.incarnation != self._incarnations[1]:
            return
        if not self._incoming:
            self.world.call_later(0.0, self._flush_incoming)
        self._incoming.append(message)

    def _flush_outgoing(self) -> None:
        ready = tuple(self._outgoing)
        self._outgoing.clear()
        if not ready or not self._is_up:
            return
        batch = self.gateway.make_batch(self.sidecar.name, ready)
        incarnation = self._incarnations[1]
        self._transmit(
            lambda: self.sidecar.deliver(
                incarnation, lambda: self.sidecar.receive(batch)
            )
        )

    def _flush_incoming(self) -> None:
        ready = tuple(self._incoming)
        self._incoming.clear()
        if not ready or not self._is_up:
            return
        batch = self.sidecar.make_batch(ready)
        incarnation = self._incarnations[0]
        name = self.sidecar.name
        self._transmit(
            lambda: self.gateway.deliver(
                incarnation, lambda: self.gateway.receive(name, batch)
            )
        )

    def _transmit(self, arrive: Callable[[], None]) -> None:
        generator = self.world.generator
        session = self._session

        def arrive_if_connected():
            if self._session == session:
                arrive()

        delay_s = generator.uniform(*_DELAY_S)
        if generator.random() < self.network_faults.delayed_share:
            delay_s += generator.uniform(0.0, self.network_faults.max_delay_s)
        self.world.call_later(delay_s, arrive_if_connected)
        if generator.random() < self.network_faults.duplicate_share:
            extra_s = generator.uniform(0.0, self.network_faults.max_delay_s)
            self.world.call_later(delay_s + extra_s, arrive_if_connected)
