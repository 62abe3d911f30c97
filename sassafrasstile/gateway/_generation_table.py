"""Generation requests: reserve, prefill, transfer and decode, or resume."""

import dataclasses
import logging

from sassafrasstile import errors
from sassafrasstile import messages
from sassafrasstile import verdicts
from sassafrasstile.gateway import _admission
from sassafrasstile.gateway import _base
from sassafrasstile.gateway import _context
from sassafrasstile.gateway import _endpoints
from sassafrasstile.gateway import _generation
from sassafrasstile.gateway import _generation_messages
from sassafrasstile.gateway import _placements
from sassafrasstile.gateway import _resumption

_LOG = logging.getLogger("sassafrasstile.gateway")

Generation = _generation.Generation
Phase = _generation.Phase
Placement = _placements.Placement[Generation]


class GenerationTable:
    """All generation requests of one gateway.

    Args:
        context: What the kernel's parts share.
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
            begin_anew=self._begin_attempt,
        )
        self._requests: dict[str, Generation] = {}

    def __len__(self) -> int:
        return len(self._requests)

    # Inputs.

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

    def submit(self, request: _base.GenerationRequest, now: float) -> None:
        """Takes a new request, queues it or refuses it."""
        known = self._requests.get(request.request_id)
        if known is not None:
            self._reattach(known, request)
            return
        self._context.budget.earn()
        code = self._admission.refuse(request, queued=self._count_queued())
        if code is not None:
            self._refuse_early(request, code)
            return
        item = self._admission.admit(request, now)
        self._requests[request.request_id] = item
        if request.resume_offset is not None:
            self._resumption.ask(item, now)
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
        placement = self._placements.find(endpoint, message)
        if placement is None:
            return False
        item = placement.item
        if placement in item.asked:
            self._resumption.receive(placement, message, now)
            return True
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

    def lose_endpoint(self, endpoint: _endpoints.Endpoint, now: float) -> None:
        """Fails the attempts at an endpoint whose link has broken."""
        for placement in self._placements.list_at(endpoint):
            if placement in placement.item.asked:
                self._resumption.end_reply(placement, now)
                continue
            self._fail_attempt(
                placement.item,
                endpoint,
                verdict=verdicts.MayHaveRun(code=errors.Code.ENDPOINT_LOST),
                now=now,
            )

    def lapse(self) -> None:
        """Gives up what hadn't come to a decode before a long pause.

        Its leases have lapsed, and its caller may have gone meanwhile; the
        next tick finds out by then which requests are still wanted.
        """
        for item in self._requests.values():
            if item.phase in (Phase.RESERVING, Phase.PREFILLING):
                self._placements.cancel_all(item.take_placements())
                item.phase = Phase.QUEUED

    def tick(self, now: float) -> None:
        """Ends what has lasted too long and starts what queues."""
        for item in list(self._requests.values()):
            self._check_time(item, now)
        queued = [
            item
            for item in self._requests.values()
            if item.phase is Phase.QUEUED
        ]
        late_before = now - self._settings.late_after_s
        queued.sort(key=lambda item: item.rank(late_before=late_before))
        for item in queued:
            self._begin_attempt(item, now)

    # Admission.

    def _count_queued(self) -> int:
        return sum(
            1 for item in self._requests.values() if item.phase is Phase.QUEUED
        )

    def _refuse_early(
        self, request: _base.GenerationRequest, code: errors.Code
    ) -> None:
        _LOG.info(
            "gateway %s: request %s: refused. Reason: %s.",
            self._context.name,
            request.request_id,
            code,
        )
        verdict: verdicts.Verdict = verdicts.NotRun(
            code=code, retry_after_s=self._settings.retry_after_s
        )
        if request.resume_offset is not None:
            verdict = verdicts.MayHaveRun(code=code)
        self._context.emit(
            _base.Refuse(
                request_id=request.request_id,
                verdict=verdict,
                detail="The request was refused on arrival.",
            )
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
        """Asks a decode endpoint for memory, or leaves the item queued."""
        item.phase = Phase.QUEUED
        endpoint = self._context.choose(
            request_id=item.request_id,
            role="decode",
            serves=item.request.model,
            tokens=item.size,
            zone="",
            excluded=item.excluded,
            now=now,
        )
        if endpoint is None:
            return
        item.tries += 1
        item.decode = self._open(item, endpoint)
        item.phase = Phase.RESERVING
        item.phase_until = now + self._settings.reserve_limit_s
        self._context.send(
            endpoint.name, _generation_messages.make_reserve(item)
        )

    def _open(
        self, item: Generation, endpoint: _endpoints.Endpoint
    ) -> Placement:
        return self._placements.open(
            endpoint, request_id=item.request_id, item=item
        )

    def _on_reserved(self, placement: Placement, now: float) -> None:
        item = placement.item
        if item.phase is not Phase.RESERVING or placement is not item.decode:
            return
        item.phase = Phase.PREFILLING
        self._place_prefill(item, now)

    def _place_prefill(self, item: Generation, now: float) -> None:
        """Sends the prefill to an endpoint, or fails the attempt."""
        request = item.request
        endpoint = self._context.choose(
            request_id=item.request_id,
            role="prefill",
            serves=request.model,
            tokens=request.prompt_tokens,
            zone=item.decode.endpoint.zone,
            excluded=item.excluded,
            now=now,
        )
        if endpoint is None:
            self._fail_attempt(
                item,
                None,
                verdict=verdicts.NotRun(code=errors.Code.NO_ENDPOINT),
                now=now,
            )
            return
        item.prefill = self._open(item, endpoint)
        item.phase_until = now + self._settings.prefill_limit_s
        item.unproved.add(item.prefill.attempt)
        self._context.send(
            endpoint.name, _generation_messages.make_prefill(item)
        )

    def _on_prefilled(
        self, placement: Placement, message: messages.Prefilled, now: float
    ) -> None:
        item = placement.item
        if item.phase is not Phase.PREFILLING or placement is not item.prefill:
            return
        order = _generation_messages.make_decode(item, message, self._settings)
        item.phase = Phase.DECODING
        item.phase_until = (
            now + order.transfer_limit_s + self._settings.decode_limit_s
        )
        self._context.send(item.decode.endpoint.name, order)

    def _on_pieces(
        self, placement: Placement, message: messages.Pieces, now: float
    ) -> None:
        item = placement.item
        if item.phase is not Phase.DECODING or placement is not item.decode:
            return
        item.phase_until = now + self._settings.decode_limit_s
        self._release_prefill(item)
        self._deliver(item, message.offset, message.texts)
        self._finish_if_complete(item)

    def _deliver(
        self, item: Generation, offset: int, texts: tuple[str, ...]
    ) -> None:
        ready = item.answer.add(offset, texts)
        start = len(item.answer.texts) - len(ready)
        skipped = max(0, (item.request.resume_offset or 0) - start)
        if skipped >= len(ready):
            return
        self._context.emit(
            _base.Deliver(
                request_id=item.request_id,
                offset=start + skipped,
                texts=ready[skipped:],
            )
        )

    def _on_finished(
        self, placement: Placement, message: messages.Finished
    ) -> None:
        item = placement.item
        if item.phase is not Phase.DECODING or placement is not item.decode:
            return
        item.answer.end(message.tokens, message.reason)
        self._finish_if_complete(item)

    def _finish_if_complete(self, item: Generation) -> None:
        if not item.answer.is_complete():
            return
        self._placements.drop(item.decode)
        self._remove(item)
        self._context.emit(
            _base.Complete(
                request_id=item.request_id,
                tokens=len(item.answer.texts),
                reason=item.answer.reason,
            )
        )

    def _release_prefill(self, item: Generation) -> None:
        """Lets the prefill endpoint free the result once it is imported."""
        self._placements.cancel(item.prefill)
        item.prefill = None

    # Failures.

    def _on_failed(
        self, placement: Placement, message: messages.Failed, now: float
    ) -> None:
        item = placement.item
        self._placements.drop(placement)
        if message.code == errors.Code.SUPERSEDED:
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
        endpoint = placement.endpoint
        is_refusal = isinstance(verdict, verdicts.NotRun)
        if is_refusal:
            endpoint.record_refusal(
                message.code, until=now + self._settings.full_pause_s
            )
        if placement is item.prefill and is_refusal:
            item.unproved.discard(placement.attempt)
            item.prefill = None
            if item.phase is Phase.PREFILLING:
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
            "gateway %s: request %s: attempt failed in %s at %s. "
            "Verdict: %s, %s.",
            self._context.name,
            item.request_id,
            item.phase.value,
            endpoint.name if endpoint else "no endpoint",
            verdicts.name_verdict(verdict),
            verdict.code,
        )
        self._observe_failure(endpoint, verdict, now)
        self._placements.cancel_all(item.take_placements())
        item.answer.discard_undelivered()
        if verdict.code == errors.Code.REQUEST_TOO_LARGE:
            self._end(item, verdict, "The request is too large.")
            return
        if isinstance(verdict, verdicts.NotRun):
            self._requeue(item, endpoint, now)
            return
        item.excluded.add(endpoint.name)
        if item.tries >= self._settings.tries:
            self._end_unserved(item, verdict.code)
        elif not self._context.budget.spend():
            self._end_unserved(item, errors.Code.RETRY_BUDGET_SPENT)
        else:
            self._begin_attempt(item, now)

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
        item: Generation,
        endpoint: _endpoints.Endpoint | None,
        now: float,
    ) -> None:
        """Lets a refused request try another endpoint, or wait for one."""
        item.tries -= 1
        item.phase = Phase.QUEUED
        if now >= item.queue_until:
            self._end_unserved(item, errors.Code.NO_CAPACITY)
        elif endpoint is not None:
            self._begin_attempt(item, now)

    def _end_unserved(self, item: Generation, code: str) -> None:
        if item.may_have_run:
            self._end(
                item,
                verdicts.MayHaveRun(code=code),
                "The request was started and could not be finished.",
            )
            return
        self._end(
            item,
            verdicts.NotRun(
                code=code, retry_after_s=self._settings.retry_after_s
            ),
            "No endpoint could take the request in time.",
        )

    def _end(
        self, item: Generation, verdict: verdicts.Verdict, detail: str
    ) -> None:
        _LOG.info(
            "gateway %s: request %s: refused. Verdict: %s, %s.",
            self._context.name,
            item.request_id,
            verdicts.name_verdict(verdict),
            verdict.code,
        )
        self._remove(item)
        self._context.emit(
            _base.Refuse(
                request_id=item.request_id, verdict=verdict, detail=detail
            )
        )

    def _remove(self, item: Generation) -> None:
        self._placements.cancel_all(item.take_placements())
        del self._requests[item.request_id]
        self._admission.release(item.request)

    def _check_time(self, item: Generation, now: float) -> None:
        if now >= item.deadline:
            self._end_unserved(item, errors.Code.DEADLINE_EXCEEDED)
            return
        if item.phase is Phase.QUEUED:
            if now >= item.queue_until:
                self._end_unserved(item, errors.Code.NO_CAPACITY)
            return
        if now < item.phase_until:
            return
        if item.phase is Phase.RESUMING:
            self._resumption.end(item, now)
            return
        placement = item.decode
        if item.phase is Phase.PREFILLING:
            placement = item.prefill
        self._fail_attempt(
            item,
            placement.endpoint,
            verdict=verdicts.MayHaveRun(code=errors.Code.DEADLINE_EXCEEDED),
            now=now,
        )
