"""What is predicted of a request at an endpoint: its wait, and what it costs others."""

from __future__ import annotations

import zlib
from collections import Counter
from typing import NamedTuple

from cloverway.core.calls import Call, Prompt
from cloverway.core.deployment import Route, Service
from cloverway.core.endpoints import Endpoint
from cloverway.core.engine_speed import START_S_PER_TOKEN
from cloverway.core.kv_fetch import Source, count_fetched, estimate_fetch
from cloverway.core.load import DUTY, EngineState, Work
from cloverway.core.members import AdvertisedCapacity
from cloverway.core.token_gaps import STRAINED_S

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
STREAM_WEIGHT = 0.15
"""Weight of the time by which a prompt delays the streams that run at an endpoint, each of them by
the time to read it, against the request's own time."""
STALL_PART = 0.75
"""Part of the longest wanted pause from which on a prompt, read without a break, makes each running
stream pause too long: tokens and the work of the hosts take the rest."""
DEFAULT_GAP_S = 0.6
"""The longest wanted pause where a route names none: the least of the deployments known."""
STALL_WEIGHT_S = 0.3
"""Time that each such pause counts. One large prompt in 25 is that long; sent to the engine with
the fewest streams, callers had 0.645 of a day's worth instead of 0.611 on one of four days played
with and without, and the same within 0.01 on the others."""
READ_WEIGHT = 0.5
"""Weight of the time to read a prompt, on top of the request's own wait: whoever comes next waits
for it too, so a place that has read a shared part is worth a wait."""
DECODE_WEIGHT = 0.3
"""Weight of the time that the tokens of an answer take at an endpoint, at the pace of those that
run there. Long answers then gather where few prompts are read, and long prompts elsewhere."""
RISK_S = 3.0
"""Time that an answer counts which would not be whole when the time of its route is over: what was
generated is lost, and the caller gets nothing."""
RISK_FROM = 0.5
"""Part of the time left from which on that begins to count: estimates of tokens are off by half."""
LARGE_PART = 0.5
"""Part of the burst that a prompt counts at most against it for its own reading. A larger one would
wait for an engine that has nothing to read, and each smaller one that comes meanwhile passes it."""
SMALL_S = 0.065
"""A prompt that is read within this is small: it adds next to nothing to the pauses of others, for
engines read in chunks that take about as long."""
SMALL_FACTOR = 2.0
"""How many bursts a small prompt may wait behind."""
HOME_BONUS = 0.3
"""Part of the time to read a shared part that its own endpoint, by hash, is preferred by, while
none is known to have it. All hosts then read it at the same one, without a word between them."""
PLACE_S = 0.5
"""Time until an endpoint is free where that isn't a matter of prompts: a stream ends about as often
at an engine with all of its places taken."""
FETCH_PART = 0.1
"""Part of the time to read them that tokens count which an endpoint fetches from another one: the
links of both carry them, and they fill the memory of two engines."""
CROSS_S_PER_BYTE = 3e-6
"""Time that each byte counts which goes to an endpoint of another failure domain of the region, and
back. Bytes between domains are paid for: a body of 9 KB costs as much as a twentieth of what a
caller gets of a large request, about as much as 30 ms of an engine's time."""
ANSWER_BYTES_PER_TOKEN = 12
"""Bytes of an answer for each token: an event of 65 bytes and its frame for six of them."""
KV_USED_PART = 0.92
"""Part of an engine's memory that is filled; the rest is left for answers longer than expected,
since an engine that runs out stops a stream midway."""
DECODE_LIKELY = 0.6
"""Part of the most tokens out that an answer is taken to have without an estimate."""
CELLS = 1 << 32


class Wanted(NamedTuple):
    """A request that looks for a place."""

    call: Call
    route: Route
    service: Service
    tried: Counter[str]
    """Failed sends by endpoint, host and region."""
    digest: int = 0
    """What all repeats of the request have in common; 0 where nothing hangs on it."""


