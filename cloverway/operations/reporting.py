"""Reports each request when it has ended: one log line and one observation for the metrics.

Bodies, caller keys and idempotency keys are never reported.
"""

from __future__ import annotations

import logging
from collections.abc import Sequence
from typing import Protocol

from cloverway.entry.callers import Rejection
from cloverway.errors import Kind, Ran
from cloverway.membership.view import ViewHolder
from cloverway.messages import Request
from cloverway.operations.metrics import Metrics, RequestEnded, StreamEnded

log = logging.getLogger(__name__)

MS_PER_SECOND = 1000


class EndedRequest(Protocol):
    """The gateway's record of a request that has ended. Times are seconds."""

    @property
    def request(self) -> Request: ...  # noqa: D102
    @property
    def endpoint(self) -> str: ...  # noqa: D102
    @property
    def attempts(self) -> int: ...  # noqa: D102
    @property
    def first_byte_s(self) -> float | None: ...  # noqa: D102
    @property
    def queue_s(self) -> float: ...  # noqa: D102
    @property
    def total_s(self) -> float: ...  # noqa: D102
    @property
    def kind(self) -> Kind | None: ...  # noqa: D102
    @property
    def ran(self) -> Ran: ...  # noqa: D102


class EndedStream(Protocol):
    """The relay's record of a stream that has ended."""

    @property
    def tokens(self) -> int: ...  # noqa: D102
    @property
    def gap_counts(self) -> Sequence[int]: ...  # noqa: D102
    @property
    def gap_sum_s(self) -> float: ...  # noqa: D102


class Reporter:
    """Logs and counts requests and streams that have ended."""

    def __init__(self, metrics: Metrics, holder: ViewHolder) -> None:
        self._metrics = metrics
        self._holder = holder

    def report_request(self, request_record: EndedRequest) -> None:
        """Report a request that the gateway ran or refused."""
        request = request_record.request
        first_byte_ms = (
            _to_ms(request_record.first_byte_s) if request_record.first_byte_s is not None else None
        )
        log.info(
            "request",
            extra={
                "request_id": request.id,
                "team": request.team,
                "profile": request.profile,
                "method": request.method,
                "endpoint": request_record.endpoint,
                "attempts": request_record.attempts,
                "queue_ms": _to_ms(request_record.queue_s),
                "first_byte_ms": first_byte_ms,
                "total_ms": _to_ms(request_record.total_s),
                "outcome": str(request_record.kind or "ok"),
                "ran": str(request_record.ran),
                "passed_on": request.is_forwarded,
            },
        )
        self._metrics.record(
            RequestEnded(
                team=request.team,
                urgency=self._find_urgency(request.profile),
                kind=request_record.kind,
                ran=request_record.ran,
                endpoint=request_record.endpoint,
                attempts=request_record.attempts,
                queue_s=request_record.queue_s,
                first_byte_s=request_record.first_byte_s,
                total_s=request_record.total_s,
            )
        )

    def report_rejection(self, rejection: Rejection) -> None:
        """Report a request that was rejected before it reached the gateway."""
        log.info(
            "request",
            extra={
                "request_id": rejection.request_id,
                "team": rejection.team,
                "profile": rejection.profile,
                "method": rejection.method,
                "attempts": 0,
                "total_ms": _to_ms(rejection.total_s),
                "outcome": str(rejection.kind),
                "ran": str(rejection.ran),
            },
        )
        self._metrics.record(
            RequestEnded(
                team=rejection.team,
                urgency=self._find_urgency(rejection.profile),
                kind=rejection.kind,
                ran=rejection.ran,
                total_s=rejection.total_s,
            )
        )

    def report_stream(self, request: Request, stream: EndedStream) -> None:
        """Report the tokens of a stream that has ended."""
        urgency = self._find_urgency(request.profile)
        self._metrics.record(
            StreamEnded(request.team, urgency, stream.tokens, stream.gap_counts, stream.gap_sum_s)
        )

    def _find_urgency(self, profile: str) -> str:
        published = self._holder.current.published
        known = published.profiles.get(profile) if published else None
        return known.urgency if known else ""


def _to_ms(seconds: float) -> float:
    return round(seconds * MS_PER_SECOND, 1)
