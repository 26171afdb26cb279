"""Measure idempotency keys: the claim's hop, the ledger's memory, and what a lost host costs.

python -m cloverway.tests.bench_keys [hop] [memory] [loss]
"""

from __future__ import annotations

import heapq
import itertools
import multiprocessing
import random
import secrets
import statistics
import sys
import time
import tracemalloc
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from cloverway.errors import Kind
from cloverway.messages import Refused
from cloverway.once.claims import KeyClaimer, LedgerTask
from cloverway.once.key_format import ParsedKey
from cloverway.once.keys import (
    NONCE_BYTES,
    ClaimCall,
    Grant,
    Ledger,
    LedgerLimits,
    Recorded,
    SettleCall,
    Settlement,
)
from cloverway.peers.channel import Identity
from cloverway.peers.peer_client import PeerClient
from cloverway.peers.peering import PeerLimits
from cloverway.tests.peer_fakes import SECRET, FakeHandler, make_request, start_server

CLAIMS = 2_000
WARM_UP = 200
KEYS = 100_000
LIMITS = LedgerLimits(1_000_000, 3_600.0, 64 * 1024 * 1024, 256 * 1024)


def store_anywhere(*_: str) -> bool:
    return True


def make_ledger_task(host: str) -> LedgerTask:
    ledger = Ledger(host, "i1", secrets.token_bytes(32), LIMITS, time.monotonic())
    return LedgerTask(ledger, store_anywhere)


def serve_issuer(pipe) -> None:
    """Be the issuing host, in a process of its own, until told to stop."""
    keys = make_ledger_task("h1")
    keys.start()
    handler = FakeHandler()
    handler.claim, handler.settle = keys.claim, keys.settle
    server = start_server(handler, Identity("h1", "i1"), PeerLimits())
    pipe.send((server.address, [keys.issue(1)[0] for _ in range(2 * CLAIMS + 2 * WARM_UP)]))
    for _ in iter(pipe.recv, "stop"):
        pipe.send(time.process_time())
    server.stop()


def measure_hop() -> None:
    """Time claims and settlements at the own ledger, on open and on new connections."""
    context = multiprocessing.get_context("spawn")
    ours, theirs = context.Pipe()
    process = context.Process(target=serve_issuer, args=(theirs,))
    process.start()
    address, keys = ours.recv()
    local = make_ledger_task("h2")
    local.start()
    client = PeerClient(Identity("h2", "i1"), SECRET, PeerLimits())
    claims = KeyClaimer(local, client, {"h1": address}.get, store_anywhere)
    local_keys = iter([local.issue(1)[0] for _ in range(CLAIMS + WARM_UP)])
    remote_keys = iter(keys)
    settle = SettleCall(keys[0], "t", "p", "nobody", Settlement.NOT_RUN)

    def claim_on_new_connection() -> None:
        client.close()
        claims.claim(make_request(key=next(remote_keys)))

    steps: dict[str, Callable[[], object]] = {
        "claim, own ledger": lambda: claims.claim(make_request(key=next(local_keys))),
        "claim, open connection": lambda: claims.claim(make_request(key=next(remote_keys))),
        "claim, new connection": claim_on_new_connection,
        "settlement, open connection": lambda: client.settle("h1", address, settle),
    }
    print("| step | p50 ms | p95 ms | p99 ms | CPU here us | CPU at issuer us |")
    print("| --- | ---: | ---: | ---: | ---: | ---: |")
    for name, step in steps.items():
        print(f"| {name} | {' | '.join(time_step(step, ours))} |")
    ours.send("stop")
    local.stop()
    process.join()


def time_step(step: Callable[[], object], issuer) -> list[str]:
    for _ in range(WARM_UP):
        step()
    issuer.send("time")
    local_cpu_s, issuer_cpu_s = time.process_time(), issuer.recv()
    times = []
    for _ in range(CLAIMS):
        began = time.perf_counter()
        step()
        times.append(time.perf_counter() - began)
    issuer.send("time")
    local_cpu_s, issuer_cpu_s = time.process_time() - local_cpu_s, issuer.recv() - issuer_cpu_s
    cuts = statistics.quantiles(times, n=100)
    figures = [f"{cuts[at] * 1e3:.2f}" for at in (49, 94, 98)]
    return figures + [f"{spent / CLAIMS * 1e6:.0f}" for spent in (local_cpu_s, issuer_cpu_s)]


def measure_memory() -> None:
    """Count the bytes of a ledger for each used key, and time its calls."""
    ledger = Ledger("h1", "i1", SECRET, LIMITS, 0.0)
    keys = ledger.issue((secrets.token_bytes(NONCE_BYTES) for _ in range(KEYS)), 0.0)
    began = time.process_time()
    names = [ParsedKey.parse(key) for key in keys]
    parse_s = time.process_time() - began
    del names
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    use_keys(ledger, keys)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    ledger = Ledger("h1", "i1", SECRET, LIMITS, 0.0)
    began = time.process_time()
    use_keys(ledger, keys)
    spent_s = time.process_time() - began
    print(f"bytes for each used key: {(used - before) / KEYS:.0f}")
    print(f"parse a key: {parse_s / KEYS * 1e6:.1f} us")
    print(f"claim and settle in the ledger: {spent_s / KEYS * 1e6:.1f} us")


