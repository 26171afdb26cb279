"""How loaded one endpoint is: what this host sent, what its siblings say, what it answers."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from cloverway.core.calls import Prompt, PromptSegment
from cloverway.core.decay import DecayingSum
from cloverway.core.engine_speed import INITIAL_DECODE_S_PER_TOKEN, DecodeSpeed, PrefillSpeed
from cloverway.core.prefix_cache import CachedSegments
from cloverway.core.token_gaps import PrefillBurstLimit, PrefillSaturation, TokenGap

SIBLING_LOAD_TTL_S = 2.0
"""How long a sibling's report counts; four lost datagrams in a row are rarer than a dead host."""
INITIAL_SERVICE_TIME_S = 0.05
"""Time of one request of a plain service before it was measured."""
SERVICE_TIME_WEIGHT = 0.1
"""Weight of one measurement in a moving average: half of it is forgotten after seven."""
DEFAULT_KV_TOKENS = 150_000
"""Tokens that fit into an endpoint's memory, where nothing states it."""
PREFILL_DUTY = 0.7
"""Part of its time that an engine is given prompts for. An engine reads a chunk of prompts in each
step, and each running answer gets one token a step: with prompts in every step, five tokens take
longer than the pause that callers bear."""
MAX_PREFILL_SPEEDUP = 2.0
"""An engine is taken to have read at most so many times the tokens that its usual pace gives: only
what is left beyond that was there already without doubt."""
PREFILL_RATE_HALF_LIFE_S = 1.5
"""Age at which sent prompt tokens count half in the rate: long against one prompt, short against a
change of the traffic."""
MAX_UNSENT_SEGMENTS = 64
"""Parts that wait to be told to siblings; a host that has none must not keep them for ever."""
MAX_PREFILL_BUSY = 0.95
"""Part of its time that an engine is taken to read prompts at most: its answers go on, slowly."""
FAILURE_HALF_LIFE_S = 4.0
"""After this time a failure counts half."""


class Work(NamedTuple):
    """What one request asks of an endpoint, in tokens; zero for plain services."""

    prefill_tokens: int = 0
    """Prompt tokens that were not read yet."""
    reserved_kv_tokens: int = 0
    """Tokens of memory until its end."""
    fetched_tokens: int = 0
    """Prompt tokens that the endpoint fetches from another one instead of reading them."""


class _Running(NamedTuple):
    """One request of this host at the endpoint."""

    work: Work
    prompt: Prompt | None
    begun_at: float
    ahead: int
    """Prompt tokens of others that the endpoint had to read before."""


class HostLoad(NamedTuple):
    """What another host of the region has at an endpoint."""

    running: int
    prefill_tokens: int
    reserved_kv_tokens: int
    at: float


class EngineState(NamedTuple):
    """What decides how a request fares at an engine."""

    queue_s: float
    """Time to read the prompts that wait there, at the pace that is wanted."""
    prefill_s_per_token: float
    decode_s_per_token: float
    """Time that a token of an answer takes."""
    running: int
    """Requests that run there."""


class LoadUpdate(NamedTuple):
    """What a host tells others of its requests at an endpoint."""

    own: HostLoad
    segments: tuple[PromptSegment, ...]
    """Parts of prompts that were sent there lately."""
    sent_prefill_tokens: int
    """Prompt tokens that were sent there since the last time."""


