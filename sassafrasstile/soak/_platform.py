"""The platform's log and list of VMs, with their faults."""

from collections.abc import Callable

from sassafrasstile import logs
from sassafrasstile import ownership
from sassafrasstile import standins
from sassafrasstile.soak import _world

_STREAM = "ownership.desk"
_READ_LIMIT = 500
_APPEND_S = (0.002, 0.02)


class FakeLog:
    """The log, with outages, lost answers and late appends.

    Args:
        world: The world.
    """

    def __init__(self, *, world: _world.World):
        self.world = world
        self.model = standins.LogModel()
        self.lost_share = 0.0
        self.delayed_share = 0.0

    def append(self, body: bytes, on_end: Callable[[bool], None]) -> None:
        """Appends a record; the answer may be lost after it took effect."""
        generator = self.world.generator
        delay_s = generator.uniform(*_APPEND_S)
        if generator.random() < self.delayed_share:
            delay_s += generator.uniform(0.0, 4.0)
        is_lost = generator.random() < self.lost_share

        def take_effect():
            try:
                self.model.append(_STREAM, body, now=self.world.now)
            except standins.LogDownError:
                self.world.call_later(0.01, lambda: on_end(False))
                return
            answer_s = 2.0 if is_lost else generator.uniform(*_APPEND_S)
            self.world.call_later(answer_s, lambda: on_end(not is_lost))

        self.world.call_later(delay_s, take_effect)

    def read(self, start: int) -> logs.LogPage | None:
        """Reads a page, or returns None in an outage."""
        try:
            first, after, records = self.model.read(
                _STREAM, start=start, limit=_READ_LIMIT, now=self.world.now
            )
        except standins.LogDownError:
            return None
        return logs.LogPage(
            first=first,
            after=after,
            entries=tuple(
                ownership.LogEntry(
                    offset=record.offset, at=record.at, body=record.body
                )
                for record in records
            ),
        )


class FakeVms:
    """The list of VMs, which lags.

    Args:
        world: The world.
        lag_s: Seconds until a change shows.
    """

    def __init__(self, *, world: _world.World, lag_s: float = 2.0):
        self.world = world
        self.lag_s = lag_s
        self._visible: set[str] = set()

    def add(self, vm: str) -> None:
        """Notes a new VM."""
        self.world.call_later(self.lag_s, lambda: self._visible.add(vm))

    def remove(self, vm: str) -> None:
        """Notes that a VM is gone."""
        self.world.call_later(self.lag_s, lambda: self._visible.discard(vm))

    def list_vms(self) -> frozenset[str]:
        """Returns the VMs shown now."""
        return frozenset(self._visible)
