"""The contract of policies."""

import abc
from collections.abc import Sequence
import dataclasses
import random


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndpointView:
    """What a gateway knows of an endpoint, possibly out of date.

    Attributes:
        name: The endpoint's name.
        zone: Its availability zone.
        slots: Requests that fit at once.
        free_slots: Free slots in the last report.
        in_flight: Requests of this gateway there now.
        backlog_s: Seconds of work waiting in the last report.
    """

    name: str
    zone: str = ""
    slots: int = 0
    free_slots: int = 0
    in_flight: int = 0
    backlog_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class WorkRequest:
    """What a policy may know of the work to be placed.

    Attributes:
        request_id: The request's id.
        tokens: Its size in tokens.
        zone: The availability zone to be near to, or an empty string.
    """

    request_id: str
    tokens: int = 0
    zone: str = ""


class Policy(abc.ABC):
    """Chooses an endpoint for each request.

    Args:
        generator: The source of random numbers.
    """

    def __init__(self, *, generator: random.Random):
        self.generator = generator

    @abc.abstractmethod
    def choose(
        self,
        candidates: Sequence[EndpointView],
        *,
        request: WorkRequest,
        now: float,
    ) -> EndpointView:
        """Chooses one of the candidates.

        Args:
            candidates: At least one endpoint that may take the work.
            request: The work.
            now: Kernel time in seconds.

        Returns:
            One of the candidates.
        """

    def observe(  # noqa: B027 - most policies learn nothing
        self, *, endpoint: str, succeeded: bool, now: float
    ) -> None:
        """Learns from the end of an attempt.

        Args:
            endpoint: The endpoint's name.
            succeeded: False when the attempt failed or was refused.
            now: Kernel time in seconds.
        """


def estimate_use(view: EndpointView) -> float:
    """Returns the share of an endpoint that is in use.

    A report is out of date by the time it is read, so requests of this
    gateway count even where the report doesn't show them yet.

    >>> estimate_use(EndpointView(name="a", slots=10, free_slots=4))
    0.6
    """
    slots = max(1, view.slots)
    reported = slots - view.free_slots
    return max(reported, view.in_flight) / slots + view.backlog_s
