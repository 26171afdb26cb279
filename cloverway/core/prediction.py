"""What is predicted of a request at an endpoint: its wait, and what it costs others."""

from __future__ import annotations

import zlib
from collections import Counter
from typing import NamedTuple

from cloverway.core.calls import Call, Prompt
from cloverway.core.deployment import Route, Service
from cloverway.core.endpoints import Endpoint
from cloverway.core.engine_speed import INITIAL_PREFILL_S_PER_TOKEN
from cloverway.core.kv_fetch import FetchSource, count_fetched_tokens, estimate_fetch_s
from cloverway.core.load import PREFILL_DUTY, EngineState, Work
from cloverway.core.members import Offer
from cloverway.core.token_gaps import SATURATION_S

FAILURE_PENALTY_S = 0.5
"""Time that each recent failure of an endpoint adds to its prediction: about what a caller loses
when a request fails there and is run elsewhere. It orders endpoints and shuts none out, so the
last one is always used."""
STALLED_AFTER_S = 1.5
"""An endpoint with requests that said nothing for this long is taken for stalled."""
STALL_PENALTY_S = 3.0
"""Time that a stall adds: longer than any wait that a sound endpoint is chosen with."""
PREDICTION_SPREAD_S = 0.004
"""Spread of predictions by the request's id, so that hosts that see the same loads don't all
choose the same idle endpoint: about the time that one small prompt takes."""
STREAM_DELAY_WEIGHT = 0.15
"""Weight of the time by which a prompt delays the streams that run at an endpoint, each of them by
the time to read it, against the request's own time."""
STALL_FRACTION = 0.75
"""Part of the longest wanted pause from which on a prompt, read without a break, makes each running
stream pause too long: tokens and the work of the hosts take the rest."""
DEFAULT_GAP_OBJECTIVE_S = 0.6
"""The longest wanted pause where a route names none: the least of the deployments known."""
STALL_COST_S = 0.3
"""Time that each such pause counts. One large prompt in 25 is that long; sent to the engine with
the fewest streams, callers had 0.645 of a day's worth instead of 0.611 on one of four days played
with and without, and the same within 0.01 on the others."""
PREFILL_WEIGHT = 0.5
"""Weight of the time to read a prompt, on top of the request's own wait: whoever comes next waits
for it too, so a place that has read a shared part is worth a wait."""
DECODE_WEIGHT = 0.3
"""Weight of the time that the tokens of an answer take at an endpoint, at the pace of those that
run there. Long answers then gather where few prompts are read, and long prompts elsewhere."""
TRUNCATION_COST_S = 3.0
"""Time that an answer counts which would not be whole when the time of its route is over: what was
generated is lost, and the caller gets nothing."""
TRUNCATION_RISK_START = 0.5
"""Part of the time left from which on that begins to count: estimates of tokens are off by half."""
LARGE_PROMPT_FRACTION = 0.5
"""Part of the burst that a prompt counts at most against it for its own reading. A larger one would
wait for an engine that has nothing to read, and each smaller one that comes meanwhile passes it."""
SMALL_PREFILL_S = 0.065
"""A prompt that is read within this is small: it adds next to nothing to the pauses of others, for
engines read in chunks that take about as long."""
SMALL_PROMPT_BURSTS = 2.0
"""How many bursts a small prompt may wait behind."""
AFFINITY_BONUS = 0.3
"""Part of the time to read a shared part that its own endpoint, by hash, is preferred by, while
none is known to have it. All hosts then read it at the same one, without a word between them."""
SLOT_WAIT_S = 0.5
"""Time until an endpoint is free where that isn't a matter of prompts: a stream ends about as often
at an engine with all of its places taken."""
FETCH_COST_FRACTION = 0.1
"""Part of the time to read them that tokens count which an endpoint fetches from another one: the
links of both carry them, and they fill the memory of two engines."""
CROSS_DOMAIN_S_PER_BYTE = 3e-6
"""Time that each byte counts which goes to an endpoint of another failure domain of the region, and
back. Bytes between domains are paid for: a body of 9 KB costs as much as a twentieth of what a
caller gets of a large request, about as much as 30 ms of an engine's time."""
RESPONSE_BYTES_PER_TOKEN = 12
"""Bytes of an answer for each token: an event of 65 bytes and its frame for six of them."""
MAX_KV_FILL = 0.92
"""Part of an engine's memory that is filled; the rest is left for answers longer than expected,
since an engine that runs out stops a stream midway."""
EXPECTED_OUTPUT_FRACTION = 0.6
"""Part of the most tokens out that an answer is taken to have without an estimate."""
CRC32_RANGE = 1 << 32


