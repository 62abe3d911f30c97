"""The newest known rate of each endpoint."""

import collections

from sassafrasstile.permits import _base

_MAX_REMEMBERED = 1000


class RateBook:
    """Keeps the newest rate that each incarnation of an endpoint has named.

    Answers on different connections overtake each other, and other gateways
    tell what they have seen. Where it isn't known which of two answers is
    newer, one that names a rate counts.

    >>> book = RateBook()
    >>> named = _base.StatedRate(rate_per_s=2.0, sent_at=1.0, seen_at=1.2)
    >>> overlapping = _base.StatedRate(
    ...     rate_per_s=None, sent_at=1.1, seen_at=2.0
    ... )
    >>> newer = _base.StatedRate(rate_per_s=None, sent_at=1.3, seen_at=1.4)
    >>> [book.update("e/1", item) for item in (named, overlapping, newer)]
    [True, False, True]
    >>> book.get_rate("e/1")
    """

    def __init__(self):
        self._rates: collections.OrderedDict[str, _base.StatedRate] = (
            collections.OrderedDict()
        )

    def get_rate(self, key: str) -> float | None:
        """Returns an endpoint's rate a second, or None if it names none."""
        known = self._rates.get(key)
        return None if known is None else known.rate_per_s

    def find(self, key: str) -> _base.StatedRate | None:
        """Returns what is known of an endpoint's rate, or None."""
        return self._rates.get(key)

    def list_named(self) -> list[str]:
        """Returns the keys of the endpoints that name a rate."""
        return [
            key
            for key, known in self._rates.items()
            if known.rate_per_s is not None
        ]

    def update(self, key: str, stated: _base.StatedRate) -> bool:
        """Applies what an answer says.

        Returns:
            True if the rate is another one than before.
        """
        known = self._rates.get(key)
        if known is None and stated.rate_per_s is None:
            return False
        if known is not None and not _is_newer(stated, known):
            return False
        self._rates[key] = stated
        self._rates.move_to_end(key)
        if len(self._rates) > _MAX_REMEMBERED:
            self._rates.popitem(last=False)
        return known is None or known.rate_per_s != stated.rate_per_s


def _is_newer(stated: _base.StatedRate, known: _base.StatedRate) -> bool:
    """Returns whether an answer counts after the one that is known."""
    if stated.rate_per_s is None:
        return stated.sent_at > known.seen_at
    if known.rate_per_s is None:
        return stated.seen_at > known.sent_at
    return stated.seen_at > known.seen_at
