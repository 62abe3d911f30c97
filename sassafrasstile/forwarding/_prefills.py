"""Prefills at dedicated prefill engines."""

import logging

from sassafrasstile import dispatch
from sassafrasstile import errors
from sassafrasstile import verdicts
from sassafrasstile import web
from sassafrasstile.forwarding import _attempts
from sassafrasstile.forwarding import _base
from sassafrasstile.forwarding import _context
from sassafrasstile.forwarding import _control_calls
from sassafrasstile.forwarding import _measurements
from sassafrasstile.forwarding import _retries
from sassafrasstile.forwarding import _sends
from sassafrasstile.forwarding import _task

_LOG = logging.getLogger("sassafrasstile.forwarding")
# A prefill times out after the longer of two times: this share of the
# first-token target,
_TIMEOUT_TARGET_SHARE = 0.7
# and this many times the engine's average latency.
_TIMEOUT_LATENCIES = 4.0
# At an engine that is slow but still responsive, a prefill times out after
# this many first-token targets.
_MAX_TIMEOUT_TARGETS = 2.0
_RELEASE_TIMEOUT_S = 1.0
# Time for the answer to arrive, and for the request that uses the handle.
_HANDLE_MARGIN_S = 0.05
# Used where the configuration doesn't set how long a handle is kept.
_DEFAULT_HANDLE_TTL_S = 0.5


class PrefillRunner:
    """Runs prefills at prefill engines and releases unused handles.

    Args:
        context: State shared by the parts of the router.
    """

    def __init__(self, *, context: _context.ForwardingContext):
        self._context = context

    async def run(
        self, task: _task.RequestTask, engine: dispatch.Endpoint
    ) -> _base.KvHandle | None:
        """Runs the prefill of a request.

        Args:
            task: The request.
            engine: The prefill engine.

        Returns:
            The handle, or None when the prefill failed, so that the decode
            engine has to prefill the prompt.
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
            priority=task.priority,
            access=task.access,
        )
        attempt = _attempts.Attempt(
            context=context,
            endpoint=engine,
            request_id=task.request_id,
            number=0,
        )
        timer = _measurements.time_prefill(context, engine)
        task.prefill_work = timer.work
        try:
            result = await attempt.start(
                outgoing,
                timeout_s=self._choose_timeout(task, engine, remaining_s),
                max_timeout_s=min(
                    remaining_s, _MAX_TIMEOUT_TARGETS * task.route.target_s
                ),
            )
            if isinstance(result, verdicts.NotRun):
                self._record_refusal(task, engine, result)
            if not isinstance(result, _attempts.Answered):
                return None
            engine.record_acceptance()
            return await self._read_handle(task, attempt, result, timer)
        finally:
            attempt.close()

    def _record_refusal(
        self,
        task: _task.RequestTask,
        engine: dispatch.Endpoint,
        verdict: verdicts.NotRun,
    ) -> None:
        """Records that an engine is full, changes its role or is gone."""
        context = self._context
        if _sends.is_denial(verdict):
            task.prefill_attempts -= 1
            return
        engine.record_refusal(context.now())
        if _retries.counts_against_budget(verdict):
            context.get_budget(task.service.name).charge(context.now())

    def _choose_timeout(
        self,
        task: _task.RequestTask,
        engine: dispatch.Endpoint,
        remaining_s: float,
    ) -> float:
        usual_s = _TIMEOUT_LATENCIES * (engine.health.latency_s or 0.0)
        timeout_s = max(usual_s, _TIMEOUT_TARGET_SHARE * task.route.target_s)
        return min(remaining_s, timeout_s)

    async def _read_handle(
        self,
        task: _task.RequestTask,
        attempt: _attempts.Attempt,
        answered: _attempts.Answered,
        timer: _measurements.WorkTimer,
    ) -> _base.KvHandle | None:
        context = self._context
        try:
            body = await answered.reply.read_body(web.ReadKind.CONTROL)
            if answered.kind is not _base.AnswerKind.SUCCESS:
                raise errors.Error(
                    code=errors.Code.ENGINE_FAILED,
                    detail=f"prefill answered {answered.head.status}",
                )
            token = context.codec.decode_handle(body)
        except errors.Error as reason:
            _LOG.warning(
                "prefill: attempt at %s failed: %s.",
                attempt.endpoint.name,
                reason,
            )
            attempt.record_failure()
            return None
        now = context.now()
        attempt.record_success(now - attempt.began_at)
        timer.record_end()
        engine = task.service.engine
        ttl_s = engine.handle_ttl_s if engine else _DEFAULT_HANDLE_TTL_S
        return _base.KvHandle(
            endpoint=attempt.endpoint,
            token=token,
            expires_at=now + ttl_s - _HANDLE_MARGIN_S,
        )

    def release(self, handle: _base.KvHandle) -> None:
        """Releases a handle that no decode engine will use."""
        context = self._context
        outgoing = context.codec.encode_release(handle)

        def log_failure(reason):
            _LOG.info(
                "prefill: handle at %s not released: %s.",
                handle.endpoint.name,
                reason.getErrorMessage(),
            )

        context.metrics.handles_released.inc()
        releasing = _control_calls.call_endpoint(
            context,
            handle.endpoint,
            outgoing,
            timeout_s=_RELEASE_TIMEOUT_S,
            is_release=True,
        )
        releasing.addErrback(log_failure)
