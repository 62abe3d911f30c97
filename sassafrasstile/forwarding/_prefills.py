"""Prefills at engines of their own."""

import logging

from sassafrasstile import dispatch
from sassafrasstile import errors
from sassafrasstile import verdicts
from sassafrasstile.forwarding import _attempts
from sassafrasstile.forwarding import _base
from sassafrasstile.forwarding import _context
from sassafrasstile.forwarding import _control_calls
from sassafrasstile.forwarding import _task

_LOG = logging.getLogger("sassafrasstile.forwarding")
# A prefill may take this share of the time to the first token's target ...
_PATIENCE_SHARE = 0.7
# ... and this many times its usual time.
_PATIENCE_LATENCIES = 4.0
# One that is behind, and not silent, may take this many targets.
_LONGEST_TARGETS = 2.0
_RELEASE_TIMEOUT_S = 1.0
# For the way of the answer, and of the request that takes the handle.
_HANDLE_MARGIN_S = 0.05
# Where the configuration doesn't say how long a handle is kept.
_LEAST_KEPT_S = 0.5


class PrefillRunner:
    """Has prompts read by prefill engines, and frees what isn't used.

    Args:
        context: What the router shares.
    """

    def __init__(self, *, context: _context.ForwardingContext):
        self._context = context

    async def run(
        self, task: _task.RequestTask, engine: dispatch.Endpoint
    ) -> _base.KvHandle | None:
        """Has a prompt read.

        Args:
            task: The request.
            engine: The prefill engine.

        Returns:
            The handle, or None when the decode engine has to read the
            prompt itself.
        """
        task.prefill_attempts += 1
        with _attempts.hold_slot(engine):
            return await self._send(task, engine)

    async def _send(
        self, task: _task.RequestTask, engine: dispatch.Endpoint
    ) -> _base.KvHandle | None:
        context = self._context
        remaining_s = task.deadline - context.now()
        outgoing = context.codec.encode_prefill(
            task.request,
            record=engine.record,
            remaining_s=remaining_s,
            priority=task.route.priority,
        )
        attempt = _attempts.Attempt(
            context=context,
            endpoint=engine,
            request_id=task.request_id,
            number=0,
        )
        try:
            result = await attempt.start(
                outgoing,
                timeout_s=self._choose_patience(task, engine, remaining_s),
                longest_s=min(
                    remaining_s, _LONGEST_TARGETS * task.route.target_s
                ),
            )
            if isinstance(result, verdicts.NotRun):
                # It is busy with an order, or full.
                engine.note_refusal(context.now())
            if not isinstance(result, _attempts.Answered):
                return None
            engine.note_acceptance()
            return await self._read_handle(task, attempt, result)
        finally:
            attempt.close()

    def _choose_patience(
        self,
        task: _task.RequestTask,
        engine: dispatch.Endpoint,
        remaining_s: float,
    ) -> float:
        usual_s = _PATIENCE_LATENCIES * (engine.health.latency_s or 0.0)
        timeout_s = max(usual_s, _PATIENCE_SHARE * task.route.target_s)
        return min(remaining_s, timeout_s)

    async def _read_handle(
        self,
        task: _task.RequestTask,
        attempt: _attempts.Attempt,
        answered: _attempts.Answered,
    ) -> _base.KvHandle | None:
        context = self._context
        try:
            body = await answered.reply.read_body()
            if answered.kind is not _base.AnswerKind.SUCCESS:
                raise errors.Error(
                    code=errors.Code.ENGINE_FAILED,
                    detail=f"prefill answered {answered.head.status}",
                )
            token = context.codec.decode_handle(body)
        except errors.Error as reason:
            _LOG.warning(
                "prefill: at %s failed: %s.", attempt.endpoint.name, reason
            )
            attempt.record_failure()
            return None
        now = context.now()
        attempt.record_success(now - attempt.began_at)
        engine = task.service.engine
        kept_s = engine.handle_ttl_s if engine else _LEAST_KEPT_S
        return _base.KvHandle(
            endpoint=attempt.endpoint,
            token=token,
            expires_at=now + kept_s - _HANDLE_MARGIN_S,
        )

    def release(self, handle: _base.KvHandle) -> None:
        """Frees a handle that nobody will take."""
        context = self._context
        outgoing = context.codec.encode_release(handle)

        def note(reason):
            _LOG.info(
                "prefill: handle at %s not freed: %s.",
                handle.endpoint.name,
                reason.getErrorMessage(),
            )

        context.metrics.handles_released.inc()
        releasing = _control_calls.call_endpoint(
            context, handle.endpoint, outgoing, timeout_s=_RELEASE_TIMEOUT_S
        )
        releasing.addErrback(note)
