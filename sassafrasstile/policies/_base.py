"""The interface of policies."""

import abc
from collections.abc import Sequence
import dataclasses
import random


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndpointView:
    """A gateway's possibly stale information about an endpoint.

    Attributes:
        name: The endpoint's name.
        zone: Its availability zone.
        slots: Maximum number of concurrent requests.
        free_slots: Free slots in the last report.
        in_flight: Requests that this gateway has in flight at the endpoint.
        backlog_s: Seconds of queued work in the last report.
    """

    name: str
    zone: str = ""
    slots: int = 0
    free_slots: int = 0
    in_flight: int = 0
    backlog_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class WorkRequest:
    """The properties of a request that a policy may use.

    Attributes:
        request_id: The request's id.
        tokens: Its size in tokens.
        zone: The preferred availability zone, or an empty string.
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
            candidates: The endpoints that may take the request; at least one.
            request: The request.
            now: Kernel time in seconds.

        Returns:
            One of the candidates.
        """

    def observe(  # noqa: B027 - optional hook
        self, *, endpoint: str, succeeded: bool, now: float
    ) -> None:
        """Records the outcome of an attempt. By default it is ignored.

        Args:
            endpoint: The endpoint's name.
            succeeded: False when the attempt failed or was refused.
            now: Kernel time in seconds.
        """


def estimate_load(view: EndpointView) -> float:
    """Returns the share of slots in use plus the backlog in seconds.

    A report may be older than some of this gateway's own requests, so the
    larger of the reported and the own number of requests counts.

    >>> estimate_load(EndpointView(name="a", slots=10, free_slots=4))
    0.6
    """
    slots = max(1, view.slots)
    reported = slots - view.free_slots
    return max(reported, view.in_flight) / slots + view.backlog_s
