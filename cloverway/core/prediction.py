"""Predict the latency of a request at an endpoint and its cost for other requests."""

from __future__ import annotations

import zlib
from collections import Counter
from typing import NamedTuple

from cloverway.core.calls import Call, Prompt
from cloverway.core.deployment import Route, Service
from cloverway.core.endpoint import Endpoint
from cloverway.core.engine_speed import INITIAL_PREFILL_S_PER_TOKEN
from cloverway.core.kv_fetch import FetchSource, count_fetched_tokens, estimate_fetch_s
from cloverway.core.load import PREFILL_DUTY, EngineState, Work
from cloverway.core.members import AdvertisedCapacity
from cloverway.core.stream_origins import StreamBinding, StreamOrigin
from cloverway.core.token_gaps import SATURATION_S

FAILURE_PENALTY_S = 0.5
"""Added to the prediction of an endpoint for each recent failure: about the time that a caller
loses when a request fails there and is retried elsewhere. It changes the order of endpoints and
excludes none, so a single endpoint is used however often it fails."""
STALLED_AFTER_S = 1.5
"""An endpoint with running requests and no events for this long is treated as stalled."""
STALL_PENALTY_S = 3.0
"""Added for a stalled endpoint: longer than any wait at which a healthy one is chosen."""
PREDICTION_SPREAD_S = 0.004
"""Range of an offset derived from the request id, so that hosts that see the same loads don't all
choose the same idle endpoint: about the prefill time of one small prompt."""
STREAM_DELAY_WEIGHT = 0.15
"""Weight of the delay of running streams, relative to the request's own wait. The prefill of a
prompt delays each stream of the endpoint by the time it takes."""
STALL_FRACTION = 0.75
"""Fraction of the gap objective from which an uninterrupted prefill stalls each running stream: the
rest of the gap is taken by decoding and by the hosts."""
DEFAULT_GAP_OBJECTIVE_S = 0.6
"""Gap objective for routes without one: the smallest of the known deployments."""
STALL_COST_S = 0.3
"""Cost of each such stall. One large prompt in 25 is that long; without this cost it may go to an
engine with many streams and stall all of them."""
PREFILL_WEIGHT = 0.5
"""Weight of the prefill time, on top of the request's own wait. The next requests wait for it too,
so an endpoint that has a shared prefix cached is worth a longer wait."""
DECODE_WEIGHT = 0.3
"""Weight of the decode time of the answer at the current speed of the endpoint. It sends long
answers to endpoints with little prefill work, and long prompts to the others."""
TRUNCATION_COST_S = 3.0
"""Cost of an answer that is truncated by the timeout of its route: the generated tokens are lost,
and the caller gets nothing."""
TRUNCATION_RISK_START = 0.5
"""Fraction of the remaining time from which a truncation is a risk: estimates of output tokens
may be off by half."""
LARGE_PROMPT_FRACTION = 0.5
"""Maximum prefill time that a prompt counts against the burst limit, as a fraction of the limit. A
larger prompt would otherwise wait until an engine has no queue, while smaller prompts that arrive
later overtake it."""
SMALL_PREFILL_S = 0.065
"""Maximum prefill time of a small prompt. It hardly extends the gaps of other answers, because
engines prefill in chunks that take about as long."""
SMALL_PROMPT_BURSTS = 2.0
"""Number of full bursts that a small prompt may be queued behind."""
AFFINITY_BONUS = 0.3
"""Maximum bonus of an endpoint for a shared prefix, as a fraction of the prefill time of its last
segment. It applies when no endpoint is known to fetch the prefix from. A hash of the prefix and the
endpoint scales it, so that all hosts prefer the same endpoint without communication."""
SLOT_WAIT_S = 0.5
"""Time until a full endpoint has a free slot: about the interval at which streams end at an engine
with all slots in use."""
FETCH_COST_FRACTION = 0.1
"""Cost of fetched tokens as a fraction of their prefill time: they load the links of both endpoints
and occupy KV cache at two engines."""
CROSS_DOMAIN_S_PER_BYTE = 3e-6
"""Cost of each byte exchanged with an endpoint of another failure domain of the region. Traffic
between domains is billed: a body of 9 KB costs a twentieth of the value of a large request, about
as much as 30 ms of an engine's time."""
RESPONSE_BYTES_PER_TOKEN = 12
"""Bytes of an answer per token: an event of 65 bytes plus framing holds six tokens."""
MAX_KV_FILL = 0.92
"""Fraction of an engine's KV cache that is reserved for requests. The rest is for answers longer
than estimated, because an engine that runs out aborts a stream."""
EXPECTED_OUTPUT_FRACTION = 0.6
"""Expected fraction of the maximum output tokens, for requests without an estimate."""
CRC32_RANGE = 1 << 32


