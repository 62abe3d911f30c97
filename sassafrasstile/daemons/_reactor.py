"""Runs twisted on asyncio's loop, so that grpclib shares it."""

import asyncio
from collections.abc import Awaitable, Callable
import logging
import signal
import sys
from typing import Any

from twisted.internet import asyncioreactor
from twisted.internet import defer

_LOG = logging.getLogger("sassafrasstile.daemon")


def install_reactor() -> Any:
    """Installs the reactor on a new asyncio loop and returns it."""
    if "twisted.internet.reactor" not in sys.modules:
        loop = asyncio.new_event_loop()
        asyncio.set_event_loop(loop)
        asyncioreactor.install(loop)
    from twisted.internet import reactor

    return reactor


def run_until_done(work: Callable[[Any], Awaitable[int]]) -> int:
    """Runs a coroutine on the reactor and returns its exit code.

    Args:
        work: Called with the reactor once it runs.

    Returns:
        What the coroutine returned, or 1 when it raised.
    """
    reactor = install_reactor()
    codes: list[int] = []

    def fail(failure):
        _LOG.error("daemon: failed: %s", failure.getTraceback())
        return 1

    def stop(code):
        codes.append(code)
        reactor.stop()

    def begin():
        deferred = defer.ensureDeferred(work(reactor))
        deferred.addErrback(fail)
        deferred.addCallback(stop)

    reactor.callWhenRunning(begin)
    reactor.run(installSignalHandlers=False)
    return codes[0]


async def wait_for_stop(reactor: Any) -> None:
    """Returns once the process is told to stop by SIGTERM or SIGINT."""
    stopped: defer.Deferred = defer.Deferred()

    def handle():
        if not stopped.called:
            stopped.callback(None)

    loop = asyncio.get_event_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, handle)
    await stopped
