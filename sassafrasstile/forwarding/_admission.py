"""Waits for room at engines."""

import logging

from twisted.internet import defer
from twisted.internet import task as tasks

from sassafrasstile import dispatch
from sassafrasstile.forwarding import _base
from sassafrasstile.forwarding import _context
from sassafrasstile.forwarding import _task

_LOG = logging.getLogger("sassafrasstile.forwarding")
# A generation waits for this many targets; then its caller is better off
# with a refusal, while there is time to come back.
_WAIT_TARGETS = 2.0
# ... but one that was sent already waits at least so long again.
_LEAST_WAIT_S = 0.4
# Other gateways that took the same room are heard of within this time.
_SETTLE_S = 0.012
# One whose caller has a part of the answer waits as long as callers may.
_RESUMED_WAIT_S = 2.0


class AdmissionController:
    """Lets generations wait until there is room for them.

    Args:
        context: What the router shares.
    """

    def __init__(self, *, context: _context.ForwardingContext):
        self._context = context
        self._queue = dispatch.GenerationQueue(placement=context.placement)
        self._waiting: dict[dispatch.Waiter, defer.Deferred] = {}

    @property
    def queued(self) -> int:
        """Generations that wait."""
        return len(self._queue)

    async def acquire(
        self,
        task: _task.RequestTask,
        *,
        handle: _base.KvHandle | None = None,
        is_resumed: bool = False,
    ) -> dispatch.Grant | None:
        """Waits for room and reserves it.

        Args:
            task: The request.
            handle: Its prompt, read already, or None.
            is_resumed: True when its caller has a part of the answer.

        Returns:
            The room, or None when there won't be any in time.
        """
        while True:
            grant = await self._wait(task, handle, is_resumed)
            if grant is None or await self._settle(task, grant):
                return grant

    async def _settle(
        self, task: _task.RequestTask, grant: dispatch.Grant
    ) -> bool:
        """Hears whether others took the same room, before it is used.

        Returns:
            False when the room was left to another gateway.
        """
        placement = self._context.placement
        if not placement.is_contested(grant, service=task.service):
            return True
        granted_at = self._context.now()
        try:
            await tasks.deferLater(self._context.reactor, _SETTLE_S)
        except defer.CancelledError:
            self.release(grant)
            raise
        if not placement.has_lost(
            grant, service=task.service, granted_at=granted_at
        ):
            return True
        _LOG.info(
            "room: request %s leaves room at %s to another gateway.",
            task.request_id,
            grant.decode.name,
            extra={
                "request": task.request_id,
                "endpoint": grant.decode.name,
                "reserved_tokens": grant.decode.total_reserved_tokens,
            },
        )
        self.release(grant)
        return False

    async def _wait(
        self,
        task: _task.RequestTask,
        handle: _base.KvHandle | None,
        is_resumed: bool,
    ) -> dispatch.Grant | None:
        if not self._context.placement.has_decode_engine(task.service.name):
            return None
        target_s = task.route.target_s
        received_at = task.request.received_at
        waiter = self._queue.add(
            service=task.service,
            size=task.size,
            target_at=received_at + target_s,
            give_up_at=max(
                received_at + _WAIT_TARGETS * target_s,
                self._context.now()
                + (_RESUMED_WAIT_S if is_resumed else _LEAST_WAIT_S),
            ),
            arrived_at=received_at,
            priority=task.route.priority,
            read_until=handle.expires_at if handle else None,
            is_resumed=is_resumed,
            excluded=tuple(task.may_have_run),
        )
        answered: defer.Deferred = defer.Deferred()
        self._waiting[waiter] = answered
        self.admit()
        try:
            grant = await answered
        finally:
            self._waiting.pop(waiter, None)
            self._queue.remove(waiter)
        self._log(task, grant)
        return grant

    def confirm(self, task: _task.RequestTask, grant: dispatch.Grant) -> None:
        """Takes room elsewhere if what was granted is doubtful by now.

        Args:
            task: The request.
            grant: Its room, once its prompt has been read elsewhere.
        """
        doubtful = grant.decode
        engine = self._context.placement.choose_instead(
            grant,
            service=task.service,
            now=self._context.now(),
            excluded=tuple(task.may_have_run),
        )
        if engine is None:
            return
        _LOG.info(
            "room: request %s goes to %s instead.",
            task.request_id,
            engine.name,
            extra={
                "request": task.request_id,
                "endpoint": engine.name,
                "reserved_tokens": engine.total_reserved_tokens,
                "doubtful": doubtful.name,
                "doubtful_reserved_tokens": doubtful.total_reserved_tokens,
            },
        )
        grant.move(engine)
        self._context.announce()

    def release(self, grant: dispatch.Grant) -> None:
        """Gives room back."""
        grant.release()
        self.admit()

    def release_prefill(self, grant: dispatch.Grant) -> None:
        """Gives the prefill engine back."""
        grant.release_prefill()
        self.admit()

    def admit(self) -> None:
        """Answers those for whom there is room now, or never will be."""
        now = self._context.now()
        admitted = self._queue.admit(now)
        if admitted:
            self._context.announce()
        for waiter in [*admitted, *self._queue.expire(now)]:
            answered = self._waiting.pop(waiter, None)
            if answered is not None:
                answered.callback(waiter.grant)
            elif waiter.grant is not None:
                waiter.grant.release()

    def _log(
        self, task: _task.RequestTask, grant: dispatch.Grant | None
    ) -> None:
        now = self._context.now()
        waited_s = now - task.request.received_at
        fields = {
            "request": task.request_id,
            "prompt_tokens": task.size.prompt_tokens,
            "output_tokens": task.size.output_tokens,
            "queued": len(self._queue),
            "waited_ms": round(waited_s * 1000),
        }
        if grant is None:
            _LOG.info(
                "room: request %s has none.", task.request_id, extra=fields
            )
            return
        engine = grant.decode
        fields["endpoint"] = engine.name
        fields["reserved_tokens"] = engine.total_reserved_tokens
        fields["in_flight"] = engine.total_in_flight
        if grant.prefill is not None:
            fields["prefill"] = grant.prefill.name
            fields["prefill_tokens"] = grant.prefill.total_prefill_tokens
        _LOG.info(
            "room: request %s has room at %s.",
            task.request_id,
            engine.name,
            extra=fields,
        )
