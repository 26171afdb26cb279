"""Finding the requests that crash endpoints, in virtual time; no network.

Hosts send the requests of their callers to the engines of one region. Fatal requests crash each
engine that runs them, soon after their start; what ran there is lost and retried. Callers repeat a
failed request once.
"""

from __future__ import annotations

import heapq
import itertools
import random
from types import SimpleNamespace

import pytest

from cloverway.core.prediction import Candidate
from cloverway.core.quarantine import Crash, Quarantine, QuarantineSettings, SuspicionLevel
from cloverway.core.suspects import SuspectRun, SuspectRuns, isolate_suspects

UPDATE_DELAY_S = 0.02
CRASH_AFTER_S = 0.2
"""How long a fatal request runs until its engine crashes."""
RESTART_AFTER_S = 3.0
TERMS = QuarantineSettings()


class Host:
    """The state of one host."""

    def __init__(self) -> None:
        self.quarantine = Quarantine(TERMS)
        self.runs = SuspectRuns()
        self.own_runs: dict[int, SuspectRun] = {}


class Region:
    """Simulates the hosts and engines of a region, and the requests sent there."""

    def __init__(self, seed, *, engines=4, hosts=3, isolated=True) -> None:
        self.rng = random.Random(seed)
        self.isolated = isolated
        self.hosts = [Host() for _ in range(hosts)]
        self.names = itertools.count()
        self.engines: dict[str, set[int]] = {}
        for _ in range(engines):
            self.start_engine()
        self.fatal: set[int] = set()
        self.events: list = []
        self.order = itertools.count()
        self.now = 0.0
        self.numbers = itertools.count()
        self.flights: dict[int, SimpleNamespace] = {}
        self.crashes = 0
        self.crashes_by_cause: dict[int, int] = {}
        self.blocked: set[int] = set()
        self.refused = 0
        self.served = 0
        self.lost = 0

    def start_engine(self):
        self.engines[f"engine-{next(self.names)}"] = set()

    def at(self, delay_s, action, *values):
        heapq.heappush(self.events, (self.now + delay_s, next(self.order), action, values))

    def run_until(self, seconds):
        while self.events and self.events[0][0] < seconds:
            self.now, _, action, values = heapq.heappop(self.events)
            action(*values)

    def call(self, digest, repeats=1):
        """Send a caller's request to a random host."""
        self.send(self.rng.choice(self.hosts), digest, attempts=2, repeats=repeats)

    def send(self, host, digest, attempts, repeats):
        if host.quarantine.get_block(digest, self.now) is not None:
            if digest not in self.fatal:
                self.blocked.add(digest)
            self.repeat(digest, repeats, refused=True)
            return
        incarnation = self.choose(host, digest)
        if incarnation is None:
            self.repeat(digest, repeats, refused=True)
            return
        number = next(self.numbers)
        flight = SimpleNamespace(**locals())
        self.flights[number] = flight
        self.engines[incarnation].add(number)
        self.record_run(host, number, digest, incarnation)
        if digest in self.fatal:
            self.at(CRASH_AFTER_S, self.crash_engine, incarnation, digest)
        else:
            self.at(self.rng.uniform(0.5, 3.0), self.finish, number)

    def choose(self, host, digest):
        candidates = [
            Candidate(
                SimpleNamespace(entry=SimpleNamespace(incarnation=engine)),
                *(0.0, 0.02 * len(running) + self.rng.uniform(0, 0.004), None, False),
                running=len(running),
            )
            for engine, running in self.engines.items()
        ]
        if self.isolated:
            level = host.quarantine.get_level(digest, self.now)
            running = host.runs.list_running(self.now)
            candidates = isolate_suspects(digest, level, candidates, running)
        best = min(candidates, key=lambda candidate: candidate.cost_s, default=None)
        return best.endpoint.entry.incarnation if best is not None else None

    def record_run(self, host, number, digest, incarnation):
        level = host.quarantine.get_level(digest, self.now)
        if level is not SuspicionLevel.NONE:
            host.own_runs[number] = SuspectRun(digest, incarnation, level, self.now + 10)
            self.broadcast_runs(host)

    def broadcast_runs(self, host):
        name, runs = str(self.hosts.index(host)), tuple(host.own_runs.values())
        host.runs.record(name, runs)
        for other in self.hosts:
            if other is not host:
                self.at(UPDATE_DELAY_S, other.runs.record, name, runs)

    def close(self, number):
        flight = self.flights.pop(number, None)
        if flight is not None and flight.host.own_runs.pop(number, None) is not None:
            self.broadcast_runs(flight.host)
        return flight

    def finish(self, number):
        flight = self.close(number)
        if flight is not None:
            self.served += 1
            self.engines[flight.incarnation].discard(number)
            for host in self.hosts:
                delay_s = 0.0 if host is flight.host else UPDATE_DELAY_S
                self.at(delay_s, host.quarantine.record_served, flight.digest, self.now)

    def crash_engine(self, incarnation, cause=None):
        if incarnation not in self.engines:
            return
        self.crashes += 1
        self.crashes_by_cause[cause] = self.crashes_by_cause.get(cause, 0) + 1
        lost = [self.close(number) for number in self.engines.pop(incarnation)]
        self.at(RESTART_AFTER_S, self.start_engine)
        for flight in lost:
            crash = Crash(incarnation, (flight.digest,), self.now)
            for host in self.hosts:
                delay_s = 0.0 if host is flight.host else UPDATE_DELAY_S
                self.at(delay_s, host.quarantine.record_crash, crash)
        for flight in lost:
            self.lost += flight.digest not in self.fatal
            if flight.attempts > 1:
                again = (flight.host, flight.digest, flight.attempts - 1, flight.repeats)
                self.at(0.001, self.send, *again)
            else:
                self.repeat(flight.digest, flight.repeats)

    def repeat(self, digest, repeats, refused=False):
        self.refused += refused and digest not in self.fatal
        if repeats:
            delay_s = self.rng.uniform(0.3, 0.8) if refused else 0.05
            self.at(delay_s, self.call, digest, repeats - 1)


