"""Shares of scarce capacity that nobody can take from others."""

from collections.abc import Mapping
import dataclasses
import math

from sassafrasstile import peers
from sassafrasstile.dispatch import _peer_news

# A rank that waits gets at least this share of what each more urgent rank
# gets, in tokens.
LEAST_SHARE = 0.1
# Most that a rank is owed at a gateway: what it didn't ask for in time isn't
# made up for.
_MAX_OWED_TOKENS = 10_000.0
# Time constant of a workspace's recent use.
_RECENT_S = 2.0
# Time constant of its usual use.
_USUAL_S = 30.0
_LEARN_INTERVAL_S = 0.25
# The sums over all gateways are taken again after this long.
_SUM_INTERVAL_S = 0.1
# Longer times without any report don't weigh more.
_MAX_LEARNED_S = 1.0
# A workspace that gets this many times its usual goes after the others of the
# same rank. Bursts of all callers together remain below it.
_CROWDING_FACTOR = 2.5
# What another gateway has told of its workspaces counts for this long.
_MAX_TOLD_AGE_S = 4.0
# Number of workspaces in one report.
_MAX_TOLD = 8
# Workspaces that use less than this count as idle.
_MIN_TOKENS_PER_S = 1.0


class LeastShares:
    """What each rank is owed, by deficit over the tokens admitted.

    While a rank waits, a share of all that more urgent ranks get adds up. Once
    it reaches the size of a generation, one of the rank goes first.

    >>> shares = LeastShares()
    >>> shares.record(0, tokens=40_000, waiting={2: 1})
    >>> shares.owes(2, tokens=4_000), shares.owes(2, tokens=5_000)
    (True, False)
    >>> shares.record(2, tokens=3_000, waiting={})
    >>> shares.owes(2, tokens=4_000)
    False
    """

    def __init__(self):
        self._owed: dict[int, float] = {}

    def record(
        self, priority: int, *, tokens: int, waiting: Mapping[int, int]
    ) -> None:
        """Records an admission of this gateway.

        Args:
            priority: The rank that was admitted.
            tokens: Its KV cache in tokens.
            waiting: At how many gateways each rank waits that waits here.
        """
        self.add(priority, tokens=tokens, waiting=waiting)
        if priority in self._owed:
            self._owed[priority] = max(0.0, self._owed[priority] - tokens)

    def add(
        self, priority: int, *, tokens: int, waiting: Mapping[int, int]
    ) -> None:
        """Records an admission of any gateway.

        Args:
            priority: The rank that was admitted.
            tokens: Its KV cache in tokens.
            waiting: At how many gateways each rank waits that waits here.
        """
        for rank, gateways in waiting.items():
            if rank > priority:
                owed = self._owed.get(rank, 0.0)
                owed += LEAST_SHARE * tokens / max(1, gateways)
                self._owed[rank] = min(_MAX_OWED_TOKENS, owed)

    def owes(self, priority: int, *, tokens: int) -> bool:
        """Returns whether a generation of a rank goes first now.

        Args:
            priority: The rank.
            tokens: The generation's KV cache in tokens.
        """
        owed = self._owed.get(priority, 0.0)
        return owed > 0.0 and owed >= min(tokens, _MAX_OWED_TOKENS)


@dataclasses.dataclass(kw_only=True)
class _Meter:
    """A rate that fades with time."""

    tokens: float = 0.0
    at: float = 0.0

    def add(self, tokens: float, now: float) -> None:
        self.tokens = self.tokens * self._compute_decay(now) + tokens
        self.at = now

    def measure_per_s(self, now: float) -> float:
        return self.tokens * self._compute_decay(now) / _RECENT_S

    def _compute_decay(self, now: float) -> float:
        return math.exp(min(0.0, self.at - now) / _RECENT_S)


