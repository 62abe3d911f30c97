"""Deterministic subsets: which endpoints a gateway keeps links to."""

from collections.abc import Sequence
import random


def choose_subset(
    names: Sequence[str], *, index: int, size: int
) -> tuple[str, ...]:
    """Returns the endpoints that a gateway links to.

    Gateways are taken in rounds. Each round shuffles the endpoints in its own
    way and deals them out, so that within a round every endpoint is in about
    as many subsets as any other, and two rounds share few subsets.

    Args:
        names: Every endpoint of one role and model, in any order.
        index: The gateway's place among the sorted names of all gateways.
        size: Endpoints in a subset.

    Returns:
        All endpoints, sorted, where there are no more than `size`.

    >>> choose_subset(["c", "a", "b"], index=7, size=3)
    ('a', 'b', 'c')
    >>> len(choose_subset([str(n) for n in range(100)], index=3, size=20))
    20
    """
    ordered = sorted(names)
    if len(ordered) <= size:
        return tuple(ordered)
    subsets = len(ordered) // size
    turn, place = divmod(index, subsets)
    random.Random(turn).shuffle(ordered)
    chosen = ordered[place * size : (place + 1) * size]
    return tuple(sorted(chosen))