class RoutedCall(NamedTuple):
    """A request to be placed: a call with the route and service that it matched."""

    call: Call
    route: Route
    service: Service
    tried: Counter[str]
    """Failed attempts by endpoint incarnation, host and region."""
    digest: int = 0
    """Digest that all repeats of the request share; 0 where it is not needed."""
    parts: tuple[int, ...] = ()
    """Parts of its prompt that other requests may have too, and that may crash endpoints."""
    binding: StreamBinding | None = None
    """For a stream: what began it, which alone may go on with it."""

    @property
    def origin(self) -> StreamOrigin | None:
        """What began the stream, if its caller has events of it."""
        return self.binding.origin if self.binding is not None else None


class Candidate(NamedTuple):
    """An endpoint with the predictions for a request there. Times are seconds."""

    endpoint: Endpoint
    wait_s: float
    """Time to the first event of a stream, or to a plain answer."""
    cost_s: float
    """The wait plus later costs for this request and for others."""
    work: Work
    is_full: bool
    """Whether the request can't be sent there now."""
    available_in_s: float = 0.0
    """Estimated time until it is no longer full."""
    fetch_source: Endpoint | None = None
    """The endpoint that it would fetch KV cache from."""
    prefill_s: float = 0.0
    """Prefill time of the prompt."""
    decode_s: float = 0.0
    """Time from the first event of the answer to the last one."""
    running: int = 0
    """Requests of all hosts that are running there."""

    def with_added_cost(self, seconds: float) -> Candidate:
        """Return the candidate with an added cost."""
        return self._replace(cost_s=self.cost_s + seconds) if seconds else self

    def with_delay(self, seconds: float) -> Candidate:
        """Return the candidate as full for at least some seconds."""
        if seconds <= 0:
            return self
        return self._replace(is_full=True, available_in_s=max(self.available_in_s, seconds))


class RemoteRegion(NamedTuple):
    """Another region and the round-trip time to it."""

    region: str
    round_trip_s: float


class RegionCandidate(NamedTuple):
    """A remote region with the predictions for a request there, including the round trip."""

    region: str
    wait_s: float
    cost_s: float


class Sender(NamedTuple):
    """The host that would send a request."""

    domain: str
    hosts: int = 1
    """Number of hosts in its region, including itself."""
    is_recently_started: bool = False
    """Whether it has just started and may not know the load that other hosts put on endpoints. It
    then sends each engine one long prompt at a time, and only while the engine seems idle.
    Otherwise hosts that start together would each fill every engine up to the limit."""


def estimate_work(call: Call, endpoint: Endpoint, source: FetchSource | None = None) -> Work:
    """Estimate the work of a request at an endpoint that may fetch KV cache from a source."""
    prompt = call.prompt
    if prompt is None:
        return Work()
    fetched_tokens = count_fetched_tokens(prompt, endpoint, source)
    prefill_tokens = endpoint.load.count_uncached(prompt) - fetched_tokens
    return Work(
        prefill_tokens, prompt.input_tokens + estimate_output_tokens(prompt), fetched_tokens
    )


def estimate_remote_work(call: Call) -> Work:
    """Estimate the work of a request at an endpoint in another region.

    Count the last segment of its prompt in full and half of the shared prefix, because the caches
    of that region aren't known here.
    """
    prompt = call.prompt
    if prompt is None:
        return Work()
    own = prompt.segments[-1].tokens if prompt.segments else prompt.input_tokens
    prefill_tokens = own + (prompt.input_tokens - own) // 2
    return Work(prefill_tokens, prompt.input_tokens + estimate_output_tokens(prompt))