class RoutedCall(NamedTuple):
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
    available_in_s: float = 0.0
    """Until it is no longer full, as far as that can be told."""
    fetch_source: Endpoint | None = None
    """The endpoint that it would fetch parts of the prompt from."""
    prefill_s: float = 0.0
    """Time to read its prompt there."""
    decode_s: float = 0.0
    """Time from the first event of its answer to the last one."""
    running: int = 0
    """Requests that run there, of all hosts."""

    def with_added_cost(self, seconds: float) -> Candidate:
        """Give the candidate with a higher cost."""
        return self._replace(cost_s=self.cost_s + seconds) if seconds else self

    def with_delay(self, seconds: float) -> Candidate:
        """Give the candidate as it is when it may get nothing for some time."""
        if seconds <= 0:
            return self
        return self._replace(full=True, available_in_s=max(self.available_in_s, seconds))


class RemoteRegion(NamedTuple):
    """Another region, and the time of the way there and back."""

    region: str
    round_trip_s: float


class RegionCandidate(NamedTuple):
    """Another region with what is predicted of a request there, the way counted in."""

    region: str
    wait_s: float
    cost_s: float


class Sender(NamedTuple):
    """The host that would send a request."""

    domain: str
    hosts: int = 1
    """Hosts of its region, itself counted."""
    is_recently_started: bool = False
    """Whether it has just started, and may not know what others sent. An engine that it believes to
    be idle then gets one long prompt and no more: with all hosts started at once, each would
    otherwise fill every engine by itself."""


def estimate_work(call: Call, endpoint: Endpoint, source: FetchSource | None = None) -> Work:
    """Estimate what a request asks of an endpoint that may fetch from a source."""
    prompt = call.prompt
    if prompt is None:
        return Work()
    fetched_tokens = count_fetched_tokens(prompt, endpoint, source)
    prefill_tokens = endpoint.load.count_uncached(prompt) - fetched_tokens
    return Work(
        prefill_tokens, prompt.input_tokens + estimate_output_tokens(prompt), fetched_tokens
    )


def estimate_remote_work(call: Call) -> Work:
    """Estimate what a request asks of an endpoint in another region.

    Its own part is to be read, and half of the shared ones, of which nobody here knows whether
    they lie there.
    """
    prompt = call.prompt
    if prompt is None:
        return Work()
    own = prompt.segments[-1].tokens if prompt.segments else prompt.input_tokens
    prefill_tokens = own + (prompt.input_tokens - own) // 2
    return Work(prefill_tokens, prompt.input_tokens + estimate_output_tokens(prompt))


def estimate_prefill_s(routed: RoutedCall) -> float:
    """Estimate the seconds that an engine takes to read a prompt, not knowing which one it is."""
    if routed.service.engine is None:
        return 0.0
    return estimate_remote_work(routed.call).prefill_tokens * INITIAL_PREFILL_S_PER_TOKEN


