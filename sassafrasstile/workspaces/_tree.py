"""Whom a gateway asks, so that no gateway has to answer many."""

import bisect
from collections.abc import Sequence

# The gateways that call the store for the others.
_ROOT_COUNT = 2
# Gateways that ask the same one.
_FAN_OUT = 4


def find_parent(name: str, others: Sequence[str]) -> str | None:
    """Finds the gateway to ask, which follows from the names alone.

    The gateways form a tree, below those that call the store.

    Args:
        name: Its name.
        others: The other gateways that may be asked, sorted.

    Returns:
        The gateway to ask, or None for one that calls the store.

    >>> find_parent("b", ["a", "c"]) is None
    True
    >>> find_parent("c", ["a", "b", "d"]), find_parent("d", ["a", "b", "c"])
    ('a', 'a')
    >>> find_parent("h", list("abcdefg"))
    'b'
    """
    rank = bisect.bisect(others, name)
    if rank < _ROOT_COUNT:
        return None
    return others[(rank - _ROOT_COUNT) // _FAN_OUT]