def simulate(seed, fatal=1, per_s=8.0, seconds=20.0, **options):
    """Simulate requests for some seconds; each fatal request comes every 1.5 s."""
    region = Region(seed, **options)
    digests = itertools.count(1_000)
    at = 0.0
    while at < seconds:
        region.at(at, region.call, next(digests))
        at += region.rng.expovariate(per_s)
    for digest in range(fatal):
        region.fatal.add(digest)
        for number in range(int((seconds - 3) / 1.5)):
            region.at(2 + 0.3 * digest + 1.5 * number, region.call, digest)
    region.run_until(seconds + 10)
    return region


@pytest.mark.parametrize("engines", [2, 4, 8])
@pytest.mark.parametrize("fatal", [1, 3])
def test_only_requests_that_crash_engines_are_blocked(fatal, engines):
    """Guards against blocking harmless requests because they ran beside a fatal one."""
    regions = [simulate(seed, fatal, engines=engines) for seed in range(12)]
    blocked = sum(len(region.blocked) for region in regions)
    crashes = [crashes for region in regions for crashes in region.crashes_by_cause.values()]
    # With three fatal requests, a harmless one may be hit by the first crash of the third, which
    # was not suspected yet.
    assert blocked <= (0 if fatal == 1 else 1)
    assert max(crashes) <= 4
    assert sum(crashes) / len(crashes) <= 3.2


def test_isolation_reduces_lost_and_refused_requests():
    """Three fatal requests come to eight engines, each of them every 1.5 s.

    Without isolation, the requests that ran beside one of them are retried with it and then run
    beside the others, so that harmless requests are running at three crashes too.
    """
    isolated = [simulate(seed, 3, engines=8) for seed in range(12)]
    mixed = [simulate(seed, 3, engines=8, isolated=False) for seed in range(12)]
    assert sum(len(region.blocked) for region in mixed) >= 10
    assert sum(region.lost for region in isolated) < 0.8 * sum(region.lost for region in mixed)
    assert sum(region.refused for region in isolated) < 0.5 * sum(
        region.refused for region in mixed
    )
    assert sum(region.served for region in isolated) > 1.05 * sum(region.served for region in mixed)


@pytest.mark.parametrize("seed", range(6))
def test_power_loss_blocks_no_request(seed):
    """A failure domain loses power twice: three of six engines stop at once."""
    region = Region(seed, engines=6)
    digests = itertools.count(1_000)
    for number in range(240):
        region.at(number / 12, region.call, next(digests))
    for at in (5.0, 12.0):
        region.at(
            at,
            lambda: [region.crash_engine(incarnation) for incarnation in list(region.engines)[:3]],
        )
    region.run_until(40)
    assert region.crashes == 6
    assert not region.blocked
    assert region.refused <= 12


def test_crashes_explained_by_a_blocked_request_clear_other_suspects():
    """Guards against requests that stay isolated long after the cause was found."""
    quarantine = Quarantine(TERMS)
    quarantine.record_crash(Crash("e0", (1, 2), 0.0))
    quarantine.record_crash(Crash("e1", (1, 2), 1.0))
    assert [quarantine.get_level(digest, 1.0) for digest in (1, 2)] == [SuspicionLevel.ISOLATED] * 2
    quarantine.record_crash(Crash("e2", (1, 3), 2.0))
    assert quarantine.get_block(1, 2.0) is not None
    assert [quarantine.get_level(digest, 2.0) for digest in (2, 3)] == [SuspicionLevel.NONE] * 2


def test_indistinguishable_requests_are_not_blocked_for_each_other():
    """Guards against blocking seven harmless requests that ran beside the fatal one."""
    quarantine = Quarantine(TERMS)
    for number in range(3):
        quarantine.record_crash(Crash(f"e{number}", (1, 2), float(number)))
    assert [quarantine.get_block(digest, 3.0) for digest in (1, 2)] == [None, None]
    quarantine.record_crash(Crash("e3", (1,), 3.0))
    assert quarantine.get_block(1, 3.0) is not None
    assert quarantine.get_block(2, 3.0) is None
    for number in range(5):
        quarantine.record_crash(Crash(f"e{number}", (8, 9), 10.0))
    assert (
        quarantine.get_block(8, 11.0) is not None
    ), "it crashes engines, whether or not the other does"
