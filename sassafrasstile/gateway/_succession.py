"""Successors of attempts whose sidecar is silent or late.

A sidecar without a fault may send nothing for a second or so and then go on.
Its attempt is therefore kept until another endpoint has taken the request
over, and the retry is paid for.
"""

from collections.abc import Callable
import logging

from sassafrasstile import messages
from sassafrasstile import verdicts
from sassafrasstile.gateway import _context
from sassafrasstile.gateway import _endpoints
from sassafrasstile.gateway import _generation
from sassafrasstile.gateway import _generation_messages
from sassafrasstile.gateway import _placements

_LOG = logging.getLogger("sassafrasstile.gateway")

Generation = _generation.Generation
Phase = _generation.Phase
Placement = _placements.Placement[Generation]


class Succession:
    """Finds endpoints that take over from silent ones.

    Args:
        context: State shared by the parts of the kernel.
        placements: The placements of all requests.
        start_prefill: Starts the prefill of a request whose decode memory is
            reserved.
        finish_prefill: Handles a finished prefill.
    """

    def __init__(
        self,
        *,
        context: _context.Context,
        placements: _placements.PlacementTable[Generation],
        start_prefill: Callable[[Generation, float], None],
        finish_prefill: Callable[[Placement, messages.Prefilled, float], None],
    ):
        self._context = context
        self._settings = context.settings
        self._placements = placements
        self._start_prefill = start_prefill
        self._finish_prefill = finish_prefill

    def tick(self, generation: Generation, now: float) -> None:
        """Looks for a successor while a request's sidecar is overdue."""
        current = generation.find_active_placement()
        if current is None or not self._is_overdue(generation, current, now):
            self.drop(generation)
            return
        if generation.successor is None and now >= generation.next_search_at:
            self._search(generation, current.endpoint, now)

    def _is_overdue(
        self, generation: Generation, current: Placement, now: float
    ) -> bool:
        if generation.phase is Phase.RESERVING:
            return now >= generation.phase_deadline
        return current.endpoint.is_silent

    def drop(self, generation: Generation) -> None:
        """Cancels a successor that isn't needed any more."""
        self._placements.cancel(generation.successor)
        generation.successor = None

    def receive(
        self, placement: Placement, message: messages.Message, now: float
    ) -> None:
        """Handles a successor's message."""
        match message:
            case messages.Reserved():
                self._on_reserved(placement, now)
            case messages.Prefilled():
                self._on_prefilled(placement, message, now)
            case messages.Failed():
                self._on_failed(placement, message, now)

    def handle_lost_link(self, placement: Placement) -> None:
        """Handles that a successor's link was lost."""
        self._placements.drop(placement)
        placement.item.successor = None

    def _search(
        self, generation: Generation, current: _endpoints.Endpoint, now: float
    ) -> None:
        """Asks another endpoint, if the request may be sent once more."""
        generation.next_search_at = now + self._settings.full_pause_s
        if generation.attempt_count >= self._settings.tries:
            return
        if not self._context.budget.has_retry():
            return
        request = generation.request
        is_prefill = generation.phase is Phase.PREFILLING
        endpoint = self._context.choose_endpoint(
            request_id=generation.request_id,
            role=current.role,
            serves=request.model,
            tokens=request.prompt_tokens
            if is_prefill
            else generation.max_total_tokens,
            zone=generation.decode.endpoint.zone if is_prefill else "",
            excluded=generation.excluded | {current.name},
            now=now,
        )
        if endpoint is None or endpoint is current:
            return
        generation.successor = self._placements.open(
            endpoint, request_id=generation.request_id, item=generation
        )
        if is_prefill:
            self._send_prefill(generation)
            return
        self._context.send(
            endpoint.name,
            _generation_messages.make_reserve(generation, generation.successor),
        )

    def _send_prefill(self, generation: Generation) -> None:
        """Sends a second prefill, which runs at once and is a retry."""
        self._context.budget.spend()
        generation.attempt_count += 1
        generation.unproven_prefills.add(generation.successor.attempt)
        self._context.send(
            generation.successor.endpoint.name,
            _generation_messages.make_prefill(generation, generation.successor),
        )

    def _on_reserved(self, placement: Placement, now: float) -> None:
        """Moves the request to an endpoint that has reserved memory for it."""
        generation = placement.item
        if not self._context.budget.spend():
            self.drop(generation)
            return
        generation.attempt_count += 1
        generation.successor = None
        self._leave(generation, generation.decode, placement, now)
        self._placements.cancel(generation.prefill)
        generation.prefill = None
        generation.answer.discard_undelivered()
        generation.decode = placement
        generation.phase = Phase.PREFILLING
        self._start_prefill(generation, now)

    def _on_prefilled(
        self, placement: Placement, message: messages.Prefilled, now: float
    ) -> None:
        """Goes on with the prefill that finished first."""
        generation = placement.item
        generation.successor = None
        self._leave(generation, generation.prefill, placement, now)
        generation.prefill = placement
        self._finish_prefill(placement, message, now)

    def _leave(
        self,
        generation: Generation,
        current: Placement,
        successor: Placement,
        now: float,
    ) -> None:
        silent = current.endpoint
        _LOG.info(
            "gateway %s: request %s: moves from %s to %s in %s. Reason: no "
            "answer in time, silent for %.1f s.",
            self._context.name,
            generation.request_id,
            silent.name,
            successor.endpoint.name,
            generation.phase.value,
            silent.measure_silence(now),
        )
        self._context.policy.observe(
            endpoint=silent.name, succeeded=False, now=now
        )
        silent.avoid_until = now + self._settings.failed_pause_s
        generation.excluded.add(silent.name)
        self._placements.cancel(current)

    def _on_failed(
        self, placement: Placement, message: messages.Failed, now: float
    ) -> None:
        """Waits on; another endpoint may be asked after a short pause."""
        generation = placement.item
        self._placements.drop(placement)
        generation.successor = None
        generation.next_search_at = now + self._settings.full_pause_s
        verdict = verdicts.make_verdict(
            message.verdict,
            code=message.code,
            retry_after_s=message.retry_after_s,
        )
        if not isinstance(verdict, verdicts.NotRun):
            generation.excluded.add(placement.endpoint.name)
            return
        placement.endpoint.record_refusal(
            message.code, until=generation.next_search_at
        )
        if placement.attempt in generation.unproven_prefills:
            generation.unproven_prefills.discard(placement.attempt)
            generation.attempt_count -= 1
            self._context.budget.refund()
