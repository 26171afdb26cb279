"""The load of an endpoint, from this host's requests, other hosts' reports and the responses."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from cloverway.core.calls import Prompt, PromptSegment
from cloverway.core.decay import DecayingSum
from cloverway.core.engine_speed import INITIAL_DECODE_S_PER_TOKEN, DecodeSpeed, PrefillSpeed
from cloverway.core.prefix_cache import CachedSegments
from cloverway.core.token_gaps import PrefillBurstLimit, PrefillSaturation, TokenGap

HOST_LOAD_TTL_S = 2.0
"""How long a report of another host is valid: twice the period in which hosts repeat an unchanged
load, so that one lost datagram has little effect."""
INITIAL_SERVICE_TIME_S = 0.05
"""Service time of a request to a plain service before the first measurement."""
SERVICE_TIME_WEIGHT = 0.1
"""Weight of a sample in the moving average of service times; the half-life is seven samples."""
DEFAULT_KV_TOKENS = 150_000
"""KV cache capacity of an endpoint for which none is stated."""
PREFILL_DUTY = 0.7
"""Target fraction of an engine's time spent on prefill. Each engine step prefills a chunk of
prompts and produces one token of each running answer. With prefill work in every step, an event of
five tokens takes longer than the gap objective."""
MAX_PREFILL_SPEEDUP = 2.0
"""Maximum factor by which an engine may have exceeded its estimated prefill speed. Only tokens
beyond that were certainly cached."""
PREFILL_RATE_HALF_LIFE_S = 1.5
"""Half-life of the rate of sent prompt tokens: long compared with the prefill of one prompt, short
compared with changes of the traffic."""
MAX_UNSENT_SEGMENTS = 64
"""Maximum number of segments kept until they are sent to the other hosts of the region; a host that
is alone in its region never sends them."""
MAX_PREFILL_BUSY = 0.95
"""Maximum estimated fraction of time spent on prefill: decoding always goes on, if slowly."""
FAILURE_HALF_LIFE_S = 4.0
"""Half-life of a failure."""


class Work(NamedTuple):
    """The work that one request causes at an endpoint, in tokens; zero for plain services."""

    prefill_tokens: int = 0
    """Uncached prompt tokens that are not prefilled yet."""
    reserved_kv_tokens: int = 0
    """KV cache tokens that the request occupies until it ends."""
    fetched_tokens: int = 0
    """Prompt tokens whose KV cache the endpoint fetches from another one."""


class _Running(NamedTuple):
    """One request of this host at the endpoint."""

    work: Work
    prompt: Prompt | None
    started_at: float
    ahead: int
    """Prompt tokens of other requests that were queued for prefill before it."""


class HostLoad(NamedTuple):
    """The load that one host, or all hosts of a region, put on an endpoint."""

    running: int
    prefill_tokens: int
    reserved_kv_tokens: int
    reported_at: float


class EngineState(NamedTuple):
    """The state of an engine that latency predictions are based on."""

    queue_s: float
    """Time to prefill the queued prompts at the target duty."""
    prefill_s_per_token: float
    decode_s_per_token: float
    """Time per output token."""
    running: int
    """Running requests."""


class LoadUpdate(NamedTuple):
    """An update for the other hosts of the region on this host's requests at an endpoint."""

    own: HostLoad
    segments: tuple[PromptSegment, ...]
    """Prompt segments sent to the endpoint recently."""
    sent_prefill_tokens: int
    """Uncached prompt tokens sent to the endpoint since the last update."""


