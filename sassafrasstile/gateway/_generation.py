"""Generation requests: reserve, prefill, transfer and decode, or resume."""

import dataclasses
import enum
import logging

from sassafrasstile import errors
from sassafrasstile import messages
from sassafrasstile import verdicts
from sassafrasstile.gateway import _answer
from sassafrasstile.gateway import _base
from sassafrasstile.gateway import _context
from sassafrasstile.gateway import _endpoints

_LOG = logging.getLogger("sassafrasstile.gateway")


class Phase(enum.Enum):
    """How far a request has come."""

    RESUMING = "resuming"
    QUEUED = "queued"
    RESERVING = "reserving"
    PREFILLING = "prefilling"
    DECODING = "decoding"


@dataclasses.dataclass(kw_only=True)
class Generation:
    """One generation request in flight.

    Attributes:
        request: The request.
        answer: The answer so far.
        arrived_at: When it came, in kernel time.
        queue_until: Until when it may queue.
        deadline: Until when it must be whole.
        phase: How far it has come.
        phase_until: Until when the phase may last.
        attempt: The number of the attempt now, or zero.
        tries: Attempts so far.
        decode: The decode endpoint of the attempt now, or None.
        prefill: The prefill endpoint of the attempt now, or None.
        excluded: Endpoints that failed this request.
        unproved: Attempts whose prefill may have run.
        asked: Endpoints asked to resume that haven't answered.
        found: The endpoint that goes on with the answer, while resuming.
        found_previous: The attempt which that endpoint had served.
    """

    request: _base.GenerationRequest
    answer: _answer.AnswerAssembler
    arrived_at: float
    queue_until: float
    deadline: float
    phase: Phase = Phase.QUEUED
    phase_until: float = 0.0
    attempt: int = 0
    tries: int = 0
    decode: _endpoints.Endpoint | None = None
    prefill: _endpoints.Endpoint | None = None
    excluded: set[str] = dataclasses.field(default_factory=set)
    unproved: set[int] = dataclasses.field(default_factory=set)
    asked: dict[str, int] = dataclasses.field(default_factory=dict)
    found: str = ""
    found_previous: int = 0

    @property
    def priority(self) -> int:
        """Lower numbers go first."""
        if self.request.deferred:
            return _base.DEFERRED_PRIORITY
        return _base.INTERACTIVE_PRIORITY


