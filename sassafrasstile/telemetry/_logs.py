"""Configures the standard library's logging."""

import logging
import os
import sys
import time

import prometheus_client
from pythonjsonlogger import json as json_logs
from twisted.python import log as twisted_log

from sassafrasstile import limits

# A gateway writes about four lines per request.
_MAX_LINES_PER_S = 500.0
_TEXT_FORMAT = "%(asctime)s %(levelname)s %(message)s"
_JSON_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"


def configure_logs(*, level: str, style: str) -> None:
    """Writes the log lines of this process to standard error.

    Args:
        level: The lowest level written: `debug`, `info`, `warning` or `error`.
        style: `text`, or `json` for one JSON object per line.
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
    # Errors that Twisted catches are logged too.
    twisted_log.PythonLoggingObserver(loggerName="twisted").start()
    logging.getLogger("twisted").setLevel("WARNING")
    for noisy in ("hpack", "grpclib", "asyncio"):
        logging.getLogger(noisy).setLevel("WARNING")


class BoundedStreamHandler(logging.Handler):
    """Writes lines to a file descriptor without ever blocking.

    Lines that the descriptor doesn't accept are dropped and counted, and so
    are lines beyond a rate, except for warnings and errors.

    Args:
        descriptor: The file descriptor; it is made non-blocking.
        dropped: The counter of dropped lines.
        lines_per_s: Maximum rate, and also the size of a burst, in lines.
    """

    def __init__(
        self,
        *,
        descriptor: int,
        dropped: prometheus_client.Counter,
        lines_per_s: float = _MAX_LINES_PER_S,
    ):
        super().__init__()
        self._descriptor = descriptor
        self._dropped = dropped
        self._bucket = limits.TokenBucket(rate_per_s=lines_per_s)
        self._unwritten = b""
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record as one line, or drops it."""
        if not self._may_write(record):
            self._dropped.inc()
            return
        if not self._write(self._unwritten):
            self._dropped.inc()
            return
        self._unwritten = b""
        self._write(self._encode(record) + b"\n")

    def _encode(self, record: logging.LogRecord) -> bytes:
        """Returns a record's line; what can't be written names its place."""
        try:
            return self.format(record).encode()
        except Exception as reason:
            # Its values may be a peer's, and logging must fail nothing.
            self._dropped.inc()
            place = f"{record.module}:{record.lineno}"
            text = f"log: a line of {place} can't be written: {reason!r:.100}"
            return text.encode("ascii", "backslashreplace")

    def _may_write(self, record: logging.LogRecord) -> bool:
        """Returns whether the rate allows a line, or it is a warning."""
        is_allowed = self._bucket.take(1, time.monotonic())
        return is_allowed or record.levelno >= logging.WARNING

    def _write(self, data: bytes) -> bool:
        """Writes as much as possible and keeps the rest for the next call.

        Returns:
            False if bytes remain to be written.
        """
        while data:
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                self._unwritten = data
                return False
            except OSError:
                # The reader has closed its end.
                self._unwritten = b""
                self._dropped.inc()
                return True
            data = data[written:]
        return True


def configure_bounded_logs(*, dropped: prometheus_client.Counter) -> None:
    """Writes JSON lines to standard output, rate-limited and non-blocking.

    Args:
        dropped: The counter of dropped lines.
    """
    handler = BoundedStreamHandler(
        descriptor=sys.stdout.fileno(), dropped=dropped
    )
    handler.setFormatter(json_logs.JsonFormatter(_JSON_FORMAT, timestamp=True))
    _install(handler, level="info")
