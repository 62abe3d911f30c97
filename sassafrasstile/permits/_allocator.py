"""Hands out amounts of what gateways share."""

import collections
import dataclasses

from sassafrasstile.permits import _base
from sassafrasstile.permits import _limits

# What a gateway may need soon takes at most this share of what is left, so that
# the others find something, too.
_MAX_LEASED_SHARE = 0.25
_MAX_REMEMBERED = 10_000


@dataclasses.dataclass(kw_only=True)
class _Bucket:
    level: float
    refilled_at: float

    def refill(self, limit: _limits.Limit, now: float) -> None:
        refill = (now - self.refilled_at) * limit.rate_per_s
        self.level = min(limit.burst, self.level + refill)
        self.refilled_at = now


class PermitAllocator:
    """Token buckets of the keys whose amounts this gateway hands out.

    >>> allocator = PermitAllocator()
    >>> limit = _limits.make_permit_limit(2.0)
    >>> [
    ...     allocator.take("e/1", limit=limit, now=now).is_granted
    ...     for now in (0.0, 0.25, 0.5)
    ... ]
    [True, False, True]
    """

    def __init__(self):
        self._buckets: collections.OrderedDict[str, _Bucket] = (
            collections.OrderedDict()
        )

    def take(
        self,
        key: str,
        *,
        limit: _limits.Limit,
        now: float,
        amounts: _base.Amounts = _base.ONE,
        unused_since: float | None = None,
    ) -> _base.PermitDecision:
        """Takes an amount if there is enough.

        Args:
            key: The key.
            limit: The limit in force.
            now: The time in seconds.
            amounts: What is needed and wanted.
            unused_since: Since when nothing was handed out for a key without
                a bucket, in seconds; by default its bucket is new.
        """
        bucket = self._get_bucket(key, limit, now, unused_since)
        bucket.refill(limit, now)
        required = _choose_required(amounts.least, limit)
        if bucket.level < required:
            wait_s = _base.MAX_AGE_S
            if limit.rate_per_s > 0:
                wait_s = (required - bucket.level) / limit.rate_per_s
            return _base.PermitDecision(
                wait_s=wait_s, amount=0.0, left=bucket.level
            )
        taken = max(amounts.least, min(amounts.needed, bucket.level))
        spare = max(0.0, bucket.level - taken) * _MAX_LEASED_SHARE
        taken += min(amounts.extra, spare)
        bucket.level -= taken
        return _base.PermitDecision(amount=taken, left=bucket.level)

    def give_back(
        self, key: str, amount: float, *, limit: _limits.Limit, now: float
    ) -> None:
        """Takes back what wasn't used; nothing for a key without a bucket."""
        bucket = self._buckets.get(key)
        if bucket is not None:
            bucket.refill(limit, now)
            bucket.level = min(limit.burst, bucket.level + amount)

    def list_keys(self) -> list[str]:
        """Returns the keys that have a bucket."""
        return list(self._buckets)

    def forget(self, key: str) -> None:
        """Drops the bucket of a key that another gateway hands out."""
        self._buckets.pop(key, None)

    def _get_bucket(self, key, limit, now, unused_since) -> _Bucket:
        bucket = self._buckets.get(key)
        if bucket is None:
            began_at = now if unused_since is None else unused_since
            bucket = _Bucket(level=limit.first, refilled_at=began_at)
            self._buckets[key] = bucket
        self._buckets.move_to_end(key)
        if len(self._buckets) > _MAX_REMEMBERED:
            self._buckets.popitem(last=False)
        return bucket


def _choose_required(least: float, limit: _limits.Limit) -> float:
    """Returns the level at which an amount may be taken.

    One that a bucket can't hold is taken from a full bucket, which is below
    zero after that.
    """
    if limit.burst < least <= limit.burst + limit.overdraft:
        return limit.burst
    return least
