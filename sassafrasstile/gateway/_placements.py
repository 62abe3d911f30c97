"""Attempts of requests at endpoints, each under a number of its own.

A number is issued when the first message of a placement is sent. So a
renewal that was made earlier never speaks of a later placement, in whatever
order the two arrive.
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
        item: The request.
    """

    endpoint: _endpoints.Endpoint
    attempt: int
    request_id: str
    item: Item


class PlacementTable(Generic[Item]):
    """All placements of one kind of request.

    Args:
        context: What the kernel's parts share.
    """

    def __init__(self, *, context: _context.Context):
        self._context = context
        self._placements: dict[int, Placement[Item]] = {}

    def open(
        self, endpoint: _endpoints.Endpoint, *, request_id: str, item: Item
    ) -> Placement[Item]:
        """Opens a placement whose first message is about to be sent."""
        placement = Placement(
            endpoint=endpoint,
            attempt=self._context.issue_attempt(),
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

    def list_at(self, endpoint: _endpoints.Endpoint) -> list[Placement[Item]]:
        """Returns the placements at an endpoint, oldest first."""
        return [
            self._placements[attempt]
            for attempt in sorted(endpoint.live_attempts)
            if attempt in self._placements
        ]

    def drop(self, placement: Placement[Item] | None) -> None:
        """Forgets a placement that holds nothing any more."""
        if placement is None:
            return
        self._placements.pop(placement.attempt, None)
        placement.endpoint.live_attempts.discard(placement.attempt)

    def cancel(self, placement: Placement[Item] | None) -> None:
        """Forgets a placement and frees what it may hold."""
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
        """Forgets placements and frees what they may hold."""
        for placement in placements:
            self.cancel(placement)
