"""Streams of events, passed on from an engine to a caller."""

import dataclasses
import logging

from twisted.internet import defer

from sassafrasstile import dispatch
from sassafrasstile import errors
from sassafrasstile import verdicts
from sassafrasstile import web
from sassafrasstile.forwarding import _attempts
from sassafrasstile.forwarding import _base
from sassafrasstile.forwarding import _context
from sassafrasstile.forwarding import _events
from sassafrasstile.forwarding import _retries
from sassafrasstile.forwarding import _task

_LOG = logging.getLogger("sassafrasstile.forwarding")
# A resumable generation goes elsewhere after a pause of this many targets.
_GAP_PATIENCE_TARGETS = 4.0
_LEAST_GAP_PATIENCE_S = 1.0


@dataclasses.dataclass(kw_only=True)
class Progress:
    """What the caller has of the answer.

    Attributes:
        last_event_id: The id of the last event passed on, or None.
        events: Events passed on.
        sent_at: When the last one was passed on, in seconds.
        handle: A finished prefill that no engine has taken yet.
        unexplained_refusals: Engines with room that refused the handle.
    """

    last_event_id: str | None = None
    events: int = 0
    sent_at: float = 0.0
    handle: _base.KvHandle | None = None
    unexplained_refusals: int = 0


class StreamForwarder:
    """Passes an engine's events on as they arrive.

    Args:
        context: What the router shares.
    """

    def __init__(self, *, context: _context.ForwardingContext):
        self._context = context

    async def pass_on(
        self,
        task: _task.RequestTask,
        attempt: _attempts.Attempt,
        answered: _attempts.Answered,
        progress: Progress,
        grant: dispatch.Grant,
    ) -> verdicts.Verdict | None:
        """Copies events until the stream ends or breaks off.

        Args:
            task: The request.
            attempt: The attempt that is answered.
            answered: The head of its answer.
            progress: What the caller has so far; noted on.
            grant: The room that the generation takes.

        Returns:
            None once the caller has the whole answer, else the verdict.
        """
        splitter = _events.EventSplitter()
        try:
            while True:
                piece = await self._read_piece(task, answered.reply)
                if piece is None:
                    break
                for event in splitter.feed(piece):
                    _check_order(event, progress, attempt)
                    self._pass_event(task, attempt, answered, event, progress)
                grant.note_output(self._count_tokens(task, progress))
            _check_end(splitter, progress)
        except web.ExchangeError as reason:
            return _note_break(task, attempt, progress, reason)
        task.exchange.complete()
        self._learn_length(task, progress)
        task.outcome = f"answered {answered.head.status}"
        return None

    def _learn_length(
        self, task: _task.RequestTask, progress: Progress
    ) -> None:
        engine = task.service.engine
        if engine is None or task.details.last_event_id is not None:
            return
        self._context.lengths.note(
            task.service.name,
            tokens=self._count_tokens(task, progress),
            declared_tokens=task.details.output_tokens,
        )

    @staticmethod
    def _count_tokens(task: _task.RequestTask, progress: Progress) -> int:
        """Returns the tokens generated so far."""
        engine = task.service.engine
        per_event = engine.tokens_per_event if engine else 1
        return progress.events * per_event

    async def _read_piece(
        self, task: _task.RequestTask, reply: web.Reply
    ) -> bytes | None:
        if not _retries.may_run_elsewhere(task):
            return await reply.read_piece()
        timeout_s = max(
            _LEAST_GAP_PATIENCE_S,
            _GAP_PATIENCE_TARGETS * task.route.target_gap_s,
        )
        try:
            return await _attempts.fail_on_timeout(
                reply.read_piece(), self._context.reactor, timeout_s
            )
        except defer.TimeoutError as reason:
            raise web.ExchangeError(
                code=errors.Code.ENDPOINT_SILENT,
                detail=f"no event for {timeout_s:.1f} s",
                was_sent=True,
            ) from reason

    def _pass_event(
        self,
        task: _task.RequestTask,
        attempt: _attempts.Attempt,
        answered: _attempts.Answered,
        event: _events.Event,
        progress: Progress,
    ) -> None:
        if not task.exchange.began:
            context = self._context
            attempt.record_success(context.now() - attempt.began_at)
            task.first_token_s = context.now() - task.request.received_at
            context.metrics.first_token.observe(task.first_token_s)
            task.exchange.begin(
                status=answered.head.status,
                headers=web.drop_hop_headers(answered.head.headers),
            )
        now = self._context.now()
        if progress.events:
            gap_s = now - progress.sent_at
            task.longest_gap_s = max(task.longest_gap_s, gap_s)
        progress.sent_at = now
        progress.events += 1
        if event.event_id is not None:
            progress.last_event_id = event.event_id
        task.exchange.send(event.data)


def _check_order(
    event: _events.Event, progress: Progress, attempt: _attempts.Attempt
) -> None:
    """Checks that an event follows what the caller has.

    Raises:
        web.ExchangeError: With BAD_ANSWER.
    """
    if not _events.may_follow(event, progress.last_event_id):
        raise web.ExchangeError(
            code=errors.Code.BAD_ANSWER,
            detail=(
                f"event {event.event_id!r} of {attempt.endpoint.name} follows "
                f"{progress.last_event_id!r}; allowed are higher ids"
            ),
            was_sent=True,
        )


def _check_end(splitter: _events.EventSplitter, progress: Progress) -> None:
    """Checks that a stream has ended after an event.

    Raises:
        web.ExchangeError: With BAD_ANSWER.
    """
    if not splitter.is_empty or not progress.events:
        raise web.ExchangeError(
            code=errors.Code.BAD_ANSWER,
            detail=f"it ended within event {progress.events + 1}",
            was_sent=True,
        )


def _note_break(
    task: _task.RequestTask,
    attempt: _attempts.Attempt,
    progress: Progress,
    reason: web.ExchangeError,
) -> verdicts.MayHaveRun:
    """Notes why a stream broke off, and returns what is proved."""
    _LOG.info(
        "stream: request %s broke off. Reason: %s.",
        task.request_id,
        reason.detail,
        extra={
            "request": task.request_id,
            "endpoint": attempt.endpoint.name,
            "code": reason.code,
            "events": progress.events,
            "last_event_id": progress.last_event_id,
        },
    )
    attempt.record_failure()
    return verdicts.MayHaveRun(code=reason.code)
