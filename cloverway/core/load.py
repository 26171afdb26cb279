"""How loaded one endpoint is: what this host sent, what its siblings say, what it answers."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from cloverway.core.calls import Prompt, PromptPart
from cloverway.core.decay import DecayingSum
from cloverway.core.engine_speed import START_STEP_S, ReadPace, TokenPace
from cloverway.core.prefix_cache import HeldParts
from cloverway.core.token_gaps import Gap, PromptBurst, Strain

SIBLING_AGE_S = 2.0
"""How long a sibling's report counts; four lost datagrams in a row are rarer than a dead host."""
FIRST_WORK_S = 0.05
"""Time of one request of a plain service before it was measured."""
LEARN = 0.1
"""Weight of one measurement in a moving average: half of it is forgotten after seven."""
CACHED_TOKENS = 150_000
"""Tokens that fit into an endpoint's memory, where nothing states it."""
DUTY = 0.7
"""Part of its time that an engine is given prompts for. An engine reads a chunk of prompts in each
step, and each running answer gets one token a step: with prompts in every step, five tokens take
longer than the pause that callers bear."""
SURE_FACTOR = 2.0
"""An engine is taken to have read at most so many times the tokens that its usual pace gives: only
what is left beyond that was there already without doubt."""
RATE_HALF_S = 1.5
"""Age at which sent prompt tokens count half in the rate: long against one prompt, short against a
change of the traffic."""
FRESH_PARTS = 64
"""Parts that wait to be told to siblings; a host that has none must not keep them for ever."""
MOST_BUSY = 0.95
"""Part of its time that an engine is taken to read prompts at most: its answers go on, slowly."""
FAIL_FORGET_S = 4.0
"""After this time a failure counts half."""


class Work(NamedTuple):
    """What one request asks of an endpoint, in tokens; zero for plain services."""

    unread: int = 0
    """Prompt tokens that were not read yet."""
    held: int = 0
    """Tokens of memory until its end."""
    fetched: int = 0
    """Prompt tokens that the endpoint fetches from another one instead of reading them."""


class _Running(NamedTuple):
    """One request of this host at the endpoint."""

    work: Work
    prompt: Prompt | None
    begun_at: float
    ahead: int
    """Prompt tokens of others that the endpoint had to read before."""


class SiblingLoad(NamedTuple):
    """What another host of the region has at an endpoint."""

    running: int
    unread: int
    held: int
    at: float


class EngineState(NamedTuple):
    """What decides how a request fares at an engine."""

    queue_s: float
    """Time to read the prompts that wait there, at the pace that is wanted."""
    read_s_per_token: float
    token_s: float
    """Time that a token of an answer takes."""
    running: int
    """Requests that run there."""


class LoadNews(NamedTuple):
    """What a host tells others of its requests at an endpoint."""

    own: SiblingLoad
    parts: tuple[PromptPart, ...]
    """Parts of prompts that were sent there lately."""
    read: int
    """Prompt tokens that were sent there since the last time."""


