"""Select the endpoint or region with the lowest predicted cost for a request."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from cloverway.core.deployment import Service
from cloverway.core.endpoint import Endpoint
from cloverway.core.load import PREFILL_DUTY, EngineState
from cloverway.core.members import AdvertisedCapacity
from cloverway.core.prediction import (
    DEFAULT_GAP_OBJECTIVE_S,
    FAILURE_PENALTY_S,
    Candidate,
    RegionCandidate,
    describe_engine,
)
from cloverway.core.token_gaps import INITIAL_BURST_RATIO

ADVERTISED_PREFILL_S = 0.05
"""Prefill time assumed for one request in the capacity advertised to other regions: between that of
a small request and a large one. With 0.13 s, no region had capacity for small requests, and a tenth
of them was refused."""
RECOVERY_FRACTION = PREFILL_DUTY / 2
"""Seconds of queued prefill that an engine is assumed to complete in each second after its region
advertised its capacity: half of the prefill duty, since its own region sends it prompts meanwhile.
Without this, a region that was full when it advertised would count as full until the next time,
although an engine prefills its queue sooner: requests of an evacuated region were refused while
engines spent 0.4 of their time on prefill."""
UNLIMITED_TOKENS = 1_000_000
"""Prompt tokens that an idle engine accepts: it starts a prompt of any size at once."""


class RegionCapacity(NamedTuple):
    """The capacity for a service that a region advertises."""

    wait_s: float
    """Predicted time to first event at the best endpoint."""
    free_slots: int
    """Requests that the endpoints accept now."""
    max_prompt_tokens: int
    """Prompt tokens of the largest of these requests."""
    engine: EngineState | None = None
    """State of the engine with the shortest queue; None for plain services."""


def compute_region_capacity(
    service: Service, endpoints: Sequence[Endpoint], queued_s: float, now: float
) -> RegionCapacity:
    """Return the current capacity of the endpoints of this region.

    `queued_s` is the work of the requests that are queued here. They go first, so no slot is
    advertised as free while there are any. Even overloaded engines have free slots for moments, but
    requests forwarded because of one would only be queued here and then declined.
    """
    capacities = [_compute_endpoint_capacity(service, endpoint, now) for endpoint in endpoints]
    best = min(capacities, key=lambda capacity: capacity.wait_s)
    free_slots = sum(capacity.free_slots for capacity in capacities) if not queued_s else 0
    wait_s = best.wait_s + queued_s / (len(capacities) * PREFILL_DUTY)
    return RegionCapacity(
        wait_s, free_slots, max(capacity.max_prompt_tokens for capacity in capacities), best.engine
    )


def _compute_endpoint_capacity(service: Service, endpoint: Endpoint, now: float) -> RegionCapacity:
    load = endpoint.load
    slots = max(1, endpoint.entry.slots)
    running = load.sum_region_load(now).running
    free_slots = max(0, slots - running)
    penalty_s = FAILURE_PENALTY_S * load.count_failures(now)
    if service.engine is None:
        queue_s = load.service_time_s * max(0, running + 1 - slots) / slots
        return RegionCapacity(queue_s + penalty_s, free_slots, 0)
    engine = describe_engine(endpoint, running, now)
    remaining_s = max(0.0, load.burst_ratio * DEFAULT_GAP_OBJECTIVE_S - engine.queue_s)
    remaining_tokens = (
        int(remaining_s / engine.prefill_s_per_token) if engine.queue_s else UNLIMITED_TOKENS
    )
    free_slots = min(free_slots, int(remaining_s / ADVERTISED_PREFILL_S))
    return RegionCapacity(
        engine.queue_s + penalty_s, free_slots, remaining_tokens if free_slots else 0, engine
    )


def extrapolate_capacity(capacity: AdvertisedCapacity, age_s: float) -> AdvertisedCapacity:
    """Return the capacity of a region extrapolated to `age_s` seconds after it was advertised.

    Engines first complete the work that is queued beyond their burst limit.
    """
    prefill_s_per_token = capacity.engine.prefill_s_per_token
    burst_s = INITIAL_BURST_RATIO * DEFAULT_GAP_OBJECTIVE_S
    excess_s = max(0.0, capacity.wait_s - burst_s)
    recovered_s = min(RECOVERY_FRACTION * age_s - excess_s, burst_s)
    if not prefill_s_per_token or recovered_s <= 0:
        return capacity
    return capacity._replace(
        wait_s=max(0.0, capacity.wait_s - RECOVERY_FRACTION * age_s),
        free_slots=capacity.free_slots + int(recovered_s / ADVERTISED_PREFILL_S),
        max_prompt_tokens=capacity.max_prompt_tokens + int(recovered_s / prefill_s_per_token),
    )


def choose_endpoint(candidates: Iterable[Candidate]) -> Candidate | None:
    """Return the candidate with the lowest cost that is not full, or None."""
    free = [candidate for candidate in candidates if not candidate.is_full]
    return min(free, key=lambda candidate: candidate.cost_s, default=None)


def estimate_start_delay(candidates: Sequence[Candidate], ahead_s: float) -> float | None:
    """Return the estimated seconds until a request can be sent here; None without endpoints.

    `ahead_s` is the work of the requests queued ahead.
    """
    if not candidates:
        return None
    queued_s = ahead_s / (len(candidates) * PREFILL_DUTY)
    return queued_s + min(candidate.available_in_s for candidate in candidates)


def estimate_queueing_cost(candidates: Sequence[Candidate], ahead_s: float) -> float:
    """Return the estimated cost of queueing here, in seconds; infinite without endpoints.

    `ahead_s` is the work of the requests queued ahead.
    """
    if not candidates:
        return float("inf")
    queued_s = ahead_s / (len(candidates) * PREFILL_DUTY)
    return queued_s + min(candidate.cost_s + candidate.available_in_s for candidate in candidates)


def choose_region(
    local_cost_s: float, candidates: Sequence[RegionCandidate], margin_s: float
) -> RegionCandidate | None:
    """Return the region to forward a request to, or None to keep it here at `local_cost_s`.

    A remote region must be better by `margin_s`, because its state is known with a longer delay.
    """
    best = min(candidates, key=lambda capacity: capacity.cost_s, default=None)
    return best if best is not None and best.cost_s + margin_s < local_cost_s else None
