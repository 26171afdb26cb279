"""Where a request goes: the endpoint or the region with the earliest predicted answer."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from cloverway.core.deployment import Service
from cloverway.core.endpoints import Endpoint
from cloverway.core.load import DUTY, EngineState
from cloverway.core.members import AdvertisedCapacity
from cloverway.core.prediction import (
    DEFAULT_GAP_S,
    FAILURE_S,
    Candidate,
    RegionOffer,
    describe_engine,
)
from cloverway.core.token_gaps import START_PART

OFFER_S = 0.05
"""Time to read one request that another region is told there is room for: between a small and a
large one. With 0.13 s, small requests found no region that had room, and a tenth was refused."""
REGAINED_PART = DUTY / 2
"""Part of the time since an offer in which its engines are taken to have read what waited there:
half of what is wanted of them, since their own region sends them prompts meanwhile. Taken as it was
told, a region that was full at that moment stayed full until it was heard again, and what waits at
an engine is read within that time: requests of an evacuated region were refused beside engines that
read 0.4 of the time."""
ANY_TOKENS = 1_000_000
"""Prompt tokens that an idle engine takes: it reads a prompt of any size at once."""


class Room(NamedTuple):
    """What the endpoints of a region can take of a service."""

    wait_s: float
    """Until the first event at the best of them."""
    free: int
    """Requests that they can take now."""
    tokens: int
    """Prompt tokens of the largest of these."""
    engine: EngineState | None = None
    """The engine with the shortest queue, for a service that has engines."""


def offer_region(
    service: Service, endpoints: Sequence[Endpoint], line_s: float, now: float
) -> Room:
    """Sum up what the endpoints of this region can take now.

    `line_s` is the work of the requests that wait here. They go first, so nothing is free while
    there are any: engines have room for moments also when more comes than they bear, and what was
    passed on for such a moment waited here in vain.
    """
    rooms = [_offer_endpoint(service, endpoint, now) for endpoint in endpoints]
    best = min(rooms, key=lambda room: room.wait_s)
    free = sum(room.free for room in rooms) if not line_s else 0
    wait_s = best.wait_s + line_s / (len(rooms) * DUTY)
    return Room(wait_s, free, max(room.tokens for room in rooms), best.engine)


def _offer_endpoint(service: Service, endpoint: Endpoint, now: float) -> Room:
    load = endpoint.load
    slots = max(1, endpoint.entry.slots)
    running = load.sum_all(now).running
    places = max(0, slots - running)
    failed_s = FAILURE_S * load.failures(now)
    if service.engine is None:
        queue_s = load.work_s * max(0, running + 1 - slots) / slots
        return Room(queue_s + failed_s, places, 0)
    engine = describe_engine(endpoint, running, now)
    left_s = max(0.0, load.burst_part * DEFAULT_GAP_S - engine.queue_s)
    left = int(left_s / engine.read_s_per_token) if engine.queue_s else ANY_TOKENS
    places = min(places, int(left_s / OFFER_S))
    return Room(engine.queue_s + failed_s, places, left if places else 0, engine)


def update_offer(offer: AdvertisedCapacity, age_s: float) -> AdvertisedCapacity:
    """Give what a region has offered as it will stand some time later.

    What waits there beyond what may wait at engines is read first.
    """
    read_s_per_token = offer.engine.read_s_per_token
    burst_s = START_PART * DEFAULT_GAP_S
    over_s = max(0.0, offer.wait_s - burst_s)
    regained_s = min(REGAINED_PART * age_s - over_s, burst_s)
    if not read_s_per_token or regained_s <= 0:
        return offer
    return offer._replace(
        wait_s=max(0.0, offer.wait_s - REGAINED_PART * age_s),
        free_slots=offer.free_slots + int(regained_s / OFFER_S),
        max_prompt_tokens=offer.max_prompt_tokens + int(regained_s / read_s_per_token),
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
    line_s = ahead_s / (len(candidates) * DUTY)
    return line_s + min(candidate.free_s for candidate in candidates)


def estimate_wait(candidates: Sequence[Candidate], ahead_s: float) -> float:
    """Estimate what it costs to wait here for a place, behind others; infinite without endpoints.

    `ahead_s` is the work of the requests that wait before.
    """
    if not candidates:
        return float("inf")
    line_s = ahead_s / (len(candidates) * DUTY)
    return line_s + min(candidate.cost_s + candidate.free_s for candidate in candidates)


def choose_region(
    stay_s: float, offers: Sequence[RegionOffer], margin_s: float
) -> RegionOffer | None:
    """Give the region to pass a request on to, or None to keep it here, where it costs `stay_s`.

    A region far away must be better by a margin: what is known of it is older.
    """
    best = min(offers, key=lambda offer: offer.cost_s, default=None)
    return best if best is not None and best.cost_s + margin_s < stay_s else None