def estimate_prefill_s(routed: RoutedCall) -> float:
    """Estimate the prefill time of a request at an unspecified engine, in seconds."""
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
    """Predict the wait and the cost of a request at an endpoint.

    `source` is the endpoint that this one may fetch KV cache of the prompt from.
    """
    call, service = routed.call, routed.service
    load = endpoint.load
    total = load.sum_region_load(now)
    penalty = FAILURE_PENALTY_S * load.count_failures(now)
    if (
        total.running
        and now - load.last_progress_at > STALLED_AFTER_S
        and load.get_own_load().running
    ):
        penalty += STALL_PENALTY_S
    spread = PREDICTION_SPREAD_S * _hash_to_fraction(call.id, endpoint.entry.id)
    slots = max(1, endpoint.entry.slots)
    connections = service.max_connections // max(1, sender.hosts)
    is_full = load.get_own_load().running >= max(1, connections) or total.running >= slots
    if service.engine is None or call.prompt is None:
        queue = max(0.0, (total.running + 1 - slots) / slots)
        wait_s = load.service_time_s * (1 + queue) + penalty + spread
        cost_s = wait_s + _estimate_crossing_cost(call, endpoint, sender.domain)
        work = estimate_work(call, endpoint)
        available_in_s = load.service_time_s if is_full else 0.0
        return Candidate(
            endpoint, wait_s, cost_s, work, is_full, available_in_s, running=total.running
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
    is_full = is_full or (
        total.running > 0 and total.reserved_kv_tokens + work.reserved_kv_tokens > kv_limit
    )
    available_in_s = max(
        SLOT_WAIT_S if is_full else 0.0, excess_s / PREFILL_DUTY, SATURATION_S if saturated else 0.0
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
    """Return the prefill seconds by which a request would exceed an engine's burst limit."""
    if queue_s <= 0:
        return 0.0
    if prefill_s <= SMALL_PREFILL_S:
        return queue_s + prefill_s - SMALL_PROMPT_BURSTS * burst_s
    counted_s = min(prefill_s, LARGE_PROMPT_FRACTION * burst_s)
    return queue_s + counted_s - (0.0 if is_recently_started else burst_s)


def describe_engine(endpoint: Endpoint, running: int, now: float) -> EngineState:
    """Return the state of an engine with `running` requests."""
    load = endpoint.load
    prefill_s = load.prefill_s_per_token
    return EngineState(
        load.estimate_backlog(now) * prefill_s,
        prefill_s,
        load.estimate_decode_s_per_token(now),
        running,
    )


def predict_region(
    routed: RoutedCall, capacity: AdvertisedCapacity, remote: RemoteRegion, now: float
) -> RegionCandidate:
    """Predict the wait and the cost of a request in another region from its capacity."""
    call = routed.call
    wait_s = capacity.wait_s + remote.round_trip_s
    crossing_s = CROSS_DOMAIN_S_PER_BYTE * _estimate_bytes(call)
    if routed.service.engine is None or call.prompt is None:
        return RegionCandidate(remote.region, wait_s, wait_s + crossing_s)
    work = estimate_remote_work(call)
    wait_s += work.prefill_tokens * capacity.engine.prefill_s_per_token
    cost_s = wait_s + _estimate_later_cost(routed, work, capacity.engine, now) + crossing_s
    return RegionCandidate(remote.region, wait_s, cost_s)


def _estimate_later_cost(routed: RoutedCall, work: Work, state: EngineState, now: float) -> float:
    """Estimate the costs after the wait: delayed streams, decode time, risk of truncation."""
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
    """Return the expected output tokens."""
    if prompt.expected_output_tokens is not None:
        return min(prompt.expected_output_tokens, prompt.max_output_tokens)
    return int(prompt.max_output_tokens * EXPECTED_OUTPUT_FRACTION)


def _estimate_truncation_risk(routed: RoutedCall, total_s: float, now: float) -> float:
    """Estimate the probability that the timeout of the route truncates the answer."""
    call, route = routed.call, routed.route
    left_s = min(call.deadline, call.arrived_at + route.timeout_s) - now
    if left_s <= 0:
        return 1.0
    return min(
        1.0, max(0.0, total_s / left_s - TRUNCATION_RISK_START) / (1 - TRUNCATION_RISK_START)
    )


def _estimate_crossing_cost(call: Call, endpoint: Endpoint, domain: str) -> float:
    """Return the cost of the bytes sent to another failure domain, in seconds."""
    if endpoint.entry.domain == domain:
        return 0.0
    return CROSS_DOMAIN_S_PER_BYTE * _estimate_bytes(call)


def _estimate_bytes(call: Call) -> float:
    """Return the estimated bytes of a request and its answer."""
    tokens = (
        call.prompt.max_output_tokens * EXPECTED_OUTPUT_FRACTION if call.prompt is not None else 0.0
    )
    return len(call.body) + RESPONSE_BYTES_PER_TOKEN * tokens


def _compute_affinity_bonus(call: Call, endpoint: Endpoint) -> float:
    """Return the bonus, in seconds, of an endpoint for the shared prefix of a prompt."""
    assert call.prompt is not None
    shared = call.prompt.shared_segments
    if not shared:
        return 0.0
    segment = shared[-1]
    point = _hash_to_fraction(str(segment.id), endpoint.entry.id)
    return AFFINITY_BONUS * segment.tokens * endpoint.load.prefill_s_per_token * point


def _hash_to_fraction(*names: str) -> float:
    """Hash names to a number from 0 to 1, the same on all hosts; CRC-32 is fast and uniform."""
    return zlib.crc32(" ".join(names).encode()) / CRC32_RANGE
