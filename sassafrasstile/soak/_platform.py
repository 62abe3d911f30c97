"""Fakes of the platform's log and list of VMs, with faults."""

from collections.abc import Callable

from sassafrasstile import logs
from sassafrasstile import ownership
from sassafrasstile import standins
from sassafrasstile.soak import _world

_STREAM = "ownership.desk"
_READ_LIMIT = 500
_APPEND_DELAY_S = (0.002, 0.02)


class FakeLog:
    """The log, with outages, lost responses and delayed appends.

    Args:
        world: The world.
    """

    def __init__(self, *, world: _world.World):
        self.world = world
        self.model = standins.LogModel()
        self.lost_share = 0.0
        self.delayed_share = 0.0

    def append(self, body: bytes, on_end: Callable[[bool], None]) -> None:
        """Appends a record; the response may be lost after the append.

        Args:
            body: The record.
            on_end: Called with whether the append is known to have succeeded.
        """
        generator = self.world.generator
        delay_s = generator.uniform(*_APPEND_DELAY_S)
        if generator.random() < self.delayed_share:
            delay_s += generator.uniform(0.0, 4.0)
        is_lost = generator.random() < self.lost_share

        def take_effect():
            try:
                self.model.append(_STREAM, body, now=self.world.now)
            except standins.LogDownError:
                self.world.call_later(0.01, lambda: on_end(False))
                return
            answer_s = 2.0 if is_lost else generator.uniform(*_APPEND_DELAY_S)
            self.world.call_later(answer_s, lambda: on_end(not is_lost))

        self.world.call_later(delay_s, take_effect)

    def read(self, start: int) -> logs.LogPage | None:
        """Returns a page of records, or None during an outage."""
        try:
            first, after, records = self.model.read(
                _STREAM, start=start, limit=_READ_LIMIT, now=self.world.now
            )
        except standins.LogDownError:
            return None
        return logs.LogPage(
            first_offset=first,
            next_offset=after,
            entries=tuple(
                ownership.LogEntry(
                    offset=record.offset, at=record.at, body=record.body
                )
                for record in records
            ),
        )


class FakeVms:
    """The list of VMs, which shows changes after a delay.

    Args:
        world: The world.
        lag_s: Seconds until a change is visible.
    """

    def __init__(self, *, world: _world.World, lag_s: float = 2.0):
        self.world = world
        self.lag_s = lag_s
        self._visible: set[str] = set()

    def add(self, vm: str) -> None:
        """Adds a VM to the list after the lag."""
        self.world.call_later(self.lag_s, lambda: self._visible.add(vm))

    def remove(self, vm: str) -> None:
        """Removes a VM from the list after the lag."""
        self.world.call_later(self.lag_s, lambda: self._visible.discard(vm))

    def list_vms(self) -> frozenset[str]:
        """Returns the VMs that are currently visible."""
        return frozenset(self._visible)
