"""Measure time and memory of the configuration store for several sizes.

Run: python -m cloverway.tests.bench_configuration
"""

from __future__ import annotations

import gc
import json
import statistics
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

from cloverway.config.configuration import ConfigurationStore, Source
from cloverway.sources.port import Changes, Document

TEAMS = (100, 1_000, 9_000)
REGIONS, DOMAINS, MODELS = 35, 108, 17
ENDPOINTS_PER_TEAM, HOSTS_PER_TEAM = 10_000 / 9_000, 1_100 / 9_000
ROUNDS = 50


def make_documents(teams: int) -> list[Document]:
    """Make a configuration with the proportions of the deployment planned for in two years."""
    hosts, endpoints = round(teams * HOSTS_PER_TEAM), round(teams * ENDPOINTS_PER_TEAM)
    values: dict[str, Any] = {"organisation": {"name": "riviere"}, "objective": {"cost": 2.0}}
    values |= {f"regions/r{i}": {"title": f"Region {i}"} for i in range(REGIONS)}
    values |= {f"domains/d{i}": {"region": f"r{i % REGIONS}"} for i in range(DOMAINS)}
    values |= {f"hosts/h{i}": make_host(i) for i in range(hosts)}
    values |= {f"endpoints/e{i}": make_endpoint(i) for i in range(endpoints)}
    values |= {f"profiles/p{i}": {"model": f"m{i % MODELS}"} for i in range(100)}
    values |= {f"teams/t{i}": make_team(i) for i in range(teams)}
    return [Document(key, i + 1, value) for i, (key, value) in enumerate(values.items())]


def make_host(i: int) -> dict[str, Any]:
    ip = f"10.1.{i // 250}.{i % 250}"
    ports = {"callers": 7000, "admin": 7001, "peers": 7002}
    return {"domain": f"d{i % DOMAINS}"} | {name: f"{ip}:{port}" for name, port in ports.items()}


def make_endpoint(i: int) -> dict[str, Any]:
    url = f"http://10.2.{i // 250}.{i % 250}:8000"
    return {"domain": f"d{i % DOMAINS}", "url": url, "models": [f"m{i % MODELS}"], "slots": 16}


def make_team(i: int, weight: float = 1.0) -> dict[str, Any]:
    key_hashes = [f"sha256:{2 * i + k:064x}" for k in range(2)]
    profiles = [f"p{(i + k) % 100}" for k in range(3)]
    return {
        "home": f"r{i % REGIONS}",
        "bound": i % 2 == 0,
        "profiles": profiles,
        "key_hashes": key_hashes,
        "weight": weight,
    }


def encode(changes: Changes) -> str:
    return json.dumps([document._asdict() for document in changes.documents], separators=(",", ":"))


def time_us(call: Callable[[int], Any], rounds: int = ROUNDS) -> float:
    """Return the median CPU time of one call in microseconds."""
    times = []
    for i in range(rounds):
        started = time.process_time_ns()
        call(i)
        times.append((time.process_time_ns() - started) / 1000)
    return statistics.median(times)


def measure(teams: int) -> dict[str, float]:
    documents = make_documents(teams)
    last = len(documents)
    gc.collect()
    tracemalloc.start()
    store = ConfigurationStore()
    store.apply(Changes(last, 0, tuple(documents)), Source.PEER, 0.0)
    del documents
    gc.collect()
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    snapshot = Changes(last, 0, tuple(make_documents(teams)))
    whole_us = time_us(lambda _: ConfigurationStore().apply(snapshot, Source.PEER, 0.0), rounds=3)
    store.start_serving()

    def change(i: int) -> None:
        revision = store.revision + 1
        document = Document(f"teams/t{i % teams}", revision, make_team(i % teams, 1 + i / 1000))
        store.apply(Changes(revision, revision - 1, (document,)), Source.PEER, 0.0)

    def put_profile(i: int, value: dict[str, Any] | None) -> None:
        revision = store.revision + 1
        document = Document(f"profiles/spare{i}", revision, value)
        store.apply(Changes(revision, revision - 1, (document,)), Source.PEER, 0.0)

    change_us = time_us(change)
    assert store.revision == last + ROUNDS, "a change was refused"
    delta = store.get_changes_after(store.revision - 1)
    for i in range(ROUNDS):
        put_profile(i, {"model": "m1"})
    return {
        "documents": len(snapshot.documents),
        "one change, us": change_us,
        "deletion of a profile, us": time_us(lambda i: put_profile(i, None)),
        "delta for a peer, us": time_us(lambda _: store.get_changes_after(store.revision - 1)),
        "delta, bytes": len(encode(delta)),
        "whole, ms": whole_us / 1000,
        "whole, bytes": len(encode(snapshot)),
        "memory, MB": held / 1e6,
    }


def fit(xs: list[float], ys: list[float]) -> tuple[float, float, float]:
    """Fit a line; return its intercept, its slope and the largest relative residual."""
    slope, start = statistics.linear_regression(xs, ys)
    residual = max(abs(y - start - slope * x) / max(y, 1e-9) for x, y in zip(xs, ys, strict=True))
    return start, slope, residual


def main() -> None:
    measure(TEAMS[0])  # Warm-up, so that no row includes one-time costs such as the schemas.
    rows = [measure(teams) for teams in TEAMS]
    columns = list(rows[0])
    print("| | " + " | ".join(f"{teams:,} teams" for teams in TEAMS) + " | fit | residual |")
    print("| --- |" + " ---: |" * (len(TEAMS) + 2))
    counts = [row["documents"] for row in rows]
    for column in columns:
        ys = [row[column] for row in rows]
        start, slope, residual = fit(counts, ys)
        cells = " | ".join(f"{y:,.1f}" if y < 100 else f"{y:,.0f}" for y in ys)
        line = f"{start:.3g} + {slope * 1000:.3g} per 1,000 documents"
        print(f"| {column} | {cells} | {line} | {residual:.0%} |")
    print(json.dumps({"teams": TEAMS, "rounds": ROUNDS}))


if __name__ == "__main__":
    main()
