"""Invariants of the soak: compares what callers saw with what endpoints ran."""

from __future__ import annotations

import re
from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence

from cloverway.tests.fleet.soak_parts import (
    DOMAINS,
    EVENTS,
    NUMBER,
    RETRIES,
    CallRecord,
    CountingEndpoint,
    Fault,
)
from cloverway.tests.retry_windows import find_excess

NOT_RUN_STATUSES = (408, 421, 429, 503)
RETRIED_ROUTES = ("safe", "stream")
ID = re.compile(rb"for ([a-z0-9-]+)")
VERSION = re.compile(rb" by (v\d+)\n")
PLANNED_FAULTS = {"replace", "reload", "configure", "drain_endpoint", "compact", "spoil_entry"}
FAULT_EFFECT_S = 3.0
"""How long a fault may have an effect after its end."""
MAX_CRASHES = 3
"""Endpoints that a request may crash before the hosts block it, and attempts that may still be sent
while the update about these crashes is on its way."""
MAX_PART_CRASHES = 5
"""Endpoints that requests with one part may crash before the hosts block it."""
MAX_LATE_SENDS = 3
"""Requests with the part that may still be sent."""
UPDATE_DELAY_S = 2.0
"""Time that the update about the last of these crashes may take: hosts broadcast it at once and
again each second, and send it to a host that was unreachable when they hear from it again."""


def find_violations(
    records: Iterable[CallRecord], endpoints: Iterable[CountingEndpoint], faults: Sequence[Fault]
) -> Iterator[str]:
    """Yield each violation of a guarantee to a caller."""
    runs: dict[str, list[CountingEndpoint]] = defaultdict(list)
    for endpoint in endpoints:
        for call in endpoint.runs:
            runs[call].append(endpoint)
    for record in records:
        for violation in check_response(record, runs[record.id], faults):
            yield f"{violation}: {record} ran at {[endpoint.name for endpoint in runs[record.id]]}"


def check_response(
    record: CallRecord, endpoints: Sequence[CountingEndpoint], faults: Sequence[Fault]
) -> Iterator[str]:
    """Yield the violations in the response to one request."""
    if record.route not in RETRIED_ROUTES and len(endpoints) > 1:
        yield "ran twice"
    if record.status in NOT_RUN_STATUSES and record.route not in RETRIED_ROUTES and endpoints:
        yield "told that it did not run"
    if record.status == 404:
        yield "refused although its route exists"
    if b'"quarantined"' in record.body and not record.crashes_endpoints:
        yield "refused as if it had crashed endpoints"
    if record.route == "bound" and any(DOMAINS[e.domain] != "north" for e in endpoints):
        yield "ran outside its home region"
    if record.status == 200 and record.complete:
        if set(ID.findall(record.body)) != {record.id.encode()}:
            yield "response to another request"
        numbers = [int(number) for number in NUMBER.findall(record.prior + record.body)]
        if record.route in ("stream", "cut") and numbers != list(range(1, EVENTS + 1)):
            yield "an event is missing or duplicated in a complete stream"
    if record.status == 200 and len(set(VERSION.findall(record.prior + record.body))) > 1:
        yield "holds events of two software versions"
    if endpoints and not record.status and _is_only_planned(record, faults):
        yield "interrupted by planned operations alone"


def check_crashes(request: str, crashed_at: Sequence[float]) -> Iterator[str]:
    """Yield a violation if a request crashed more endpoints after the hosts had to block it."""
    known_at = sorted(crashed_at)[:MAX_CRASHES][-1] + UPDATE_DELAY_S
    late = [at for at in crashed_at if at > known_at]
    if len(crashed_at) >= MAX_CRASHES and len(late) > MAX_CRASHES:
        yield f"{request} crashed {len(crashed_at)} endpoints, {len(late)} of them late"


def check_bad_part(
    part: str, crashed_at: Sequence[float], sent_at: Iterable[float]
) -> Iterator[str]:
    """Yield a violation if requests with a bad part were sent after the hosts had to block it."""
    if len(crashed_at) < MAX_PART_CRASHES:
        return
    known_at = sorted(crashed_at)[MAX_PART_CRASHES - 1] + UPDATE_DELAY_S
    late = sum(at > known_at for at in sent_at)
    if late > MAX_LATE_SENDS:
        yield f"{part} crashed {len(crashed_at)} endpoints, {late} requests were sent late"


def check_retries(
    service: str, sent: Sequence[float], endpoints: Iterable[CountingEndpoint]
) -> Iterator[str]:
    """Yield a violation if a service got more arrivals beyond the first of a request than allowed.

    `sent` are the times at which callers sent requests to the service.
    """
    arrivals = sorted(arrival for endpoint in endpoints for arrival in endpoint.arrivals)
    seen: set[str] = set()
    repeats = []
    for at, request_id in arrivals:
        if request_id in seen:
            repeats.append(at)
        seen.add(request_id)
    excess = find_excess(RETRIES, sent, repeats)
    if excess > 0:
        yield f"{service} got {excess:.1f} arrivals beyond the first of their request too many"


def _is_only_planned(record: CallRecord, faults: Sequence[Fault]) -> bool:
    """Return whether all faults around the time of a request were planned operations."""
    ongoing = {
        fault.name
        for fault in faults
        if fault.started_at < record.ended_at
        and fault.ended_at > record.started_at - FAULT_EFFECT_S
    }
    return ongoing <= PLANNED_FAULTS
