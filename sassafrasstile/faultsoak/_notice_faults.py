"""Endpoints that announce to leave or ask for a back-off."""

import collections
from collections.abc import Callable
import random

from twisted.internet import defer
from twisted.internet import task

from sassafrasstile import testing
from sassafrasstile.faultsoak import _endpoints

_MIN_LEAVING_S = 2.0
_MAX_LEAVING_S = 4.0
_MIN_SHEDDING_S = 0.3
_MAX_SHEDDING_S = 1.0


class NoticeFaults:
    """Lets endpoints leave and shed load at random.

    They have random numbers of their own, so that a seed keeps the other
    faults that it has.

    Args:
        reactor: The reactor.
        endpoints: The endpoints by name.
        replace: Announces a new instance of an endpoint.
        generator: The random number generator.
        counts: Counts the faults by name.
    """

    def __init__(
        self,
        *,
        reactor,
        endpoints: dict[str, _endpoints.ScriptedEndpoint],
        replace: Callable[[str], None],
        generator: random.Random,
        counts: collections.Counter[str],
    ):
        self._reactor = reactor
        self._endpoints = endpoints
        self._replace = replace
        self._generator = generator
        self._counts = counts

    async def run(self, until: float) -> None:
        """Injects faults until a time, and returns when they have ended."""
        running = []
        while self._reactor.seconds() < until:
            await self._sleep(0.5 + self._generator.random())
            fault = self._generator.choice((self._leave, self._shed))
            self._counts[fault.__name__.lstrip("_")] += 1
            running.append(testing.spawn(fault()))
        await defer.gatherResults(running, consumeErrors=False)

    def _choose(self) -> _endpoints.ScriptedEndpoint:
        name = self._generator.choice(sorted(self._endpoints))
        return self._endpoints[name]

    async def _leave(self) -> None:
        endpoint = self._choose()
        if endpoint.is_leaving:
            return
        endpoint.is_leaving = True
        await self._sleep(
            self._generator.uniform(_MIN_LEAVING_S, _MAX_LEAVING_S)
        )
        endpoint.is_leaving = False
        self._replace(endpoint.name)

    async def _shed(self) -> None:
        endpoint = self._choose()
        if endpoint.is_shedding:
            return
        endpoint.is_shedding = True
        await self._sleep(
            self._generator.uniform(_MIN_SHEDDING_S, _MAX_SHEDDING_S)
        )
        endpoint.is_shedding = False

    def _sleep(self, seconds: float) -> defer.Deferred:
        return task.deferLater(self._reactor, seconds)
