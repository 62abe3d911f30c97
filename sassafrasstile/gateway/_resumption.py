"""Goes on with answers whose gateway is lost."""

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
    """Finds the decode endpoint that has an answer begun elsewhere.

    Args:
        context: What the kernel's parts share.
        placements: The placements of all requests.
        begin_anew: Starts a request for which no endpoint has an answer.
    """

    def __init__(
        self,
        *,
        context: _context.Context,
        placements: _placements.PlacementTable[Generation],
        begin_anew: Callable[[Generation, float], None],
    ):
        self._context = context
        self._settings = context.settings
        self._placements = placements
        self._begin_anew = begin_anew

    def ask(self, item: Generation, now: float) -> None:
        """Asks every decode endpoint of the model for the answer."""
        item.phase = Phase.RESUMING
        item.phase_until = now + self._settings.resume_wait_s
        for endpoint in self._context.endpoints.list_all():
            if endpoint.role != "decode" or not endpoint.connected:
                continue
            if endpoint.serves != item.request.model:
                continue
            placement = self._placements.open(
                endpoint, request_id=item.request_id, item=item
            )
            item.asked.append(placement)
            self._context.send(
                endpoint.name,
                messages.Resume(
                    request_id=item.request_id,
                    attempt=placement.attempt,
                    offset=item.request.resume_offset,
                ),
            )
        if not item.asked:
            self.end(item, now)

    def receive(
        self, placement: Placement, message: messages.Message, now: float
    ) -> None:
        """Handles the reply of an endpoint that was asked."""
        match message:
            case messages.Resumed():
                self._adopt(placement, message, now)
            case messages.Failed():
                self.end_reply(placement, now)

    def _adopt(
        self, placement: Placement, message: messages.Resumed, now: float
    ) -> None:
        """Goes on with the answer at the endpoint that has the newest."""
        item = placement.item
        item.asked.remove(placement)
        if item.decode is not None:
            if message.previous < item.resumed_from:
                self._placements.cancel(placement)
                return
            self._placements.cancel(item.decode)
        item.decode = placement
        item.resumed_from = message.previous
        item.phase = Phase.DECODING
        item.phase_until = now + self._settings.decode_limit_s
        _LOG.info(
            "gateway %s: request %s: resumes at %s with %d tokens.",
            self._context.name,
            item.request_id,
            placement.endpoint.name,
            message.tokens,
        )

    def end_reply(self, placement: Placement, now: float) -> None:
        """Notes that an endpoint doesn't have the answer."""
        item = placement.item
        item.asked.remove(placement)
        self._placements.drop(placement)
        if not item.asked and item.phase is Phase.RESUMING:
            self.end(item, now)

    def end(self, item: Generation, now: float) -> None:
        """Starts the request anew: no endpoint has its answer."""
        self._placements.cancel_all(item.take_placements())
        self._begin_anew(item, now)
