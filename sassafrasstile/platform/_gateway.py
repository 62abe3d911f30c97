"""Makes the gateway process from the platform's settings."""

import os
import socket
import sys

from sassafrasstile import errors
from sassafrasstile import router
from sassafrasstile import telemetry
from sassafrasstile.platform import _codec
from sassafrasstile.platform import _records
from sassafrasstile.platform import _settings
from sassafrasstile.platform import _store

_METRICS_PORT_VARIABLE = "SASSAFRASSTILE_METRICS_PORT"
_EXIT_USAGE = 2


def run(listener: socket.socket | None, *, started_at: float) -> int:
    """Runs the gateway until a stop signal arrives.

    Args:
        listener: The socket on which callers wait already, or None.
        started_at: When the process began to block stop signals, in seconds
            of the boot-time clock.

    Returns:
        The exit code.
    """
    metrics = telemetry.RouterMetrics()
    telemetry.configure_bounded_logs(dropped=metrics.log_lines_dropped)
    metrics_port = int(os.environ.get(_METRICS_PORT_VARIABLE, "0"))
    source = _settings.SettingsFile(metrics_port=metrics_port)
    try:
        settings = source.read()
    except errors.ConfigurationError as reason:
        print(reason, file=sys.stderr)
        return _EXIT_USAGE

    def make_daemon(reactor) -> router.RouterDaemon:
        return router.RouterDaemon(
            reactor=reactor,
            settings=settings,
            settings_source=source,
            store=_store.PlatformStore(
                reactor=reactor,
                host=settings.store_host,
                port=settings.store_port,
                metrics=metrics,
                bounds=settings.read_bounds,
            ),
            record_decoder=_records.PlatformRecordDecoder(),
            codec=_codec.PlatformCodec(),
            metrics=metrics,
            listener=listener,
        )

    return router.run_router(make_daemon, started_at=started_at)
