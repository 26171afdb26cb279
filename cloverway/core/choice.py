"""Where a request goes: the endpoint or the region with the earliest predicted answer."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from cloverway.core.calls import Call
from cloverway.core.deployment import Service
from cloverway.core.endpoints import Endpoint
from cloverway.core.load import Work

FAILURE_S = 0.5
"""Time that each recent failure of an endpoint adds to its prediction: about what a caller loses
when a request fails there and is run elsewhere. It orders endpoints and shuts none out, so the
last one is always used."""
STALLED_AFTER_S = 1.5
"""An endpoint with requests that said nothing for this long is taken for stalled."""
STALLED_S = 3.0
"""Time that a stall adds: longer than any wait that a sound endpoint is chosen with."""
SPREAD_S = 0.004
"""Spread of predictions by the request's id, so that hosts that see the same loads don't all
choose the same idle endpoint: about the time that one small prompt takes."""
HOME_BONUS = 0.3
"""Part of the time to read a shared part that its own endpoint, by hash, is preferred by. All
hosts then read a part that no endpoint has at the same one, without a word between them."""
KV_USED_PART = 0.92
"""Part of an engine's memory that is filled; the rest is left for answers longer than expected,
since an engine that runs out stops a stream midway."""
DECODE_LIKELY = 0.6
"""Part of the most tokens out that an answer is taken to have without an estimate."""
CELLS = 1 << 32


class Candidate(NamedTuple):
    """One endpoint with what is predicted of a request there. Times are seconds."""

    endpoint: Endpoint
    wait_s: float
    """Until the first event or the answer."""
    unread: int
    full: bool
    """Whether it would have to wait for another request to end."""


class RegionOffer(NamedTuple):
    """One other region with what its hosts predict, the way there counted in."""

    region: str
    wait_s: float


def estimate_work(call: Call, endpoint: Endpoint) -> Work:
    """Estimate what a request asks of an endpoint."""
    prompt = call.prompt
    if prompt is None:
        return Work()
    likely = prompt.likely_out
    out = likely if likely is not None else int(prompt.tokens_out * DECODE_LIKELY)
    return Work(endpoint.load.count_unread(prompt), prompt.tokens_in + out)


def predict(call: Call, service: Service, endpoint: Endpoint, hosts: int, now: float) -> Candidate:
    """Predict when a request would have its first answer at an endpoint."""
    load = endpoint.load
    total = load.sum_all(now)
    penalty = FAILURE_S * load.failures(now)
    if total.running and now - load.progress_at > STALLED_AFTER_S and load.sum_own().running:
        penalty += STALLED_S
    spread = SPREAD_S * _point(call.id, endpoint.entry.id)
    slots = max(1, endpoint.entry.slots)
    connections = service.max_connections // max(1, hosts)
    full = load.sum_own().running >= max(1, connections) or total.running >= slots
    if service.engine is None or call.prompt is None:
        queue = max(0.0, (total.running + 1 - slots) / slots)
        return Candidate(endpoint, load.work_s * (1 + queue) + penalty + spread, 0, full)
    work = estimate_work(call, endpoint)
    wait_s = (total.unread + work.unread) * load.read_s_per_token
    wait_s -= _home_bonus(call, endpoint)
    kv_limit = service.engine.kv_tokens * KV_USED_PART
    full = full or (total.running > 0 and total.held + work.held > kv_limit)
    return Candidate(endpoint, wait_s + penalty + spread, work.unread, full)


def choose_endpoint(candidates: Iterable[Candidate]) -> Candidate | None:
    """Give the candidate with the earliest answer that is not full, or None."""
    free = [candidate for candidate in candidates if not candidate.full]
    return min(free, key=lambda candidate: candidate.wait_s, default=None)


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


def _home_bonus(call: Call, endpoint: Endpoint) -> float:
    """Prefer an endpoint for the shared parts that a hash gives to it, a little."""
    assert call.prompt is not None
    shared = call.prompt.parts[:-1]
    if not shared:
        return 0.0
    part = shared[-1]
    point = _point(str(part.id), endpoint.entry.id)
    return HOME_BONUS * part.tokens * endpoint.load.read_s_per_token * point


def _point(*names: str) -> float:
    digest = hashlib.blake2b(" ".join(names).encode(), digest_size=4).digest()
    return int.from_bytes(digest) / CELLS