class GenerationTable:
    """All generation requests of one gateway.

    Args:
        context: What the kernel's parts share.
    """

    def __init__(self, *, context: _context.Context):
        self._context = context
        self._requests: dict[str, Generation] = {}
        self._by_attempt: dict[int, Generation] = {}
        self._workspaces: dict[str, int] = {}
        self.prefilled_tokens = 0
        self.wasted_tokens = 0

    def __len__(self) -> int:
        return len(self._requests)

    # Inputs.

    def submit(self, request: _base.GenerationRequest, now: float) -> None:
        """Takes a new request, queues it or refuses it."""
        known = self._requests.get(request.request_id)
        if known is not None:
            self._reattach(known, request)
            return
        settings = self._context.settings
        self._context.budget.earn()
        code = self._check_admission(request)
        if code is not None:
            self._refuse_early(request, code)
            return
        is_deferred = request.deferred
        item = Generation(
            request=request,
            answer=_answer.AnswerAssembler(),
            arrived_at=now,
            queue_until=now
            + (
                settings.deferred_queue_s
                if is_deferred
                else settings.interactive_queue_s
            ),
            deadline=now
            + (
                settings.deferred_limit_s
                if is_deferred
                else settings.interactive_limit_s
            ),
        )
        self._requests[request.request_id] = item
        workspace = request.workspace
        self._workspaces[workspace] = self._workspaces.get(workspace, 0) + 1
        if request.resume_offset is not None:
            self._ask_to_resume(item, now)
        else:
            self._begin_attempt(item, now)

    def cancel(self, request_id: str, now: float) -> None:
        """Gives up a request whose caller has gone."""
        item = self._requests.get(request_id)
        if item is None:
            return
        _LOG.info(
            "gateway %s: request %s: cancelled. Reason: the caller has gone.",
            self._context.name,
            request_id,
        )
        self._give_up_attempt(item)
        self._remove(item)

    def receive(
        self,
        endpoint: _endpoints.Endpoint,
        message: messages.Message,
        now: float,
    ) -> bool:
        """Handles a sidecar's message.

        Returns:
            False when the message isn't about a request in this table.
        """
        item = self._by_attempt.get(getattr(message, "attempt", 0))
        if item is None:
            return False
        if endpoint.name in item.asked:
            self._receive_resume_reply(item, endpoint, message, now)
            return True
        if message.attempt != item.attempt:
            return True
        match message:
            case messages.Reserved():
                self._on_reserved(item, endpoint, now)
            case messages.Prefilled():
                self._on_prefilled(item, endpoint, message, now)
            case messages.Pieces():
                self._on_pieces(item, endpoint, message, now)
            case messages.Finished():
                self._on_finished(item, endpoint, message)
            case messages.Failed():
                self._on_failed(item, endpoint, message, now)
        return True

    def lose_endpoint(self, endpoint: _endpoints.Endpoint, now: float) -> None:
        """Fails the attempts at an endpoint whose link has broken."""
        for attempt in sorted(endpoint.live):
            item = self._by_attempt.get(attempt)
            if item is None:
                continue
            if endpoint.name in item.asked:
                self._end_resume_reply(item, endpoint, now)
                continue
            self._fail_attempt(
                item,
                endpoint,
                verdict=verdicts.MayHaveRun(code=errors.Code.ENDPOINT_LOST),
                now=now,
            )

    def tick(self, now: float) -> None:
        """Ends what has lasted too long and starts what queues."""
        for item in list(self._requests.values()):
            self._check_time(item, now)
        queued = [
            item
            for item in self._requests.values()
            if item.phase is Phase.QUEUED
        ]
        queued.sort(key=lambda item: (item.priority, item.arrived_at))
        for item in queued:
            self._begin_attempt(item, now)

    # Admission.

    def _check_admission(
        self, request: _base.GenerationRequest
    ) -> errors.Code | None:
        settings = self._context.settings
        if not self._context.endpoints.serves(
            role="decode", serves=request.model
        ):
            return errors.Code.UNKNOWN_MODEL
        in_flight = self._workspaces.get(request.workspace, 0)
        if in_flight >= settings.workspace_limit:
            return errors.Code.WORKSPACE_LIMIT
        queued = sum(
            1 for item in self._requests.values() if item.phase is Phase.QUEUED
        )
        if queued >= settings.queue_limit:
            return errors.Code.QUEUE_FULL
        return None

    def _refuse_early(
        self, request: _base.GenerationRequest, code: errors.Code
    ) -> None:
        _LOG.info(
            "gateway %s: request %s: refused. Reason: %s.",
            self._context.name,
            request.request_id,
            code,
        )
        self._context.emit(
            _base.Refuse(
                request_id=request.request_id,
                verdict=verdicts.NotRun(
                    code=code,
                    retry_after_s=self._context.settings.retry_after_s,
                ),
                detail="The request was refused on arrival.",
            )
        )

    def check_same(self, request: _base.GenerationRequest) -> None:
        """Checks that an id isn't in use for another request.

        Raises:
            errors.RequestError: With KEY_REUSED.
        """
        known = self._requests.get(request.request_id)
        if known is None:
            return
        same = dataclasses.replace(
            known.request, resume_offset=request.resume_offset
        )
        if same != request:
            raise errors.RequestError(
                code=errors.Code.KEY_REUSED,
                detail="The request id is in use for another request.",
                status=409,
            )

    def _reattach(
        self, item: Generation, request: _base.GenerationRequest
    ) -> None:
        """Goes on with a request whose caller came back to this gateway."""
        item.request = request
        offset = request.resume_offset or 0
        texts = tuple(item.answer.texts[offset:])
        if texts:
            self._context.emit(
                _base.Deliver(
                    request_id=request.request_id, offset=offset, texts=texts
                )
            )

    # Attempts.

    def _begin_attempt(self, item: Generation, now: float) -> None:
        request = item.request
        endpoint = self._context.choose(
            request_id=request.request_id,
            role="decode",
            serves=request.model,
            tokens=request.prompt_tokens + request.max_tokens,
            zone="",
            excluded=item.excluded,
            now=now,
        )
        if endpoint is None:
            item.phase = Phase.QUEUED
            return
        item.attempt = self._context.issue_attempt()
        item.tries += 1
        item.decode = endpoint
        item.prefill = None
        item.phase = Phase.RESERVING
        item.phase_until = now + self._context.settings.reserve_limit_s
        self._by_attempt[item.attempt] = item
        endpoint.live.add(item.attempt)
        self._context.send(
            endpoint.name,
            messages.Reserve(
                request_id=request.request_id,
                attempt=item.attempt,
                model=request.model,
                tokens=request.prompt_tokens + request.max_tokens,
                priority=item.priority,
            ),
        )

    def _on_reserved(
        self, item: Generation, endpoint: _endpoints.Endpoint, now: float
    ) -> None:
        if item.phase is not Phase.RESERVING or endpoint is not item.decode:
            return
        item.phase = Phase.PREFILLING
        self._place_prefill(item, now)

    def _place_prefill(self, item: Generation, now: float) -> None:
        """Sends the prefill to an endpoint, or fails the attempt."""
        request = item.request
        prefill = self._context.choose(
            request_id=request.request_id,
            role="prefill",
            serves=request.model,
            tokens=request.prompt_tokens,
            zone=item.decode.zone,
            excluded=item.excluded,
            now=now,
        )
        if prefill is None:
            self._fail_attempt(
                item,
                None,
                verdict=verdicts.NotRun(code=errors.Code.NO_ENDPOINT),
                now=now,
            )
            return
        item.prefill = prefill
        item.phase_until = now + self._context.settings.prefill_limit_s
        item.unproved.add(item.attempt)
        prefill.live.add(item.attempt)
        sent = tuple(item.answer.texts)
        self._context.send(
            prefill.name,
            messages.Prefill(
                request_id=request.request_id,
                attempt=item.attempt,
                model=request.model,
                prompt=request.prompt,
                prompt_tokens=request.prompt_tokens + len(sent),
                priority=item.priority,
                sent=sent,
            ),
        )

    def _on_prefilled(
        self,
        item: Generation,
        endpoint: _endpoints.Endpoint,
        message: messages.Prefilled,
        now: float,
    ) -> None:
        if item.phase is not Phase.PREFILLING or endpoint is not item.prefill:
            return
        settings = self._context.settings
        request = item.request
        sent = tuple(item.answer.texts)
        tokens = request.prompt_tokens + len(sent)
        limit_s = settings.transfer_base_s + (
            tokens / settings.transfer_token_rate
        )
        self.prefilled_tokens += message.computed_tokens
        item.phase = Phase.DECODING
        item.phase_until = now + limit_s + settings.decode_limit_s
        self._context.send(
            item.decode.name,
            messages.Decode(
                request_id=request.request_id,
                attempt=item.attempt,
                model=request.model,
                prompt=request.prompt,
                prompt_tokens=tokens,
                max_tokens=request.max_tokens,
                priority=item.priority,
                sent=sent,
                source_address=message.source_address,
                handle=message.handle,
                transfer_limit_s=limit_s,
            ),
        )

    def _on_pieces(
        self,
        item: Generation,
        endpoint: _endpoints.Endpoint,
        message: messages.Pieces,
        now: float,
    ) -> None:
        if item.phase is not Phase.DECODING or endpoint is not item.decode:
            return
        item.phase_until = now + self._context.settings.decode_limit_s
        self._release_prefill(item)
        self._deliver(item, message.offset, message.texts)
        self._complete_if_whole(item)

    def _deliver(
        self, item: Generation, offset: int, texts: tuple[str, ...]
    ) -> None:
        ready = item.answer.add(offset, texts)
        if not ready:
            return
        start = len(item.answer.texts) - len(ready)
        skipped = max(0, (item.request.resume_offset or 0) - start)
        if skipped >= len(ready):
            return
        self._context.emit(
            _base.Deliver(
                request_id=item.request.request_id,
                offset=start + skipped,
                texts=ready[skipped:],
            )
        )

    def _on_finished(
        self,
        item: Generation,
        endpoint: _endpoints.Endpoint,
        message: messages.Finished,
    ) -> None:
        if item.phase is not Phase.DECODING or endpoint is not item.decode:
            return
        item.answer.end(message.tokens, message.reason)
        self._complete_if_whole(item)

    def _complete_if_whole(self, item: Generation) -> None:
        if not item.answer.is_whole():
            return
        self._release_prefill(item)
        self._drop_attempt(item)
        self._remove(item)
        self._context.emit(
            _base.Complete(
                request_id=item.request.request_id,
                tokens=len(item.answer.texts),
                reason=item.answer.reason,
            )
        )

    def _release_prefill(self, item: Generation) -> None:
        """Lets the prefill endpoint free the result once it is imported."""
        if item.prefill is None:
            return
        item.prefill.live.discard(item.attempt)
        self._context.send(
            item.prefill.name,
            messages.Cancel(
                request_id=item.request.request_id, attempt=item.attempt
            ),
        )
        item.prefill = None

    # Failures.

    def _on_failed(
        self,
        item: Generation,
        endpoint: _endpoints.Endpoint,
        message: messages.Failed,
        now: float,
    ) -> None:
        if message.code == errors.Code.SUPERSEDED:
            self._drop_attempt(item)
            self._end(
                item,
                verdicts.MayHaveRun(code=errors.Code.SUPERSEDED),
                "The caller went on through another gateway.",
            )
            return
        verdict = verdicts.make_verdict(
            message.verdict,
            code=message.code,
            retry_after_s=message.retry_after_s,
        )
        if message.code == errors.Code.LEAVING:
            endpoint.leaving = True
        is_refusal = isinstance(verdict, verdicts.NotRun)
        if is_refusal:
            pause_s = self._context.settings.full_pause_s
            endpoint.full_until = now + pause_s
        endpoint.live.discard(item.attempt)
        if endpoint is item.decode:
            item.decode = None
        if endpoint is item.prefill:
            item.prefill = None
            if is_refusal and item.phase is Phase.PREFILLING:
                item.unproved.discard(item.attempt)
                self._place_prefill(item, now)
                return
        self._fail_attempt(item, endpoint, verdict=verdict, now=now)

    def _fail_attempt(
        self,
        item: Generation,
        endpoint: _endpoints.Endpoint | None,
        *,
        verdict: verdicts.Verdict,
        now: float,
    ) -> None:
        """Ends an attempt and starts another one, queues or gives up."""
        _LOG.info(
            "gateway %s: request %s: attempt %d failed in %s at %s. "
            "Verdict: %s, %s.",
            self._context.name,
            item.request.request_id,
            item.attempt,
            item.phase.value,
            endpoint.name if endpoint else "no endpoint",
            verdicts.name_verdict(verdict),
            verdict.code,
        )
        if endpoint is not None:
            self._context.policy.observe(
                endpoint=endpoint.name, succeeded=False, now=now
            )
        self._give_up_attempt(item)
        if verdict.code == errors.Code.REQUEST_TOO_LARGE:
            self._end(item, verdict, "The request is too large.")
            return
        is_refusal = isinstance(verdict, verdicts.NotRun)
        if is_refusal and not item.unproved:
            item.tries -= 1
            if now >= item.queue_until:
                self._end_unserved(item, errors.Code.NO_CAPACITY)
                return
            item.phase = Phase.QUEUED
            if endpoint is not None:
                self._begin_attempt(item, now)
            return
        if endpoint is not None:
            item.excluded.add(endpoint.name)
            if not is_refusal:
                pause_s = self._context.settings.failed_pause_s
                endpoint.avoid_until = now + pause_s
        if item.tries >= self._context.settings.tries:
            self._end_unserved(item, verdict.code)
            return
        if not self._context.budget.spend():
            self._end_unserved(item, errors.Code.RETRY_BUDGET_SPENT)
            return
        item.phase = Phase.QUEUED
        self._begin_attempt(item, now)

    def _give_up_attempt(self, item: Generation) -> None:
        """Cancels the attempt now wherever it may hold anything."""
        if item.phase is Phase.DECODING:
            self.wasted_tokens += item.request.prompt_tokens
        for endpoint in (item.decode, item.prefill):
            if endpoint is None:
                continue
            self._cancel_at(item, endpoint, item.attempt)
        for name, attempt in item.asked.items():
            endpoint = self._context.endpoints.get(name)
            self._cancel_at(item, endpoint, attempt)
        item.asked.clear()
        self._drop_attempt(item)

    def _cancel_at(
        self, item: Generation, endpoint: _endpoints.Endpoint, attempt: int
    ) -> None:
        endpoint.live.discard(attempt)
        if not endpoint.connected:
            return
        self._context.send(
            endpoint.name,
            messages.Cancel(
                request_id=item.request.request_id, attempt=attempt
            ),
        )

    def _drop_attempt(self, item: Generation) -> None:
        self._by_attempt.pop(item.attempt, None)
        for endpoint in (item.decode, item.prefill):
            if endpoint is not None:
                endpoint.live.discard(item.attempt)
        item.decode = None
        item.prefill = None
        item.attempt = 0
        item.answer.drop_early()

    def _end_unserved(self, item: Generation, code: str) -> None:
        if item.unproved or item.answer.texts:
            self._end(
                item,
                verdicts.MayHaveRun(code=code),
                "The request was started and could not be finished.",
            )
            return
        self._end(
            item,
            verdicts.NotRun(
                code=code,
                retry_after_s=self._context.settings.retry_after_s,
            ),
            "No endpoint could take the request in time.",
        )

    def _end(
        self, item: Generation, verdict: verdicts.Verdict, detail: str
    ) -> None:
        _LOG.info(
            "gateway %s: request %s: refused. Verdict: %s, %s.",
            self._context.name,
            item.request.request_id,
            verdicts.name_verdict(verdict),
            verdict.code,
        )
        self._remove(item)
        self._context.emit(
            _base.Refuse(
                request_id=item.request.request_id,
                verdict=verdict,
                detail=detail,
            )
        )

    def _remove(self, item: Generation) -> None:
        self._requests.pop(item.request.request_id, None)
        workspace = item.request.workspace
        left = self._workspaces.get(workspace, 1) - 1
        if left > 0:
            self._workspaces[workspace] = left
        else:
            self._workspaces.pop(workspace, None)

    def _check_time(self, item: Generation, now: float) -> None:
        if now >= item.deadline:
            self._give_up_attempt(item)
            self._end_unserved(item, errors.Code.DEADLINE_EXCEEDED)
            return
        if item.phase is Phase.QUEUED:
            if now >= item.queue_until:
                self._end_unserved(item, errors.Code.NO_CAPACITY)
            return
        if now < item.phase_until:
            return
        if item.phase is Phase.RESUMING:
            self._end_resume(item, now)
            return
        endpoint = item.decode
        if item.phase is Phase.PREFILLING:
            endpoint = item.prefill
        self._fail_attempt(
            item,
            endpoint,
            verdict=verdicts.MayHaveRun(code=errors.Code.DEADLINE_EXCEEDED),
            now=now,
        )

    # Resuming after the loss of another gateway.

    def _ask_to_resume(self, item: Generation, now: float) -> None:
        item.phase = Phase.RESUMING
        item.phase_until = now + self._context.settings.resume_wait_s
        for endpoint in self._context.endpoints.list_all():
            if endpoint.role != "decode" or not endpoint.connected:
                continue
            if endpoint.serves != item.request.model:
                continue
            attempt = self._context.issue_attempt()
            item.asked[endpoint.name] = attempt
            endpoint.live.add(attempt)
            self._by_attempt[attempt] = item
            self._context.send(
                endpoint.name,
                messages.Resume(
                    request_id=item.request.request_id,
                    attempt=attempt,
                    offset=item.request.resume_offset,
                ),
            )
        if not item.asked:
            self._end_resume(item, now)

    def _receive_resume_reply(
        self,
        item: Generation,
        endpoint: _endpoints.Endpoint,
        message: messages.Attempted,
        now: float,
    ) -> None:
        if message.attempt != item.asked[endpoint.name]:
            return
        match message:
            case messages.Resumed():
                self._adopt(item, endpoint, message, now)
            case messages.Failed():
                self._end_resume_reply(item, endpoint, now)

    def _adopt(
        self,
        item: Generation,
        endpoint: _endpoints.Endpoint,
        message: messages.Resumed,
        now: float,
    ) -> None:
        """Goes on with the answer at the endpoint that has the newest."""
        attempt = item.asked.pop(endpoint.name)
        if item.decode is not None:
            if message.previous < item.found_previous:
                self._by_attempt.pop(attempt, None)
                self._cancel_at(item, endpoint, attempt)
                return
            self._by_attempt.pop(item.attempt, None)
            self._cancel_at(item, item.decode, item.attempt)
        item.decode = endpoint
        item.attempt = attempt
        item.found_previous = message.previous
        item.unproved.add(attempt)
        item.phase = Phase.DECODING
        item.phase_until = now + self._context.settings.decode_limit_s
        _LOG.info(
            "gateway %s: request %s: resumes at %s with %d tokens.",
            self._context.name,
            item.request.request_id,
            endpoint.name,
            message.tokens,
        )

    def _end_resume_reply(
        self, item: Generation, endpoint: _endpoints.Endpoint, now: float
    ) -> None:
        attempt = item.asked.pop(endpoint.name)
        endpoint.live.discard(attempt)
        self._by_attempt.pop(attempt, None)
        if not item.asked and item.phase is Phase.RESUMING:
            self._end_resume(item, now)

    def _end_resume(self, item: Generation, now: float) -> None:
        """Starts the request anew: no endpoint has its answer."""
        for name, attempt in list(item.asked.items()):
            endpoint = self._context.endpoints.get(name)
            self._by_attempt.pop(attempt, None)
            self._cancel_at(item, endpoint, attempt)
        item.asked.clear()
        item.phase = Phase.QUEUED
        self._begin_attempt(item, now)
