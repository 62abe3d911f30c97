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


def catch_stop() -> defer.Deferred:
    """Catches the signals to this process from now on.

    To be called before the process opens its ports. SIGHUP ends nothing: the
    settings are read only at the start.

    Returns:
        A Deferred that fires at the first SIGTERM or SIGINT.
    """
    stopped: defer.Deferred = defer.Deferred()

    def stop(name: str) -> None:
        if stopped.called:
            _LOG.info("daemon: %s ignored. Reason: it is stopping.", name)
            return
        _LOG.info("daemon: %s received. The process stops.", name)
        stopped.callback(None)

    loop = asyncio.get_event_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop, number.name)
    loop.add_signal_handler(
        signal.SIGHUP,
        lambda: _LOG.info(
            "daemon: SIGHUP ignored. Reason: settings are read at the start."
        ),
    )
    return stopped
