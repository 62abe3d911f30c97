"""How fast waiting generations of each rank get capacity."""

import collections
from collections.abc import Collection
import dataclasses

from sassafrasstile import peers
from sassafrasstile.dispatch import _peer_news
from sassafrasstile.dispatch import _shares

# Window over which admissions are measured.
_WINDOW_S = 2.0
# Admission rate assumed when fewer generations were admitted in the window.
_MIN_RATE_PER_S = 3.0
# A rank's own rate counts once it has waited for this long; before, little is
# known of what the more urgent ranks leave to it.
_MIN_PRESSED_S = 0.5
# No rank's rate is taken to be a smaller part of all than this: it gets its
# least share.
_LEAST_RATE_SHARE = _shares.LEAST_SHARE
# Totals of a gateway that was silent for longer than this start anew.
_MAX_SILENCE_S = 4.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Admission:
    at: float
    priority: int
    generations: int


class AdmissionRates:
    """Measures admissions by rank, at this gateway and as others tell.

    >>> rates = AdmissionRates()
    >>> for _ in range(20):
    ...     rates.record(0, tokens=100, now=1.0)
    >>> rates.measure_rate(2.0)
    10.0
    >>> rates.estimate_wait_s(0, more_urgent=0, same_rank=5, now=2.0)
    0.5
    """

    def __init__(self):
        self._admissions: collections.deque[_Admission] = collections.deque()
        # The ranks admitted last come last.
        self._own: dict[int, peers.RankAdmissions] = {}
        self._peer_totals: _peer_news.PeerNews[
            dict[int, peers.RankAdmissions]
        ] = _peer_news.PeerNews(max_age_s=_MAX_SILENCE_S)
        self._pressed_since: dict[int, float] = {}

    def record(self, priority: int, *, tokens: int, now: float) -> None:
        """Records that this gateway has admitted a generation.

        Args:
            priority: Its rank.
            tokens: Its KV cache in tokens.
            now: The time in seconds.
        """
        before = self._own.pop(priority, None)
        self._own[priority] = peers.RankAdmissions(
            priority=priority,
            generations=1 + (before.generations if before else 0),
            tokens=tokens + (before.tokens if before else 0),
        )
        self._add(priority, 1, now)

    def list_own(self) -> tuple[peers.RankAdmissions, ...]:
        """Returns what this gateway has admitted since its start, by rank.

        Only the ranks that it has admitted last are told.
        """
        return tuple(self._own.values())[-peers.MAX_REPORTED_RANKS :]

    def apply(
        self, peer: str, report: peers.QueueReport, now: float
    ) -> tuple[peers.RankAdmissions, ...]:
        """Records what another gateway has admitted since its last report.

        Args:
            peer: The gateway's name.
            report: Its report.
            now: The time in seconds.

        Returns:
            What it has admitted since, by rank.
        """
        if not report.admissions:
            return ()
        known = self._peer_totals.pop(peer, now)
        totals = {item.priority: item for item in report.admissions}
        self._peer_totals.set(peer, {**(known or {}), **totals}, now)
        if known is None:
            return ()
        added = [
            _subtract(total, known.get(priority))
            for priority, total in totals.items()
        ]
        news = tuple(item for item in added if item.generations > 0)
        for item in news:
            self._add(item.priority, item.generations, now)
        return news

    def set_waiting(self, priorities: Collection[int], now: float) -> None:
        """Records which ranks wait at this gateway.

        Args:
            priorities: The ranks.
            now: The time in seconds.
        """
        self._pressed_since = {
            priority: self._pressed_since.get(priority, now)
            for priority in priorities
        }

    def measure_rate(self, now: float) -> float:
        """Returns the recent admissions per second, of all ranks."""
        self._forget(now)
        count = sum(item.generations for item in self._admissions)
        return max(_MIN_RATE_PER_S, count / _WINDOW_S)

    def estimate_wait_s(
        self, priority: int, *, more_urgent: int, same_rank: int, now: float
    ) -> float:
        """Returns how long a generation is expected to wait, in seconds.

        Args:
            priority: Its rank.
            more_urgent: Generations of more urgent ranks before it.
            same_rank: Those of its own rank before it.
            now: The time in seconds.
        """
        total = self.measure_rate(now)
        wait_s = more_urgent / total
        if same_rank:
            wait_s += same_rank / self._measure_own_rate(priority, total, now)
        return wait_s

    def _measure_own_rate(
        self, priority: int, total: float, now: float
    ) -> float:
        """Returns what more urgent ranks leave to a rank while it waits."""
        pressed_s = now - self._pressed_since.get(priority, now)
        if pressed_s < _MIN_PRESSED_S:
            return total
        window_s = min(pressed_s, _WINDOW_S)
        left = sum(
            item.generations
            for item in self._admissions
            if item.priority >= priority and item.at >= now - window_s
        )
        urgent = sum(
            item.generations
            for item in self._admissions
            if item.priority < priority and item.at >= now - window_s
        )
        if not urgent:
            return total
        return total * max(_LEAST_RATE_SHARE, left / (left + urgent))

    def _add(self, priority: int, generations: int, now: float) -> None:
        self._forget(now)
        self._admissions.append(
            _Admission(at=now, priority=priority, generations=generations)
        )

    def _forget(self, now: float) -> None:
        while self._admissions and self._admissions[0].at < now - _WINDOW_S:
            self._admissions.popleft()


def _subtract(
    total: peers.RankAdmissions, known: peers.RankAdmissions | None
) -> peers.RankAdmissions:
    """Returns what was added since; nothing after a restart."""
    if known is None:
        return total
    return peers.RankAdmissions(
        priority=total.priority,
        generations=total.generations - known.generations,
        tokens=total.tokens - known.tokens,
    )
