"""Who is blamed when endpoints end under a request, in virtual time; no network.

Hosts send the requests of their callers to the engines of one region. Some requests end each engine
that runs them, soon after they begin; what ran there is lost and run again. Callers come back once.
"""

from __future__ import annotations

import heapq
import itertools
import random
from types import SimpleNamespace

import pytest

from cloverway.core.prediction import Candidate
from cloverway.core.quarantine import Crash, Level, Quarantine, QuarantineTerms
from cloverway.core.suspects import SuspectRun, SuspectRuns, isolate_suspects

NEWS_S = 0.02
ENDS_AFTER_S = 0.2
"""How long a deadly request runs until its engine ends."""
BACK_AFTER_S = 3.0
TERMS = QuarantineTerms()


class Host:
    """What one host believes."""

    def __init__(self) -> None:
        self.quarantine = Quarantine(TERMS)
        self.runs = SuspectRuns()
        self.own: dict[int, SuspectRun] = {}


class Region:
    """Hosts and engines of a region, and the requests of a while."""

    def __init__(self, seed, *, engines=4, hosts=3, apart=True) -> None:
        self.draw = random.Random(seed)
        self.apart = apart
        self.hosts = [Host() for _ in range(hosts)]
        self.names = itertools.count()
        self.engines: dict[str, set[int]] = {}
        for _ in range(engines):
            self.start_engine()
        self.deadly: set[int] = set()
        self.events: list = []
        self.order = itertools.count()
        self.now = 0.0
        self.numbers = itertools.count()
        self.flights: dict[int, SimpleNamespace] = {}
        self.ends = 0
        self.ended_by: dict[int, int] = {}
        self.held: set[int] = set()
        self.refused = 0
        self.served = 0
        self.lost = 0

    def start_engine(self):
        self.engines[f"engine-{next(self.names)}"] = set()

    def at(self, delay_s, step, *values):
        heapq.heappush(self.events, (self.now + delay_s, next(self.order), step, values))

    def play(self, seconds):
        while self.events and self.events[0][0] < seconds:
            self.now, _, step, values = heapq.heappop(self.events)
            step(*values)

    def call(self, digest, returns=1):
        """A caller sends a request to any host."""
        self.send(self.draw.choice(self.hosts), digest, attempts=2, returns=returns)

    def send(self, host, digest, attempts, returns):
        if host.quarantine.get_block(digest, self.now) is not None:
            if digest not in self.deadly:
                self.held.add(digest)
            self.come_back(digest, returns, refused=True)
            return
        life = self.choose(host, digest)
        if life is None:
            self.come_back(digest, returns, refused=True)
            return
        number = next(self.numbers)
        flight = SimpleNamespace(**locals())
        self.flights[number] = flight
        self.engines[life].add(number)
        self.tell_runs(host, number, digest, life)
        if digest in self.deadly:
            self.at(ENDS_AFTER_S, self.end_engine, life, digest)
        else:
            self.at(self.draw.uniform(0.5, 3.0), self.finish, number)

    def choose(self, host, digest):
        candidates = [
            Candidate(
                SimpleNamespace(entry=SimpleNamespace(incarnation=life)),
                *(0.0, 0.02 * len(running) + self.draw.uniform(0, 0.004), None, False),
                running=len(running),
            )
            for life, running in self.engines.items()
        ]
        if self.apart:
            level = host.quarantine.get_level(digest, self.now)
            running = host.runs.list_running(self.now)
            candidates = isolate_suspects(digest, level, candidates, running)
        best = min(candidates, key=lambda candidate: candidate.cost_s, default=None)
        return best.endpoint.entry.incarnation if best is not None else None

    def tell_runs(self, host, number, digest, life):
        level = host.quarantine.get_level(digest, self.now)
        if level is not Level.NONE:
            host.own[number] = SuspectRun(digest, life, level, self.now + 10)
            self.spread_runs(host)

    def spread_runs(self, host):
        name, runs = str(self.hosts.index(host)), tuple(host.own.values())
        host.runs.note(name, runs)
        for other in self.hosts:
            if other is not host:
                self.at(NEWS_S, other.runs.note, name, runs)

    def close(self, number):
        flight = self.flights.pop(number, None)
        if flight is not None and flight.host.own.pop(number, None) is not None:
            self.spread_runs(flight.host)
        return flight

    def finish(self, number):
        flight = self.close(number)
        if flight is not None:
            self.served += 1
            self.engines[flight.life].discard(number)
            for host in self.hosts:
                delay_s = 0.0 if host is flight.host else NEWS_S
                self.at(delay_s, host.quarantine.note_served, flight.digest, self.now)

    def end_engine(self, life, cause=None):
        if life not in self.engines:
            return
        self.ends += 1
        self.ended_by[cause] = self.ended_by.get(cause, 0) + 1
        lost = [self.close(number) for number in self.engines.pop(life)]
        self.at(BACK_AFTER_S, self.start_engine)
        for flight in lost:
            crash = Crash(life, (flight.digest,), self.now)
            for host in self.hosts:
                delay_s = 0.0 if host is flight.host else NEWS_S
                self.at(delay_s, host.quarantine.note_crash, crash)
        for flight in lost:
            self.lost += flight.digest not in self.deadly
            if flight.attempts > 1:
                again = (flight.host, flight.digest, flight.attempts - 1, flight.returns)
                self.at(0.001, self.send, *again)
            else:
                self.come_back(flight.digest, flight.returns)

    def come_back(self, digest, returns, refused=False):
        self.refused += refused and digest not in self.deadly
        if returns:
            delay_s = self.draw.uniform(0.3, 0.8) if refused else 0.05
            self.at(delay_s, self.call, digest, returns - 1)


