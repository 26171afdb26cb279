"""Measure idempotency keys: latency of a claim, memory of the ledger, effect of a lost host.

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


def allow_storing(*_: str) -> bool:
    return True


def make_ledger_task(host: str) -> LedgerTask:
    ledger = Ledger(host, "i1", secrets.token_bytes(32), LIMITS, time.monotonic())
    return LedgerTask(ledger, allow_storing)


def serve_issuer(pipe) -> None:
    """Run the issuing host in a child process until it receives "stop"."""
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
    """Time claims in the local ledger, and claims and settlements at another host."""
    context = multiprocessing.get_context("spawn")
    parent_pipe, child_pipe = context.Pipe()
    process = context.Process(target=serve_issuer, args=(child_pipe,))
    process.start()
    address, keys = parent_pipe.recv()
    local = make_ledger_task("h2")
    local.start()
    client = PeerClient(Identity("h2", "i1"), SECRET, PeerLimits())
    claims = KeyClaimer(local, client, {"h1": address}.get, allow_storing)
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
        print(f"| {name} | {' | '.join(time_step(step, parent_pipe))} |")
    parent_pipe.send("stop")
    local.stop()
    process.join()


def time_step(step: Callable[[], object], issuer) -> list[str]:
    for _ in range(WARM_UP):
        step()
    issuer.send("time")
    local_cpu_s, issuer_cpu_s = time.process_time(), issuer.recv()
    times = []
    for _ in range(CLAIMS):
        started_at = time.perf_counter()
        step()
        times.append(time.perf_counter() - started_at)
    issuer.send("time")
    local_cpu_s, issuer_cpu_s = time.process_time() - local_cpu_s, issuer.recv() - issuer_cpu_s
    percentiles = statistics.quantiles(times, n=100)
    columns = [f"{percentiles[at] * 1e3:.2f}" for at in (49, 94, 98)]
    return columns + [f"{cpu_s / CLAIMS * 1e6:.0f}" for cpu_s in (local_cpu_s, issuer_cpu_s)]


def measure_memory() -> None:
    """Measure the ledger's memory for each used key, and the time of its calls."""
    ledger = Ledger("h1", "i1", SECRET, LIMITS, 0.0)
    keys = ledger.issue((secrets.token_bytes(NONCE_BYTES) for _ in range(KEYS)), 0.0)
    started_at = time.process_time()
    names = [ParsedKey.parse(key) for key in keys]
    parse_s = time.process_time() - started_at
    del names
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    use_keys(ledger, keys)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    ledger = Ledger("h1", "i1", SECRET, LIMITS, 0.0)
    started_at = time.process_time()
    use_keys(ledger, keys)
    spent_s = time.process_time() - started_at
    print(f"bytes for each used key: {(used - before) / KEYS:.0f}")
    print(f"parse a key: {parse_s / KEYS * 1e6:.1f} us")
    print(f"claim and settle in the ledger: {spent_s / KEYS * 1e6:.1f} us")


def use_keys(ledger: Ledger, keys: list[str]) -> None:
    for number, key in enumerate(keys):
        claimant = f"host-17/0123456789abcdef/{number}"
        ledger.claim(ClaimCall(key, "team", "profile", b"d" * 32, claimant, 30.0), 1.0)
        ledger.settle(SettleCall(key, "team", "profile", claimant, Settlement.UNKNOWN), 2.0)


class Scenario(NamedTuple):
    """A deployment in which one host is lost or stopped."""

    rate: float
    """Requests with keys a second, for each host."""
    key_age_s: float
    """Mean time from the issue of a key to the first send."""
    drain_s: float | None
    """How long a leaving host answers claims; None for a host that is lost suddenly."""
    answer_loss_probability: float = 0.01
    hosts: int = 8
    execution_s: float = 2.0
    retry_s: float = 3.0


class HostLossSimulation:
    """Real ledgers in virtual time; host 0 is replaced at time 0, and nothing fails before that."""

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
        """Run all events and return the number of requests by outcome."""
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
        # A leaving host issues no keys while it drains.
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
    """Count the requests whose outcome stays unknown to callers when one of eight hosts is lost."""
    print("| rate a host | key held | stop | unknown, first send | unknown, repeat | of a minute |")
    print("| ---: | ---: | --- | ---: | ---: | ---: |")
    stop_kinds = {None: "sudden", 2.0: "planned, stays 2 s", 30.0: "planned, stays 30 s"}
    for drain_s, rate, key_age_s in itertools.product(stop_kinds, (1.0, 10.0), (0.05, 5.0, 60.0)):
        scenario = Scenario(rate, key_age_s, drain_s)
        runs = [HostLossSimulation(scenario, seed).run() for seed in range(5)]
        first = [run["unknown, first send"] for run in runs]
        repeat = [run["unknown, repeat"] for run in runs]
        fraction = statistics.mean(map(sum, zip(first, repeat, strict=True)))
        fraction /= rate * scenario.hosts * 60
        print(
            f"| {rate:g}/s | {key_age_s:g} s | {stop_kinds[drain_s]} "
            f"| {statistics.mean(first):.1f} ({min(first)} to {max(first)}) "
            f"| {statistics.mean(repeat):.1f} ({min(repeat)} to {max(repeat)}) | {fraction:.2%} |"
        )


MEASUREMENTS = {"hop": measure_hop, "memory": measure_memory, "loss": measure_loss}

if __name__ == "__main__":
    for chosen in sys.argv[1:] or MEASUREMENTS:
        MEASUREMENTS[chosen]()
        print()