class EndpointLoad:
    """The load of one endpoint as known to this host."""

    def __init__(self) -> None:
        self._own: dict[int, _Running] = {}
        self._own_load = HostLoad(0, 0, 0, 0)
        self._host_loads: dict[str, HostLoad] = {}
        self._cached_segments = CachedSegments()
        self.kv_capacity = DEFAULT_KV_TOKENS
        """Tokens that fit into the endpoint's KV cache."""
        self._prefill_rate = DecayingSum(PREFILL_RATE_HALF_LIFE_S)
        self._backlog_at = 0.0
        self._backlog = 0.0
        self._unsent_prefill_tokens = 0
        self._unsent_segments: deque[PromptSegment] = deque(maxlen=MAX_UNSENT_SEGMENTS)
        """Segments sent to the endpoint and not yet reported to the other hosts of the region."""
        self._prefill_speed = PrefillSpeed()
        self._decode_speed = DecodeSpeed()
        self.service_time_s = INITIAL_SERVICE_TIME_S
        self.last_progress_at = 0.0
        self._has_changed = False
        """Whether the load has changed since the last update for other hosts."""
        self._failures = DecayingSum(FAILURE_HALF_LIFE_S)
        self._saturation = PrefillSaturation()
        self._burst_limit = PrefillBurstLimit()

    @property
    def burst_ratio(self) -> float:
        """Prefill time that may be queued at the endpoint, as a multiple of the gap objective."""
        return self._burst_limit.ratio

    @property
    def prefill_s_per_token(self) -> float:
        """The estimated prefill time per token."""
        return self._prefill_speed.s_per_token

    def begin(self, number: int, work: Work, prompt: Prompt | None, now: float) -> None:
        """Record a request that is being sent."""
        if not self._own:
            self.last_progress_at = now
        self._own[number] = _Running(work, prompt, now, self.sum_region_load(now).prefill_tokens)
        self._update_own(1, work.prefill_tokens, work.reserved_kv_tokens)
        self.record_prefill(work.prefill_tokens, now)
        self._unsent_prefill_tokens += work.prefill_tokens
        if prompt is not None:
            self.record_segments(prompt.segments, now)
            self._unsent_segments.extend(prompt.segments)

    def record_first_event(self, number: int, now: float) -> None:
        """Record the first event of a request: its prefill is finished."""
        self.last_progress_at = now
        running = self._own.get(number)
        if running is None or not running.work.prefill_tokens:
            return
        self._own[number] = running._replace(work=running.work._replace(prefill_tokens=0))
        self._update_own(0, -running.work.prefill_tokens, 0)
        took_s = now - running.started_at
        self._discount_cached_tokens(running.work.prefill_tokens, took_s, now)
        self._prefill_speed.update(running.work.prefill_tokens, running.ahead, took_s)
        if running.prompt is not None:
            self._cached_segments.record(running.prompt.segments, now)

    def record_gap(self, gap: TokenGap, now: float) -> None:
        """Record a gap between two events of an answer."""
        self._saturation.record(gap, now)
        self._burst_limit.record(gap, now)
        if gap.tokens:
            self._decode_speed.record(gap.seconds, gap.tokens, now)

    def estimate_decode_s_per_token(self, now: float) -> float:
        """Return the current time per output token.

        Without recent gaps to measure, it is estimated from the prefill rate: an engine produces a
        token in each step, and the time left by prefill is the time for these steps.
        """
        measured = self._decode_speed.get(now)
        if measured is not None:
            return measured
        busy_fraction = min(MAX_PREFILL_BUSY, self.get_prefill_rate(now) * self.prefill_s_per_token)
        return INITIAL_DECODE_S_PER_TOKEN / (1 - busy_fraction)

    def is_saturated(self, now: float) -> bool:
        """Return whether a recent gap shows that the engine is saturated with prefill."""
        return self._saturation.is_active(now)

    def end(self, number: int) -> None:
        """Record the end of a request, whatever its outcome."""
        running = self._own.pop(number, None)
        if running is not None:
            self._update_own(-1, -running.work.prefill_tokens, -running.work.reserved_kv_tokens)

    def _discount_cached_tokens(self, prefill_tokens: int, took_s: float, now: float) -> None:
        """Subtract tokens that can't have been prefilled in the time to first event.

        A recently started host doesn't know which prompt segments an endpoint has cached. It would
        count all of them as prefill work, and queue requests although engines are idle.
        """
        surplus = prefill_tokens - int(MAX_PREFILL_SPEEDUP * took_s / self.prefill_s_per_token)
        if surplus > 0:
            self.record_prefill(-surplus, now)
            self._unsent_prefill_tokens -= surplus

    def record_service_time(self, seconds: float) -> None:
        """Update the average service time with a request of a plain service."""
        self.service_time_s += SERVICE_TIME_WEIGHT * (seconds - self.service_time_s)

    def record_failure(self, now: float, weight: float = 1.0) -> None:
        """Record a failed request; failures that are usual for the service get less weight."""
        self._failures.add(weight, now)

    def record_success(self, now: float) -> None:
        """Record a successful request."""
        self.last_progress_at = now
        self._failures.scale(0.5, now)

    def count_failures(self, now: float) -> float:
        """Return the number of recent failures, exponentially decayed."""
        return self._failures.get(now)

    def record_host_load(
        self, host: str, load: HostLoad, segments: Iterable[PromptSegment]
    ) -> None:
        """Apply a load report of another host of the region."""
        self._host_loads[host] = load
        self.record_segments(segments, load.reported_at)

    def get_own_load(self) -> HostLoad:
        """Return the load of this host's requests."""
        return self._own_load

    def _update_own(self, running: int, prefill_tokens: int, reserved_kv_tokens: int) -> None:
        """Update this host's load, which is cached: each placement reads it for every endpoint."""
        own = self._own_load
        self._own_load = HostLoad(
            own.running + running,
            own.prefill_tokens + prefill_tokens,
            own.reserved_kv_tokens + reserved_kv_tokens,
            0,
        )
        self._has_changed = True

    def get_prefill_rate(self, now: float) -> float:
        """Return the uncached prompt tokens per second sent by all hosts of the region."""
        return self._prefill_rate.get_rate(now)

    def estimate_backlog(self, now: float) -> float:
        """Return the tokens that are waiting for prefill, assuming prefill at the target duty."""
        return max(
            0.0, self._backlog - (now - self._backlog_at) * PREFILL_DUTY / self.prefill_s_per_token
        )

    def record_prefill(self, tokens: int, now: float) -> None:
        """Record uncached prompt tokens sent to the endpoint by this host or another one."""
        self._backlog = max(0.0, self.estimate_backlog(now) + tokens)
        self._prefill_rate.add(tokens, now)
        self._backlog_at = now

    def has_update(self, is_refresh: bool) -> bool:
        """Return whether there is an update to send; a refresh repeats unchanged load."""
        return self._has_changed or bool(self._unsent_segments) or (is_refresh and bool(self._own))

    def take_update(self, max_segments: int) -> LoadUpdate:
        """Return the update for the other hosts of the region and mark it as sent."""
        count = min(max_segments, len(self._unsent_segments))
        segments = tuple(self._unsent_segments.popleft() for _ in range(count))
        sent_prefill_tokens, self._unsent_prefill_tokens = self._unsent_prefill_tokens, 0
        self._has_changed = False
        return LoadUpdate(self.get_own_load(), segments, sent_prefill_tokens)

    def sum_region_load(self, now: float) -> HostLoad:
        """Return the load of the requests of all hosts of the region."""
        running, prefill_tokens, reserved_kv_tokens, _ = self._own_load
        for load in self._host_loads.values():
            if now - load.reported_at <= HOST_LOAD_TTL_S:
                running += load.running
                prefill_tokens += load.prefill_tokens
                reserved_kv_tokens += load.reserved_kv_tokens
        return HostLoad(running, prefill_tokens, reserved_kv_tokens, now)

    def count_uncached(self, prompt: Prompt) -> int:
        """Return the tokens of a prompt that are not expected in the endpoint's cache."""
        return prompt.input_tokens - self._cached_segments.count_expected(prompt)

    def count_ready(self, prompt: Prompt, now: float) -> int:
        """Return the leading tokens of a prompt that another endpoint can fetch from this one."""
        return self._cached_segments.count_ready(prompt, now)

    def record_segments(self, segments: Iterable[PromptSegment], now: float) -> None:
        """Record segments sent to the endpoint, and evict the least recently used ones."""
        ready_at = now + self.estimate_backlog(now) * self.prefill_s_per_token
        self._cached_segments.record(segments, ready_at)
        reserved_kv_tokens = self._own_load.reserved_kv_tokens + sum(
            load.reserved_kv_tokens for load in self._host_loads.values()
        )
        self._cached_segments.trim(self.kv_capacity - reserved_kv_tokens)