def make_day(seed, deadly=1, per_s=8.0, seconds=20.0, **options):
    """Let requests come for some seconds, each deadly one every second and a half."""
    region = Region(seed, **options)
    digests = itertools.count(1_000)
    at = 0.0
    while at < seconds:
        region.at(at, region.call, next(digests))
        at += region.draw.expovariate(per_s)
    for digest in range(deadly):
        region.deadly.add(digest)
        for number in range(int((seconds - 3) / 1.5)):
            region.at(2 + 0.3 * digest + 1.5 * number, region.call, digest)
    region.play(seconds + 10)
    return region


@pytest.mark.parametrize("engines", [2, 4, 8])
@pytest.mark.parametrize("deadly", [1, 3])
def test_only_the_requests_that_end_engines_are_refused(deadly, engines):
    """Guards against innocent requests that are refused since they ran beside a deadly one."""
    days = [make_day(seed, deadly, engines=engines) for seed in range(12)]
    held = sum(len(day.held) for day in days)
    ends = [ends for day in days for ends in day.ended_by.values()]
    # With three, one may meet the first end of the third, which nothing was known of.
    assert held <= (0 if deadly == 1 else 1)
    assert max(ends) <= 4
    assert sum(ends) / len(ends) <= 3.2


def test_kept_apart_fewer_requests_are_lost_and_refused():
    """Three deadly requests at eight engines, each of which comes every second and a half.

    All that ran beside one of them goes on with it, and meets the others: innocent requests were
    running at three ends as well.
    """
    apart = [make_day(seed, 3, engines=8) for seed in range(12)]
    together = [make_day(seed, 3, engines=8, apart=False) for seed in range(12)]
    assert sum(len(day.held) for day in together) >= 10
    assert sum(day.lost for day in apart) < 0.8 * sum(day.lost for day in together)
    assert sum(day.refused for day in apart) < 0.5 * sum(day.refused for day in together)
    assert sum(day.served for day in apart) > 1.05 * sum(day.served for day in together)


@pytest.mark.parametrize("seed", range(6))
def test_nobody_is_refused_when_engines_end_by_themselves(seed):
    """Power is lost in a failure domain, twice: three engines of six end at once."""
    region = Region(seed, engines=6)
    digests = itertools.count(1_000)
    for number in range(240):
        region.at(number / 12, region.call, next(digests))
    for at in (5.0, 12.0):
        region.at(at, lambda: [region.end_engine(life) for life in list(region.engines)[:3]])
    region.play(40)
    assert region.ends == 6
    assert not region.held
    assert region.refused <= 12


def test_what_a_held_request_explains_is_suspected_no_more():
    """Guards against requests that are kept apart for long after the cause was found."""
    quarantine = Quarantine(TERMS)
    quarantine.note_crash(Crash("e0", (1, 2), 0.0))
    quarantine.note_crash(Crash("e1", (1, 2), 1.0))
    assert [quarantine.get_level(digest, 1.0) for digest in (1, 2)] == [Level.ALONE] * 2
    quarantine.note_crash(Crash("e2", (1, 3), 2.0))
    assert quarantine.get_block(1, 2.0) is not None
    assert [quarantine.get_level(digest, 2.0) for digest in (2, 3)] == [Level.NONE] * 2


def test_requests_that_cannot_be_told_apart_are_not_refused_for_each_other():
    """Guards against seven innocent requests that are refused with the one that ran beside them."""
    quarantine = Quarantine(TERMS)
    for number in range(3):
        quarantine.note_crash(Crash(f"e{number}", (1, 2), float(number)))
    assert [quarantine.get_block(digest, 3.0) for digest in (1, 2)] == [None, None]
    quarantine.note_crash(Crash("e3", (1,), 3.0))
    assert quarantine.get_block(1, 3.0) is not None
    assert quarantine.get_block(2, 3.0) is None
    for number in range(5):
        quarantine.note_crash(Crash(f"e{number}", (8, 9), 10.0))
    assert quarantine.get_block(8, 11.0) is not None, "it ends engines, whoever else does"
