"""Who goes first for scarce capacity, over all gateways."""

import bisect
import dataclasses

from sassafrasstile import peers
from sassafrasstile.dispatch import _peer_news

# What a gateway has told counts for this long: a report may be lost, and the
# next one comes within half of it.
_MAX_AGE_S = 1.0
# Of two generations of one rank, the one whose target is this much earlier
# goes first whichever gateway it came to. Within it, each gateway goes by its
# own order, as what it hears is that old.
_MARGIN_S = 0.1
# Merged again after this long, so that old news ends.
_MERGE_INTERVAL_S = 0.1
# Most generations that a gateway tells of, the first ones in its order.
MAX_TOLD = 8


@dataclasses.dataclass(frozen=True, kw_only=True, order=True)
class Turn:
    """A generation's place in the order over all gateways; less goes first.

    Attributes:
        urgency: Its class.
        priority: Its rank in that class.
        is_crowding: True if its workspace uses far more than usual.
        target_at: Target time of its first token, in seconds.

    >>> urgent = Turn(urgency=2, priority=0, is_crowding=False, target_at=9.0)
    >>> early = Turn(urgency=2, priority=1, is_crowding=False, target_at=5.0)
    >>> urgent < early
    True
    """

    urgency: int
    priority: int
    is_crowding: bool
    target_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class AheadElsewhere:
    """What goes before a generation at other gateways.

    Attributes:
        more_urgent: Generations of a more urgent class or rank.
        same_rank: Those of its own class and rank.
        age_s: Age of the oldest news of these, in seconds.
    """

    more_urgent: int = 0
    same_rank: int = 0
    age_s: float = 0.0

    @property
    def total(self) -> int:
        """The number of generations that go before it."""
        return self.more_urgent + self.same_rank


NOTHING_AHEAD = AheadElsewhere()


@dataclasses.dataclass(kw_only=True)
class _Merged:
    """The turns that all other gateways told for one service, in order."""

    turns: list[Turn] = dataclasses.field(default_factory=list)
    heard_at: float = float("inf")


class PeerTurns:
    """What waits for capacity at other gateways, as they have told.

    A gateway that hears nothing goes by its own order.

    >>> turns = PeerTurns()
    >>> waiting = peers.WaitingGeneration(
    ...     service="s",
    ...     urgency=2,
    ...     priority=0,
    ...     is_crowding=False,
    ...     remaining_s=0.8,
    ... )
    >>> turns.apply("g2", peers.QueueReport(waiting=(waiting,)), now=10.0)
    >>> turn = Turn(urgency=2, priority=1, is_crowding=False, target_at=10.5)
    >>> turns.measure("s", turn, now=10.1).more_urgent
    1
    >>> turns.measure("s", turn, now=12.0).more_urgent
    0
    """

    def __init__(self):
        self._news: _peer_news.PeerNews[tuple[peers.WaitingGeneration, ...]] = (
            _peer_news.PeerNews(max_age_s=_MAX_AGE_S)
        )
        self._merged: dict[str, _Merged] = {}
        self._merged_at = float("-inf")

    def apply(self, peer: str, report: peers.QueueReport, now: float) -> None:
        """Records what waits at another gateway.

        Args:
            peer: The gateway's name.
            report: What waits there.
            now: The time in seconds.
        """
        if self._news.pop(peer, now) or report.waiting:
            self._merged_at = float("-inf")
        if report.waiting:
            self._news.set(peer, report.waiting[:MAX_TOLD], now)

    def measure(self, service: str, turn: Turn, now: float) -> AheadElsewhere:
        """Returns what goes before a generation at other gateways.

        Args:
            service: The required service.
            turn: Its place in the order.
            now: The time in seconds.
        """
        merged = self._find_merged(service, now)
        if merged is None:
            return NOTHING_AHEAD
        of_rank = Turn(
            urgency=turn.urgency,
            priority=turn.priority,
            is_crowding=False,
            target_at=float("-inf"),
        )
        latest = Turn(
            urgency=turn.urgency,
            priority=turn.priority,
            is_crowding=turn.is_crowding,
            target_at=turn.target_at - _MARGIN_S,
        )
        more_urgent = bisect.bisect_left(merged.turns, of_rank)
        total = bisect.bisect_left(merged.turns, latest)
        return AheadElsewhere(
            more_urgent=more_urgent,
            same_rank=total - more_urgent,
            age_s=now - merged.heard_at if total else 0.0,
        )

    def measure_rank(
        self, service: str, priority: int, now: float
    ) -> AheadElsewhere:
        """Returns what waits of a rank and of more urgent ones, of any class.

        Args:
            service: The required service.
            priority: The rank.
            now: The time in seconds.
        """
        merged = self._find_merged(service, now)
        if merged is None:
            return NOTHING_AHEAD
        return AheadElsewhere(
            more_urgent=sum(item.priority < priority for item in merged.turns),
            same_rank=sum(item.priority == priority for item in merged.turns),
            age_s=now - merged.heard_at,
        )

    def count_gateways(self, priority: int, now: float) -> int:
        """Returns at how many other gateways a rank waits.

        Args:
            priority: The rank.
            now: The time in seconds.
        """
        return sum(
            any(item.priority == priority for item in told.content)
            for told in self._news.list_recent(now)
        )

    def _find_merged(self, service: str, now: float) -> _Merged | None:
        if not self._news:
            return None
        if now - self._merged_at >= _MERGE_INTERVAL_S:
            self._merge(now)
        return self._merged.get(service)

    def _merge(self, now: float) -> None:
        """Sorts what all gateways told lately, by service."""
        self._merged_at = now
        self._merged = {}
        for told in self._news.list_recent(now):
            for item in told.content:
                merged = self._merged.setdefault(item.service, _Merged())
                merged.turns.append(_find_turn(item, told.heard_at))
                merged.heard_at = min(merged.heard_at, told.heard_at)
        for merged in self._merged.values():
            merged.turns.sort()


def _find_turn(item: peers.WaitingGeneration, heard_at: float) -> Turn:
    return Turn(
        urgency=item.urgency,
        priority=item.priority,
        is_crowding=item.is_crowding,
        target_at=heard_at + item.remaining_s,
    )