def use_keys(ledger: Ledger, keys: list[str]) -> None:
    for number, key in enumerate(keys):
        claimant = f"host-17/0123456789abcdef/{number}"
        ledger.claim(ClaimCall(key, "team", "profile", b"d" * 32, claimant, 30.0), 1.0)
        ledger.settle(SettleCall(key, "team", "profile", claimant, Settlement.UNKNOWN), 2.0)


class Scenario(NamedTuple):
    """One deployment at the moment when one of its hosts is lost."""

    rate: float
    """Requests a second with keys of each host."""
    key_age_s: float
    """Mean time from getting a key to the first send."""
    drain_s: float | None
    """How long a host that leaves answers claims, or None for one that is lost."""
    answer_loss_probability: float = 0.01
    hosts: int = 8
    execution_s: float = 2.0
    retry_s: float = 3.0


class HostLossSimulation:
    """Real ledgers on virtual time; host 0 is replaced at time 0, before which all is in order."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.random = random.Random(seed)
        self.start = -12 * max(scenario.key_age_s, 10.0)
        self.ledgers = [self.make_ledger(host, "i1") for host in range(scenario.hosts)]
        self.numbers = itertools.count()
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.results: Counter[str] = Counter()

    def make_ledger(self, host: int, incarnation: str) -> Ledger:
        return Ledger(f"h{host}", incarnation, SECRET, LIMITS, self.start)

    def at(self, time_s: float, step: Callable[[float], None]) -> None:
        heapq.heappush(self.events, (time_s, next(self.numbers), step))

    def run(self) -> Counter[str]:
        """Give the count of requests by outcome, for those that were open at the loss."""
        at = self.start
        while at < 60.0:
            at += self.random.expovariate(self.scenario.rate * self.scenario.hosts)
            self.at(at, self.begin)
        self.at(0.0, self.restart_host)
        while self.events:
            now, _, step = heapq.heappop(self.events)
            step(now)
        return self.results

    def restart_host(self, now: float) -> None:
        self.ledgers[0] = self.make_ledger(0, "i2")

    def begin(self, now: float) -> None:
        # A host that leaves issues no keys while it drains.
        leaving = -(self.scenario.drain_s or 0) <= now < 0
        issuer = self.random.randrange(1 if leaving else 0, self.scenario.hosts)
        (key,) = self.ledgers[issuer].issue([next(self.numbers).to_bytes(NONCE_BYTES, "big")], now)
        key_age_s = min(self.random.expovariate(1 / self.scenario.key_age_s), LIMITS.lifetime_s)
        self.at(now + key_age_s, lambda then: self.send(then, issuer, key, first=True))

    def send(self, now: float, issuer: int, key: str, first: bool) -> None:
        leaving = -(self.scenario.drain_s or 0) <= now < 0
        runner = self.random.randrange(1 if leaving else 0, self.scenario.hosts)
        claimant = f"c{next(self.numbers)}"
        call = ClaimCall(key, "t", "p", b"d", claimant, 30.0)
        result = self.ledgers[issuer].claim(call, now)
        if isinstance(result, Grant):
            end = now + self.scenario.execution_s
            self.at(end, lambda then: self.end(then, issuer, key, claimant, runner))
        elif isinstance(result, Recorded):
            self.results["replayed"] += 1
        elif isinstance(result, Refused) and result.kind is Kind.KEY_IN_USE:
            self.at(now + 1.0, lambda then: self.send(then, issuer, key, first=False))
        else:
            self.results["unknown, first send" if first else "unknown, repeat"] += 1

    def end(self, now: float, issuer: int, key: str, claimant: str, runner: int) -> None:
        killed = (
            runner == 0
            and self.scenario.drain_s is None
            and now - self.scenario.execution_s < 0 <= now
        )
        answer = Recorded(200, "application/json", b"{}")
        if not killed:
            call = SettleCall(key, "t", "p", claimant, Settlement.DONE, answer)
            self.ledgers[issuer].settle(call, now)
        if killed or self.random.random() < self.scenario.answer_loss_probability:
            later = now + self.scenario.retry_s
            self.at(later, lambda then: self.send(then, issuer, key, first=False))
        else:
            self.results["answered"] += 1


def measure_loss() -> None:
    """Count the requests whose outcome a caller can't learn when one of eight hosts is lost."""
    print("| rate a host | key held | stop | unknown, first send | unknown, repeat | of a minute |")
    print("| ---: | ---: | --- | ---: | ---: | ---: |")
    stops = {None: "sudden", 2.0: "planned, stays 2 s", 30.0: "planned, stays 30 s"}
    for drain_s, rate, key_age_s in itertools.product(stops, (1.0, 10.0), (0.05, 5.0, 60.0)):
        scenario = Scenario(rate, key_age_s, drain_s)
        runs = [HostLossSimulation(scenario, seed).run() for seed in range(5)]
        first = [run["unknown, first send"] for run in runs]
        repeat = [run["unknown, repeat"] for run in runs]
        share = statistics.mean(map(sum, zip(first, repeat, strict=True)))
        share /= rate * scenario.hosts * 60
        print(
            f"| {rate:g}/s | {key_age_s:g} s | {stops[drain_s]} "
            f"| {statistics.mean(first):.1f} ({min(first)} to {max(first)}) "
            f"| {statistics.mean(repeat):.1f} ({min(repeat)} to {max(repeat)}) | {share:.2%} |"
        )


MEASUREMENTS = {"hop": measure_hop, "memory": measure_memory, "loss": measure_loss}

if __name__ == "__main__":
    for chosen in sys.argv[1:] or MEASUREMENTS:
        MEASUREMENTS[chosen]()
        print()
