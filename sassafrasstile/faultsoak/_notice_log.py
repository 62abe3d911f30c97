"""What endpoints announced, and what they were sent afterwards."""

from collections.abc import Iterator, Mapping, Sequence
import dataclasses

from sassafrasstile.faultsoak import _callers

# A request that its caller sent later than this after a drain notice may not
# reach the endpoint: half of the time that the platform allows.
_DRAIN_BOUND_S = 1.0
# Requests that were under way when a back-off was asked for arrive within this
# time.
_UNDER_WAY_S = 0.5
# Requests of one gateway that may arrive during the rest of a back-off.
_MAX_ARRIVALS = 2
# A gateway or link that was disturbed is slow for this long afterwards.
_RECOVERY_S = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Arrival:
    """A caller's request that arrived at an endpoint.

    Attributes:
        endpoint: The endpoint's name.
        request_id: The request's id.
        at: When it arrived, in seconds.
    """

    endpoint: str
    request_id: str
    at: float


@dataclasses.dataclass(kw_only=True)
class Notice:
    """An answer that restricts what its endpoint may be sent.

    Attributes:
        endpoint: The endpoint's name.
        request_id: The id of the request that it answers.
        at: When it was sent, in seconds.
        until: When it no longer applies, in seconds.
        is_leaving: True for a drain notice, False for a back-off.
    """

    endpoint: str
    request_id: str
    at: float
    until: float = float("inf")
    is_leaving: bool = False


@dataclasses.dataclass(kw_only=True)
class Disturbance:
    """A time in which a gateway or a link can't be expected to work.

    Attributes:
        name: The gateway, or the endpoint to which the link leads.
        since: When it began, in seconds.
        until: When it ended, in seconds.
    """

    name: str
    since: float
    until: float = float("inf")

    def end(self, now: float) -> None:
        """Ends it, apart from the time to recover."""
        self.until = now + _RECOVERY_S


class NoticeLog:
    """Checks what endpoints are sent against what they announced."""

    def __init__(self):
        self.arrivals: list[Arrival] = []
        self.notices: list[Notice] = []
        self.disturbances: list[Disturbance] = []

    def disturb(self, name: str, now: float) -> Disturbance:
        """Records the beginning of a disturbance and returns it."""
        disturbance = Disturbance(name=name, since=now)
        self.disturbances.append(disturbance)
        return disturbance

    def end_notices(self, endpoint: str, now: float) -> None:
        """Ends the notices of an endpoint that a new instance replaces."""
        for notice in self.notices:
            if notice.endpoint == endpoint:
                notice.until = min(notice.until, now)

    def check(self, outcomes: Mapping[str, _callers.Outcome]) -> list[str]:
        """Returns the violations, one sentence each.

        Args:
            outcomes: The outcomes of all requests by id.
        """
        return [
            violation
            for notice in self.notices
            for violation in self._check_notice(notice, outcomes)
        ]

    def _check_notice(
        self, notice: Notice, outcomes: Mapping[str, _callers.Outcome]
    ) -> Iterator[str]:
        answered = outcomes.get(notice.request_id)
        if answered is None or answered.has_disconnected:
            # The gateway may have closed the connection before the answer.
            return
        arrivals = [
            item
            for item in self.arrivals
            if item.endpoint == notice.endpoint
            and item.request_id in outcomes
            and outcomes[item.request_id].gateway == answered.gateway
            and not self.has_disturbance(
                (answered.gateway, notice.endpoint), notice.at, item.at
            )
        ]
        if notice.is_leaving:
            yield from self._check_leaving(notice, arrivals, outcomes)
        else:
            yield from self._check_backoff(notice, arrivals)

    def has_disturbance(
        self, names: Sequence[str], since: float, until: float
    ) -> bool:
        """Returns whether gateways or links were disturbed between times."""
        return any(
            item.name in names and item.since <= until and item.until >= since
            for item in self.disturbances
        )

    @staticmethod
    def _check_leaving(
        notice: Notice,
        arrivals: list[Arrival],
        outcomes: Mapping[str, _callers.Outcome],
    ) -> Iterator[str]:
        for item in arrivals:
            sent_at = outcomes[item.request_id].sent_at
            is_late = sent_at > notice.at + _DRAIN_BOUND_S
            if is_late and item.at < notice.until:
                yield (
                    f"{item.request_id}: reached {notice.endpoint}, which had "
                    f"announced to leave in its answer to {notice.request_id}"
                )

    @staticmethod
    def _check_backoff(
        notice: Notice, arrivals: list[Arrival]
    ) -> Iterator[str]:
        since = notice.at + _UNDER_WAY_S
        during = [item for item in arrivals if since < item.at < notice.until]
        if len(during) > _MAX_ARRIVALS:
            yield (
                f"{len(during)} requests reached {notice.endpoint} in the "
                f"back-off that it had asked for in its answer to "
                f"{notice.request_id}"
            )