def predict(
    routed: RoutedCall,
    endpoint: Endpoint,
    *,
    sender: Sender,
    now: float,
    source: FetchSource | None = None,
) -> Candidate:
    """Predict when a request would have its first answer at an endpoint.

    `source` is where the parts of its prompt lie that the endpoint may fetch.
    """
    call, service = routed.call, routed.service
    load = endpoint.load
    total = load.sum_region_load(now)
    penalty = FAILURE_PENALTY_S * load.failures(now)
    if (
        total.running
        and now - load.last_progress_at > STALLED_AFTER_S
        and load.get_own_load().running
    ):
        penalty += STALL_PENALTY_S
    spread = PREDICTION_SPREAD_S * _hash_to_fraction(call.id, endpoint.entry.id)
    slots = max(1, endpoint.entry.slots)
    connections = service.max_connections // max(1, sender.hosts)
    full = load.get_own_load().running >= max(1, connections) or total.running >= slots
    if service.engine is None or call.prompt is None:
        queue = max(0.0, (total.running + 1 - slots) / slots)
        wait_s = load.service_time_s * (1 + queue) + penalty + spread
        cost_s = wait_s + _estimate_crossing_cost(call, endpoint, sender.domain)
        work = estimate_work(call, endpoint)
        available_in_s = load.service_time_s if full else 0.0
        return Candidate(
            endpoint, wait_s, cost_s, work, full, available_in_s, running=total.running
        )
    work = estimate_work(call, endpoint, source)
    state = describe_engine(endpoint, total.running, now)
    fetch_s = estimate_fetch_s(work.fetched_tokens, service.engine)
    prefill_s = work.prefill_tokens * state.prefill_s_per_token
    wait_s = state.queue_s + prefill_s + fetch_s + penalty + spread
    is_long = prefill_s > SMALL_PREFILL_S
    burst_s = load.burst_ratio * (routed.route.gap_objective_s or DEFAULT_GAP_OBJECTIVE_S)
    excess_s = _estimate_burst_excess(state.queue_s, prefill_s, burst_s, sender.is_recently_started)
    saturated = load.is_saturated(now) and is_long
    cost_s = wait_s + _estimate_later_cost(routed, work, state, now)
    if source is None:
        cost_s -= _compute_affinity_bonus(call, endpoint)
    cost_s += _estimate_crossing_cost(call, endpoint, sender.domain)
    load.kv_capacity = service.engine.kv_tokens
    kv_limit = service.engine.kv_tokens * MAX_KV_FILL
    full = full or (
        total.running > 0 and total.reserved_kv_tokens + work.reserved_kv_tokens > kv_limit
    )
    available_in_s = max(
        SLOT_WAIT_S if full else 0.0, excess_s / PREFILL_DUTY, SATURATION_S if saturated else 0.0
    )
    fetch_source = source.endpoint if source is not None and work.fetched_tokens else None
    decode_s = (work.reserved_kv_tokens - call.prompt.input_tokens) * state.decode_s_per_token
    return Candidate(
        *(
            endpoint,
            wait_s,
            cost_s,
            work,
            available_in_s > 0,
            available_in_s,
            fetch_source,
            prefill_s,
            decode_s,
        ),
        running=total.running,
    )


def _estimate_burst_excess(
    queue_s: float, prefill_s: float, burst_s: float, is_recently_started: bool
) -> float:
    """Give by how many seconds of reading an engine would have more than may wait there."""
    if queue_s <= 0:
        return 0.0
    if prefill_s <= SMALL_PREFILL_S:
        return queue_s + prefill_s - SMALL_PROMPT_BURSTS * burst_s
    counted_s = min(prefill_s, LARGE_PROMPT_FRACTION * burst_s)
    return queue_s + counted_s - (0.0 if is_recently_started else burst_s)


def describe_engine(endpoint: Endpoint, running: int, now: float) -> EngineState:
    """Give what is known of an engine with some requests."""
    load = endpoint.load
    prefill_s = load.prefill_s_per_token
    return EngineState(
        load.backlog(now) * prefill_s, prefill_s, load.estimate_decode_s_per_token(now), running
    )