class WorkspaceShares:
    """Which workspaces get far more than usual, over all gateways.

    Those go after the others of the same rank: a workspace that sends many
    times its usual crowds out its own requests first. Up to an equal part of
    what all get, none does.

    >>> shares = WorkspaceShares()
    >>> for second in range(40):
    ...     for name in ("a", "b", "c"):
    ...         shares.record(name, tokens=1000, now=float(second))
    >>> shares.is_crowding("a", now=40.0)
    False
    >>> shares.record("a", tokens=8000, now=40.0)
    >>> shares.is_crowding("a", now=40.0), shares.is_crowding("b", now=40.0)
    (True, False)
    """

    def __init__(self):
        self._own: dict[str, _Meter] = {}
        self._news: _peer_news.PeerNews[tuple[peers.WorkspaceRate, ...]] = (
            _peer_news.PeerNews(max_age_s=_MAX_TOLD_AGE_S)
        )
        self._usual: dict[str, float] = {}
        self._began_at: float | None = None
        self._learned_at = float("-inf")
        self._rates: dict[str, float] = {}
        self._summed_at = float("-inf")

    def record(self, workspace: str, *, tokens: int, now: float) -> None:
        """Records what this gateway has admitted for a workspace.

        Args:
            workspace: The workspace's name.
            tokens: KV cache in tokens.
            now: The time in seconds.
        """
        self._own.setdefault(workspace, _Meter()).add(tokens, now)
        self._summed_at = float("-inf")
        self._learn(now)

    def apply(self, peer: str, report: peers.QueueReport, now: float) -> None:
        """Records what another gateway has admitted.

        Args:
            peer: The gateway's name.
            report: Its report.
            now: The time in seconds.
        """
        if not report.rates:
            return
        self._news.set(peer, report.rates[:_MAX_TOLD], now)
        self._learn(now)

    def list_own(self, now: float) -> tuple[peers.WorkspaceRate, ...]:
        """Returns what this gateway admits for those that use the most."""
        rates = {
            name: meter.measure_per_s(now) for name, meter in self._own.items()
        }
        self._own = {
            name: meter
            for name, meter in self._own.items()
            if rates[name] >= _MIN_TOKENS_PER_S
        }
        largest = sorted(self._own, key=lambda name: -rates[name])[:_MAX_TOLD]
        return tuple(
            peers.WorkspaceRate(workspace=name, tokens_per_s=rates[name])
            for name in largest
        )

    def is_crowding(
        self, workspace: str, *, now: float, quota_per_s: float | None = None
    ) -> bool:
        """Returns whether a workspace gets far more than usual.

        Args:
            workspace: The workspace's name; an empty one never does.
            now: The time in seconds.
            quota_per_s: Its quota in tokens a second, or None.
        """
        if not workspace:
            return False
        if now - self._summed_at >= _SUM_INTERVAL_S:
            self._rates = self._measure_all(now)
            self._summed_at = now
        rates = self._rates
        rate = rates.get(workspace, 0.0)
        if len(rates) < 2 or rate <= sum(rates.values()) / len(rates):
            return False
        limit = _CROWDING_FACTOR * self._usual.get(workspace, 0.0)
        if quota_per_s is not None:
            limit = min(limit, quota_per_s)
        return rate > limit

    def _measure_all(self, now: float) -> dict[str, float]:
        """Returns the recent tokens a second of all gateways, by workspace."""
        rates: dict[str, float] = {}
        for name, meter in self._own.items():
            rates[name] = meter.measure_per_s(now)
        for told in self._news.list_recent(now):
            for item in told.content:
                known = rates.get(item.workspace, 0.0)
                rates[item.workspace] = known + item.tokens_per_s
        return {
            name: rate
            for name, rate in rates.items()
            if rate >= _MIN_TOKENS_PER_S
        }

    def _learn(self, now: float) -> None:
        """Learns the usual use, at first as the mean since the start."""
        if self._began_at is None:
            self._began_at = self._learned_at = now
        passed_s = now - self._learned_at
        if passed_s < _LEARN_INTERVAL_S:
            return
        self._learned_at = now
        known_s = min(_USUAL_S, now - self._began_at)
        weight = min(1.0, min(passed_s, _MAX_LEARNED_S) / known_s)
        rates = self._measure_all(now)
        for name in rates.keys() | self._usual.keys():
            usual = self._usual.get(name, 0.0)
            usual += weight * (rates.get(name, 0.0) - usual)
            self._usual[name] = usual
        self._usual = {
            name: usual
            for name, usual in self._usual.items()
            if usual >= _MIN_TOKENS_PER_S
        }
