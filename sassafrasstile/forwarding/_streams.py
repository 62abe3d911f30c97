"""Event streams forwarded from engines to callers."""

import dataclasses
import logging

from twisted.internet import defer

from sassafrasstile import dispatch
from sassafrasstile import errors
from sassafrasstile import quarantine
from sassafrasstile import verdicts
from sassafrasstile import web
from sassafrasstile.forwarding import _attempts
from sassafrasstile.forwarding import _base
from sassafrasstile.forwarding import _context
from sassafrasstile.forwarding import _events
from sassafrasstile.forwarding import _holds
from sassafrasstile.forwarding import _measurements
from sassafrasstile.forwarding import _resumptions
from sassafrasstile.forwarding import _retries
from sassafrasstile.forwarding import _standby
from sassafrasstile.forwarding import _stream_checks
from sassafrasstile.forwarding import _task

_LOG = logging.getLogger("sassafrasstile.forwarding")
# With these codes an answer was broken off, perhaps since its engine was lost.
_LOSS_CODES = frozenset((errors.Code.ENDPOINT_LOST, errors.Code.ANSWER_CUT))


@dataclasses.dataclass(kw_only=True)
class Progress:
    """The part of an answer that its caller has received.

    Attributes:
        head: The head that the caller has received, or None.
        last_event_id: The id of the last event forwarded, or None.
        events: The number of events forwarded.
        sent_at: When the last event was forwarded, in seconds.
        handle: A finished prefill that no decode engine has consumed yet.
        hold: Memory that a decode engine has set aside and not used yet.
        permitted: The decode engine that a permit was taken for and not used
            yet, or None.
        standby: The engine that takes the stream over from a silent one.
        unexplained_refusals: How often an engine with capacity has refused
            the handle.
    """

    head: web.ResponseHead | None = None
    last_event_id: str | None = None
    events: int = 0
    sent_at: float = 0.0
    handle: _base.KvHandle | None = None
    hold: _holds.KvHold | None = None
    permitted: dispatch.Endpoint | None = None
    standby: _standby.Standby | None = None
    unexplained_refusals: int = 0


