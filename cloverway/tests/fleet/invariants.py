"""What the soak holds against the promises: what callers saw, and what endpoints ran."""

from __future__ import annotations

import re
from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence

from cloverway.tests.fleet.soak_parts import DOMAINS, EVENTS, CountingEndpoint, Fault, Seen

NOT_RUN = (408, 421, 429, 503)
REPEATABLE = ("safe", "stream")
ID = re.compile(rb"for ([a-z0-9-]+)")
NUMBER = re.compile(rb"id: (\d+)")
PLANNED = {"replace", "reload", "configure", "drain_endpoint", "compact", "spoil_entry"}
NEAR_S = 3.0
"""How long after its end a fault may still be felt."""
ALLOWED_ENDS = 3
"""Endpoints that one request may end before it is known for what it is, and sends of it that may
cross the news."""
NEWS_S = 2.0
"""Time that the news of the last of these ends may take: hosts tell it at once, again each second,
and to a host that was away when it is heard."""


def find_violations(
    seen: Iterable[Seen], endpoints: Iterable[CountingEndpoint], faults: Sequence[Fault]
) -> Iterator[str]:
    """Give each promise that was broken to a caller."""
    runs: dict[str, list[CountingEndpoint]] = defaultdict(list)
    for endpoint in endpoints:
        for call in endpoint.runs:
            runs[call].append(endpoint)
    for each in seen:
        for what in check_answer(each, runs[each.id], faults):
            yield f"{what}: {each} ran at {[endpoint.name for endpoint in runs[each.id]]}"


def check_answer(
    seen: Seen, ran: Sequence[CountingEndpoint], faults: Sequence[Fault]
) -> Iterator[str]:
    """Give the promises that the answer to one request breaks."""
    if seen.route not in REPEATABLE and len(ran) > 1:
        yield "ran twice"
    if seen.status in NOT_RUN and seen.route not in REPEATABLE and ran:
        yield "told that it did not run"
    if seen.status == 404:
        yield "refused though its route is there"
    if b'"quarantined"' in seen.body and not seen.is_deadly:
        yield "refused as if it had ended endpoints"
    if seen.route == "bound" and any(DOMAINS[e.domain] != "north" for e in ran):
        yield "ran outside its home"
    if seen.status == 200 and seen.whole:
        if set(ID.findall(seen.body)) != {seen.id.encode()}:
            yield "another's answer"
        numbers = [int(number) for number in NUMBER.findall(seen.body)]
        if seen.route in ("stream", "cut") and numbers != list(range(1, EVENTS + 1)):
            yield "a piece is missing or doubled in a whole stream"
    if ran and not seen.status and _is_only_planned(seen, faults):
        yield "cut off by planned work alone"


def check_ends(request: str, ended_at: Sequence[float]) -> Iterator[str]:
    """Tell whether a request went on to end endpoints after it had to be known for it."""
    known_at = sorted(ended_at)[:ALLOWED_ENDS][-1] + NEWS_S
    late = [at for at in ended_at if at > known_at]
    if len(ended_at) >= ALLOWED_ENDS and len(late) > ALLOWED_ENDS:
        yield f"{request} ended {len(ended_at)} endpoints, {len(late)} of them late"


def _is_only_planned(seen: Seen, faults: Sequence[Fault]) -> bool:
    """Tell whether nothing but planned work went on near a request."""
    near = {
        fault.name
        for fault in faults
        if fault.began_at < seen.ended_at and fault.ended_at > seen.began_at - NEAR_S
    }
    return near <= PLANNED
