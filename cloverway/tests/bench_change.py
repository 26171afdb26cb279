"""Measure the time until a change is in force: `python -m cloverway.tests.bench_change`.

Changes are published one after the other to the simulated platform, and all daemons are polled for
their revision until all have it. The time includes the polls, about 1 ms for each daemon.
"""

from __future__ import annotations

import json
import statistics
import threading
import time

import urllib3

from cloverway.tests.standins.fleet import Fleet
from cloverway.tests.standins.topology import Topology

CHANGES = 30
TIMEOUT_S = 10.0
POLL_S = 0.005


def wait_for_revision(
    fleet: Fleet, http: urllib3.PoolManager, hosts: list[str], revision: int
) -> float:
    """Return the seconds until all hosts have a revision in force."""
    begin, timer = time.monotonic(), threading.Event()
    remaining = set(hosts)
    while remaining:
        assert time.monotonic() < begin + TIMEOUT_S, f"{remaining} never got revision {revision}"
        remaining = {host for host in remaining if read_revision(fleet, http, host) < revision}
        timer.wait(POLL_S)
    return time.monotonic() - begin


def read_revision(fleet: Fleet, http: urllib3.PoolManager, host: str) -> int:
    answer = http.request("GET", f"http://{fleet.hosts[host].admin}/v1/status")
    return int(json.loads(answer.data)["revision"])


def measure(fleet: Fleet, hosts: list[str]) -> list[float]:
    http = urllib3.PoolManager(retries=False, timeout=5.0, maxsize=4)
    times = []
    for number in range(CHANGES):
        revision = fleet.publish({"objective": {"cost": 1.0 + number}})
        times.append(wait_for_revision(fleet, http, hosts, revision))
    return sorted(times)


def main() -> None:
    print("| hosts | changes | p50 s | worst s |\n| --- | ---: | ---: | ---: |")
    with Fleet(Topology(hosts=4), platform="http") as fleet:
        everyone = list(fleet.hosts)
        report("all 12, in 3 regions", measure(fleet, everyone))
        for name in everyone[:1]:
            fleet.kill(name)
        report("11, one killed just before", measure(fleet, everyone[1:]))


def report(label: str, times: list[float]) -> None:
    print(f"| {label} | {len(times)} | {statistics.median(times):.2f} | {times[-1]:.2f} |")


if __name__ == "__main__":
    main()