class EndpointLoad:
    """The load of one endpoint as far as this host knows it."""

    def __init__(self) -> None:
        self._own: dict[int, _Running] = {}
        self._sum_own = SiblingLoad(0, 0, 0, 0)
        self._siblings: dict[str, SiblingLoad] = {}
        self._parts = HeldParts()
        self.kv_tokens = CACHED_TOKENS
        """Tokens that fit into the endpoint's memory."""
        self._read = DecayingSum(RATE_HALF_S)
        self._read_at = 0.0
        self._backlog = 0.0
        self._fresh_read = 0
        self._fresh_parts: deque[PromptPart] = deque(maxlen=FRESH_PARTS)
        """Parts that were sent, to be told to siblings."""
        self._pace = ReadPace()
        self._token_pace = TokenPace()
        self.work_s = FIRST_WORK_S
        self.progress_at = 0.0
        self._has_changed = False
        """Whether something here was not told to the other hosts yet."""
        self._failures = DecayingSum(FAIL_FORGET_S)
        self._strain = Strain()
        self._burst = PromptBurst()

    @property
    def burst_part(self) -> float:
        """The time to read the prompts that may wait there, in longest wanted pauses."""
        return self._burst.part

    @property
    def read_s_per_token(self) -> float:
        """The time that the endpoint takes to read a prompt token."""
        return self._pace.s_per_token

    def begin(self, number: int, work: Work, prompt: Prompt | None, now: float) -> None:
        """Note a request that is being sent."""
        if not self._own:
            self.progress_at = now
        self._own[number] = _Running(work, prompt, now, self.sum_all(now).unread)
        self._change_own(1, work.unread, work.held)
        self.note_read(work.unread, now)
        self._fresh_read += work.unread
        if prompt is not None:
            self.note_parts(prompt.parts, now)
            self._fresh_parts.extend(prompt.parts)

    def note_first(self, number: int, now: float) -> None:
        """Note the first event of a request: its prompt has been read."""
        self.progress_at = now
        running = self._own.get(number)
        if running is None or not running.work.unread:
            return
        self._own[number] = running._replace(work=running.work._replace(unread=0))
        self._change_own(0, -running.work.unread, 0)
        took_s = now - running.begun_at
        self._give_back(running.work.unread, took_s, now)
        self._pace.learn(running.work.unread, running.ahead, took_s)
        if running.prompt is not None:
            self._parts.note(running.prompt.parts, now)

    def note_gap(self, gap: Gap, now: float) -> None:
        """Note a pause between two events of an answer."""
        self._strain.note(gap, now)
        self._burst.note(gap, now)
        if gap.tokens:
            self._token_pace.note(gap.seconds, gap.tokens, now)

    def estimate_token_s(self, now: float) -> float:
        """Give the time that a token of an answer takes just now.

        Where no answer runs that would tell, engines are taken to make a token in each step, and to
        read prompts in the steps between.
        """
        seen = self._token_pace.get(now)
        if seen is not None:
            return seen
        busy = min(MOST_BUSY, self.read_rate(now) * self.read_s_per_token)
        return START_STEP_S / (1 - busy)

    def is_strained(self, now: float) -> bool:
        """Tell whether running answers paused too long just now."""
        return self._strain.is_on(now)

    def end(self, number: int) -> None:
        """Note that a request has ended, however."""
        running = self._own.pop(number, None)
        if running is not None:
            self._change_own(-1, -running.work.unread, -running.work.held)

    def _give_back(self, unread: int, took_s: float, now: float) -> None:
        """Take back tokens that can't have been read in the time that the first event took.

        A host that has just started doesn't know which parts of prompts an endpoint has. It would
        count all of them as work, and requests would wait at the hosts before engines that are
        idle.
        """
        surplus = unread - int(SURE_FACTOR * took_s / self.read_s_per_token)
        if surplus > 0:
            self.note_read(-surplus, now)
            self._fresh_read -= surplus

    def learn_work(self, seconds: float) -> None:
        """Learn from the time that a plain request took."""
        self.work_s += LEARN * (seconds - self.work_s)

    def note_failure(self, now: float, weight: float = 1.0) -> None:
        """Note that the endpoint failed a request; less weight for a failure that is usual."""
        self._failures.add(weight, now)

    def note_success(self, now: float) -> None:
        """Note that the endpoint served a request."""
        self.progress_at = now
        self._failures.scale(0.5, now)

    def failures(self, now: float) -> float:
        """Give the recent failures, each counting less as time passes."""
        return self._failures.get(now)

    def note_sibling(self, host: str, load: SiblingLoad, parts: Iterable[PromptPart]) -> None:
        """Take over what another host of the region says."""
        self._siblings[host] = load
        self.note_parts(parts, load.at)

    def sum_own(self) -> SiblingLoad:
        """Give what this host has at the endpoint."""
        return self._sum_own

    def _change_own(self, running: int, unread: int, held: int) -> None:
        """Keep the sum up: it is asked for at each endpoint with each choice."""
        own = self._sum_own
        self._sum_own = SiblingLoad(own.running + running, own.unread + unread, own.held + held, 0)
        self._has_changed = True

    def read_rate(self, now: float) -> float:
        """Give the prompt tokens that all hosts of the region send there in a second."""
        return self._read.get_rate(now)

    def backlog(self, now: float) -> float:
        """Give the prompt tokens that were sent and not read yet, at the pace that is wanted."""
        return max(0.0, self._backlog - (now - self._read_at) * DUTY / self.read_s_per_token)

    def note_read(self, tokens: int, now: float) -> None:
        """Note prompt tokens that this host or another one has sent there."""
        self._backlog = max(0.0, self.backlog(now) + tokens)
        self._read.add(tokens, now)
        self._read_at = now

    def has_news(self, is_refresh: bool) -> bool:
        """Tell whether other hosts should hear of this load; a refresh repeats what still holds."""
        return self._has_changed or bool(self._fresh_parts) or (is_refresh and bool(self._own))

    def take_news(self, most_parts: int) -> LoadNews:
        """Give what other hosts should hear, and note that they were told."""
        count = min(most_parts, len(self._fresh_parts))
        parts = tuple(self._fresh_parts.popleft() for _ in range(count))
        read, self._fresh_read = self._fresh_read, 0
        self._has_changed = False
        return LoadNews(self.sum_own(), parts, read)

    def sum_all(self, now: float) -> SiblingLoad:
        """Give what all hosts of the region have at the endpoint."""
        running, unread, held, _ = self._sum_own
        for load in self._siblings.values():
            if now - load.at <= SIBLING_AGE_S:
                running += load.running
                unread += load.unread
                held += load.held
        return SiblingLoad(running, unread, held, now)

    def count_unread(self, prompt: Prompt) -> int:
        """Give the tokens of a prompt that the endpoint is taken to have to read."""
        return prompt.tokens_in - self._parts.count_expected(prompt)

    def count_ready(self, prompt: Prompt, now: float) -> int:
        """Give the leading tokens of a prompt that another endpoint could fetch from here."""
        return self._parts.count_ready(prompt, now)

    def note_parts(self, parts: Iterable[PromptPart], now: float) -> None:
        """Note that the endpoint has been sent these parts; the least recently used ones yield."""
        ready_at = now + self.backlog(now) * self.read_s_per_token
        self._parts.note(parts, ready_at)
        held = self._sum_own.held + sum(load.held for load in self._siblings.values())
        self._parts.trim(self.kv_tokens - held)
