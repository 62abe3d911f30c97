"""Runs the gateway process and handles its signals."""

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
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def read_clock() -> float:
    """Returns monotonic time in seconds.

    It includes the time for which the VM was suspended, so that a process can
    tell how long it was suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def run_router(
    make_daemon: Callable[..., _daemon.RouterDaemon], *, started_at: float
) -> int:
    """Runs a gateway until SIGTERM or SIGINT.

    SIGHUP reloads the settings. Stop signals that were blocked until now are
    handled as if they had arrived when they were blocked.

    Args:
        make_daemon: Called with the reactor; returns the gateway.
        started_at: When stop signals were blocked, as `read_clock` returns it.

    Returns:
        The exit code.
    """
    from twisted.internet import reactor

    # The reactor's default clock is the wall clock, which may jump.
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
        # The reactor may be late to handle it.
        reactor.callFromThread(begin_drain, signalled_at or read_clock())

    def begin_drain(signalled_at):
        if daemon.is_draining:
            return
        draining = defer.ensureDeferred(daemon.drain(signalled_at=signalled_at))
        draining.addErrback(fail)
        draining.addBoth(stop)

    def reload(*_arguments):
        reactor.callFromThread(daemon.reload)

    reactor.callWhenRunning(begin)
    signalled_at = None
    if signal.sigpending().intersection(_STOP_SIGNALS):
        signalled_at = started_at
    for number in _STOP_SIGNALS:
        signal.signal(number, drain)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, _STOP_SIGNALS)
    signal.signal(signal.SIGHUP, reload)
    reactor.run(installSignalHandlers=False)
    # The interpreter's end restores the default actions, which would give the
    # process another exit code.
    for number in (*_STOP_SIGNALS, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
    sys.stdout.flush()
    return codes[0]
