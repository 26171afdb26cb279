"""Where a request goes: the endpoint or the region with the earliest predicted answer."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from cloverway.core.deployment import Service
from cloverway.core.endpoints import Endpoint
from cloverway.core.load import PREFILL_DUTY, EngineState
from cloverway.core.members import Offer
from cloverway.core.prediction import (
    DEFAULT_GAP_OBJECTIVE_S,
    FAILURE_PENALTY_S,
    Candidate,
    RegionCandidate,
    describe_engine,
)
from cloverway.core.token_gaps import INITIAL_BURST_RATIO

OFFERED_PREFILL_S = 0.05
"""Time to read one request that another region is told there is room for: between a small and a
large one. With 0.13 s, small requests found no region that had room, and a tenth was refused."""
RECOVERY_FRACTION = PREFILL_DUTY / 2
"""Part of the time since an offer in which its engines are taken to have read what waited there:
half of what is wanted of them, since their own region sends them prompts meanwhile. Taken as it was
told, a region that was full at that moment stayed full until it was heard again, and what waits at
an engine is read within that time: requests of an evacuated region were refused beside engines that
read 0.4 of the time."""
UNLIMITED_TOKENS = 1_000_000
"""Prompt tokens that an idle engine takes: it reads a prompt of any size at once."""


class RegionCapacity(NamedTuple):
    """What the endpoints of a region can take of a service."""

    wait_s: float
    """Until the first event at the best of them."""
    free: int
    """Requests that they can take now."""
    tokens: int
    """Prompt tokens of the largest of these."""
    engine: EngineState | None = None
    """The engine with the shortest queue, for a service that has engines."""


def compute_region_capacity(
    service: Service, endpoints: Sequence[Endpoint], queued_s: float, now: float
) -> RegionCapacity:
    """Sum up what the endpoints of this region can take now.

    `line_s` is the work of the requests that wait here. They go first, so nothing is free while
    there are any: engines have room for moments also when more comes than they bear, and what was
    passed on for such a moment waited here in vain.
    """
    rooms = [_compute_endpoint_capacity(service, endpoint, now) for endpoint in endpoints]
    best = min(rooms, key=lambda room: room.wait_s)
    free = sum(room.free for room in rooms) if not queued_s else 0
    wait_s = best.wait_s + queued_s / (len(rooms) * PREFILL_DUTY)
    return RegionCapacity(wait_s, free, max(room.tokens for room in rooms), best.engine)


def _compute_endpoint_capacity(service: Service, endpoint: Endpoint, now: float) -> RegionCapacity:
    load = endpoint.load
    slots = max(1, endpoint.entry.slots)
    running = load.sum_region_load(now).running
    places = max(0, slots - running)
    failed_s = FAILURE_PENALTY_S * load.failures(now)
    if service.engine is None:
        queue_s = load.service_time_s * max(0, running + 1 - slots) / slots
        return RegionCapacity(queue_s + failed_s, places, 0)
    engine = describe_engine(endpoint, running, now)
    left_s = max(0.0, load.burst_ratio * DEFAULT_GAP_OBJECTIVE_S - engine.queue_s)
    left = int(left_s / engine.prefill_s_per_token) if engine.queue_s else UNLIMITED_TOKENS
    places = min(places, int(left_s / OFFERED_PREFILL_S))
    return RegionCapacity(engine.queue_s + failed_s, places, left if places else 0, engine)


def extrapolate_offer(offer: Offer, age_s: float) -> Offer:
    """Give what a region has offered as it will stand some time later.

    What waits there beyond what may wait at engines is read first.
    """
    prefill_s_per_token = offer.engine.prefill_s_per_token
    burst_s = INITIAL_BURST_RATIO * DEFAULT_GAP_OBJECTIVE_S
    excess_s = max(0.0, offer.wait_s - burst_s)
    recovered_s = min(RECOVERY_FRACTION * age_s - excess_s, burst_s)
    if not prefill_s_per_token or recovered_s <= 0:
        return offer
    return offer._replace(
        wait_s=max(0.0, offer.wait_s - RECOVERY_FRACTION * age_s),
        free=offer.free + int(recovered_s / OFFERED_PREFILL_S),
        room=offer.room + int(recovered_s / prefill_s_per_token),
    )


def choose_endpoint(candidates: Iterable[Candidate]) -> Candidate | None:
    """Give the candidate with the earliest answer that is not full, or None."""
    free = [candidate for candidate in candidates if not candidate.full]
    return min(free, key=lambda candidate: candidate.cost_s, default=None)


def estimate_start(candidates: Sequence[Candidate], ahead_s: float) -> float | None:
    """Estimate the seconds until a request has a place here; None without endpoints.

    `ahead_s` is the work of the requests that wait before.
    """
    if not candidates:
        return None
    queued_s = ahead_s / (len(candidates) * PREFILL_DUTY)
    return queued_s + min(candidate.available_in_s for candidate in candidates)


def estimate_wait(candidates: Sequence[Candidate], ahead_s: float) -> float:
    """Estimate what it costs to wait here for a place, behind others; infinite without endpoints.

    `ahead_s` is the work of the requests that wait before.
    """
    if not candidates:
        return float("inf")
    queued_s = ahead_s / (len(candidates) * PREFILL_DUTY)
    return queued_s + min(candidate.cost_s + candidate.available_in_s for candidate in candidates)


def choose_region(
    local_cost_s: float, offers: Sequence[RegionCandidate], margin_s: float
) -> RegionCandidate | None:
    """Give the region to pass a request on to, or None to keep it here, where it costs `stay_s`.

    A region far away must be better by a margin: what is known of it is older.
    """
    best = min(offers, key=lambda offer: offer.cost_s, default=None)
    return best if best is not None and best.cost_s + margin_s < local_cost_s else None
