"""Collect the log lines of one request from several hosts, ordered by time."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator, Mapping, Sequence
from pathlib import Path
from typing import Any, NamedTuple, TextIO

from cloverway.commands.output import format_cell, format_table
from cloverway.errors import UserError

COLUMNS = ("time", "host", "event", "what decided it")
COMMON_FIELDS = frozenset(
    ("time", "level", "logger", "message", "host", "incarnation", "request_id")
)
"""Fields that have their own columns, or don't explain a decision."""


class LogLine(NamedTuple):
    """One line of a host's log."""

    time: str
    host: str
    event: str
    inputs: Mapping[str, Any]


def trace_request(request_id: str, sources: Sequence[TextIO]) -> list[LogLine]:
    """Return the lines of a request from logs, ordered by time; raise UserError if none.

    `request_id` is the id of one attempt, or the digest that all repeats of a request share.
    """
    found = (line for source in sources for line in _read_lines(source, request_id))
    lines = sorted(found, key=lambda line: line.time)
    if not lines:
        raise UserError(
            f"no line of the request {request_id!r}; give the logs of all hosts from that time"
        )
    return lines


def open_logs(paths: Sequence[Path]) -> list[TextIO]:
    """Open log files; raise UserError if one can't be read."""
    try:
        return [path.open(encoding="utf-8", errors="replace") for path in paths]
    except OSError as error:
        raise UserError(f"{error.filename}: can't be read: {error.strerror}") from error


def format_trace(lines: Iterable[LogLine]) -> str:
    """Return the lines as a table."""
    rows = [(line.time, line.host, line.event, _format_inputs(line.inputs)) for line in lines]
    return format_table(COLUMNS, rows)


def _read_lines(source: TextIO, request_id: str) -> Iterator[LogLine]:
    for text in source:
        # Logs of a fleet are large, so only lines that contain the id are decoded.
        if request_id not in text:
            continue
        fields = _decode(text)
        if request_id not in (fields.get("request_id"), fields.get("request_digest")):
            continue
        inputs = {name: value for name, value in fields.items() if name not in COMMON_FIELDS}
        if fields.get("request_id") != request_id:
            inputs = {"request_id": fields.get("request_id"), **inputs}
        yield LogLine(
            str(fields.get("time", "")),
            str(fields.get("host", "")),
            str(fields.get("message", "")),
            inputs,
        )


def _decode(text: str) -> dict[str, Any]:
    """Decode a line; ignore text before its JSON object."""
    start = text.find("{")
    try:
        fields = json.loads(text[start:]) if start >= 0 else {}
    except ValueError:
        return {}
    return fields if isinstance(fields, dict) else {}


def _format_inputs(inputs: Mapping[str, Any]) -> str:
    return " ".join(
        f"{name}={format_cell(value)}" for name, value in inputs.items() if value not in (None, "")
    )
