"""Chooses the endpoint of the lowest cost."""

from collections.abc import Callable, Sequence
import random

from sassafrasstile.dispatch import _endpoints

# Cost of a failure, in seconds of latency.
FAILURE_COST_S = 1.0
# Random addition to each cost, so that gateways that see equal loads choose
# different endpoints.
_JITTER = 0.02


def choose_cheapest(
    usable: Sequence[_endpoints.Endpoint],
    estimate: Callable[[_endpoints.Endpoint], float],
    *,
    generator: random.Random,
) -> _endpoints.Endpoint | None:
    """Returns the endpoint of about the lowest cost, or None without any.

    Args:
        usable: The endpoints.
        estimate: Returns the cost of an endpoint.
        generator: The source of random numbers.
    """
    if not usable:
        return None
    return min(
        usable, key=lambda item: estimate(item) + _JITTER * generator.random()
    )
