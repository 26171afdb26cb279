"""Where a request goes: the endpoint or the region with the earliest predicted answer."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from cloverway.core.calls import Call
from cloverway.core.deployment import Service
from cloverway.core.endpoints import Endpoint
from cloverway.core.prediction import BURST_S, FAILURE_S, Candidate

OFFER_S = 0.05
"""Time to read one request that another region is told there is room for: between a small and a
large one. With 0.13 s, small requests found no region that had room, and a tenth was refused."""
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


class RegionOffer(NamedTuple):
    """One other region with what its hosts predict, the way there counted in."""

    region: str
    wait_s: float


def offer_region(service: Service, endpoints: Sequence[Endpoint], now: float) -> Room:
    """Sum up what the endpoints of this region can take now."""
    wait_s, free, tokens = float("inf"), 0, 0
    for endpoint in endpoints:
        load = endpoint.load
        slots = max(1, endpoint.entry.slots)
        running = load.sum_all(now).running
        places = max(0, slots - running)
        if service.engine is None:
            queue_s = load.work_s * max(0, running + 1 - slots) / slots
        else:
            backlog = load.backlog(now)
            queue_s = backlog * load.read_s_per_token
            left_s = max(0.0, BURST_S - queue_s)
            left = int(left_s / load.read_s_per_token) if backlog else ANY_TOKENS
            places = min(places, int(left_s / OFFER_S))
            tokens = max(tokens, left if places else 0)
        wait_s = min(wait_s, queue_s + FAILURE_S * load.failures(now))
        free += places
    return Room(wait_s, free, tokens)


def needs_room(call: Call) -> int:
    """Give the prompt tokens that a request is taken to need in another region.

    Its own part, and half of the shared ones, of which nobody here knows whether they lie there.
    """
    if call.prompt is None:
        return 0
    own = call.prompt.parts[-1].tokens if call.prompt.parts else call.prompt.tokens_in
    return own + (call.prompt.tokens_in - own) // 2


def choose_endpoint(candidates: Iterable[Candidate]) -> Candidate | None:
    """Give the candidate with the earliest answer that is not full, or None."""
    free = [candidate for candidate in candidates if not candidate.full]
    return min(free, key=lambda candidate: candidate.cost_s, default=None)


def choose_region(
    here: Candidate | None, offers: Sequence[RegionOffer], margin_s: float
) -> RegionOffer | None:
    """Give the region to pass a request on to, or None to keep it here.

    A region far away must be better by a margin: bodies and prompts that cross are dear, and what
    is known of it is older.
    """
    best = min(offers, key=lambda offer: offer.wait_s, default=None)
    if best is None:
        return None
    if here is not None and best.wait_s + margin_s >= here.wait_s:
        return None
    return best
