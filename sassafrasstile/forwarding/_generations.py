"""Generations on separate prefill and decode engines."""

import logging

from twisted.internet import defer

from sassafrasstile import dispatch
from sassafrasstile import errors
from sassafrasstile import verdicts
from sassafrasstile import web
from sassafrasstile.forwarding import _access
from sassafrasstile.forwarding import _admission
from sassafrasstile.forwarding import _answers
from sassafrasstile.forwarding import _attempts
from sassafrasstile.forwarding import _base
from sassafrasstile.forwarding import _context
from sassafrasstile.forwarding import _holds
from sassafrasstile.forwarding import _measurements
from sassafrasstile.forwarding import _prefills
from sassafrasstile.forwarding import _resumptions
from sassafrasstile.forwarding import _retries
from sassafrasstile.forwarding import _sends
from sassafrasstile.forwarding import _standby
from sassafrasstile.forwarding import _streams
from sassafrasstile.forwarding import _task

_LOG = logging.getLogger("sassafrasstile.forwarding")
_NO_ENDPOINT_RETRY_AFTER_S = 0.5
# From this reserved share of its memory on, an engine is likely to be full.
_FULL_SHARE = 0.85


class GenerationForwarder:
    """Runs the prefill on one engine and the decode on another.

    Args:
        context: State shared by the parts of the router.
    """

    def __init__(self, *, context: _context.ForwardingContext):
        self._context = context
        self._prefills = _prefills.PrefillRunner(context=context)
        self._holds = _holds.HoldTaker(context=context)
        self._resumptions = _resumptions.ResumptionResolver(context=context)
        self.admission = _admission.AdmissionController(context=context)
        self._standbys = _standby.StandbyFinder(
            context=context, admission=self.admission, holds=self._holds
        )
        self._streams = _streams.StreamForwarder(
            context=context, standbys=self._standbys
        )
        context.quarantine.subscribe(self.admission.refuse_denied)

    async def forward(self, task: _task.RequestTask) -> None:
        """Forwards a generation request and answers its caller."""
        if self._context.quarantine.find(task.content) is not None:
            code = errors.Code.PROMPT_REFUSED
            self._fail(task, verdicts.NotRun(code=code))
            return
        if task.details.is_resumption:
            refusal = await self._resumptions.resolve(task)
            if refusal is not None:
                _answers.fail_task(self._context, task, refusal)
                return
        progress = _streams.Progress(last_event_id=task.details.last_event_id)
        try:
            verdict = await self._run_until_answered(task, progress)
        finally:
            self._release_handle(progress)
        if verdict is not None:
            self._fail(task, verdict)

    def _fail(self, task: _task.RequestTask, verdict: verdicts.Verdict) -> None:
        """Answers a caller whose request isn't sent, or not sent again."""
        final = task.decide_verdict(
            verdict.code, retry_after_s=self._choose_retry_after_s(task)
        )
        if isinstance(final, verdicts.NotRun):
            self._context.refusals.record(
                task.prompt_id,
                arrived_at=task.arrived_at,
                deadline=task.caller_deadline,
                now=self._context.now(),
            )
        _answers.fail_task(self._context, task, final)

    def _choose_retry_after_s(self, task: _task.RequestTask) -> float:
        now = self._context.now()
        suspicion = self._context.quarantine.find(task.content)
        if suspicion is not None:
            return suspicion.until - now
        if task.is_denied_by_stop:
            return self._context.shutdown.estimate_retry_after_s(now)
        backoff_s = self._context.placement.measure_decode_backoff_s(
            task.service.name, now
        )
        queue_end_s = self.admission.estimate_retry_s(task)
        return max(_NO_ENDPOINT_RETRY_AFTER_S, backoff_s, queue_end_s)

    async def _run_until_answered(
        self, task: _task.RequestTask, progress: _streams.Progress
    ) -> verdicts.Verdict | None:
        """Sends a request until it is answered or may not be sent again.

        Returns:
            None when the caller has the complete answer, else the verdict
            on the last send, or the reason why no engine was granted.
        """
        while True:
            grant = await self._acquire(task, progress)
            if grant is None:
                return self._explain_missing_grant(task)
            try:
                verdict = await self._run_on_grant(task, grant, progress)
            finally:
                self.admission.release(grant)
            if verdict is None:
                return None
            # The retry budget has already paid for a standby engine.
            if progress.standby is None and not _retries.may_send_again(
                self._context, task, verdict
            ):
                return verdict

    def _explain_missing_grant(
        self, task: _task.RequestTask
    ) -> verdicts.NotRun:
        if self._context.quarantine.find(task.content) is not None:
            return verdicts.NotRun(code=errors.Code.PROMPT_REFUSED)
        denial = _access.renew(self._context, task) or self._find_stop(task)
        return denial or verdicts.NotRun(code=errors.Code.NO_CAPACITY)

    def _find_stop(self, task: _task.RequestTask) -> verdicts.NotRun | None:
        """Returns a verdict if this gateway ends before it is answered."""
        return self._context.shutdown.find_denial(task, self._context.now())

    async def _acquire(
        self, task: _task.RequestTask, progress: _streams.Progress
    ) -> dispatch.Grant | None:
        """Returns the capacity of the standby engine, or waits for some."""
        standby, progress.standby = progress.standby, None
        if standby is not None:
            progress.hold = standby.hold
            return standby.grant
        return await self.admission.acquire(
            task,
            handle=progress.handle,
            is_resumed=progress.events > 0 or task.details.is_resumption,
            may_prefill_remotely=not progress.events,
        )

    async def _run_on_grant(
        self,
        task: _task.RequestTask,
        grant: dispatch.Grant,
        progress: _streams.Progress,
    ) -> verdicts.Verdict | None:
        """Runs a request on the engines that it was granted."""
        task.granted_at = self._context.now()
        denial = self._find_denial(task, grant.decode)
        if denial is not None:
            return denial
        if not await self._take_permit(grant.decode, progress):
            return verdicts.NotRun(code=errors.Code.ENDPOINT_RATE)
        if progress.hold is None and self._holds.is_needed(task, grant):
            task.hold_attempts += 1
            hold = await self._holds.take(task, grant)
            if isinstance(hold, verdicts.NotRun):
                if _sends.is_denial(hold):
                    task.hold_attempts -= 1
                return hold
            progress.hold = hold
        try:
            refusal = await self._prepare(task, grant, progress)
            if refusal is not None:
                return refusal
            return await self._send(task, grant, progress)
        finally:
            self._release_hold(progress)

    async def _take_permit(
        self, engine: dispatch.Endpoint, progress: _streams.Progress
    ) -> bool:
        """Takes a permit to decode, before the prompt is prefilled for it."""
        if not _sends.needs_permit(self._context, engine):
            return True
        if not await _sends.take_permit(self._context, engine):
            return False
        progress.permitted = engine
        return True

    async def _prepare(
        self,
        task: _task.RequestTask,
        grant: dispatch.Grant,
        progress: _streams.Progress,
    ) -> verdicts.NotRun | None:
        """Runs the prefill, if the grant has a separate prefill engine.

        Returns:
            None when the request can be sent to the decode engine, else the
            verdict.
        """
        if self._is_handle_lost(grant, progress):
            self._release_handle(progress)
            if not _retries.may_prefill_again(self._context, task):
                return verdicts.NotRun(code=errors.Code.HANDLE_EXPIRED)
            if grant.prefill is None:
                return verdicts.NotRun(code=errors.Code.LEAVING)
        if grant.has_remote_prefill and not progress.events:
            denial = self._find_denial(task, grant.prefill)
            if denial is not None:
                return denial
            progress.handle = await self._prefills.run(task, grant.prefill)
            self.admission.release_prefill(grant)
            if progress.handle is not None and progress.hold is None:
                self.admission.confirm(task, grant)
            elif progress.handle is None and not self._may_prefill_locally(
                grant
            ):
                return verdicts.NotRun(code=errors.Code.PREFILL_FAILED)
        # The engine may have begun to drain during the prefill.
        return self._find_denial(
            task,
            grant.decode,
            has_permit=progress.permitted is grant.decode,
        )

    def _find_denial(
        self,
        task: _task.RequestTask,
        engine: dispatch.Endpoint,
        *,
        has_permit: bool = False,
    ) -> verdicts.NotRun | None:
        """Returns a verdict if a request may no longer be sent to an engine."""
        if self._context.quarantine.find(task.content) is not None:
            return verdicts.NotRun(code=errors.Code.PROMPT_REFUSED)
        denial = _access.renew(self._context, task) or self._find_stop(task)
        if denial is not None:
            return denial
        code = engine.find_denial(self._context.now(), has_permit=has_permit)
        return None if code is None else verdicts.NotRun(code=code)

    @staticmethod
    def _is_handle_lost(
        grant: dispatch.Grant, progress: _streams.Progress
    ) -> bool:
        """Returns whether the prefill of an earlier send can't be used."""
        handle = progress.handle
        if handle is None:
            return False
        # It expired while the request waited for capacity, or its engine
        # leaves, and a handle there is used at once or not at all.
        has_expired = grant.prefill is not None
        return has_expired or handle.endpoint.restrictions.is_leaving

    async def _send(
        self,
        task: _task.RequestTask,
        grant: dispatch.Grant,
        progress: _streams.Progress,
    ) -> verdicts.Verdict | None:
        """Sends a request to the decode engine and forwards the answer."""
        context = self._context
        engine = grant.decode
        remaining_s = task.deadline - context.now()
        outgoing = context.codec.encode_run(
            task.request,
            record=engine.record,
            remaining_s=remaining_s,
            priority=task.priority,
            access=task.access,
            handle=progress.handle,
            hold=self._get_hold_token(progress),
            last_event_id=progress.last_event_id if progress.events else None,
        )
        is_last = _retries.is_last_send(task)
        has_permit = progress.permitted is engine
        progress.permitted = None
        task.record_send(engine)
        attempt = _attempts.Attempt(
            context=context,
            endpoint=engine,
            request_id=task.request_id,
            number=task.sends,
        )
        start = self._time_start(task, grant, progress)
        run_watch = context.quarantine.watch(
            task.content, engine.record, request_id=task.request_id
        )
        starting = defer.ensureDeferred(
            attempt.start(
                outgoing,
                timeout_s=remaining_s,
                overdue_s=_standby.compute_search_delay_s(
                    task.route, has_holds=_standby.has_holds(task.service)
                ),
                has_permit=has_permit,
            )
        )
        try:
            if is_last:
                result = await starting
            else:
                result = await self._wait_for_head(
                    task, engine, starting, progress
                )
            if isinstance(result, _attempts.Answered):
                # The engine has consumed the handle and the hold.
                progress.handle = None
                progress.hold = None
                engine.record_acceptance()
                self.admission.release_prefill(grant)
                if result.kind is not _base.AnswerKind.SUCCESS:
                    return await self._forward_failure(task, attempt, result)
                return await self._streams.forward_events(
                    task, attempt, result, progress, grant, run_watch, start
                )
        finally:
            attempt.close()
        if result.code == errors.Code.ENDPOINT_LOST:
            run_watch.record_loss()
        if _sends.is_denial(result):
            task.record_denial(engine)
        elif isinstance(result, verdicts.NotRun):
            task.record_not_run(engine)
            self._handle_refusal(task, engine, progress)
        return result

    def _time_start(
        self,
        task: _task.RequestTask,
        grant: dispatch.Grant,
        progress: _streams.Progress,
    ) -> _measurements.WorkTimer | None:
        """Starts to measure the time to the first event, if it has one."""
        if progress.events or task.details.is_resumption:
            return None
        if progress.handle is None:
            return _measurements.time_local_prefill(
                self._context, grant.decode, task.size
            )
        if not grant.has_remote_prefill:
            # The prompt was prefilled for an earlier send.
            return None
        return _measurements.time_admission(
            self._context,
            grant.decode,
            prefill_work=task.prefill_work,
            granted_at=task.granted_at,
        )

    async def _wait_for_head(
        self,
        task: _task.RequestTask,
        engine: dispatch.Endpoint,
        starting: defer.Deferred,
        progress: _streams.Progress,
    ) -> _attempts.AttemptResult:
        """Waits for an answer, or until another engine can run the request."""
        watch = self._standbys.watch(
            task,
            engine,
            starting,
            generated_tokens=self._streams.count_tokens(task, progress),
        )
        try:
            return await starting
        except defer.CancelledError:
            if watch.standby is None:
                raise
            progress.standby = watch.standby
            return _retries.SILENT_VERDICT
        finally:
            watch.close()

    def _may_prefill_locally(self, grant: dispatch.Grant) -> bool:
        """Returns whether the decode engine may prefill locally."""
        return self._context.placement.can_prefill_locally(
            grant.decode, grant.size, self._context.now()
        )

    def _handle_refusal(
        self,
        task: _task.RequestTask,
        engine: dispatch.Endpoint,
        progress: _streams.Progress,
    ) -> None:
        """Records a refusal, and drops the handle if it seems to be invalid."""
        now = self._context.now()
        handle = progress.handle
        engine.record_refusal(now)
        profile = task.service.engine
        if handle is None or profile is None:
            return
        wants_nothing = engine.restrictions.find_denial(now) is not None
        used_share = engine.total_reserved_tokens / profile.capacity_tokens
        if wants_nothing or used_share >= _FULL_SHARE:
            return
        progress.unexplained_refusals += 1
        if progress.unexplained_refusals <= 1:
            return
        # Engines with capacity have refused twice: the handle must be invalid.
        handle.endpoint.health.record_failure(now)
        self._release_handle(progress)

    def _release_handle(self, progress: _streams.Progress) -> None:
        handle, progress.handle = progress.handle, None
        if handle is not None:
            self._prefills.release(handle)

    def _get_hold_token(self, progress: _streams.Progress) -> str | None:
        """Returns the name of the hold unless it may have expired."""
        hold = progress.hold
        if hold is None or self._context.now() >= hold.expires_at:
            return None
        return hold.token

    def _release_hold(self, progress: _streams.Progress) -> None:
        hold, progress.hold = progress.hold, None
        if hold is not None:
            self._holds.release(hold)

    async def _forward_failure(
        self,
        task: _task.RequestTask,
        attempt: _attempts.Attempt,
        answered: _attempts.Answered,
    ) -> verdicts.Verdict | None:
        """Forwards an engine's error, unless the request may be retried."""
        attempt.record_failure()
        try:
            body = await answered.reply.read_body()
        except web.ExchangeError as reason:
            return verdicts.MayHaveRun(code=reason.code)
        verdict = verdicts.MayHaveRun(code=errors.Code.ENGINE_FAILED)
        obstacle = _retries.find_obstacle(self._context, task, verdict)
        if obstacle is None or task.exchange.has_begun:
            return verdict
        task.outcome = f"answered {answered.head.status}"
        task.exchange.respond(
            status=answered.head.status,
            headers=web.drop_hop_by_hop_headers(answered.head.headers),
            body=body,
        )
        return None
