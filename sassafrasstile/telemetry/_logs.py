"""Configures the standard library's logging."""

import logging
import sys

from pythonjsonlogger import json as json_logs
from twisted.python import log as twisted_log

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
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    # Failures that twisted catches itself become log lines too.
    twisted_log.PythonLoggingObserver(loggerName="twisted").start()
    logging.getLogger("twisted").setLevel("WARNING")
    for noisy in ("hpack", "grpclib", "asyncio"):
        logging.getLogger(noisy).setLevel("WARNING")
