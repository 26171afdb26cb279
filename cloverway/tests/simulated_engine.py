"""An engine that works in steps, in virtual time, behind the real load and predictions of a host.

Each step reads a chunk of the prompts that wait, and makes one token of each answer that runs; an
event holds several tokens. The figures are between those of the users' engines.
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
    EngineShape,
    Route,
    Service,
    WeightedService,
)
from cloverway.core.endpoints import Endpoint
from cloverway.core.prediction import Candidate, Wanted
from cloverway.core.token_gaps import Gap

PAUSE_S = 0.6
ROUTE = Route(
    *("r", "h", "/a/", CallKind.STREAM, (WeightedService("model", 1.0),)),
    *(10.0, 1.0, PAUSE_S),
)


class Speed(NamedTuple):
    """What an engine can do."""

    read_s_per_token: float = 1 / 30_000
    step_s: float = 0.006
    chunk: int = 2_048
    event_tokens: int = 9


class Run:
    """One request at an engine, and the longest pause in its answer."""

    def __init__(self, number: int, tokens_in: int, tokens_out: int, sent_at: float) -> None:
        self.number = number
        self.unread = tokens_in
        self.left = tokens_out
        self.sent_at = sent_at
        self.made = 0
        self.event_at: float | None = None
        self.longest_gap_s = 0.0


class StepEngine:
    """An engine, and what a host knows of it."""

    def __init__(self, name: str, speed: Speed, service: Service) -> None:
        entry = EndpointEntry(name, service.name, f"10.0.0.1:{8000 + len(name)}", "d1", 64)
        self.endpoint = Endpoint(entry, "north")
        self.speed = speed
        self.now = 0.0
        self.waiting: deque[Run] = deque()
        self.running: list[Run] = []
        self.on_end: Callable[[Run, float], None] = lambda run, now: None

    def submit(self, run: Run) -> None:
        """Take a request."""
        self.waiting.append(run)

    def advance(self, until: float) -> None:
        """Work until some time."""
        while self.now < until and (self.waiting or self.running):
            self._step()
        self.now = max(self.now, until)

    def _step(self) -> None:
        room = self.speed.chunk
        read = []
        while self.waiting and room:
            run = self.waiting[0]
            part = min(room, run.unread)
            run.unread -= part
            room -= part
            if not run.unread:
                read.append(self.waiting.popleft())
        took_s = self.speed.step_s + (self.speed.chunk - room) * self.speed.read_s_per_token
        self.now += took_s
        self.running += read
        for run in list(self.running):
            self._make_token(run)

    def _make_token(self, run: Run) -> None:
        run.made += 1
        run.left -= 1
        if run.made % self.speed.event_tokens == 0 or run.left <= 0:
            self._send_event(run)
        if run.left <= 0:
            self.running.remove(run)
            self.endpoint.load.end(run.number)
            self.on_end(run, self.now)

    def _send_event(self, run: Run) -> None:
        load = self.endpoint.load
        load.note_first(run.number, self.now)
        if run.event_at is not None:
            gap_s = self.now - run.event_at
            run.longest_gap_s = max(run.longest_gap_s, gap_s)
            load.note_gap(Gap(gap_s, PAUSE_S, self.speed.event_tokens), self.now)
        run.event_at = self.now


class Ask(NamedTuple):
    """One request of a caller."""

    at: float
    tokens_in: int
    tokens_out: int


class Region:
    """One host and the engines of its region; requests wait at the host for a place."""

    def __init__(self, engines: int, speed: Speed) -> None:
        self.service = Service("model", 1_000, engine=EngineShape(64, 400_000))
        self.engines = [StepEngine(f"e{n}", speed, self.service) for n in range(engines)]
        self.line: deque[tuple[Ask, Wanted]] = deque()
        self.refused: list[Ask] = []
        self.runs: dict[int, Ask] = {}
        self._numbers = itertools.count(1)

    def play(
        self,
        asks: list[Ask],
        take: Callable[[Wanted, float], Candidate | None],
        patience_s: float = 2.0,
    ) -> None:
        """Play requests; `take` gives where one may run now, or None."""
        asks = sorted(asks)
        end = asks[-1].at + 20.0
        now = 0.0
        pending = deque(asks)
        while now < end:
            now += 0.02
            for engine in self.engines:
                engine.advance(now)
            while pending and pending[0].at <= now:
                ask = pending.popleft()
                self.line.append((ask, self._want(ask)))
            self._serve(take, patience_s, now)

    def _want(self, ask: Ask) -> Wanted:
        prompt = Prompt(ask.tokens_in, ask.tokens_out, (), ask.tokens_out)
        name = f"c{next(self._numbers)}"
        call = Call(name, "POST", "/a/", "h", (), b"", ask.at, ask.at + 10.0, prompt)
        return Wanted(call, ROUTE, self.service, Counter())

    def _serve(self, take: Callable, patience_s: float, now: float) -> None:
        for item in list(self.line):
            ask, wanted = item
            chosen = take(wanted, now)
            if chosen is not None:
                self.line.remove(item)
                self._send(ask, wanted, chosen, now)
            elif now - ask.at > patience_s:
                self.line.remove(item)
                self.refused.append(ask)

    def _send(self, ask: Ask, wanted: Wanted, chosen: Candidate, now: float) -> None:
        number = next(self._numbers)
        self.runs[number] = ask
        chosen.endpoint.load.begin(number, chosen.work, wanted.call.prompt, now)
        engine = next(e for e in self.engines if e.endpoint is chosen.endpoint)
        engine.submit(Run(number, ask.tokens_in, ask.tokens_out, now))
