"""Runs twisted on the asyncio event loop, which it shares with grpclib."""

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
        work: A function that takes the running reactor and returns the
            coroutine.

    Returns:
        The coroutine's result, or 1 if it raised an exception.
    """
    reactor = install_reactor()
    exit_codes: list[int] = []

    def fail(failure):
        _LOG.error("daemon: failed: %s", failure.getTraceback())
        return 1

    def stop(code):
        exit_codes.append(code)
        reactor.stop()

    def begin():
        deferred = defer.ensureDeferred(work(reactor))
        deferred.addErrback(fail)
        deferred.addCallback(stop)

    reactor.callWhenRunning(begin)
    reactor.run(installSignalHandlers=False)
    return exit_codes[0]


async def wait_for_stop(reactor: Any) -> None:
    """Waits until the process receives SIGTERM or SIGINT."""
    stopped: defer.Deferred = defer.Deferred()

    def handle():
        if not stopped.called:
            stopped.callback(None)

    loop = asyncio.get_event_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, handle)
    await stopped
