"""What the soak holds against the promises: what callers saw, and what endpoints ran."""

from __future__ import annotations

import re
from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence

from cloverway.tests.fleet.soak_parts import DOMAINS, EVENTS, CallRecord, CountingEndpoint, Fault

NOT_RUN_STATUSES = (408, 421, 429, 503)
RETRIED_ROUTES = ("safe", "stream")
ID = re.compile(rb"for ([a-z0-9-]+)")
NUMBER = re.compile(rb"id: (\d+)")
PLANNED = {"replace", "reload", "configure", "drain_endpoint", "compact", "spoil_entry"}
FAULT_EFFECT_S = 3.0
"""How long after its end a fault may still be felt."""
MAX_CRASHES = 3
"""Endpoints that one request may end before it is known for what it is, and sends of it that may
cross the news."""
UPDATE_DELAY_S = 2.0
"""Time that the news of the last of these ends may take: hosts tell it at once, again each second,
and to a host that was away when it is heard."""


def find_violations(
    seen: Iterable[CallRecord], endpoints: Iterable[CountingEndpoint], faults: Sequence[Fault]
) -> Iterator[str]:
    """Give each promise that was broken to a caller."""
    runs: dict[str, list[CountingEndpoint]] = defaultdict(list)
    for endpoint in endpoints:
        for call in endpoint.runs:
            runs[call].append(endpoint)
    for each in seen:
        for what in check_response(each, runs[each.id], faults):
            yield f"{what}: {each} ran at {[endpoint.name for endpoint in runs[each.id]]}"


def check_response(
    seen: CallRecord, ran: Sequence[CountingEndpoint], faults: Sequence[Fault]
) -> Iterator[str]:
    """Give the promises that the answer to one request breaks."""
    if seen.route not in RETRIED_ROUTES and len(ran) > 1:
        yield "ran twice"
    if seen.status in NOT_RUN_STATUSES and seen.route not in RETRIED_ROUTES and ran:
        yield "told that it did not run"
    if seen.status == 404:
        yield "refused though its route is there"
    if b'"quarantined"' in seen.body and not seen.crashes_endpoints:
        yield "refused as if it had ended endpoints"
    if seen.route == "bound" and any(DOMAINS[e.domain] != "north" for e in ran):
        yield "ran outside its home"
    if seen.status == 200 and seen.complete:
        if set(ID.findall(seen.body)) != {seen.id.encode()}:
            yield "another's answer"
        numbers = [int(number) for number in NUMBER.findall(seen.body)]
        if seen.route in ("stream", "cut") and numbers != list(range(1, EVENTS + 1)):
            yield "a piece is missing or doubled in a whole stream"
    if ran and not seen.status and _is_only_planned(seen, faults):
        yield "cut off by planned work alone"


def check_crashes(request: str, crashed_at: Sequence[float]) -> Iterator[str]:
    """Tell whether a request went on to end endpoints after it had to be known for it."""
    known_at = sorted(crashed_at)[:MAX_CRASHES][-1] + UPDATE_DELAY_S
    late = [at for at in crashed_at if at > known_at]
    if len(crashed_at) >= MAX_CRASHES and len(late) > MAX_CRASHES:
        yield f"{request} ended {len(crashed_at)} endpoints, {len(late)} of them late"


def _is_only_planned(seen: CallRecord, faults: Sequence[Fault]) -> bool:
    """Tell whether nothing but planned work went on near a request."""
    ongoing = {
        fault.name
        for fault in faults
        if fault.started_at < seen.ended_at and fault.ended_at > seen.started_at - FAULT_EFFECT_S
    }
    return ongoing <= PLANNED
