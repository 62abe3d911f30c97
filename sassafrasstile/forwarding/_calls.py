"""Calls to plain services."""

import dataclasses

from sassafrasstile import dispatch
from sassafrasstile import errors
from sassafrasstile import membership
from sassafrasstile import verdicts
from sassafrasstile import web
from sassafrasstile.forwarding import _answers
from sassafrasstile.forwarding import _attempts
from sassafrasstile.forwarding import _base
from sassafrasstile.forwarding import _context
from sassafrasstile.forwarding import _retries
from sassafrasstile.forwarding import _task

# An attempt of an idempotent call times out after this many times the
# endpoint's average latency, so that another endpoint can be tried.
_TIMEOUT_LATENCIES = 5.0
# The attempt gets at least this share of the time to the call's deadline.
_MIN_TIMEOUT_SHARE = 0.45
_NO_ENDPOINT_RETRY_AFTER_S = 0.3


@dataclasses.dataclass(frozen=True, kw_only=True)
class _CompleteAnswer:
    head: web.ResponseHead
    body: bytes
    is_success: bool


class CallForwarder:
    """Sends a call to an endpoint and retries it where that is allowed.

    Args:
        context: State shared by the parts of the router.
    """

    def __init__(self, *, context: _context.ForwardingContext):
        self._context = context

    async def forward(self, task: _task.RequestTask) -> None:
        """Forwards a call and answers its caller."""
        failed: _CompleteAnswer | None = None
        while (endpoint := self._choose(task)) is not None:
            result = await self._send(task, endpoint)
            match result:
                case _CompleteAnswer(is_success=True):
                    self._deliver(task, result)
                    return
                case _CompleteAnswer():
                    failed = result
                    code = errors.Code.SERVICE_FAILED
                    verdict = verdicts.MayHaveRun(code=code)
                case _:
                    verdict = result
            if not _retries.may_send_again(self._context, task, verdict):
                break
        else:
            code = errors.Code.NO_ENDPOINT
            verdict = verdicts.NotRun(code=code)
        if failed is not None:
            # The service's error tells the caller more than a verdict.
            self._deliver(task, failed)
            return
        self._fail(task, verdict.code)

    def _choose(self, task: _task.RequestTask) -> dispatch.Endpoint | None:
        now = self._context.now()
        service = task.service.name
        choose = self._context.placement.choose_for_call
        endpoint = choose(service=service, now=now, excluded=task.tried)
        if endpoint is None and task.tried:
            endpoint = choose(service=service, now=now)
        return endpoint

    async def _send(
        self, task: _task.RequestTask, endpoint: dispatch.Endpoint
    ) -> _CompleteAnswer | verdicts.Verdict:
        context = self._context
        remaining_s = task.deadline - context.now()
        outgoing = context.codec.encode_run(
            task.request,
            record=endpoint.record,
            remaining_s=remaining_s,
            priority=task.route.priority,
        )
        timeout_s = self._choose_timeout(task, endpoint, remaining_s)
        task.record_send(endpoint)
        attempt = _attempts.Attempt(
            context=context,
            endpoint=endpoint,
            request_id=task.request_id,
            number=task.sends,
        )
        try:
            with _attempts.hold_slot(endpoint):
                result = await attempt.start(outgoing, timeout_s=timeout_s)
                if isinstance(result, _attempts.Answered):
                    return await self._read(task, attempt, result)
        finally:
            attempt.close()
        if isinstance(result, verdicts.NotRun):
            task.record_not_run(endpoint)
        return result

    def _choose_timeout(
        self,
        task: _task.RequestTask,
        endpoint: dispatch.Endpoint,
        remaining_s: float,
    ) -> float:
        if _retries.is_last_send(task):
            return remaining_s
        usual_s = _TIMEOUT_LATENCIES * (endpoint.health.latency_s or 0.0)
        return min(remaining_s, max(usual_s, _MIN_TIMEOUT_SHARE * remaining_s))

    async def _read(
        self,
        task: _task.RequestTask,
        attempt: _attempts.Attempt,
        answered: _attempts.Answered,
    ) -> _CompleteAnswer | verdicts.Verdict:
        """Reads the complete body, so that the caller gets no partial one."""
        context = self._context
        try:
            body = await answered.reply.read_body()
        except web.ExchangeError as reason:
            attempt.record_failure()
            return verdicts.MayHaveRun(code=reason.code)
        is_success = answered.kind is _base.AnswerKind.SUCCESS
        if is_success:
            attempt.record_success(context.now() - attempt.began_at)
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
        backoff_s = self._context.endpoints.measure_backoff_s(
            service=task.service.name,
            role=membership.Role.PLAIN,
            now=self._context.now(),
        )
        verdict = task.decide_verdict(
            code, retry_after_s=max(_NO_ENDPOINT_RETRY_AFTER_S, backoff_s)
        )
        _answers.fail_task(self._context, task, verdict)
