"""Generation requests: reserve, prefill, transfer and decode, or resume."""

import dataclasses
import logging

from sassafrasstile import errors
from sassafrasstile import messages
from sassafrasstile import verdicts
from sassafrasstile.gateway import _admission
from sassafrasstile.gateway import _arrival
from sassafrasstile.gateway import _base
from sassafrasstile.gateway import _context
from sassafrasstile.gateway import _endpoints
from sassafrasstile.gateway import _generation
from sassafrasstile.gateway import _generation_messages
from sassafrasstile.gateway import _placements
from sassafrasstile.gateway import _resumption
from sassafrasstile.gateway import _succession

_LOG = logging.getLogger("sassafrasstile.gateway")

Generation = _generation.Generation
Phase = _generation.Phase
Placement = _placements.Placement[Generation]


class GenerationTable:
    """All generation requests in flight at one gateway.

    Args:
        context: State shared by the parts of the kernel.
    """

    def __init__(self, *, context: _context.Context):
        self._context = context
        self._settings = context.settings
        self._admission = _admission.Admission(
            settings=context.settings, endpoints=context.endpoints
        )
        self._placements: _placements.PlacementTable[Generation] = (
            _placements.PlacementTable(context=context)
        )
        self._resumption = _resumption.Resumption(
            context=context,
            placements=self._placements,
            start_attempt=self._start_attempt,
        )
        self._succession = _succession.Succession(
            context=context,
            placements=self._placements,
            start_prefill=self._start_prefill,
            finish_prefill=self._on_prefilled,
        )
        self._requests: dict[str, Generation] = {}

    def __len__(self) -> int:
        return len(self._requests)

    # Inputs.

    def check_id_reuse(self, request: _base.GenerationRequest) -> None:
        """Checks that a request's id isn't in use for a different request.

        Raises:
            errors.RequestError: If it is, with code KEY_REUSED.
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

    def submit(self, request: _base.GenerationRequest, now: float) -> None:
        """Starts, queues, resumes or refuses a request."""
        known = self._requests.get(request.request_id)
        if known is not None:
            self._reattach(known, request)
            return
        self._context.budget.earn()
        code = self._admission.find_refusal(
            request, queued=self._count_queued()
        )
        if code is not None:
            self._refuse_on_arrival(request, code)
            return
        generation = self._admission.admit(request, now)
        self._requests[request.request_id] = generation
        if request.resume_offset is not None:
            self._resumption.query_endpoints(generation, now)
        else:
            self._start_attempt(generation, now)

    def cancel(self, request_id: str, now: float) -> None:
        """Cancels a request whose caller disconnected."""
        generation = self._requests.get(request_id)
        if generation is None:
            return
        _LOG.info(
            "gateway %s: request %s: cancelled. Reason: the caller "
            "disconnected.",
            self._context.name,
            request_id,
        )
        self._remove(generation)

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
        placement = self._placements.find(endpoint, message)
        if placement is None:
            return False
        generation = placement.item
        if placement in generation.resume_queries:
            self._resumption.receive(placement, message, now)
            return True
        if placement is generation.successor:
            self._succession.receive(placement, message, now)
            return True
        self._succession.drop(generation)
        match message:
            case messages.Reserved():
                self._on_reserved(placement, now)
            case messages.Prefilled():
                self._on_prefilled(placement, message, now)
            case messages.Pieces():
                self._on_pieces(placement, message, now)
            case messages.Finished():
                self._on_finished(placement, message)
            case messages.Failed():
                self._on_failed(placement, message, now)
        return True

    def fail_attempts_at(
        self, endpoint: _endpoints.Endpoint, now: float
    ) -> None:
        """Fails the attempts at an endpoint whose link was lost."""
        for placement in self._placements.list_at(endpoint):
            if not self._placements.is_open(placement):
                continue
            if placement is placement.item.successor:
                self._succession.handle_lost_link(placement)
                continue
            if placement in placement.item.resume_queries:
                self._resumption.handle_no_answer(placement, now)
                continue
            self._fail_attempt(
                placement.item,
                endpoint,
                verdict=verdicts.MayHaveRun(code=errors.Code.ENDPOINT_LOST),
                now=now,
            )

    def requeue_before_decode(self) -> None:
        """Requeues requests that weren't decoding before a long suspension.

        Their leases have expired, and their callers may have disconnected
        meanwhile. The next tick restarts the requests that are still wanted.
        """
        for generation in self._requests.values():
            if generation.phase in (Phase.RESERVING, Phase.PREFILLING):
                self._placements.cancel_all(generation.detach_placements())
                generation.phase = Phase.QUEUED

    def tick(self, now: float) -> None:
        """Handles timeouts and starts attempts of queued requests."""
        for generation in list(self._requests.values()):
            self._check_timeouts(generation, now)
        for generation in self._requests.values():
            self._succession.tick(generation, now)
        queued = [
            generation
            for generation in self._requests.values()
            if generation.phase is Phase.QUEUED
        ]
        late_before = now - self._settings.late_after_s
        queued.sort(
            key=lambda generation: generation.make_queue_key(
                late_before=late_before
            )
        )
        for generation in queued:
            self._start_attempt(generation, now)

    def end_all(self, code: errors.Code) -> None:
        """Refuses all requests, and leaves their work at the endpoints."""
        for generation in list(self._requests.values()):
            placements = [
                *generation.detach_placements(),
                *generation.detach_queries(),
            ]
            for placement in placements:
                self._placements.drop(placement)
            self._refuse_unserved(generation, code)

    # Admission.

    def _count_queued(self) -> int:
        return sum(
            1
            for generation in self._requests.values()
            if generation.phase is Phase.QUEUED
        )

    def _refuse_on_arrival(
        self, request: _base.GenerationRequest, code: errors.Code
    ) -> None:
        _LOG.info(
            "gateway %s: request %s: refused. Reason: %s.",
            self._context.name,
            request.request_id,
            code,
        )
        verdict = _arrival.make_arrival_verdict(
            request, code=code, retry_after_s=self._settings.retry_after_s
        )
        self._context.emit(
            _base.Refuse(
                request_id=request.request_id,
                verdict=verdict,
                detail="The request was refused on arrival.",
            )
        )

    def _reattach(
        self, generation: Generation, request: _base.GenerationRequest
    ) -> None:
        """Continues a request whose caller reconnected to this gateway."""
        generation.request = request
        offset = request.resume_offset or 0
        texts = tuple(generation.answer.texts[offset:])
        if texts:
            self._context.emit(
                _base.Deliver(
                    request_id=request.request_id, offset=offset, texts=texts
                )
            )

    # Attempts.

    def _start_attempt(self, generation: Generation, now: float) -> None:
        """Sends a reservation to a decode endpoint, or queues the request."""
        generation.phase = Phase.QUEUED
        endpoint = self._context.choose_endpoint(
            request_id=generation.request_id,
            role="decode",
            serves=generation.request.model,
            tokens=generation.max_total_tokens,
            zone="",
            excluded=generation.excluded,
            now=now,
        )
        if endpoint is None:
            return
        generation.attempt_count += 1
        generation.decode = self._open_placement(generation, endpoint)
        generation.phase = Phase.RESERVING
        generation.phase_deadline = now + self._settings.reserve_limit_s
        self._context.send(
            endpoint.name,
            _generation_messages.make_reserve(generation, generation.decode),
        )

    def _open_placement(
        self, generation: Generation, endpoint: _endpoints.Endpoint
    ) -> Placement:
        return self._placements.open(
            endpoint, request_id=generation.request_id, item=generation
        )

    def _on_reserved(self, placement: Placement, now: float) -> None:
        generation = placement.item
        if (
            generation.phase is not Phase.RESERVING
            or placement is not generation.decode
        ):
            return
        generation.phase = Phase.PREFILLING
        self._start_prefill(generation, now)

    def _start_prefill(self, generation: Generation, now: float) -> None:
        """Sends the prefill to an endpoint, or fails the attempt."""
        request = generation.request
        endpoint = self._context.choose_endpoint(
            request_id=generation.request_id,
            role="prefill",
            serves=request.model,
            tokens=request.prompt_tokens,
            zone=generation.decode.endpoint.zone,
            excluded=generation.excluded,
            now=now,
        )
        if endpoint is None:
            self._fail_attempt(
                generation,
                None,
                verdict=verdicts.NotRun(code=errors.Code.NO_ENDPOINT),
                now=now,
            )
            return
        generation.prefill = self._open_placement(generation, endpoint)
        generation.phase_deadline = now + self._settings.prefill_limit_s
        generation.unproven_prefills.add(generation.prefill.attempt)
        self._context.send(
            endpoint.name,
            _generation_messages.make_prefill(generation, generation.prefill),
        )

    def _on_prefilled(
        self, placement: Placement, message: messages.Prefilled, now: float
    ) -> None:
        generation = placement.item
        if (
            generation.phase is not Phase.PREFILLING
            or placement is not generation.prefill
        ):
            return
        decode_message = _generation_messages.make_decode(
            generation, message, self._settings
        )
        generation.phase = Phase.DECODING
        generation.phase_deadline = (
            now
            + decode_message.transfer_limit_s
            + self._settings.decode_limit_s
        )
        self._context.send(generation.decode.endpoint.name, decode_message)

    def _on_pieces(
        self, placement: Placement, message: messages.Pieces, now: float
    ) -> None:
        generation = placement.item
        if (
            generation.phase is not Phase.DECODING
            or placement is not generation.decode
        ):
            return
        generation.phase_deadline = now + self._settings.decode_limit_s
        if not generation.resumed_from:
            self._resumption.end_search(generation)
        self._release_prefill(generation)
        self._deliver(generation, message.offset, message.texts)
        self._finish_if_complete(generation)

    def _deliver(
        self, generation: Generation, offset: int, texts: tuple[str, ...]
    ) -> None:
        ready = generation.answer.add(offset, texts)
        start = len(generation.answer.texts) - len(ready)
        skipped = max(0, (generation.request.resume_offset or 0) - start)
        if skipped >= len(ready):
            return
        self._context.emit(
            _base.Deliver(
                request_id=generation.request_id,
                offset=start + skipped,
                texts=ready[skipped:],
            )
        )

    def _on_finished(
        self, placement: Placement, message: messages.Finished
    ) -> None:
        generation = placement.item
        if (
            generation.phase is not Phase.DECODING
            or placement is not generation.decode
        ):
            return
        generation.answer.record_end(message.tokens, message.reason)
        self._finish_if_complete(generation)

    def _finish_if_complete(self, generation: Generation) -> None:
        if not generation.answer.is_complete():
            return
        self._placements.drop(generation.decode)
        self._remove(generation)
        self._context.emit(
            _base.Complete(
                request_id=generation.request_id,
                tokens=len(generation.answer.texts),
                reason=generation.answer.reason,
            )
        )

    def _release_prefill(self, generation: Generation) -> None:
        """Frees the prefill's KV cache once the decode endpoint imported it."""
        self._placements.cancel(generation.prefill)
        generation.prefill = None

    # Failures.

    def _on_failed(
        self, placement: Placement, message: messages.Failed, now: float
    ) -> None:
        generation = placement.item
        self._placements.drop(placement)
        if message.code == errors.Code.SUPERSEDED:
            if self._resumption.take_back(placement, now):
                return
            self._refuse(
                generation,
                verdicts.MayHaveRun(code=errors.Code.SUPERSEDED),
                "The caller went on through another gateway.",
            )
            return
        verdict = verdicts.make_verdict(
            message.verdict,
            code=message.code,
            retry_after_s=message.retry_after_s,
        )
        endpoint = placement.endpoint
        is_refusal = isinstance(verdict, verdicts.NotRun)
        if is_refusal:
            endpoint.record_refusal(
                message.code, until=now + self._settings.full_pause_s
            )
        if placement is generation.prefill and is_refusal:
            generation.unproven_prefills.discard(placement.attempt)
            generation.prefill = None
            if generation.phase is Phase.PREFILLING:
                self._start_prefill(generation, now)
            return
        self._fail_attempt(generation, endpoint, verdict=verdict, now=now)

    def _fail_attempt(
        self,
        generation: Generation,
        endpoint: _endpoints.Endpoint | None,
        *,
        verdict: verdicts.Verdict,
        now: float,
    ) -> None:
        """Ends an attempt, then retries, requeues or refuses the request."""
        _LOG.info(
            "gateway %s: request %s: attempt failed in %s at %s. "
            "Verdict: %s, %s.",
            self._context.name,
            generation.request_id,
            generation.phase.value,
            endpoint.name if endpoint else "no endpoint",
            verdicts.name_verdict(verdict),
            verdict.code,
        )
        self._observe_failure(endpoint, verdict, now)
        self._placements.cancel_all(generation.detach_placements())
        generation.answer.discard_undelivered()
        if verdict.code == errors.Code.REQUEST_TOO_LARGE:
            self._refuse(generation, verdict, "The request is too large.")
            return
        if isinstance(verdict, verdicts.NotRun):
            self._requeue(generation, endpoint, now)
            return
        generation.excluded.add(endpoint.name)
        if generation.attempt_count >= self._settings.tries:
            self._refuse_unserved(generation, verdict.code)
        elif not self._context.budget.spend():
            self._refuse_unserved(generation, errors.Code.RETRY_BUDGET_SPENT)
        else:
            self._start_attempt(generation, now)

    def _observe_failure(
        self,
        endpoint: _endpoints.Endpoint | None,
        verdict: verdicts.Verdict,
        now: float,
    ) -> None:
        if endpoint is None:
            return
        self._context.policy.observe(
            endpoint=endpoint.name, succeeded=False, now=now
        )
        if not isinstance(verdict, verdicts.NotRun):
            endpoint.avoid_until = now + self._settings.failed_pause_s

    def _requeue(
        self,
        generation: Generation,
        endpoint: _endpoints.Endpoint | None,
        now: float,
    ) -> None:
        """Starts another attempt after a refusal, or leaves it queued."""
        generation.attempt_count -= 1
        generation.phase = Phase.QUEUED
        if now >= generation.queue_deadline and not generation.resume_queries:
            self._refuse_unserved(generation, errors.Code.NO_CAPACITY)
        elif endpoint is not None:
            self._start_attempt(generation, now)

    def _refuse_unserved(self, generation: Generation, code: str) -> None:
        if generation.may_have_run:
            self._refuse(
                generation,
                verdicts.MayHaveRun(code=code),
                "The request was started and could not be finished.",
            )
            return
        self._refuse(
            generation,
            verdicts.NotRun(
                code=code, retry_after_s=self._settings.retry_after_s
            ),
            "No endpoint could take the request in time.",
        )

    def _refuse(
        self, generation: Generation, verdict: verdicts.Verdict, detail: str
    ) -> None:
        _LOG.info(
            "gateway %s: request %s: refused. Verdict: %s, %s.",
            self._context.name,
            generation.request_id,
            verdicts.name_verdict(verdict),
            verdict.code,
        )
        self._remove(generation)
        self._context.emit(
            _base.Refuse(
                request_id=generation.request_id, verdict=verdict, detail=detail
            )
        )

    def _remove(self, generation: Generation) -> None:
        self._placements.cancel_all(generation.detach_placements())
        self._resumption.end_search(generation)
        del self._requests[generation.request_id]
        self._admission.release(generation.request)

    def _check_timeouts(self, generation: Generation, now: float) -> None:
        if now >= generation.deadline:
            self._refuse_unserved(generation, errors.Code.DEADLINE_EXCEEDED)
            return
        if generation.phase is Phase.QUEUED:
            if generation.resume_queries:
                return
            if now >= generation.queue_deadline:
                self._refuse_unserved(generation, errors.Code.NO_CAPACITY)
            return
        if now < generation.phase_deadline:
            return
        if generation.phase is Phase.RESUMING:
            self._resumption.restart(generation, now)
            return
        # A late reservation is kept for as long as a lease, while another
        # endpoint is asked too.
        if (
            generation.phase is Phase.RESERVING
            and now < generation.phase_deadline + self._settings.lease_s
        ):
            return
        placement = generation.decode
        if generation.phase is Phase.PREFILLING:
            placement = generation.prefill
        self._fail_attempt(
            generation,
            placement.endpoint,
            verdict=verdicts.MayHaveRun(code=errors.Code.DEADLINE_EXCEEDED),
            now=now,
        )
