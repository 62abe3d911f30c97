"""Generations over separate prefill and decode engines."""

import logging

from sassafrasstile import dispatch
from sassafrasstile import errors
from sassafrasstile import verdicts
from sassafrasstile import web
from sassafrasstile.forwarding import _admission
from sassafrasstile.forwarding import _answers
from sassafrasstile.forwarding import _attempts
from sassafrasstile.forwarding import _base
from sassafrasstile.forwarding import _context
from sassafrasstile.forwarding import _prefills
from sassafrasstile.forwarding import _retries
from sassafrasstile.forwarding import _streams
from sassafrasstile.forwarding import _task

_LOG = logging.getLogger("sassafrasstile.forwarding")
# A resumable generation without a first token goes elsewhere after this
# share of its time.
_FIRST_TOKEN_PATIENCE_SHARE = 0.15
_NO_ENDPOINT_RETRY_S = 0.5
# With this share of its memory in use, an engine may well be full.
_FULL_SHARE = 0.85


class GenerationForwarder:
    """Runs a prefill at one engine and the decode at another.

    Args:
        context: What the router shares.
    """

    def __init__(self, *, context: _context.ForwardingContext):
        self._context = context
        self._prefills = _prefills.PrefillRunner(context=context)
        self._streams = _streams.StreamForwarder(context=context)
        self.admission = _admission.AdmissionController(context=context)

    async def forward(self, task: _task.RequestTask) -> None:
        """Answers a generation request."""
        progress = _streams.Progress(last_event_id=task.details.last_event_id)
        try:
            verdict = await self._try_until_done(task, progress)
        finally:
            self._drop_handle(progress)
        if verdict is not None:
            final = task.decide_verdict(
                verdict.code, retry_after_s=_NO_ENDPOINT_RETRY_S
            )
            _answers.fail_task(self._context, task, final)

    async def _try_until_done(
        self, task: _task.RequestTask, progress: _streams.Progress
    ) -> verdicts.Verdict | None:
        """Sends it until it is answered or may not be sent again.

        Returns:
            None when the caller has its whole answer, else what is proved
            of the last send.
        """
        while True:
            grant = await self.admission.acquire(
                task,
                handle=progress.handle,
                is_resumed=progress.events > 0,
            )
            if grant is None:
                return verdicts.NotRun(code=errors.Code.NO_CAPACITY)
            try:
                verdict = await self._run_at(task, grant, progress)
            finally:
                self.admission.release(grant)
            if verdict is None:
                return None
            if not _retries.may_send_again(self._context, task, verdict):
                return verdict

    async def _run_at(
        self,
        task: _task.RequestTask,
        grant: dispatch.Grant,
        progress: _streams.Progress,
    ) -> verdicts.Verdict | None:
        """Has it run by the engines that have room for it."""
        refusal = await self._prepare(task, grant, progress)
        if refusal is not None:
            return refusal
        return await self._send(task, grant, progress)

    async def _prepare(
        self,
        task: _task.RequestTask,
        grant: dispatch.Grant,
        progress: _streams.Progress,
    ) -> verdicts.NotRun | None:
        """Has its prompt read, where a prefill engine is to do that.

        Returns:
            None when it can be sent to the decode engine.
        """
        if grant.prefill is not None and progress.handle is not None:
            # It waited for room for longer than its prompt was kept.
            self._drop_handle(progress)
            if not _retries.may_prefill_again(self._context, task):
                return verdicts.NotRun(code=errors.Code.HANDLE_EXPIRED)
        if grant.reads_apart and not progress.events:
            progress.handle = await self._prefills.run(task, grant.prefill)
            self.admission.release_prefill(grant)
            if progress.handle is not None:
                self.admission.confirm(task, grant)
            elif not self._may_go_on(grant):
                return verdicts.NotRun(code=errors.Code.PREFILL_FAILED)
        if not grant.decode.takes_work:
            # It began to leave during the prefill; nothing was sent.
            return verdicts.NotRun(code=errors.Code.LEAVING)
        return None

    async def _send(
        self,
        task: _task.RequestTask,
        grant: dispatch.Grant,
        progress: _streams.Progress,
    ) -> verdicts.Verdict | None:
        """Sends it to the decode engine and passes the answer on."""
        context = self._context
        engine = grant.decode
        remaining_s = task.deadline - context.now()
        outgoing = context.codec.encode_run(
            task.request,
            record=engine.record,
            remaining_s=remaining_s,
            priority=task.route.priority,
            handle=progress.handle,
            last_event_id=progress.last_event_id if progress.events else None,
        )
        timeout_s = self._choose_patience(task, remaining_s)
        task.record_send(engine)
        attempt = _attempts.Attempt(
            context=context,
            endpoint=engine,
            request_id=task.request_id,
            number=task.sends,
        )
        try:
            result = await attempt.start(outgoing, timeout_s=timeout_s)
            if isinstance(result, _attempts.Answered):
                # The engine has taken the handle.
                progress.handle = None
                engine.note_acceptance()
                self.admission.release_prefill(grant)
                if result.kind is not _base.AnswerKind.SUCCESS:
                    return await self._pass_failure(task, attempt, result)
                return await self._streams.pass_on(
                    task, attempt, result, progress, grant
                )
        finally:
            attempt.close()
        if isinstance(result, verdicts.NotRun):
            task.record_not_run(engine)
            self._judge_refusal(task, engine, progress)
        return result

    def _may_go_on(self, grant: dispatch.Grant) -> bool:
        """Says whether the decode engine may do without a prefill."""
        return self._context.placement.may_read_itself(grant.decode, grant.size)

    def _judge_refusal(
        self,
        task: _task.RequestTask,
        engine: dispatch.Endpoint,
        progress: _streams.Progress,
    ) -> None:
        """Learns whether the engine was full or the handle was gone."""
        now = self._context.now()
        capacity = task.service.engine.capacity_tokens
        used = engine.total_reserved_tokens / capacity
        handle = progress.handle
        engine.note_refusal(now)
        if handle is None or used >= _FULL_SHARE:
            return
        progress.unexplained_refusals += 1
        if progress.unexplained_refusals <= 1:
            return
        # There was room at two engines: it is the handle that is gone.
        handle.endpoint.health.note_failure(now)
        self._drop_handle(progress)

    def _drop_handle(self, progress: _streams.Progress) -> None:
        handle, progress.handle = progress.handle, None
        if handle is not None:
            self._prefills.release(handle)

    def _choose_patience(
        self, task: _task.RequestTask, remaining_s: float
    ) -> float:
        if _retries.is_last_send(task):
            return remaining_s
        timeout_s = _FIRST_TOKEN_PATIENCE_SHARE * task.route.timeout_s
        return min(remaining_s, timeout_s)

    async def _pass_failure(
        self,
        task: _task.RequestTask,
        attempt: _attempts.Attempt,
        answered: _attempts.Answered,
    ) -> verdicts.Verdict | None:
        """Passes an engine's own failure on, or leaves it to a retry."""
        attempt.record_failure()
        try:
            body = await answered.reply.read_body()
        except web.ExchangeError as reason:
            return verdicts.MayHaveRun(code=reason.code)
        if _retries.may_run_elsewhere(task) or task.exchange.began:
            return verdicts.MayHaveRun(code=errors.Code.ENGINE_FAILED)
        task.outcome = f"answered {answered.head.status}"
        task.exchange.respond(
            status=answered.head.status,
            headers=web.drop_hop_headers(answered.head.headers),
            body=body,
        )
        return None
