"""Measures decode steps by the events of a stream."""

from sassafrasstile.speeds import _base

# A measurement spans this many events: single ones arrive in groups where the
# receiver is busy.
_EVENTS = 12


class StepMeter:
    """Measures how long an engine's decode steps take.

    Args:
        tokens_per_event: Steps in one event.

    >>> meter = StepMeter(tokens_per_event=2)
    >>> observations = [
    ...     meter.record_event(0.1 * number, in_flight=3)
    ...     for number in range(14)]
    >>> [round(item.seconds, 3) for item in observations if item]
    [0.05]
    """

    def __init__(self, *, tokens_per_event: int):
        self._tokens_per_event = tokens_per_event
        self._began_at: float | None = None
        self._events = 0
        self._in_flight = 0

    def restart(self) -> None:
        """Forgets the events so far, after a time without reading any."""
        self._began_at, self._events, self._in_flight = None, 0, 0

    def record_event(
        self, now: float, *, in_flight: int
    ) -> _base.Observation | None:
        """Records an event.

        Args:
            now: When it arrived, in seconds.
            in_flight: Requests in flight at the engine.

        Returns:
            A measurement, after enough events.
        """
        if self._began_at is None:
            self._began_at = now
            return None
        self._events += 1
        self._in_flight += in_flight
        if self._events < _EVENTS:
            return None
        observation = _base.Observation(
            kind=_base.Kind.STEP,
            work=self._in_flight / self._events,
            seconds=(now - self._began_at)
            / (self._events * self._tokens_per_event),
        )
        self._began_at, self._events, self._in_flight = now, 0, 0
        return observation
