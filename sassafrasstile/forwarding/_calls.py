"""Calls to plain services."""

import dataclasses

from sassafrasstile import dispatch
from sassafrasstile import errors
from sassafrasstile import verdicts
from sassafrasstile import web
from sassafrasstile.forwarding import _answers
from sassafrasstile.forwarding import _attempts
from sassafrasstile.forwarding import _base
from sassafrasstile.forwarding import _context
from sassafrasstile.forwarding import _retries
from sassafrasstile.forwarding import _task

# An idempotent call is tried elsewhere after this many usual latencies ...
_PATIENCE_LATENCIES = 5.0
# ... but not before this share of its time is used.
_PATIENCE_SHARE = 0.45
_NO_ENDPOINT_RETRY_S = 0.3


@dataclasses.dataclass(frozen=True, kw_only=True)
class _WholeAnswer:
    head: web.ResponseHead
    body: bytes
    is_success: bool


class CallForwarder:
    """Sends a call to an endpoint, and again only where a verdict allows.

    Args:
        context: What the router shares.
    """

    def __init__(self, *, context: _context.ForwardingContext):
        self._context = context

    async def forward(self, task: _task.RequestTask) -> None:
        """Answers a call."""
        failed: _WholeAnswer | None = None
        while (endpoint := self._choose(task)) is not None:
            result = await self._send(task, endpoint)
            match result:
                case _WholeAnswer(is_success=True):
                    self._deliver(task, result)
                    return
                case _WholeAnswer():
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
            # An endpoint's own failure says more than ours.
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
    ) -> _WholeAnswer | verdicts.Verdict:
        context = self._context
        remaining_s = task.deadline - context.now()
        outgoing = context.codec.encode_run(
            task.request,
            record=endpoint.record,
            remaining_s=remaining_s,
            priority=task.route.priority,
        )
        timeout_s = self._choose_patience(task, endpoint, remaining_s)
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

    def _choose_patience(
        self,
        task: _task.RequestTask,
        endpoint: dispatch.Endpoint,
        remaining_s: float,
    ) -> float:
        if _retries.is_last_send(task):
            return remaining_s
        usual_s = _PATIENCE_LATENCIES * (endpoint.health.latency_s or 0.0)
        return min(remaining_s, max(usual_s, _PATIENCE_SHARE * remaining_s))

    async def _read(
        self,
        task: _task.RequestTask,
        attempt: _attempts.Attempt,
        answered: _attempts.Answered,
    ) -> _WholeAnswer | verdicts.Verdict:
        """Reads the whole body, so that a broken one is never passed on."""
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
        return _WholeAnswer(
            head=answered.head, body=body, is_success=is_success
        )

    def _deliver(self, task: _task.RequestTask, answer: _WholeAnswer) -> None:
        task.outcome = f"answered {answer.head.status}"
        task.exchange.respond(
            status=answer.head.status,
            headers=web.drop_hop_headers(answer.head.headers),
            body=answer.body,
        )

    def _fail(self, task: _task.RequestTask, code: errors.Code) -> None:
        verdict = task.decide_verdict(code, retry_after_s=_NO_ENDPOINT_RETRY_S)
        _answers.fail_task(self._context, task, verdict)
