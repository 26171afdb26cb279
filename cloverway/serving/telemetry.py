"""Logs and metrics of a host: one JSON line for each decision, written without blocking."""

from __future__ import annotations

import logging
import os
from collections.abc import Sequence
from typing import Any, NamedTuple

import aioprometheus

from cloverway.core.calls import Call
from cloverway.errors import Kind
from cloverway.logs import make_formatter

log = logging.getLogger(__name__)

MAX_LINES_PER_S = 500
"""Maximum number of lines written in a second; further lines are counted and dropped. A host serves
about 30 requests a second at its peak, with three lines each; this is five times that."""
MAX_PENDING_BYTES = 256 * 1024
"""Maximum number of bytes buffered for a slow reader of the log; further lines are dropped."""
MAX_LOGGED_PARTS = 16
"""Prompt segments in one line, which callers choose: a line stays below a kilobyte."""
TIME_BUCKETS_S = (0.01, 0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1.0, 1.5, 2.5, 5.0, 10.0, 20.0)
"""Upper bounds of the histogram buckets for times, in seconds."""


class LogLineHandler(logging.Handler):
    """Writes lines to a file descriptor without blocking, and counts the lines it drops."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._pending = b""
        self._second = 0
        self._lines = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or drop it when there are too many or the reader is behind."""
        second = int(record.created)
        if second != self._second:
            self._second, self._lines = second, 0
        self._lines += 1
        if self._lines > MAX_LINES_PER_S or len(self._pending) > MAX_PENDING_BYTES:
            self.dropped += 1
            return
        try:
            self._pending += self.format(record).encode() + b"\n"
            written = os.write(self._descriptor, self._pending)
            self._pending = self._pending[written:]
        except BlockingIOError:
            # The reader is behind. The lines stay buffered, up to MAX_PENDING_BYTES.
            return
        except (OSError, ValueError):
            # This can't be logged, since the log itself can't be written.
            self.dropped += 1


def configure_logging(
    host: str, incarnation: str, level: str, descriptor: int = 1
) -> LogLineHandler:
    """Log JSON lines to a file descriptor; return the handler, which counts dropped lines."""
    log_handler = LogLineHandler(descriptor)
    log_handler.setFormatter(make_formatter(host, incarnation))
    root = logging.getLogger()
    root.handlers[:] = [log_handler]
    root.setLevel(level.upper())
    logging.getLogger("asyncio").setLevel(logging.WARNING)
    return log_handler


class Gauges(NamedTuple):
    """Values that are read when metrics are requested."""

    dropped_lines: int
    held_requests: int
    held_parts: int
    limited_endpoints: int


class Metrics:
    """Counters and histograms, in the text format of Prometheus."""

    def __init__(self) -> None:
        self._registry = aioprometheus.Registry()
        self._requests = self._make_counter("requests_total", "Requests by route and outcome")
        self._attempts = self._make_counter(
            "attempts_total", "Sends to endpoints by service and outcome"
        )
        self._retries = self._make_counter(
            "retries_total", "Decisions of the retry budget by service and outcome"
        )
        self._connects = self._make_counter(
            "connections_total", "New connections to endpoints and hosts"
        )
        self._reads = self._make_counter("store_reads_total", "Reads of the store by outcome")
        self._events = self._make_counter(
            "events_total", "Changes of what this host believes, by kind"
        )
        self._dropped = aioprometheus.Gauge(
            "cloverway_log_lines_dropped", "Log lines dropped", registry=self._registry
        )
        self._quarantined = aioprometheus.Gauge(
            "cloverway_requests_held",
            "Requests that are refused since endpoints ended while they ran them",
            registry=self._registry,
        )
        self._held_parts = aioprometheus.Gauge(
            "cloverway_parts_held",
            "Parts of prompts whose requests are refused since endpoints ended under them",
            registry=self._registry,
        )
        self._limited = aioprometheus.Gauge(
            "cloverway_endpoints_limited",
            "Endpoints that name a limit for all hosts together",
            registry=self._registry,
        )
        self._time_to_first = self._make_histogram(
            "first_seconds", "Time to the first event or the answer"
        )
        self._total = self._make_histogram("request_seconds", "Time to the end of the answer")
        self._gap = self._make_histogram(
            "gap_seconds", "Longest pause between two events of a stream"
        )

    def record_request(
        self, route: str, kind: Kind | None, first_s: float | None, total_s: float, gap_s: float
    ) -> None:
        """Count a request that has ended, and observe its times."""
        self._requests.inc({"route": route, "outcome": str(kind or "ok")})
        self._total.observe({"route": route}, total_s)
        if first_s is not None:
            self._time_to_first.observe({"route": route}, first_s)
        if gap_s:
            self._gap.observe({"route": route}, gap_s)

    def record_attempt(self, service: str, outcome: str) -> None:
        """Count a send to an endpoint or to another host."""
        self._attempts.inc({"service": service, "outcome": outcome})

    def record_retry(self, service: str, is_granted: bool) -> None:
        """Count a decision of the retry budget."""
        self._retries.inc({"service": service, "outcome": "granted" if is_granted else "refused"})

    def record_connect(self, address: str) -> None:
        """Count a new connection; not by address, since addresses of endpoints keep changing."""
        self._connects.inc({})

    def record_read(self, outcome: str) -> None:
        """Count a read of the store."""
        self._reads.inc({"outcome": outcome})

    def record_event(self, what: str) -> None:
        """Count a change in what this host knows of others."""
        self._events.inc({"what": what})

    def render(self, gauges: Gauges) -> bytes:
        """Return all metrics as text, with the current values of the gauges."""
        self._dropped.set({}, gauges.dropped_lines)
        self._quarantined.set({}, gauges.held_requests)
        self._held_parts.set({}, gauges.held_parts)
        self._limited.set({}, gauges.limited_endpoints)
        text, _ = aioprometheus.render(self._registry, ["text/plain"])
        return bytes(text)

    def _make_counter(self, name: str, what: str) -> aioprometheus.Counter:
        return aioprometheus.Counter(f"cloverway_{name}", what, registry=self._registry)

    def _make_histogram(
        self, name: str, what: str, bounds: Sequence[float] = TIME_BUCKETS_S
    ) -> aioprometheus.Histogram:
        # Without an explicit registry it would be added to the library's global one.
        return aioprometheus.Histogram(
            f"cloverway_{name}", what, registry=self._registry, buckets=list(bounds)
        )


def log_event(event: str, /, level: int = logging.INFO, **inputs: Any) -> None:
    """Log a decision or a change of state with its inputs."""
    log.log(level, event, extra=inputs)


def format_parts(call: Call) -> list[str] | None:
    """Return the first prompt segments that other requests may share, as callers name them."""
    segments = call.prompt.shared_segments if call.prompt is not None else ()
    return [f"{segment.id:x}" for segment in segments[:MAX_LOGGED_PARTS]] or None


def format_digest(call: Call) -> str:
    """Return the digest of a request in the form used in logs; repeats of a request share it."""
    return f"{call.compute_digest():016x}"
