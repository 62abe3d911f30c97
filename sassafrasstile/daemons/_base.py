"""Functions and classes that the daemons share."""

import asyncio
import logging
import secrets
import time
from typing import Any

import prometheus_client
from twisted.internet import defer
from twisted.internet import interfaces

from sassafrasstile import errors
from sassafrasstile import liveness
from sassafrasstile import plugins
from sassafrasstile import settings
from sassafrasstile import web

_LOG = logging.getLogger("sassafrasstile.daemon")
_IDLE_POLL_INTERVAL_S = 0.05


def make_incarnation() -> str:
    """Returns a random id that distinguishes this start of a process."""
    return secrets.token_hex(6)


def read_clock() -> float:
    """Returns the time that is passed to the kernels, in seconds.

    The clock is monotonic and also advances while the VM is suspended, so that
    the kernels can detect a suspension and its duration.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def run_coroutine(coroutine) -> defer.Deferred:
    """Runs an asyncio coroutine and returns a Deferred for its result."""
    return defer.Deferred.fromFuture(asyncio.ensure_future(coroutine))


def wait(reactor, seconds: float) -> defer.Deferred:
    """Returns a Deferred that fires after the given number of seconds."""
    deferred: defer.Deferred = defer.Deferred()
    reactor.callLater(seconds, deferred.callback, None)
    return deferred


async def wait_until_idle(reactor, is_idle, *, grace_s: float) -> bool:
    """Waits until nothing is in flight.

    Args:
        reactor: The reactor.
        is_idle: Returns whether nothing is in flight.
        grace_s: The maximum number of seconds to wait.

    Returns:
        False if something was still in flight after `grace_s`.
    """
    deadline = reactor.seconds() + grace_s
    while not is_idle():
        if reactor.seconds() >= deadline:
            return False
        await wait(reactor, _IDLE_POLL_INTERVAL_S)
    return True


def make_liveness_source(
    reactor, site: settings.Site
) -> liveness.LivenessSource:
    """Returns the configured liveness source, or one that reports nothing."""
    source = site.liveness
    return plugins.create(
        plugins.Kind.LIVENESS,
        source.adapter if source.url else "none",
        reactor=reactor,
        url=source.url,
        poll_s=source.poll_s,
    )


class KernelProxy:
    """Forwards calls to a kernel; counts and logs invariant violations.

    Args:
        kernel: The kernel.
        violations: The counter of violations, labelled by invariant name.
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
                _LOG.critical("daemon: invariant violated: %s", error)
                raise

        return call


class AdminPort:
    """Serves health, readiness, status and metrics over HTTP.

    Args:
        reactor: The reactor.
        address: The address to listen on.
        pages: The pages to serve.
    """

    def __init__(
        self,
        *,
        reactor,
        address: settings.Address,
        pages: web.AdminPages,
    ):
        self._reactor = reactor
        self._address = address
        self._pages = pages
        self._port: interfaces.IListeningPort | None = None
        self.port = 0

    def start(self) -> None:
        """Starts listening."""
        self._port = self._reactor.listenTCP(
            self._address.port,
            web.IngressFactory(
                reactor=self._reactor, handler=self._pages.handle
            ),
            interface=self._address.host,
        )
        self.port = self._port.getHost().port

    def close(self):
        """Stops listening."""
        return self._port.stopListening()
