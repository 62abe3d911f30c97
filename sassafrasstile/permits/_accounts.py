"""What a gateway holds of a workspace's quota."""

import collections
import dataclasses
import math

from twisted.internet import defer

from sassafrasstile.permits import _terms

# Time constant of the moving average of what is used.
_DEMAND_TIME_S = 1.0
# What is leased lasts for this share of the time for which it may be used.
_LEASED_SHARE = 0.75
# Amounts are rounded when gateways exchange them.
_ROUNDING = 0.002
# Where a quota is used up, it is asked for again after this time, so that many
# small requests don't cause as many questions.
_MIN_INTERVAL_S = 0.025
# What was handed out for waiting requests may be used at least this long.
_MIN_LEASE_S = 0.1


class WindowedAmount:
    """An amount that may be used once in each window.

    Args:
        window_s: The length of the window in seconds.

    >>> amount = WindowedAmount(window_s=8.0)
    >>> [amount.take(2.0, most=3.0, now=now) for now in (0.0, 7.0, 8.0)]
    [True, False, True]
    """

    def __init__(self, *, window_s: float):
        self._window_s = window_s
        self._taken: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._sum = 0.0

    def measure_left(self, *, most: float, now: float) -> float:
        """Returns what may still be used now."""
        while self._taken and now - self._taken[0][0] >= self._window_s:
            self._sum -= self._taken.popleft()[1]
        if not self._taken:
            self._sum = 0.0
        return max(0.0, most - self._sum)

    def take(self, amount: float, *, most: float, now: float) -> bool:
        """Uses an amount, or nothing if less is left."""
        if amount > self.measure_left(most=most, now=now):
            return False
        self._taken.append((now, amount))
        self._sum += amount
        return True

    def give_back(self, amount: float, *, taken_at: float) -> None:
        """Takes back what was used at some time of this window."""
        for index, (used_at, used) in enumerate(self._taken):
            if used_at == taken_at and used >= amount:
                self._taken[index] = (used_at, used - amount)
                self._sum -= amount
                return


@dataclasses.dataclass(kw_only=True)
class Lease:
    """What another gateway has handed out.

    Attributes:
        amount: What is left of it.
        expires_at: From when on it may not be used, in seconds.
        gateway: Who handed it out.
    """

    amount: float
    expires_at: float
    gateway: str


@dataclasses.dataclass(kw_only=True, eq=False)
class WaitingCharge:
    """A request that waits for its cost.

    Attributes:
        tokens: The tokens that it states, or None.
        decided: Fires with the decision.
    """

    tokens: int | None
    decided: defer.Deferred


@dataclasses.dataclass(frozen=True, kw_only=True)
class LevelReport:
    """What the gateway that hands out had left.

    Attributes:
        left: What was left.
        seen_at: When it was asked, in seconds.
        gateway: Its name.
    """

    left: float
    seen_at: float
    gateway: str


class QuotaAccount:
    """What a gateway knows and holds of one workspace's quota.

    Args:
        name: The workspace's name.
        bounds: By how much quotas may be exceeded.

    Attributes:
        version: The version of the configuration that states the quota, or
            None while none is known.
        terms: How the quota is handed out, or None without a quota.
        waiting: The requests that wait for their cost.
        is_asking: True while more is being asked for.
        unanswered_until: Until when nobody is asked, in seconds.
        level: What was left when the last request was turned down, or None.
        reserve: This gateway's own part of the slack. It may be used if nobody
            answers, and to give back older charges.
        used_at: When it was last needed, in seconds.
    """

    def __init__(self, *, name: str, bounds: _terms.QuotaBounds):
        self.name = name
        self.version: int | None = None
        self.terms: _terms.QuotaTerms | None = None
        self.waiting: collections.deque[WaitingCharge] = collections.deque()
        self.is_asking = False
        self.unanswered_until = 0.0
        self.level: LevelReport | None = None
        self.reserve = WindowedAmount(window_s=bounds.window_s)
        self.used_at = 0.0
        self._bounds = bounds
        self._leases: collections.deque[Lease] = collections.deque()
        self._demand = 0.0
        self._demand_at = 0.0

    def set_quota(self, version: int, quota) -> bool:
        """Applies a quota, unless a newer one is known.

        What was leased under another quota is dropped.

        Returns:
            True if it is another one than before.
        """
        if self.version is not None and version <= self.version:
            return False
        self.version = version
        before = None if self.terms is None else self.terms.quota
        if quota == before:
            return False
        self.terms = None
        if quota is not None:
            self.terms = _terms.QuotaTerms(quota, self._bounds)
        if before and quota and before.unit is not quota.unit:
            self.reserve = WindowedAmount(window_s=self._bounds.window_s)
        self._leases.clear()
        self.level = None
        return True

    def measure_held(self, now: float) -> float:
        """Returns what is leased and may be used now."""
        return sum(
            lease.amount for lease in self._leases if now < lease.expires_at
        )

    def add_lease(
        self, amount: float, *, gateway: str, asked_at: float
    ) -> None:
        """Adds what another gateway has handed out."""
        lease_s = max(_MIN_LEASE_S, self.terms.lease_s)
        lease = Lease(
            amount=amount,
            expires_at=asked_at + lease_s,
            gateway=gateway,
        )
        self._leases.append(lease)

    def spend(self, cost: float, now: float) -> bool:
        """Uses what is leased, the oldest first; nothing if it is too little.

        Returns:
            True if the cost was there.
        """
        if self.measure_held(now) + _ROUNDING < cost:
            return False
        rest = cost
        for lease in self._leases:
            if now < lease.expires_at:
                part = min(rest, lease.amount)
                lease.amount -= part
                rest -= part
        while self._leases and not self._leases[0].amount:
            self._leases.popleft()
        self.record_use(cost, now)
        return True

    def record_use(self, cost: float, now: float) -> None:
        """Counts what is used towards the demand."""
        self._demand = self.measure_demand_per_s(now) + cost / _DEMAND_TIME_S
        self._demand_at = now

    def measure_demand_per_s(self, now: float) -> float:
        """Returns what has been used in a second lately."""
        past_s = max(0.0, now - self._demand_at)
        return self._demand * math.exp(-past_s / _DEMAND_TIME_S)

    def choose_extra(self, cost: float, now: float) -> float:
        """Returns what to lease beyond what is needed at once.

        Nothing, if no other request of the same cost is likely to come while
        it may be used.
        """
        extra = (
            self.measure_demand_per_s(now) * self.terms.lease_s * _LEASED_SHARE
        )
        return extra if extra >= cost else 0.0

    def drop_expired(self, now: float) -> list[Lease]:
        """Removes the leases that have expired, and returns them."""
        expired = [item for item in self._leases if now >= item.expires_at]
        self._leases = collections.deque(
            item for item in self._leases if now < item.expires_at
        )
        return [item for item in expired if item.amount > 0]

    def estimate_wait_s(self, cost: float, now: float) -> float:
        """Returns the time until a cost may be there; zero if it may be now.

        It is surely not there earlier, unless something is given back.
        """
        if self.level is None or cost <= self.level.left:
            return 0.0
        limit = self.terms.limit
        refill = (now - self.level.seen_at) * limit.rate_per_s
        expected = min(limit.burst, self.level.left + refill)
        needed = min(cost, limit.burst)
        if cost > limit.burst + limit.overdraft:
            needed = cost
        earliest = self.level.seen_at + _MIN_INTERVAL_S
        refilled_s = (needed - expected) / limit.rate_per_s
        return max(0.0, refilled_s, earliest - now)
