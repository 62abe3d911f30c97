"""Resumption of answers that another gateway had started."""

from collections.abc import Callable
import logging

from sassafrasstile import messages
from sassafrasstile.gateway import _context
from sassafrasstile.gateway import _generation
from sassafrasstile.gateway import _placements

_LOG = logging.getLogger("sassafrasstile.gateway")

Generation = _generation.Generation
Phase = _generation.Phase
Placement = _placements.Placement[Generation]


class Resumption:
    """Finds the decode endpoint that holds a partial answer.

    Args:
        context: State shared by the parts of the kernel.
        placements: The placements of all requests.
        start_attempt: Starts a request for which no endpoint has an answer.
    """

    def __init__(
        self,
        *,
        context: _context.Context,
        placements: _placements.PlacementTable[Generation],
        start_attempt: Callable[[Generation, float], None],
    ):
        self._context = context
        self._settings = context.settings
        self._placements = placements
        self._start_attempt = start_attempt

    def query_endpoints(self, generation: Generation, now: float) -> None:
        """Asks every decode endpoint of the model for the answer."""
        generation.phase = Phase.RESUMING
        generation.phase_deadline = now + self._settings.resume_wait_s
        for endpoint in self._context.endpoints.list_all():
            if endpoint.role != "decode" or not endpoint.connected:
                continue
            if endpoint.serves != generation.request.model:
                continue
            placement = self._placements.open(
                endpoint, request_id=generation.request_id, item=generation
            )
            generation.resume_queries.append(placement)
            self._context.send(
                endpoint.name,
                messages.Resume(
                    request_id=generation.request_id,
                    attempt=placement.attempt,
                    offset=generation.request.resume_offset,
                ),
            )
        if not generation.resume_queries:
            self.restart(generation, now)

    def receive(
        self, placement: Placement, message: messages.Message, now: float
    ) -> None:
        """Handles an endpoint's reply to a query."""
        match message:
            case messages.Resumed():
                self._on_resumed(placement, message, now)
            case messages.Failed():
                self.handle_no_answer(placement, now)

    def _on_resumed(
        self, placement: Placement, message: messages.Resumed, now: float
    ) -> None:
        """Continues the answer, preferring the latest attempt."""
        generation = placement.item
        generation.resume_queries.remove(placement)
        if message.previous < generation.resumed_from:
            self._placements.cancel(placement)
            return
        self._placements.cancel_all(generation.detach_placements())
        generation.decode = placement
        generation.resumed_from = message.previous
        generation.phase = Phase.DECODING
        generation.phase_deadline = now + self._settings.decode_limit_s
        _LOG.info(
            "gateway %s: request %s: resumes at %s with %d tokens.",
            self._context.name,
            generation.request_id,
            placement.endpoint.name,
            message.tokens,
        )

    def handle_no_answer(self, placement: Placement, now: float) -> None:
        """Handles that an endpoint doesn't have the answer."""
        generation = placement.item
        generation.resume_queries.remove(placement)
        self._placements.drop(placement)
        if not generation.resume_queries and generation.phase is Phase.RESUMING:
            self.restart(generation, now)

    def restart(self, generation: Generation, now: float) -> None:
        """Starts the request from its prompt, without an answer to resume.

        Endpoints that haven't replied may still have an answer. It is used if
        they reply before the new attempt has one.
        """
        if generation.resume_queries:
            _LOG.info(
                "gateway %s: request %s: starts from its prompt. Reason: %d "
                "sidecars haven't said whether they have an answer.",
                self._context.name,
                generation.request_id,
                len(generation.resume_queries),
            )
        self._start_attempt(generation, now)

    def take_back(self, placement: Placement, now: float) -> bool:
        """Waits for the reply to a query that found this request's attempt.

        A query that is handled late may find the attempt that was started
        meanwhile, and supersedes it.

        Args:
            placement: The superseded placement.
            now: Kernel time in seconds.

        Returns:
            False when no query is open at the placement's endpoint.
        """
        generation = placement.item
        endpoint = placement.endpoint
        if all(
            query.endpoint is not endpoint
            for query in generation.resume_queries
        ):
            return False
        self._placements.cancel_all(generation.detach_placements())
        generation.phase = Phase.RESUMING
        generation.phase_deadline = now + self._settings.resume_wait_s
        return True

    def end_search(self, generation: Generation) -> None:
        """Cancels the open queries; an answer that they find is released."""
        self._placements.cancel_all(generation.detach_queries())
