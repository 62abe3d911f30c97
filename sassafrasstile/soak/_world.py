"""The virtual clock, and processes that can be started, paused and killed."""

from collections.abc import Callable
import heapq
import itertools
import random


class World:
    """Runs events in virtual time, in an order that only the seed decides.

    Args:
        seed: Seeds the random generators of a run.

    Attributes:
        seed: The seed.
        generator: The random generator.
        now: The current virtual time, in seconds.
        trace: Lines of the trace.
        is_tracing: Whether trace lines are kept.
    """

    def __init__(self, *, seed: int):
        self.seed = seed
        self.generator = random.Random(seed)
        self.now = 0.0
        self.trace: list[str] = []
        self.is_tracing = False
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._serials = itertools.count()

    def call_later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedules an action."""
        heapq.heappush(
            self._events,
            (self.now + delay_s, next(self._serials), action),
        )

    def run_until(self, end: float) -> None:
        """Runs every event up to a time."""
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def add_trace_line(self, line: str) -> None:
        """Adds a line to the trace, if tracing is on."""
        if self.is_tracing:
            self.trace.append(f"{self.now:9.3f} {line}")


class Node:
    """A process that can be killed and paused.

    A pause models a suspension of the process.
    Deliveries to a paused process are queued and handled in order once it
    resumes. Deliveries to a dead process are lost.

    Args:
        world: The world.
        name: The process's name.

    Attributes:
        world: The world.
        name: The process's name.
        incarnation: Number of starts so far; identifies the current one.
        is_alive: True between a start and a kill.
        paused_until: Time at which the latest pause ends.
        resumed_at: Time at which the process last resumed after a pause.
    """

    def __init__(self, *, world: World, name: str):
        self.world = world
        self.name = name
        self.incarnation = 0
        self.is_alive = False
        self.paused_until = 0.0
        self.resumed_at = 0.0
        self._waiting: list[tuple[int, Callable[[], None]]] = []

    @property
    def is_paused(self) -> bool:
        """True while the process is paused."""
        return self.world.now < self.paused_until

    def begin_incarnation(self) -> None:
        """Starts a new incarnation of the process."""
        self.incarnation += 1
        self.is_alive = True
        self.paused_until = 0.0
        self._waiting.clear()

    def end_incarnation(self) -> None:
        """Kills the process and drops the queued deliveries."""
        self.is_alive = False
        self._waiting.clear()

    def pause(self, duration_s: float) -> None:
        """Pauses the process for a time."""
        if not self.is_alive or self.is_paused:
            return
        self.world.add_trace_line(
            f"{self.name} is paused for {duration_s:.1f} s"
        )
        self.paused_until = self.world.now + duration_s
        self.world.call_later(duration_s, self._resume)

    def _resume(self) -> None:
        if not self.is_alive or self.is_paused:
            return
        self.resumed_at = self.world.now
        waiting = self._waiting
        self._waiting = []
        for incarnation, action in waiting:
            if self.is_alive and incarnation == self.incarnation:
                action()

    def deliver(self, incarnation: int, action: Callable[[], None]) -> None:
        """Runs an action in the process, if the incarnation is still current.

        Args:
            incarnation: The incarnation to which the action belongs.
            action: The action; queued while the process is paused.
        """
        if not self.is_alive or incarnation != self.incarnation:
            return
        if self.is_paused:
            self._waiting.append((incarnation, action))
            return
        action()

    def repeat(self, period_s: float, action: Callable[[], None]) -> None:
        """Calls an action periodically during the current incarnation."""
        incarnation = self.incarnation

        def run_and_repeat():
            if not self.is_alive or incarnation != self.incarnation:
                return
            if not self.is_paused:
                action()
            self.world.call_later(period_s, run_and_repeat)

        self.world.call_later(
            period_s * self.world.generator.random(), run_and_repeat
        )
