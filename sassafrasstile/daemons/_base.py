"""What the daemons share."""

import asyncio
import logging
import secrets
import time
from typing import Any

import prometheus_client
from twisted.internet import defer
from twisted.internet import interfaces
from twisted.web import server

from sassafrasstile import errors
from sassafrasstile import liveness
from sassafrasstile import plugins
from sassafrasstile import settings
from sassafrasstile import web

_LOG = logging.getLogger("sassafrasstile.daemon")
_IDLE_POLL_S = 0.05


def make_incarnation() -> str:
    """Returns a name for this start of a process, never used before."""
    return secrets.token_hex(6)


def read_clock() -> float:
    """Returns kernel time in seconds.

    It never goes back, and it goes on while the VM is suspended, so that a
    process that was paused sees how long.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def run_soon(work) -> defer.Deferred:
    """Runs a coroutine of asyncio from twisted code."""
    return defer.Deferred.fromFuture(asyncio.ensure_future(work))


def wait(reactor, seconds: float) -> defer.Deferred:
    """Returns a Deferred that fires after some seconds."""
    waiting: defer.Deferred = defer.Deferred()
    reactor.callLater(seconds, waiting.callback, None)
    return waiting


async def wait_until_idle(reactor, is_idle, *, grace_s: float) -> bool:
    """Waits until nothing is in flight.

    Args:
        reactor: The reactor.
        is_idle: Says whether nothing is in flight.
        grace_s: Seconds to wait at the most.

    Returns:
        False when something was still in flight at the end.
    """
    until = reactor.seconds() + grace_s
    while not is_idle():
        if reactor.seconds() >= until:
            return False
        await wait(reactor, _IDLE_POLL_S)
    return True


def make_liveness(reactor, site: settings.Site) -> liveness.LivenessSource:
    """Returns the source that the settings name, or one that is silent."""
    source = site.liveness
    return plugins.create(
        plugins.Kind.LIVENESS,
        source.adapter if source.url else "none",
        reactor=reactor,
        url=source.url,
        poll_s=source.poll_s,
    )


class KernelWatch:
    """Passes calls to a kernel, and counts and logs broken invariants.

    Args:
        kernel: The kernel.
        violations: The counter of violations, by name.
    """

    def __init__(self, *, kernel: Any, violations: prometheus_client.Counter):
        self._kernel = kernel
        self._violations = violations

    def __getattr__(self, name: str) -> Any:
        value = getattr(self._kernel, name)
        if not callable(value):
            return value

        def call(*arguments, **parameters):
            try:
                return value(*arguments, **parameters)
            except errors.InvariantError as error:
                self._violations.labels(error.name).inc()
                _LOG.critical("daemon: invariant broken: %s", error)
                raise

        return call


class AdminPort:
    """Listens for health, readiness and metrics.

    Args:
        reactor: The reactor.
        address: Where to listen.
        resource: What to serve.
    """

    def __init__(
        self,
        *,
        reactor,
        address: settings.Address,
        resource: web.AdminResource,
    ):
        self._reactor = reactor
        self._address = address
        self._resource = resource
        self._port: interfaces.IListeningPort | None = None
        self.port = 0

    def start(self) -> None:
        """Listens."""
        self._port = self._reactor.listenTCP(
            self._address.port,
            server.Site(self._resource),
            interface=self._address.host,
        )
        self.port = self._port.getHost().port

    def close(self):
        """Stops listening."""
        return self._port.stopListening()
