"""Waits for room in decode engines."""

import logging

from twisted.internet import defer

from sassafrasstile import dispatch
from sassafrasstile.forwarding import _context
from sassafrasstile.forwarding import _task

_LOG = logging.getLogger("sassafrasstile.forwarding")


class RoomService:
    """Lets generations wait until a decode engine has room for them.

    Args:
        context: What the router shares.
    """

    def __init__(self, *, context: _context.ForwardingContext):
        self._context = context
        self._queue = dispatch.DecodeQueue(placement=context.placement)
        self._waiting: dict[dispatch.Waiter, defer.Deferred] = {}

    @property
    def queued(self) -> int:
        """Generations that wait."""
        return len(self._queue)

    async def acquire(
        self, task: _task.RequestTask
    ) -> dispatch.Endpoint | None:
        """Waits for room and reserves it.

        Returns:
            The engine, or None when the service has no decode engine.
        """
        if not self._context.placement.has_decode_engine(task.service.name):
            return None
        waiter = self._queue.add(
            service=task.service,
            size=task.size,
            target_at=task.request.received_at + task.route.target_s,
            excluded=tuple(task.may_have_run),
        )
        admitted: defer.Deferred = defer.Deferred()
        self._waiting[waiter] = admitted
        self.admit()
        began_at = self._context.now()
        try:
            engine = await admitted
            self._log(task, engine, began_at)
            return engine
        finally:
            self._waiting.pop(waiter, None)
            self._queue.remove(waiter)

    def _log(
        self,
        task: _task.RequestTask,
        engine: dispatch.Endpoint,
        began_at: float,
    ) -> None:
        _LOG.info(
            "room: request %s has room at %s.",
            task.request_id,
            engine.name,
            extra={
                "request": task.request_id,
                "endpoint": engine.name,
                "prompt_tokens": task.size.prompt_tokens,
                "output_tokens": task.size.output_tokens,
                "reserved_tokens": engine.total_reserved_tokens,
                "in_flight": engine.total_in_flight,
                "queued": len(self._queue),
                "waited_ms": round((self._context.now() - began_at) * 1000),
            },
        )

    def release(
        self, task: _task.RequestTask, engine: dispatch.Endpoint
    ) -> None:
        """Gives room back."""
        engine.release(task.size)
        self.admit()

    def admit(self) -> None:
        """Lets those go on for whom there is room now."""
        for waiter in self._queue.admit(self._context.now()):
            admitted = self._waiting.pop(waiter, None)
            if admitted is None:
                waiter.engine.release(waiter.size)
            else:
                admitted.callback(waiter.engine)
