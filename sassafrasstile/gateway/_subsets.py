"""Deterministic subsetting: which endpoints a gateway links to."""

from collections.abc import Sequence
import random


def choose_subset(
    names: Sequence[str], *, index: int, size: int
) -> tuple[str, ...]:
    """Returns the endpoints that a gateway links to.

    Consecutive gateways form rounds. Each round shuffles the endpoints with
    its own seed and splits them into disjoint subsets, one for each gateway.
    Links are therefore spread evenly over the endpoints, and gateways of
    different rounds rarely get the same subset.

    Args:
        names: Every endpoint of one role and model, in any order.
        index: The gateway's index in the sorted names of all gateways.
        size: The number of endpoints in a subset.

    Returns:
        The chosen names, sorted; all of them if there are at most `size`.

    >>> choose_subset(["c", "a", "b"], index=7, size=3)
    ('a', 'b', 'c')
    >>> len(choose_subset([str(n) for n in range(100)], index=3, size=20))
    20
    """
    ordered = sorted(names)
    if len(ordered) <= size:
        return tuple(ordered)
    subsets_per_round = len(ordered) // size
    round_index, position = divmod(index, subsets_per_round)
    random.Random(round_index).shuffle(ordered)
    chosen = ordered[position * size : (position + 1) * size]
    return tuple(sorted(chosen))
