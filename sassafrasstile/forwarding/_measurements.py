"""Measures how long endpoints take, for what is learned about their speeds."""

import dataclasses

from sassafrasstile import dispatch
from sassafrasstile import speeds
from sassafrasstile.forwarding import _context


@dataclasses.dataclass(frozen=True, kw_only=True)
class WorkTimer:
    """Measures one piece of work of an endpoint.

    Attributes:
        context: State shared by the parts of the router.
        endpoint: The endpoint.
        kind: The kind of work.
        work: The amount of work, in the unit of its kind.
        began_at: When it began, in seconds.
    """

    context: _context.ForwardingContext
    endpoint: dispatch.Endpoint
    kind: speeds.Kind
    work: float
    began_at: float

    def record_end(self) -> None:
        """Records that the work has ended well."""
        now = self.context.now()
        observation = speeds.Observation(
            kind=self.kind, work=self.work, seconds=now - self.began_at
        )
        self.context.speed_sharing.record(self.endpoint, observation, now)


def time_call(
    context: _context.ForwardingContext, endpoint: dispatch.Endpoint
) -> WorkTimer:
    """Starts to measure a call.

    Args:
        context: State shared by the parts of the router.
        endpoint: The endpoint. Its load includes this call.
    """
    load = endpoint.total_in_flight / max(1, endpoint.record.slots)
    return WorkTimer(
        context=context,
        endpoint=endpoint,
        kind=speeds.Kind.CALL,
        work=max(1.0, load),
        began_at=context.now(),
    )


def time_prefill(
    context: _context.ForwardingContext, engine: dispatch.Endpoint
) -> WorkTimer:
    """Starts to measure a prefill.

    Args:
        context: State shared by the parts of the router.
        engine: The prefill engine. Its load includes this prompt.
    """
    return WorkTimer(
        context=context,
        endpoint=engine,
        kind=speeds.Kind.PREFILL,
        work=engine.total_prefill_tokens,
        began_at=context.now(),
    )


def time_local_prefill(
    context: _context.ForwardingContext,
    engine: dispatch.Endpoint,
    size: dispatch.WorkSize,
) -> WorkTimer:
    """Starts to measure the time to the first event of a local prefill.

    Args:
        context: State shared by the parts of the router.
        engine: The decode engine.
        size: The size of the generation.
    """
    return WorkTimer(
        context=context,
        endpoint=engine,
        kind=speeds.Kind.LOCAL_PREFILL,
        work=size.prompt_tokens,
        began_at=context.now(),
    )


def time_admission(
    context: _context.ForwardingContext,
    engine: dispatch.Endpoint,
    *,
    prefill_work: float,
    granted_at: float,
) -> WorkTimer:
    """Measures the time from an admission to the first event.

    Args:
        context: State shared by the parts of the router.
        engine: The decode engine.
        prefill_work: Prompt tokens of the prefill engine's queue, its own
            included.
        granted_at: When its engines were granted, in seconds.
    """
    return WorkTimer(
        context=context,
        endpoint=engine,
        kind=speeds.Kind.ADMISSION,
        work=prefill_work,
        began_at=granted_at,
    )


class StreamMeter:
    """Measures the decode steps of an engine by one of its streams.

    Args:
        context: State shared by the parts of the router.
        engine: The decode engine.
        tokens_per_event: Steps in one event.
        start: Measures the time to the first event, or None for a stream that
            goes on.
    """

    def __init__(
        self,
        *,
        context: _context.ForwardingContext,
        engine: dispatch.Endpoint,
        tokens_per_event: int,
        start: WorkTimer | None,
    ):
        self._context = context
        self._engine = engine
        self._start = start
        self._steps = speeds.StepMeter(tokens_per_event=tokens_per_event)
        self._paused_at = 0.0

    def record_event(self, now: float) -> None:
        """Records that an event has arrived."""
        start, self._start = self._start, None
        if start is not None:
            start.record_end()
        observation = self._steps.record_event(
            now, in_flight=self._engine.total_in_flight
        )
        if observation is not None:
            self._context.speed_sharing.record(self._engine, observation, now)

    def pause(self, now: float) -> None:
        """Records that nothing is read until the caller has read more."""
        self._paused_at = now

    def resume(self, now: float) -> None:
        """Records that events are read again.

        A caller that reads slowly mustn't make its engine look slow.
        """
        if now > self._paused_at:
            self._steps.restart()