class EndpointLoad:
    """The load of one endpoint as far as this host knows it."""

    def __init__(self) -> None:
        self._own: dict[int, _Running] = {}
        self._own_load = HostLoad(0, 0, 0, 0)
        self._siblings: dict[str, HostLoad] = {}
        self._cached_segments = CachedSegments()
        self.kv_capacity = DEFAULT_KV_TOKENS
        """Tokens that fit into the endpoint's memory."""
        self._prefill_rate = DecayingSum(PREFILL_RATE_HALF_LIFE_S)
        self._backlog_at = 0.0
        self._backlog = 0.0
        self._unsent_prefill_tokens = 0
        self._unsent_segments: deque[PromptSegment] = deque(maxlen=MAX_UNSENT_SEGMENTS)
        """Parts that were sent, to be told to siblings."""
        self._prefill_speed = PrefillSpeed()
        self._decode_speed = DecodeSpeed()
        self.service_time_s = INITIAL_SERVICE_TIME_S
        self.last_progress_at = 0.0
        self._has_changed = False
        """Whether something here was not told to the other hosts yet."""
        self._failures = DecayingSum(FAILURE_HALF_LIFE_S)
        self._saturation = PrefillSaturation()
        self._burst_limit = PrefillBurstLimit()

    @property
    def burst_ratio(self) -> float:
        """The time to read the prompts that may wait there, in longest wanted pauses."""
        return self._burst_limit.ratio

    @property
    def prefill_s_per_token(self) -> float:
        """The time that the endpoint takes to read a prompt token."""
        return self._prefill_speed.s_per_token

    def begin(self, number: int, work: Work, prompt: Prompt | None, now: float) -> None:
        """Note a request that is being sent."""
        if not self._own:
            self.last_progress_at = now
        self._own[number] = _Running(work, prompt, now, self.sum_region_load(now).prefill_tokens)
        self._update_own(1, work.prefill_tokens, work.reserved_kv_tokens)
        self.note_prefill(work.prefill_tokens, now)
        self._unsent_prefill_tokens += work.prefill_tokens
        if prompt is not None:
            self.note_segments(prompt.segments, now)
            self._unsent_segments.extend(prompt.segments)

    def note_first_event(self, number: int, now: float) -> None:
        """Note the first event of a request: its prompt has been read."""
        self.last_progress_at = now
        running = self._own.get(number)
        if running is None or not running.work.prefill_tokens:
            return
        self._own[number] = running._replace(work=running.work._replace(prefill_tokens=0))
        self._update_own(0, -running.work.prefill_tokens, 0)
        took_s = now - running.begun_at
        self._discount_cached_tokens(running.work.prefill_tokens, took_s, now)
        self._prefill_speed.learn(running.work.prefill_tokens, running.ahead, took_s)
        if running.prompt is not None:
            self._cached_segments.note(running.prompt.segments, now)

    def note_gap(self, gap: TokenGap, now: float) -> None:
        """Note a pause between two events of an answer."""
        self._saturation.note(gap, now)
        self._burst_limit.note(gap, now)
        if gap.tokens:
            self._decode_speed.note(gap.seconds, gap.tokens, now)

    def estimate_decode_s_per_token(self, now: float) -> float:
        """Give the time that a token of an answer takes just now.

        Where no answer runs that would tell, engines are taken to make a token in each step, and to
        read prompts in the steps between.
        """
        seen = self._decode_speed.get(now)
        if seen is not None:
            return seen
        busy = min(MAX_PREFILL_BUSY, self.prefill_rate(now) * self.prefill_s_per_token)
        return INITIAL_DECODE_S_PER_TOKEN / (1 - busy)

    def is_saturated(self, now: float) -> bool:
        """Tell whether running answers paused too long just now."""
        return self._saturation.is_active(now)

    def end(self, number: int) -> None:
        """Note that a request has ended, however."""
        running = self._own.pop(number, None)
        if running is not None:
            self._update_own(-1, -running.work.prefill_tokens, -running.work.reserved_kv_tokens)

    def _discount_cached_tokens(self, prefill_tokens: int, took_s: float, now: float) -> None:
        """Take back tokens that can't have been read in the time that the first event took.

        A host that has just started doesn't know which parts of prompts an endpoint has. It would
        count all of them as work, and requests would wait at the hosts before engines that are
        idle.
        """
        surplus = prefill_tokens - int(MAX_PREFILL_SPEEDUP * took_s / self.prefill_s_per_token)
        if surplus > 0:
            self.note_prefill(-surplus, now)
            self._unsent_prefill_tokens -= surplus

    def note_service_time(self, seconds: float) -> None:
        """Learn from the time that a plain request took."""
        self.service_time_s += SERVICE_TIME_WEIGHT * (seconds - self.service_time_s)

    def note_failure(self, now: float, weight: float = 1.0) -> None:
        """Note that the endpoint failed a request; less weight for a failure that is usual."""
        self._failures.add(weight, now)

    def note_success(self, now: float) -> None:
        """Note that the endpoint served a request."""
        self.last_progress_at = now
        self._failures.scale(0.5, now)

    def failures(self, now: float) -> float:
        """Give the recent failures, each counting less as time passes."""
        return self._failures.get(now)

    def note_sibling(self, host: str, load: HostLoad, segments: Iterable[PromptSegment]) -> None:
        """Take over what another host of the region says."""
        self._siblings[host] = load
        self.note_segments(segments, load.at)

    def get_own_load(self) -> HostLoad:
        """Give what this host has at the endpoint."""
        return self._own_load

    def _update_own(self, running: int, prefill_tokens: int, reserved_kv_tokens: int) -> None:
        """Keep the sum up: it is asked for at each endpoint with each choice."""
        own = self._own_load
        self._own_load = HostLoad(
            own.running + running,
            own.prefill_tokens + prefill_tokens,
            own.reserved_kv_tokens + reserved_kv_tokens,
            0,
        )
        self._has_changed = True

    def prefill_rate(self, now: float) -> float:
        """Give the prompt tokens that all hosts of the region send there in a second."""
        return self._prefill_rate.get_rate(now)

    def backlog(self, now: float) -> float:
        """Give the prompt tokens that were sent and not read yet, at the pace that is wanted."""
        return max(
            0.0, self._backlog - (now - self._backlog_at) * PREFILL_DUTY / self.prefill_s_per_token
        )

    def note_prefill(self, tokens: int, now: float) -> None:
        """Note prompt tokens that this host or another one has sent there."""
        self._backlog = max(0.0, self.backlog(now) + tokens)
        self._prefill_rate.add(tokens, now)
        self._backlog_at = now

    def has_update(self, is_refresh: bool) -> bool:
        """Tell whether other hosts should hear of this load; a refresh repeats what still holds."""
        return self._has_changed or bool(self._unsent_segments) or (is_refresh and bool(self._own))

    def take_update(self, max_segments: int) -> LoadUpdate:
        """Give what other hosts should hear, and note that they were told."""
        count = min(max_segments, len(self._unsent_segments))
        segments = tuple(self._unsent_segments.popleft() for _ in range(count))
        sent_prefill_tokens, self._unsent_prefill_tokens = self._unsent_prefill_tokens, 0
        self._has_changed = False
        return LoadUpdate(self.get_own_load(), segments, sent_prefill_tokens)

    def sum_region_load(self, now: float) -> HostLoad:
        """Give what all hosts of the region have at the endpoint."""
        running, prefill_tokens, reserved_kv_tokens, _ = self._own_load
        for load in self._siblings.values():
            if now - load.at <= SIBLING_LOAD_TTL_S:
                running += load.running
                prefill_tokens += load.prefill_tokens
                reserved_kv_tokens += load.reserved_kv_tokens
        return HostLoad(running, prefill_tokens, reserved_kv_tokens, now)

    def count_uncached(self, prompt: Prompt) -> int:
        """Give the tokens of a prompt that the endpoint is taken to have to read."""
        return prompt.input_tokens - self._cached_segments.count_expected(prompt)

    def count_ready(self, prompt: Prompt, now: float) -> int:
        """Give the leading tokens of a prompt that another endpoint could fetch from here."""
        return self._cached_segments.count_ready(prompt, now)

    def note_segments(self, segments: Iterable[PromptSegment], now: float) -> None:
        """Note that the endpoint has been sent these parts; the least recently used ones yield."""
        ready_at = now + self.backlog(now) * self.prefill_s_per_token
        self._cached_segments.note(segments, ready_at)
        reserved_kv_tokens = self._own_load.reserved_kv_tokens + sum(
            load.reserved_kv_tokens for load in self._siblings.values()
        )
        self._cached_segments.trim(self.kv_capacity - reserved_kv_tokens)
