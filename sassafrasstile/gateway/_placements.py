"""Placements of requests at endpoints, each with a unique attempt number.

The number is issued when the placement's first message is sent. A renewal
that was created earlier therefore never covers the placement, in whatever
order the two messages arrive.
"""

from collections.abc import Iterable
import dataclasses
from typing import Generic, TypeVar

from sassafrasstile import messages
from sassafrasstile.gateway import _context
from sassafrasstile.gateway import _endpoints

Item = TypeVar("Item")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Placement(Generic[Item]):
    """One request's work at one endpoint.

    Attributes:
        endpoint: The endpoint.
        attempt: The attempt's number.
        request_id: The request's id.
        item: The request's state.
    """

    endpoint: _endpoints.Endpoint
    attempt: int
    request_id: str
    item: Item


class PlacementTable(Generic[Item]):
    """All placements of one kind of request.

    Args:
        context: State shared by the parts of the kernel.
    """

    def __init__(self, *, context: _context.Context):
        self._context = context
        self._placements: dict[int, Placement[Item]] = {}

    def open(
        self, endpoint: _endpoints.Endpoint, *, request_id: str, item: Item
    ) -> Placement[Item]:
        """Creates a placement whose first message is about to be sent."""
        placement = Placement(
            endpoint=endpoint,
            attempt=self._context.issue_attempt_number(),
            request_id=request_id,
            item=item,
        )
        self._placements[placement.attempt] = placement
        endpoint.live_attempts.add(placement.attempt)
        return placement

    def find(
        self, endpoint: _endpoints.Endpoint, message: messages.Message
    ) -> Placement[Item] | None:
        """Returns the placement that a message is about, or None."""
        placement = self._placements.get(getattr(message, "attempt", 0))
        if placement is None or placement.endpoint is not endpoint:
            return None
        return placement

    def is_open(self, placement: Placement[Item]) -> bool:
        """Returns whether a placement has neither ended nor been cancelled."""
        return placement.attempt in self._placements

    def list_at(self, endpoint: _endpoints.Endpoint) -> list[Placement[Item]]:
        """Returns the placements at an endpoint, oldest first."""
        return [
            self._placements[attempt]
            for attempt in sorted(endpoint.live_attempts)
            if attempt in self._placements
        ]

    def drop(self, placement: Placement[Item] | None) -> None:
        """Removes a placement whose endpoint holds nothing for it any more."""
        if placement is None:
            return
        self._placements.pop(placement.attempt, None)
        placement.endpoint.live_attempts.discard(placement.attempt)

    def cancel(self, placement: Placement[Item] | None) -> None:
        """Removes a placement and cancels its work at the endpoint."""
        if placement is None or placement.attempt not in self._placements:
            return
        self.drop(placement)
        if not placement.endpoint.connected:
            return
        self._context.send(
            placement.endpoint.name,
            messages.Cancel(
                request_id=placement.request_id, attempt=placement.attempt
            ),
        )

    def cancel_all(self, placements: Iterable[Placement[Item] | None]) -> None:
        """Removes placements and cancels their work at the endpoints."""
        for placement in placements:
            self.cancel(placement)
