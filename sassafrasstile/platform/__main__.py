"""Starts a gateway on the platform: `python -m sassafrasstile.platform`."""

import os
import signal
import sys
import time

from sassafrasstile.platform import _listener

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def main() -> int:
    """Runs the gateway until a stop signal arrives."""
    # Its default action would end the process. The settings are read later.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # The gateway handles a stop that arrives meanwhile, and answers the callers
    # that wait by then.
    signal.pthread_sigmask(signal.SIG_BLOCK, _STOP_SIGNALS)
    started_at = time.clock_gettime(time.CLOCK_BOOTTIME)
    listener = _listener.open_listener()
    # Imported only now, since most of the start is spent on it.
    from sassafrasstile.platform import _gateway

    return _gateway.run(listener, started_at=started_at)


def _end(code: int) -> None:
    """Ends the process without the interpreter's own clean-up.

    That takes some tenths of a second, which a stop hasn't left.
    """
    import logging

    logging.shutdown()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)


if __name__ == "__main__":
    _end(main())
