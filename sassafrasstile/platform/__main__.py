"""Starts a gateway on the platform: `python -m sassafrasstile.platform`."""

import signal
import sys

from sassafrasstile.platform import _listener


def main() -> int:
    """Runs the gateway until a stop signal arrives."""
    # Its default action would end the process. The settings are read later.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    listener = _listener.open_listener()
    # Imported only now, since most of the start is spent on it.
    from sassafrasstile.platform import _gateway

    return _gateway.run(listener)


if __name__ == "__main__":
    sys.exit(main())