def predict_region(
    routed: RoutedCall, offer: Offer, remote: RemoteRegion, now: float
) -> RegionCandidate:
    """Predict how a request would fare in another region, by what that region offers."""
    call = routed.call
    wait_s = offer.wait_s + remote.round_trip_s
    crossing_s = CROSS_DOMAIN_S_PER_BYTE * _estimate_bytes(call)
    if routed.service.engine is None or call.prompt is None:
        return RegionCandidate(remote.region, wait_s, wait_s + crossing_s)
    work = estimate_remote_work(call)
    wait_s += work.prefill_tokens * offer.engine.prefill_s_per_token
    cost_s = wait_s + _estimate_later_cost(routed, work, offer.engine, now) + crossing_s
    return RegionCandidate(remote.region, wait_s, cost_s)


def _estimate_later_cost(routed: RoutedCall, work: Work, state: EngineState, now: float) -> float:
    """Estimate what a request costs later: streams that wait, and its own answer stretched."""
    prefill_s = work.prefill_tokens * state.prefill_s_per_token
    stall_s = STALL_FRACTION * (routed.route.gap_objective_s or DEFAULT_GAP_OBJECTIVE_S)
    delay_s = prefill_s * (PREFILL_WEIGHT + STREAM_DELAY_WEIGHT * state.running)
    first_event_s = state.queue_s + prefill_s
    if first_event_s > stall_s:
        delay_s += STALL_COST_S * state.running
    assert routed.call.prompt is not None
    output_tokens = work.reserved_kv_tokens - routed.call.prompt.input_tokens
    decode_s = output_tokens * state.decode_s_per_token
    fetch_s = FETCH_COST_FRACTION * work.fetched_tokens * state.prefill_s_per_token
    risk_s = TRUNCATION_COST_S * _estimate_truncation_risk(routed, first_event_s + decode_s, now)
    return delay_s + fetch_s + DECODE_WEIGHT * decode_s + risk_s


def estimate_output_tokens(prompt: Prompt) -> int:
    """Give the tokens that an answer is taken to have."""
    if prompt.expected_output_tokens is not None:
        return min(prompt.expected_output_tokens, prompt.max_output_tokens)
    return int(prompt.max_output_tokens * EXPECTED_OUTPUT_FRACTION)


def _estimate_truncation_risk(routed: RoutedCall, total_s: float, now: float) -> float:
    """Estimate how likely an answer is cut because the time of its route is over."""
    call, route = routed.call, routed.route
    left_s = min(call.deadline, call.arrived_at + route.timeout_s) - now
    if left_s <= 0:
        return 1.0
    return min(
        1.0, max(0.0, total_s / left_s - TRUNCATION_RISK_START) / (1 - TRUNCATION_RISK_START)
    )


def _estimate_crossing_cost(call: Call, endpoint: Endpoint, domain: str) -> float:
    """Give the time that the bytes count which go to another failure domain."""
    if endpoint.entry.domain == domain:
        return 0.0
    return CROSS_DOMAIN_S_PER_BYTE * _estimate_bytes(call)


def _estimate_bytes(call: Call) -> float:
    """Give the bytes of a request and its answer."""
    tokens = (
        call.prompt.max_output_tokens * EXPECTED_OUTPUT_FRACTION if call.prompt is not None else 0.0
    )
    return len(call.body) + RESPONSE_BYTES_PER_TOKEN * tokens


def _compute_affinity_bonus(call: Call, endpoint: Endpoint) -> float:
    """Prefer an endpoint for the shared parts that a hash gives to it, a little."""
    assert call.prompt is not None
    shared = call.prompt.segments[:-1]
    if not shared:
        return 0.0
    segment = shared[-1]
    point = _hash_to_fraction(str(segment.id), endpoint.entry.id)
    return AFFINITY_BONUS * segment.tokens * endpoint.load.prefill_s_per_token * point


def _hash_to_fraction(*names: str) -> float:
    """Give a number from 0 to 1 that all hosts agree on; a checksum is even enough, and fast."""
    return zlib.crc32(" ".join(names).encode()) / CRC32_RANGE
