"""Calls to plain services."""

import dataclasses

from twisted.internet import defer

from sassafrasstile import dispatch
from sassafrasstile import errors
from sassafrasstile import membership
from sassafrasstile import quarantine
from sassafrasstile import verdicts
from sassafrasstile import web
from sassafrasstile.forwarding import _answers
from sassafrasstile.forwarding import _attempts
from sassafrasstile.forwarding import _base
from sassafrasstile.forwarding import _context
from sassafrasstile.forwarding import _hedging
from sassafrasstile.forwarding import _measurements
from sassafrasstile.forwarding import _retries
from sassafrasstile.forwarding import _sends
from sassafrasstile.forwarding import _task

# An attempt at an idempotent call is overdue after this many times the
# endpoint's average latency; then another endpoint may be tried beside it.
_OVERDUE_LATENCIES = 5.0
# It is overdue no earlier than after this share of the time to the deadline.
_MIN_OVERDUE_SHARE = 0.45
_NO_ENDPOINT_RETRY_AFTER_S = 0.3


@dataclasses.dataclass(frozen=True, kw_only=True)
class _CompleteAnswer:
    head: web.ResponseHead
    body: bytes
    is_success: bool


@dataclasses.dataclass(kw_only=True)
class _Outcome:
    """What the attempts at a call have shown so far.

    Attributes:
        failed: The last complete answer that reports a failure, or None. It
            tells the caller more than a verdict.
        verdict: The verdict on the last attempt that has ended.
    """

    failed: _CompleteAnswer | None = None
    verdict: verdicts.Verdict = verdicts.NotRun(code=errors.Code.NO_ENDPOINT)

    def record(
        self, result: _CompleteAnswer | verdicts.Verdict
    ) -> verdicts.Verdict:
        """Records an attempt without success, and returns its verdict."""
        if isinstance(result, _CompleteAnswer):
            self.failed = result
            code = errors.Code.SERVICE_FAILED
            result = verdicts.MayHaveRun(code=code)
        self.verdict = result
        return result