class StreamForwarder:
    """Forwards an engine's events as they arrive.

    Args:
        context: State shared by the parts of the router.
        standbys: Finds engines for streams whose engines are silent.
    """

    def __init__(
        self,
        *,
        context: _context.ForwardingContext,
        standbys: _standby.StandbyFinder,
    ):
        self._context = context
        self._standbys = standbys

    async def forward_events(
        self,
        task: _task.RequestTask,
        attempt: _attempts.Attempt,
        answered: _attempts.Answered,
        progress: Progress,
        grant: dispatch.Grant,
        run_watch: quarantine.RunWatch,
        start: _measurements.WorkTimer | None = None,
    ) -> verdicts.Verdict | None:
        """Forwards events until the stream ends or breaks off.

        Args:
            task: The request.
            attempt: The attempt that is answered.
            answered: The head of its answer.
            progress: What the caller has received so far; is updated.
            grant: The capacity reserved for the generation.
            run_watch: Learns whether the engine survives the prompt.
            start: Measures the time to the first event, or None for a stream
                that goes on.

        Returns:
            None once the caller has the complete answer, else the verdict.
        """
        meter = _measurements.StreamMeter(
            context=self._context,
            engine=attempt.endpoint,
            tokens_per_event=self._get_tokens_per_event(task),
            start=start,
        )
        splitter = _events.EventSplitter(
            max_event_bytes=self._context.read_bounds.event_bytes
        )
        check = _stream_checks.RunCheck(
            engine_name=attempt.endpoint.name,
            head=answered.head,
            begun=progress.head,
            last_event_id=progress.last_event_id,
        )
        try:
            check.check_head()
            while True:
                chunk = await self._read_chunk(
                    task, attempt, answered.reply, progress
                )
                if chunk is None:
                    break
                for event in splitter.feed(chunk):
                    check.check_event(event, progress.last_event_id)
                    self._forward_event(
                        task, attempt, answered, event, progress
                    )
                    run_watch.record_event(progress.sent_at)
                    meter.record_event(progress.sent_at)
                grant.update_output_tokens(self.count_tokens(task, progress))
                if splitter.is_exceeded:
                    raise answered.reply.exceed(web.ReadKind.EVENT)
                # Meanwhile nothing is read from the engine, and it isn't
                # watched for silence.
                meter.pause(self._context.now())
                await task.exchange.wait_until_writable()
                meter.resume(self._context.now())
            check.check_end(is_within_event=not splitter.is_empty)
        except web.ExchangeError as reason:
            if reason.code in _LOSS_CODES:
                run_watch.record_loss()
            return _record_break(task, attempt, progress, reason)
        if answered.head.is_delimited:
            run_watch.record_end()
        self._begin(task, attempt, answered, progress)
        task.exchange.complete()
        self._record_length(task, progress)
        self._record_duration(task, progress)
        task.outcome = f"answered {answered.head.status}"
        return None

    def _record_length(
        self, task: _task.RequestTask, progress: Progress
    ) -> None:
        engine = task.service.engine
        if engine is None or task.details.last_event_id is not None:
            return
        self._context.lengths.record(
            task.service.name,
            tokens=self.count_tokens(task, progress),
            declared_tokens=task.details.output_tokens,
        )

    def _record_duration(
        self, task: _task.RequestTask, progress: Progress
    ) -> None:
        if task.first_token_s is None or task.details.is_resumption:
            return
        first_at = task.request.received_at + task.first_token_s
        # The first event has tokens, too.
        tokens = (progress.events - 1) * self._get_tokens_per_event(task)
        token_s = None
        if tokens > 0:
            token_s = (progress.sent_at - first_at) / tokens
        self._context.shutdown.record_stream(
            task.service.name,
            first_token_s=task.first_token_s,
            token_s=token_s,
        )

    @staticmethod
    def count_tokens(task: _task.RequestTask, progress: Progress) -> int:
        """Returns the number of tokens generated so far."""
        per_event = StreamForwarder._get_tokens_per_event(task)
        return progress.events * per_event

    @staticmethod
    def _get_tokens_per_event(task: _task.RequestTask) -> int:
        engine = task.service.engine
        return engine.tokens_per_event if engine else 1

    async def _read_chunk(
        self,
        task: _task.RequestTask,
        attempt: _attempts.Attempt,
        reply: web.Reply,
        progress: Progress,
    ) -> bytes | None:
        """Waits for bytes, or until another engine can take the stream over."""
        if not _retries.may_run_elsewhere(task):
            return await reply.read_chunk()
        reading = defer.ensureDeferred(reply.read_chunk())
        watch = self._standbys.watch(
            task,
            attempt.endpoint,
            reading,
            generated_tokens=self.count_tokens(task, progress),
        )
        try:
            return await reading
        except defer.CancelledError:
            if watch.standby is None:
                raise
            progress.standby = watch.standby
        finally:
            watch.close()
        raise web.ExchangeError(
            code=errors.Code.ENDPOINT_SILENT,
            detail="silent, while another engine is ready",
            was_sent=True,
        )

    def _forward_event(
        self,
        task: _task.RequestTask,
        attempt: _attempts.Attempt,
        answered: _attempts.Answered,
        event: _events.Event,
        progress: Progress,
    ) -> None:
        self._begin(task, attempt, answered, progress)
        now = self._context.now()
        if progress.events:
            gap_s = now - progress.sent_at
            task.longest_gap_s = max(task.longest_gap_s, gap_s)
        progress.sent_at = now
        progress.events += 1
        if event.event_id is not None:
            progress.last_event_id = event.event_id
        elif progress.last_event_id is None and not event.is_comment:
            task.may_go_on = False
        task.exchange.send(event.data)

    def _begin(
        self,
        task: _task.RequestTask,
        attempt: _attempts.Attempt,
        answered: _attempts.Answered,
        progress: Progress,
    ) -> None:
        """Sends the head of the stream unless its caller has it."""
        if task.exchange.has_begun:
            return
        context = self._context
        attempt.record_success(context.now() - attempt.began_at)
        _resumptions.record_begin(context, task, attempt.endpoint)
        task.first_token_s = context.now() - task.request.received_at
        context.metrics.first_token.observe(task.first_token_s)
        progress.head = answered.head
        task.exchange.begin(
            status=answered.head.status,
            headers=web.drop_hop_by_hop_headers(answered.head.headers),
        )


def _record_break(
    task: _task.RequestTask,
    attempt: _attempts.Attempt,
    progress: Progress,
    reason: web.ExchangeError,
) -> verdicts.MayHaveRun:
    """Records that a stream broke off, and returns the verdict."""
    _LOG.info(
        "stream: request %s broke off. Reason: %s.",
        task.request_id,
        reason.detail,
        extra={
            "request": task.request_id,
            "workspace": task.workspace_name,
            "endpoint": attempt.endpoint.name,
            "software_version": attempt.endpoint.record.software_version,
            "code": reason.code,
            "events": progress.events,
            "prompt_parts": task.details.prompt_parts,
            "last_event_id": progress.last_event_id,
        },
    )
    attempt.record_failure()
    return verdicts.MayHaveRun(code=reason.code)
