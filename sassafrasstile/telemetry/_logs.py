"""Configures the standard library's logging."""

import logging
import os
import sys
import time

import prometheus_client
from pythonjsonlogger import json as json_logs
from twisted.python import log as twisted_log

# Lines a second at the most; a gateway writes about four a request.
_LINES_PER_S = 500.0
_TEXT_FORMAT = "%(asctime)s %(levelname)s %(message)s"
_JSON_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"


def configure_logs(*, level: str, style: str) -> None:
    """Sends the log lines of this process to standard error.

    Args:
        level: `debug`, `info`, `warning` or `error`.
        style: `text`, or `json` for a JSON object a line.
    """
    handler = logging.StreamHandler(sys.stderr)
    formatter: logging.Formatter = logging.Formatter(_TEXT_FORMAT)
    if style == "json":
        formatter = json_logs.JsonFormatter(_JSON_FORMAT)
    handler.setFormatter(formatter)
    _install(handler, level=level)


def _install(handler: logging.Handler, *, level: str) -> None:
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    # Failures that twisted catches itself become log lines too.
    twisted_log.PythonLoggingObserver(loggerName="twisted").start()
    logging.getLogger("twisted").setLevel("WARNING")
    for noisy in ("hpack", "grpclib", "asyncio"):
        logging.getLogger(noisy).setLevel("WARNING")


class BoundedStreamHandler(logging.Handler):
    """Writes lines to a descriptor without ever waiting for its reader.

    Lines beyond a rate, or that the reader doesn't take, are dropped and
    counted.

    Args:
        descriptor: The file descriptor.
        dropped: The counter of dropped lines.
        lines_per_s: Lines a second at the most.
    """

    def __init__(
        self,
        *,
        descriptor: int,
        dropped: prometheus_client.Counter,
        lines_per_s: float = _LINES_PER_S,
    ):
        super().__init__()
        self._descriptor = descriptor
        self._dropped = dropped
        self._lines_per_s = lines_per_s
        self._allowed = lines_per_s
        self._filled_at = time.monotonic()
        self._rest = b""
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one line."""
        if not self._take_one(record):
            self._dropped.inc()
            return
        if not self._write(self._rest):
            self._dropped.inc()
            return
        self._rest = b""
        self._write(self.format(record).encode() + b"\n")

    def _take_one(self, record: logging.LogRecord) -> bool:
        now = time.monotonic()
        grown = (now - self._filled_at) * self._lines_per_s
        self._allowed = min(self._lines_per_s, self._allowed + grown)
        self._filled_at = now
        if self._allowed < 1 and record.levelno < logging.WARNING:
            return False
        self._allowed -= 1
        return True

    def _write(self, data: bytes) -> bool:
        """Writes what the reader takes and keeps the rest of a line."""
        while data:
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                self._rest = data
                return False
            except OSError:
                # Nobody reads any more.
                self._rest = b""
                self._dropped.inc()
                return True
            data = data[written:]
        return True


def configure_bounded_logs(*, dropped: prometheus_client.Counter) -> None:
    """Sends JSON lines to standard output, bounded and never blocking.

    Args:
        dropped: The counter of dropped lines.
    """
    handler = BoundedStreamHandler(
        descriptor=sys.stdout.fileno(), dropped=dropped
    )
    handler.setFormatter(json_logs.JsonFormatter(_JSON_FORMAT, timestamp=True))
    _install(handler, level="info")