class CallForwarder:
    """Sends a call to an endpoint and retries it where that is allowed.

    Args:
        context: State shared by the parts of the router.
    """

    def __init__(self, *, context: _context.ForwardingContext):
        self._context = context

    async def forward(self, task: _task.RequestTask) -> None:
        """Forwards a call and answers its caller."""
        if self._context.quarantine.find(task.content) is not None:
            self._fail(task, errors.Code.CALL_REFUSED)
            return
        outcome = _Outcome()
        group = _hedging.AttemptGroup(
            reactor=self._context.reactor,
            may_begin_another=lambda: self._may_begin_another(task),
        )
        try:
            answer = await self._run(task, group, outcome)
        except defer.CancelledError:
            if outcome.failed is None or task.exchange.is_disconnected:
                raise
            answer = outcome.failed
        finally:
            group.close()
        if answer is not None:
            self._deliver(task, answer)
        else:
            self._fail(task, outcome.verdict.code)

    async def _run(
        self,
        task: _task.RequestTask,
        group: _hedging.AttemptGroup,
        outcome: _Outcome,
    ) -> _CompleteAnswer | None:
        """Makes attempts until one succeeds or none is allowed.

        Returns:
            The answer for the caller, or None if no endpoint gave one.
        """
        endpoint = self._choose(task)
        while endpoint is not None or not group.is_empty:
            if endpoint is not None:
                self._begin(task, group, endpoint)
            result = await group.wait()
            if isinstance(result, _CompleteAnswer) and result.is_success:
                return result
            endpoint = None
            if result is _hedging.Overdue.OVERDUE:
                verdict = _retries.SILENT_VERDICT
            else:
                verdict = outcome.record(result)
                if not group.is_empty:
                    continue
            if _retries.may_send_again(self._context, task, verdict):
                endpoint = self._choose(task)
        return outcome.failed

    def _begin(
        self,
        task: _task.RequestTask,
        group: _hedging.AttemptGroup,
        endpoint: dispatch.Endpoint,
    ) -> None:
        remaining_s = task.deadline - self._context.now()
        overdue_s = None
        if not _retries.is_last_send(task):
            overdue_s = self._choose_overdue_s(endpoint, remaining_s)
        sending = self._send(task, endpoint, remaining_s, overdue_s)
        group.add(defer.ensureDeferred(sending), overdue_s=overdue_s)

    def _may_begin_another(self, task: _task.RequestTask) -> bool:
        """Returns whether another endpoint should be tried for a call now."""
        now = self._context.now()
        if _retries.find_obstacle(self._context, task, _retries.SILENT_VERDICT):
            return False
        endpoint = self._choose(task)
        if endpoint is None or endpoint in task.tried:
            return False
        usual_s = endpoint.health.latency_s or 0.0
        return (
            endpoint.health.is_reachable(now) and now + usual_s < task.deadline
        )

    def _choose(self, task: _task.RequestTask) -> dispatch.Endpoint | None:
        now = self._context.now()
        service = task.service.name
        choose = self._context.placement.choose_for_call
        endpoint = choose(service=service, now=now, excluded=task.tried)
        if endpoint is None and task.tried:
            endpoint = choose(service=service, now=now)
        return endpoint

    async def _send(
        self,
        task: _task.RequestTask,
        endpoint: dispatch.Endpoint,
        remaining_s: float,
        overdue_s: float | None,
    ) -> _CompleteAnswer | verdicts.Verdict:
        context = self._context
        outgoing = context.codec.encode_run(
            task.request,
            record=endpoint.record,
            remaining_s=remaining_s,
            priority=task.priority,
            access=task.access,
        )
        task.record_send(endpoint)
        attempt = _attempts.Attempt(
            context=context,
            endpoint=endpoint,
            request_id=task.request_id,
            number=task.sends,
        )
        watch = context.quarantine.watch(
            task.content, endpoint.record, request_id=task.request_id
        )
        try:
            with _attempts.hold_slot(endpoint):
                timer = _measurements.time_call(context, endpoint)
                result = await attempt.start(
                    outgoing, timeout_s=remaining_s, overdue_s=overdue_s
                )
                if isinstance(result, _attempts.Answered):
                    return await self._read(attempt, result, watch, timer)
        finally:
            attempt.close()
        if result.code == errors.Code.ENDPOINT_LOST:
            defer.ensureDeferred(self._confirm_loss(endpoint, watch))
        if _sends.is_denial(result):
            task.record_denial(endpoint)
        elif isinstance(result, verdicts.NotRun):
            task.record_not_run(endpoint)
        return result

    @staticmethod
    def _choose_overdue_s(
        endpoint: dispatch.Endpoint, remaining_s: float
    ) -> float:
        """Returns the time after which another endpoint may be tried."""
        usual_s = _OVERDUE_LATENCIES * (endpoint.health.latency_s or 0.0)
        return min(remaining_s, max(usual_s, _MIN_OVERDUE_SHARE * remaining_s))

    async def _confirm_loss(
        self, endpoint: dispatch.Endpoint, watch: quarantine.RunWatch
    ) -> None:
        """Records that an endpoint was lost unless it accepts connections.

        One that loses an answer now and then says nothing against the call.
        """
        lost_at = self._context.now()
        if endpoint.is_removed:
            watch.record_loss()
        elif not await self._context.get_pool(endpoint).can_connect():
            watch.record_loss(lost_at=lost_at)

    async def _read(
        self,
        attempt: _attempts.Attempt,
        answered: _attempts.Answered,
        watch: quarantine.RunWatch,
        timer: _measurements.WorkTimer,
    ) -> _CompleteAnswer | verdicts.Verdict:
        """Reads the complete body, so that the caller gets no partial one."""
        context = self._context
        try:
            body = await answered.reply.read_body()
        except web.ExchangeError as reason:
            attempt.record_failure()
            return verdicts.MayHaveRun(code=reason.code)
        watch.record_end()
        is_success = answered.kind is _base.AnswerKind.SUCCESS
        if is_success:
            attempt.record_success(context.now() - attempt.began_at)
            timer.record_end()
        else:
            attempt.record_failure()
        return _CompleteAnswer(
            head=answered.head, body=body, is_success=is_success
        )

    def _deliver(
        self, task: _task.RequestTask, answer: _CompleteAnswer
    ) -> None:
        task.outcome = f"answered {answer.head.status}"
        task.exchange.respond(
            status=answer.head.status,
            headers=web.drop_hop_by_hop_headers(answer.head.headers),
            body=answer.body,
        )

    def _fail(self, task: _task.RequestTask, code: errors.Code) -> None:
        verdict = task.decide_verdict(
            code, retry_after_s=self._choose_retry_after_s(task)
        )
        _answers.fail_task(self._context, task, verdict)

    def _choose_retry_after_s(self, task: _task.RequestTask) -> float:
        now = self._context.now()
        suspicion = self._context.quarantine.find(task.content)
        if suspicion is not None:
            return suspicion.until - now
        backoff_s = self._context.endpoints.measure_backoff_s(
            service=task.service.name, role=membership.Role.PLAIN, now=now
        )
        return max(_NO_ENDPOINT_RETRY_AFTER_S, backoff_s)
