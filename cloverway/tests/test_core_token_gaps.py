"""Inter-token gaps of running answers under prefill load: an engine in virtual time, no network.

The load: two hosts, which learn of each other's sends 0.1 s late, have more prompts than the engine
can prefill, and long answers are running there. The engine prefills a chunk of prompts in each step
and produces one token of each answer; an event holds five tokens. The engine parameters are those
of a model with 70 billion parameters: 38 prompt tokens per ms, chunks of 4,096, 5.6 ms per step.
"""

from __future__ import annotations

import heapq
import itertools
from collections import Counter, deque

from cloverway.core.calls import Call, Prompt, PromptSegment
from cloverway.core.deployment import (
    CallKind,
    EndpointEntry,
    EngineSpec,
    Route,
    Service,
    WeightedService,
)
from cloverway.core.endpoint import Endpoint
from cloverway.core.load import HostLoad, Work
from cloverway.core.prediction import RoutedCall, Sender, predict
from cloverway.core.selection import choose_endpoint
from cloverway.core.token_gaps import (
    INITIAL_BURST_RATIO,
    MAX_BURST_RATIO,
    MIN_BURST_RATIO,
    PrefillBurstLimit,
    TokenGap,
)

SERVICE = Service("model", 360, engine=EngineSpec(64, 240_000, tokens_per_event=5))
SHARE = (WeightedService("model", 1.0),)
TOKENS_PER_S = 38_000
CHUNK = 4_096
STEP_S = 0.0056
"""With about 60 answers."""
ATTENTION_S_PER_PAIR = 0.737e-9
"""Each token attends to all tokens before it, so long prompts are prefilled more slowly."""
EVENT_TOKENS = 5
GOSSIP_DELAY_S = 0.1
SECONDS = 120.0
SIZES = (600, 9_000, 2_900, 700, 5_000, 800)
"""Uncached prompt tokens of successive requests: questions and briefings, cached in part or not."""


class Engine:
    """Prefills one prompt after the other in chunks."""

    def __init__(self):
        self.queue = deque()
        self.prefilled_tokens = 0
        """Tokens of the first prompt that are prefilled already."""

    def step(self):
        """Prefill a chunk; return the seconds that it takes."""
        left, took_s = CHUNK, 0.0
        while left and self.queue:
            size = min(left, self.queue[0] - self.prefilled_tokens)
            took_s += size / TOKENS_PER_S + ATTENTION_S_PER_PAIR * size * (
                self.prefilled_tokens + size / 2
            )
            left -= size
            self.prefilled_tokens += size
            if self.prefilled_tokens == self.queue[0]:
                self.queue.popleft()
                self.prefilled_tokens = 0
        return took_s


class Host:
    """One of the hosts, with its state of the engine."""

    def __init__(self, name):
        self.name = name
        entry = EndpointEntry("e1", "model", "10.0.0.1:80", "d1", 64)
        self.endpoint = Endpoint(entry, "north")
        self.endpoint.load._prefill_speed.s_per_token = 1 / TOKENS_PER_S
        self.endpoint.load.begin(0, Work(0, 1_000), None, 0.0)

    def try_send(self, tokens, gap_s, number, now):
        """Send a prompt of some tokens if the engine has capacity as far as this host knows."""
        route = Route("r", "h", "/", CallKind.STREAM, SHARE, 10.0, 1.0, gap_s)
        prompt = Prompt(tokens, 50, (PromptSegment(number, tokens),))
        call = Call(f"c{number}", "POST", "/", "h", (), b"", now, now + 10.0, prompt)
        routed = RoutedCall(call, route, SERVICE, Counter())
        candidate = predict(routed, self.endpoint, sender=Sender("d1", 2), now=now)
        if choose_endpoint([candidate]) is None:
            return False
        self.endpoint.load.begin(number, candidate.work, prompt, now)
        self.endpoint.load.end(number)
        return True

    def apply_update(self, other, tokens, now):
        self.endpoint.load.record_host_load(other, HostLoad(1, tokens, tokens, now), ())
        self.endpoint.load.record_prefill(tokens, now)


def simulate(gap_s, burst_ratio):
    """Return the gaps of an answer and the fraction of time that the engine spends on prefill."""
    hosts = [Host("a"), Host("b")]
    for host in hosts:
        host.endpoint.load._burst_limit.ratio = burst_ratio
    numbers = itertools.count(1)
    sizes = itertools.cycle(SIZES)
    waiting = {host.name: deque() for host in hosts}
    in_flight = []
    now, event_at, tokens, prefill_s = 0.0, 0.0, 0, 0.0
    engine = Engine()
    gaps = []
    while now < SECONDS:
        while in_flight and in_flight[0][0] <= now:
            _, _, host, other, size = heapq.heappop(in_flight)
            host.apply_update(other, size, now)
        for host in hosts:
            pending = waiting[host.name]
            while len(pending) < 4:
                pending.append(next(sizes))
            for _ in range(len(pending)):
                size = pending.popleft()
                number = next(numbers)
                if host.try_send(size, gap_s, number, now):
                    engine.queue.append(size)
                    other = hosts[host is hosts[0]]
                    update = (now + GOSSIP_DELAY_S, number, other, host.name, size)
                    heapq.heappush(in_flight, update)
                else:
                    pending.append(size)
        took_s = engine.step()
        prefill_s += took_s
        now += STEP_S + took_s
        for host in hosts:
            host.endpoint.load.last_progress_at = now
        tokens += 1
        if tokens % EVENT_TOKENS == 0:
            gaps.append(now - event_at)
            event_at = now
    return gaps, prefill_s / now


def test_the_minimum_burst_ratio_keeps_gaps_short():
    """The engine is overloaded with prompts, and answers of 60 events are running there.

    With a burst limit of two thirds of the gap objective, the 99th percentile of the gaps is 0.58 s
    of 0.6 even here, where only recent prompts of the other host are unknown. Under the load of
    many hosts, a fifth of the answers had a stall.
    """
    gaps, duty = simulate(0.6, MIN_BURST_RATIO)
    gaps.sort()
    assert gaps[int(0.99 * len(gaps))] < 0.8 * 0.6
    # Leaving the engine idle is not a solution.
    assert duty > 0.7
    longer = sorted(simulate(0.6, MAX_BURST_RATIO)[0])
    assert longer[int(0.99 * len(longer))] > 0.9 * 0.6


def test_the_burst_ratio_grows_while_gaps_are_short():
    """Its events hold few tokens, or it is fast: it can sustain uninterrupted prefill."""
    burst_limit = PrefillBurstLimit()
    for number in range(24_000):
        burst_limit.record(TokenGap(0.3, 0.8), number / 20)
    assert burst_limit.ratio == MAX_BURST_RATIO


def test_stalls_reduce_the_burst_ratio_to_its_minimum():
    burst_limit = PrefillBurstLimit()
    for _ in range(10):
        # Ten answers stall together.
        burst_limit.record(TokenGap(0.61, 0.6), 0.0)
    assert MIN_BURST_RATIO < burst_limit.ratio < INITIAL_BURST_RATIO
    for number in range(200):
        burst_limit.record(TokenGap(2.0, 0.6), number * 1.0)
    assert burst_limit.ratio == MIN_BURST_RATIO
