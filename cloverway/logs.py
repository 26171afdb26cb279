"""Logging configuration: one JSON object per line on standard error."""

from __future__ import annotations

import logging
import sys
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

LOG_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
FIELD_NAMES = {"asctime": "time", "levelname": "level", "name": "logger"}
QUIET_LOGGERS = ("urllib3",)


def configure_logging(
    level: str, host: str, incarnation: str, stream: TextIO | None = None
) -> None:
    """Log as JSON, with the host and its incarnation in each line.

    Loggers of libraries that log the address and path of each call are set to warnings and above.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(make_formatter(host, incarnation))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    for name in QUIET_LOGGERS:
        logging.getLogger(name).setLevel(logging.WARNING)


def make_formatter(host: str, incarnation: str) -> JsonFormatter:
    """Return the formatter of all log lines."""
    return JsonFormatter(
        LOG_FORMAT,
        rename_fields=FIELD_NAMES,
        static_fields={"host": host, "incarnation": incarnation},
        json_default=repr,
    )
