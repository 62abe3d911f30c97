"""Starts and stops the process."""

from collections.abc import Callable
import logging
import signal
import sys
import time

from twisted.internet import defer

from sassafrasstile.router import _daemon

_LOG = logging.getLogger("sassafrasstile.router")
EXIT_OK = 0
EXIT_FAILED = 1


def read_clock() -> float:
    """Returns seconds that never go back.

    They go on while the VM is suspended, so that a process that was paused
    sees how long.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def run_router(make_daemon: Callable[..., _daemon.RouterDaemon]) -> int:
    """Runs a gateway until SIGTERM or SIGINT.

    SIGHUP makes it read its settings again.

    Args:
        make_daemon: Called with the reactor.

    Returns:
        The exit code.
    """
    from twisted.internet import reactor

    # Its own clock is the time of day, which jumps.
    reactor.seconds = read_clock
    daemon = make_daemon(reactor)
    codes = [EXIT_OK]

    def fail(reason):
        _LOG.critical("router: failed: %s", reason.getTraceback())
        codes[0] = EXIT_FAILED

    def stop(_result):
        reactor.stop()

    def begin():
        starting = defer.maybeDeferred(daemon.start)
        starting.addErrback(lambda reason: (fail(reason), reactor.stop()))

    def drain(*_arguments):
        reactor.callFromThread(begin_drain)

    def begin_drain():
        if daemon.is_draining:
            return
        draining = defer.ensureDeferred(daemon.drain())
        draining.addErrback(fail)
        draining.addBoth(stop)

    def reload(*_arguments):
        reactor.callFromThread(daemon.reload)

    reactor.callWhenRunning(begin)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, drain)
    signal.signal(signal.SIGHUP, reload)
    reactor.run(installSignalHandlers=False)
    sys.stdout.flush()
    return codes[0]
