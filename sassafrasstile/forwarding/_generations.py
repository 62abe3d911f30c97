"""Generations over separate prefill and decode engines."""

import dataclasses

from twisted.internet import defer

from sassafrasstile import dispatch
from sassafrasstile import errors
from sassafrasstile import verdicts
from sassafrasstile import web
from sassafrasstile.forwarding import _answers
from sassafrasstile.forwarding import _attempts
from sassafrasstile.forwarding import _base
from sassafrasstile.forwarding import _context
from sassafrasstile.forwarding import _events
from sassafrasstile.forwarding import _prefills
from sassafrasstile.forwarding import _retries
from sassafrasstile.forwarding import _task

# A resumable generation without a first token goes elsewhere after this
# share of its time.
_FIRST_TOKEN_PATIENCE_SHARE = 0.15
# A resumable generation goes elsewhere after a pause of this many targets.
_GAP_PATIENCE_TARGETS = 4.0
_LEAST_GAP_PATIENCE_S = 1.0
_NO_ENDPOINT_RETRY_S = 0.5


@dataclasses.dataclass(kw_only=True)
class _Progress:
    """What the caller has of the answer.

    Attributes:
        last_event_id: The id of the last event passed on, or None.
        events: Events passed on.
    """

    last_event_id: str | None = None
    events: int = 0


class GenerationForwarder:
    """Runs a prefill at one engine and the decode at another.

    Args:
        context: What the router shares.
    """

    def __init__(self, *, context: _context.ForwardingContext):
        self._context = context
        self._prefills = _prefills.PrefillRunner(context=context)

    async def forward(self, task: _task.RequestTask) -> None:
        """Answers a generation request."""
        progress = _Progress(last_event_id=task.details.resumes_after)
        use_prefill = True
        while (engine := self._choose(task)) is not None:
            dispatch.reserve(engine, task.details.size)
            try:
                verdict = await self._send(
                    task, engine, progress, use_prefill=use_prefill
                )
            finally:
                dispatch.release(engine, task.details.size)
            if verdict is None:
                return
            use_prefill = False
            if not _retries.may_send_again(self._context, task, verdict):
                break
        else:
            verdict = verdicts.NotRun(code=errors.Code.NO_ENDPOINT)
        final = task.decide_verdict(
            verdict.code, retry_after_s=_NO_ENDPOINT_RETRY_S
        )
        _answers.fail_task(self._context, task, final)

    def _choose(self, task: _task.RequestTask) -> dispatch.Endpoint | None:
        now = self._context.now()
        service = task.service.name
        choose = self._context.placement.choose_for_decode
        excluded = task.tried
        if task.sends and task.route.max_attempts <= 1:
            # One engine may see it: a refused one is asked once more.
            excluded = ()
        return choose(service=service, now=now, excluded=excluded)

    async def _send(
        self,
        task: _task.RequestTask,
        engine: dispatch.Endpoint,
        progress: _Progress,
        *,
        use_prefill: bool,
    ) -> verdicts.Verdict | None:
        """Sends it to a decode engine.

        Returns:
            None when the caller has its whole answer, else what is proved.
        """
        context = self._context
        handle = None
        if use_prefill:
            handle = await self._prefills.run(task, near=engine)
        remaining_s = task.deadline - context.now()
        resume_after = progress.last_event_id if progress.events else None
        outgoing = context.codec.encode_run(
            task.request,
            record=engine.record,
            remaining_s=remaining_s,
            handle=handle,
            resume_after=resume_after,
        )
        patience_s = self._choose_patience(task, remaining_s)
        task.note_send(engine)
        attempt = _attempts.Attempt(
            context=context,
            endpoint=engine,
            request_id=task.request_id,
            number=task.sends,
        )
        taken = False
        try:
            result = await attempt.start(outgoing, timeout_s=patience_s)
            taken = isinstance(result, _attempts.Answered)
            if taken:
                return await self._pass_on(task, attempt, result, progress)
        finally:
            attempt.close()
            if handle is not None and not taken:
                self._prefills.release(handle)
        if isinstance(result, verdicts.NotRun):
            task.note_not_run(engine)
        return result

    def _choose_patience(
        self, task: _task.RequestTask, remaining_s: float
    ) -> float:
        if _retries.is_last_send(task):
            return remaining_s
        patience_s = _FIRST_TOKEN_PATIENCE_SHARE * task.route.timeout_s
        return min(remaining_s, patience_s)

    async def _pass_on(
        self,
        task: _task.RequestTask,
        attempt: _attempts.Attempt,
        answered: _attempts.Answered,
        progress: _Progress,
    ) -> verdicts.Verdict | None:
        if answered.kind is not _base.AnswerKind.SUCCESS:
            return await self._pass_failure(task, attempt, answered)
        splitter = _events.EventSplitter()
        try:
            while True:
                piece = await self._read_piece(task, answered.reply)
                if piece is None:
                    break
                for event in splitter.feed(piece):
                    self._pass_event(task, attempt, answered, event, progress)
        except web.ExchangeError as reason:
            attempt.note_failure()
            return verdicts.MayHaveRun(code=reason.code)
        except defer.TimeoutError:
            attempt.note_failure()
            return verdicts.MayHaveRun(code=errors.Code.ENDPOINT_SILENT)
        if not splitter.is_empty or not progress.events:
            attempt.note_failure()
            return verdicts.MayHaveRun(code=errors.Code.BAD_ANSWER)
        task.exchange.complete()
        task.outcome = f"answered {answered.head.status}"
        return None

    async def _read_piece(
        self, task: _task.RequestTask, reply: web.Reply
    ) -> bytes | None:
        if not _retries.may_run_elsewhere(task):
            return await reply.read_piece()
        patience_s = max(
            _LEAST_GAP_PATIENCE_S,
            _GAP_PATIENCE_TARGETS * task.route.target_gap_s,
        )
        return await _attempts.fail_on_timeout(
            reply.read_piece(), self._context.reactor, patience_s
        )

    def _pass_event(
        self,
        task: _task.RequestTask,
        attempt: _attempts.Attempt,
        answered: _attempts.Answered,
        event: _events.Event,
        progress: _Progress,
    ) -> None:
        if not task.exchange.began:
            context = self._context
            attempt.note_success(context.now() - attempt.began_at)
            context.metrics.first_token.observe(
                context.now() - task.request.received_at
            )
            task.exchange.begin(
                status=answered.head.status,
                headers=web.drop_hop_headers(answered.head.headers),
            )
        progress.events += 1
        if event.event_id is not None:
            progress.last_event_id = event.event_id
        task.exchange.send(event.data)

    async def _pass_failure(
        self,
        task: _task.RequestTask,
        attempt: _attempts.Attempt,
        answered: _attempts.Answered,
    ) -> verdicts.Verdict | None:
        """Passes an engine's own failure on, or leaves it to a retry."""
        attempt.note_failure()
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