class Candidate(NamedTuple):
    """One endpoint with what is predicted of a request there. Times are seconds."""

    endpoint: Endpoint
    wait_s: float
    """Until the first event or the answer."""
    cost_s: float
    """The wait, and what the request costs others and itself later."""
    work: Work
    full: bool
    """Whether it would have to wait for another request to end."""
    free_s: float = 0.0
    """Until it is no longer full, as far as that can be told."""
    source: Endpoint | None = None
    """The endpoint that it would fetch parts of the prompt from."""
    read_s: float = 0.0
    """Time to read its prompt there."""
    answer_s: float = 0.0
    """Time from the first event of its answer to the last one."""
    running: int = 0
    """Requests that run there, of all hosts."""

    def add_cost(self, seconds: float) -> Candidate:
        """Give the candidate with a higher cost."""
        return self._replace(cost_s=self.cost_s + seconds) if seconds else self

    def delay(self, seconds: float) -> Candidate:
        """Give the candidate as it is when it may get nothing for some time."""
        if seconds <= 0:
            return self
        return self._replace(full=True, free_s=max(self.free_s, seconds))


class Far(NamedTuple):
    """Another region, and the time of the way there and back."""

    region: str
    trip_s: float


class RegionOffer(NamedTuple):
    """Another region with what is predicted of a request there, the way counted in."""

    region: str
    wait_s: float
    cost_s: float


class Sender(NamedTuple):
    """The host that would send a request."""

    domain: str
    hosts: int = 1
    """Hosts of its region, itself counted."""
    is_young: bool = False
    """Whether it has just started, and may not know what others sent. An engine that it believes to
    be idle then gets one long prompt and no more: with all hosts started at once, each would
    otherwise fill every engine by itself."""


def estimate_work(call: Call, endpoint: Endpoint, source: Source | None = None) -> Work:
    """Estimate what a request asks of an endpoint that may fetch from a source."""
    prompt = call.prompt
    if prompt is None:
        return Work()
    fetched = count_fetched(prompt, endpoint, source)
    unread = endpoint.load.count_unread(prompt) - fetched
    return Work(unread, prompt.tokens_in + estimate_out(prompt), fetched)


def estimate_far_work(call: Call) -> Work:
    """Estimate what a request asks of an endpoint in another region.

    Its own part is to be read, and half of the shared ones, of which nobody here knows whether
    they lie there.
    """
    prompt = call.prompt
    if prompt is None:
        return Work()
    own = prompt.parts[-1].tokens if prompt.parts else prompt.tokens_in
    unread = own + (prompt.tokens_in - own) // 2
    return Work(unread, prompt.tokens_in + estimate_out(prompt))


def estimate_read(wanted: Wanted) -> float:
    """Estimate the seconds that an engine takes to read a prompt, not knowing which one it is."""
    if wanted.service.engine is None:
        return 0.0
    return estimate_far_work(wanted.call).unread * START_S_PER_TOKEN


def predict(
    wanted: Wanted,
    endpoint: Endpoint,
    *,
    sender: Sender,
    now: float,
    source: Source | None = None,
) -> Candidate:
    """Predict when a request would have its first answer at an endpoint.

    `source` is where the parts of its prompt lie that the endpoint may fetch.
    """
    call, service = wanted.call, wanted.service
    load = endpoint.load
    total = load.sum_all(now)
    penalty = FAILURE_S * load.failures(now)
    if total.running and now - load.progress_at > STALLED_AFTER_S and load.sum_own().running:
        penalty += STALLED_S
    spread = SPREAD_S * _point(call.id, endpoint.entry.id)
    slots = max(1, endpoint.entry.slots)
    connections = service.max_connections // max(1, sender.hosts)
    full = load.sum_own().running >= max(1, connections) or total.running >= slots
    if service.engine is None or call.prompt is None:
        queue = max(0.0, (total.running + 1 - slots) / slots)
        wait_s = load.work_s * (1 + queue) + penalty + spread
        cost_s = wait_s + _estimate_crossing(call, endpoint, sender.domain)
        work = estimate_work(call, endpoint)
        free_s = load.work_s if full else 0.0
        return Candidate(endpoint, wait_s, cost_s, work, full, free_s, running=total.running)
    work = estimate_work(call, endpoint, source)
    state = describe_engine(endpoint, total.running, now)
    fetch_s = estimate_fetch(work.fetched, service.engine)
    read_s = work.unread * state.read_s_per_token
    wait_s = state.queue_s + read_s + fetch_s + penalty + spread
    is_long = read_s > SMALL_S
    burst_s = load.burst_part * (wanted.route.gap_objective_s or DEFAULT_GAP_S)
    over_s = _estimate_over(state.queue_s, read_s, burst_s, sender.is_young)
    strained = load.is_strained(now) and is_long
    cost_s = wait_s + _estimate_harm(wanted, work, state, now)
    if source is None:
        cost_s -= _home_bonus(call, endpoint)
    cost_s += _estimate_crossing(call, endpoint, sender.domain)
    load.kv_tokens = service.engine.kv_tokens
    kv_limit = service.engine.kv_tokens * KV_USED_PART
    full = full or (total.running > 0 and total.held + work.held > kv_limit)
    free_s = max(PLACE_S if full else 0.0, over_s / DUTY, STRAINED_S if strained else 0.0)
    chosen = source.endpoint if source is not None and work.fetched else None
    answer_s = (work.held - call.prompt.tokens_in) * state.token_s
    return Candidate(
        *(endpoint, wait_s, cost_s, work, free_s > 0, free_s, chosen, read_s, answer_s),
        running=total.running,
    )


