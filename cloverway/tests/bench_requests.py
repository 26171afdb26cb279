"""Measure the CPU time of a complete request: `python -m cloverway.tests.bench_requests`.

Lookups go through a daemon to a plain service at three rates; the slope of CPU time over requests
is the cost of one request. A run without requests gives the cost of the control loop in a fleet of
this size.
"""

from __future__ import annotations

import sys
import threading
import time

from cloverway.commands.bench import read_usage
from cloverway.tests.standins.clients import Caller
from cloverway.tests.standins.fleet import Fleet
from cloverway.tests.standins.topology import Topology

RATES = (0, 20, 60, 120)
SECONDS = 8.0
THREADS = 12


def send(caller: Caller, rate: float, until: float) -> int:
    """Send lookups in sequence at a rate, and return how many were answered completely."""
    completed, period, due = 0, THREADS / rate, time.monotonic()
    pause = threading.Event()
    while due < until:
        pause.wait(max(0.0, due - time.monotonic()))
        completed += caller.call_service("a", profile="lookup").complete
        due += period
    return completed


def measure(fleet: Fleet, host: str, rate: int) -> tuple[int, float, float]:
    """Return the requests, CPU cores and memory in MB of a daemon at a rate."""
    pid = fleet.processes[host].pid
    counts: list[int] = []
    before, begin = read_usage(pid), time.monotonic()
    caller = Caller(fleet.url(host))

    def send_at_rate() -> None:
        counts.append(send(caller, rate, begin + SECONDS))

    threads = [threading.Thread(target=send_at_rate) for _ in range(THREADS if rate else 0)]
    for thread in threads:
        thread.start()
    threading.Event().wait(max(0.0, begin + SECONDS - time.monotonic()))
    for thread in threads:
        thread.join()
    after = read_usage(pid)
    cores = (after.cpu_s - before.cpu_s) / (time.monotonic() - begin)
    return sum(counts), cores, after.memory_mb


def main(rates: tuple[int, ...]) -> None:
    with Fleet(Topology(regions=("pl",), hosts=2)) as fleet:
        host = next(iter(fleet.hosts))
        print("| lookups/s | cores | MB |\n| ---: | ---: | ---: |")
        for rate in rates:
            count, cores, memory = measure(fleet, host, rate)
            print(f"| {count / SECONDS:.1f} | {cores:.3f} | {memory:.0f} |")


if __name__ == "__main__":
    main(tuple(int(rate) for rate in sys.argv[1:]) or RATES)
