"""Simulation, in virtual time, of engines that are loaded by the real predictions of a host.

Each engine step prefills a chunk of the queued prompts and produces one token of each running
answer; an event holds several tokens. The parameters are between those of the deployed engines.
"""

from __future__ import annotations

import itertools
from collections import Counter, deque
from collections.abc import Callable
from typing import NamedTuple

from cloverway.core.calls import Call, Prompt
from cloverway.core.deployment import (
    CallKind,
    EndpointEntry,
    EngineSpec,
    Route,
    Service,
    WeightedService,
)
from cloverway.core.endpoint import Endpoint
from cloverway.core.prediction import Candidate, RoutedCall
from cloverway.core.token_gaps import TokenGap

GAP_OBJECTIVE_S = 0.6
ROUTE = Route(
    *("r", "h", "/a/", CallKind.STREAM, (WeightedService("model", 1.0),)),
    *(10.0, 1.0, GAP_OBJECTIVE_S),
)


class Speed(NamedTuple):
    """The speed of an engine."""

    prefill_s_per_token: float = 1 / 30_000
    step_s: float = 0.006
    chunk: int = 2_048
    event_tokens: int = 9


class Run:
    """One request at an engine, and the longest gap in its answer."""

    def __init__(self, number: int, input_tokens: int, output_tokens: int, sent_at: float) -> None:
        self.number = number
        self.prefill_left = input_tokens
        self.output_left = output_tokens
        self.sent_at = sent_at
        self.tokens_made = 0
        self.event_at: float | None = None
        self.longest_gap_s = 0.0


class StepEngine:
    """A simulated engine and the state that a host keeps of it."""

    def __init__(self, name: str, speed: Speed, service: Service) -> None:
        entry = EndpointEntry(name, service.name, f"10.0.0.1:{8000 + len(name)}", "d1", 64)
        self.endpoint = Endpoint(entry, "north")
        self.speed = speed
        self.now = 0.0
        self.waiting: deque[Run] = deque()
        self.running: list[Run] = []
        self.on_end: Callable[[Run, float], None] = lambda run, now: None

    def submit(self, run: Run) -> None:
        """Queue a request."""
        self.waiting.append(run)

    def advance(self, until: float) -> None:
        """Run steps until the given time."""
        while self.now < until and (self.waiting or self.running):
            self._step()
        self.now = max(self.now, until)

    def _step(self) -> None:
        chunk_left = self.speed.chunk
        finished = []
        while self.waiting and chunk_left:
            run = self.waiting[0]
            size = min(chunk_left, run.prefill_left)
            run.prefill_left -= size
            chunk_left -= size
            if not run.prefill_left:
                finished.append(self.waiting.popleft())
        took_s = (
            self.speed.step_s + (self.speed.chunk - chunk_left) * self.speed.prefill_s_per_token
        )
        self.now += took_s
        self.running += finished
        for run in list(self.running):
            self._make_token(run)

    def _make_token(self, run: Run) -> None:
        run.tokens_made += 1
        run.output_left -= 1
        if run.tokens_made % self.speed.event_tokens == 0 or run.output_left <= 0:
            self._send_event(run)
        if run.output_left <= 0:
            self.running.remove(run)
            self.endpoint.load.end(run.number)
            self.on_end(run, self.now)

    def _send_event(self, run: Run) -> None:
        load = self.endpoint.load
        load.record_first_event(run.number, self.now)
        if run.event_at is not None:
            gap_s = self.now - run.event_at
            run.longest_gap_s = max(run.longest_gap_s, gap_s)
            load.record_gap(TokenGap(gap_s, GAP_OBJECTIVE_S, self.speed.event_tokens), self.now)
        run.event_at = self.now


class Arrival(NamedTuple):
    """The arrival of one request."""

    at: float
    input_tokens: int
    output_tokens: int


class Region:
    """One host and the engines of its region; requests are queued at the host."""

    def __init__(self, engines: int, speed: Speed) -> None:
        self.service = Service("model", 1_000, engine=EngineSpec(64, 400_000))
        self.engines = [StepEngine(f"e{n}", speed, self.service) for n in range(engines)]
        self.queue: deque[tuple[Arrival, RoutedCall]] = deque()
        self.refused: list[Arrival] = []
        self.runs: dict[int, Arrival] = {}
        self._numbers = itertools.count(1)

    def simulate(
        self,
        arrivals: list[Arrival],
        take: Callable[[RoutedCall, float], Candidate | None],
        timeout_s: float = 2.0,
    ) -> None:
        """Simulate requests; `take` returns the candidate to send one to now, or None."""
        arrivals = sorted(arrivals)
        end = arrivals[-1].at + 20.0
        now = 0.0
        pending = deque(arrivals)
        while now < end:
            now += 0.02
            for engine in self.engines:
                engine.advance(now)
            while pending and pending[0].at <= now:
                arrival = pending.popleft()
                self.queue.append((arrival, self._route(arrival)))
            self._serve(take, timeout_s, now)

    def _route(self, arrival: Arrival) -> RoutedCall:
        prompt = Prompt(arrival.input_tokens, arrival.output_tokens, (), arrival.output_tokens)
        name = f"c{next(self._numbers)}"
        call = Call(name, "POST", "/a/", "h", (), b"", arrival.at, arrival.at + 10.0, prompt)
        return RoutedCall(call, ROUTE, self.service, Counter())

    def _serve(self, take: Callable, timeout_s: float, now: float) -> None:
        for item in list(self.queue):
            arrival, routed = item
            chosen = take(routed, now)
            if chosen is not None:
                self.queue.remove(item)
                self._send(arrival, routed, chosen, now)
            elif now - arrival.at > timeout_s:
                self.queue.remove(item)
                self.refused.append(arrival)

    def _send(self, arrival: Arrival, routed: RoutedCall, chosen: Candidate, now: float) -> None:
        number = next(self._numbers)
        self.runs[number] = arrival
        chosen.endpoint.load.begin(number, chosen.work, routed.call.prompt, now)
        engine = next(e for e in self.engines if e.endpoint is chosen.endpoint)
        engine.submit(Run(number, arrival.input_tokens, arrival.output_tokens, now))