def _estimate_over(queue_s: float, read_s: float, burst_s: float, is_young: bool) -> float:
    """Give by how many seconds of reading an engine would have more than may wait there."""
    if queue_s <= 0:
        return 0.0
    if read_s <= SMALL_S:
        return queue_s + read_s - SMALL_FACTOR * burst_s
    counted_s = min(read_s, LARGE_PART * burst_s)
    return queue_s + counted_s - (0.0 if is_young else burst_s)


def describe_engine(endpoint: Endpoint, running: int, now: float) -> EngineState:
    """Give what is known of an engine with some requests."""
    load = endpoint.load
    read_s = load.read_s_per_token
    return EngineState(load.backlog(now) * read_s, read_s, load.estimate_token_s(now), running)


def predict_region(wanted: Wanted, offer: AdvertisedCapacity, far: Far, now: float) -> RegionOffer:
    """Predict how a request would fare in another region, by what that region offers."""
    call = wanted.call
    wait_s = offer.wait_s + far.trip_s
    crossing_s = CROSS_S_PER_BYTE * _estimate_bytes(call)
    if wanted.service.engine is None or call.prompt is None:
        return RegionOffer(far.region, wait_s, wait_s + crossing_s)
    work = estimate_far_work(call)
    wait_s += work.unread * offer.engine.read_s_per_token
    cost_s = wait_s + _estimate_harm(wanted, work, offer.engine, now) + crossing_s
    return RegionOffer(far.region, wait_s, cost_s)


def _estimate_harm(wanted: Wanted, work: Work, state: EngineState, now: float) -> float:
    """Estimate what a request costs later: streams that wait, and its own answer stretched."""
    read_s = work.unread * state.read_s_per_token
    stall_s = STALL_PART * (wanted.route.gap_objective_s or DEFAULT_GAP_S)
    delay_s = read_s * (READ_WEIGHT + STREAM_WEIGHT * state.running)
    first_s = state.queue_s + read_s
    if first_s > stall_s:
        delay_s += STALL_WEIGHT_S * state.running
    assert wanted.call.prompt is not None
    tokens_out = work.held - wanted.call.prompt.tokens_in
    answer_s = tokens_out * state.token_s
    fetch_s = FETCH_PART * work.fetched * state.read_s_per_token
    risk_s = RISK_S * _estimate_risk(wanted, first_s + answer_s, now)
    return delay_s + fetch_s + DECODE_WEIGHT * answer_s + risk_s


def estimate_out(prompt: Prompt) -> int:
    """Give the tokens that an answer is taken to have."""
    if prompt.likely_out is not None:
        return min(prompt.likely_out, prompt.tokens_out)
    return int(prompt.tokens_out * DECODE_LIKELY)


def _estimate_risk(wanted: Wanted, total_s: float, now: float) -> float:
    """Estimate how likely an answer is cut because the time of its route is over."""
    call, route = wanted.call, wanted.route
    left_s = min(call.deadline, call.arrived_at + route.timeout_s) - now
    if left_s <= 0:
        return 1.0
    return min(1.0, max(0.0, total_s / left_s - RISK_FROM) / (1 - RISK_FROM))


def _estimate_crossing(call: Call, endpoint: Endpoint, domain: str) -> float:
    """Give the time that the bytes count which go to another failure domain."""
    if endpoint.entry.domain == domain:
        return 0.0
    return CROSS_S_PER_BYTE * _estimate_bytes(call)


def _estimate_bytes(call: Call) -> float:
    """Give the bytes of a request and its answer."""
    tokens = call.prompt.tokens_out * DECODE_LIKELY if call.prompt is not None else 0.0
    return len(call.body) + ANSWER_BYTES_PER_TOKEN * tokens


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
    """Give a number from 0 to 1 that all hosts agree on; a checksum is even enough, and fast."""
    return zlib.crc32(" ".join(names).encode()) / CELLS
