"""Measure the overhead of the gateway over direct calls: `python -m cloverway.tests.bench_gateway`.

One daemon and several stand-in engines run as separate processes. In one run, calls alternate
between the daemon and the engines themselves.
"""

from __future__ import annotations

import sys

from cloverway.commands import bench
from cloverway.load import LoadPlan, Target
from cloverway.tests.standins.fleet import Fleet
from cloverway.tests.standins.topology import MODEL, Topology, make_team_key

TOKEN_S = 0.06
TOKENS = 50
SECONDS = 15.0
STREAM_COUNTS = (10, 100, 400)
ENGINES = 4
CHAT = {"model": MODEL, "idempotent": True, "deadline_ms": 60_000}
LIMITS = {"threads": 1400, "admitted": 600, "queued": 600}


def main(stream_counts: tuple[int, ...]) -> None:
    topology = Topology(
        regions=("pl",),
        hosts=1,
        engines=ENGINES,
        slots=2000,
        engine_options=("--token-s", str(TOKEN_S)),
        settings={"limits": LIMITS},
    )
    with Fleet(topology, publish={"profiles": {"chat": CHAT}}) as fleet:
        host = fleet.hosts["pl-a-host-1"]
        pid = fleet.processes["pl-a-host-1"].pid
        headers = {"Authorization": f"Bearer {make_team_key('open')}", "Cloverway-Profile": "chat"}
        engines = (fleet.remotes[name].url for name in topology.list_names("engines"))
        direct = tuple(url.removeprefix("http://") for url in engines)
        targets = [Target("gateway", (host.callers,), headers), Target("direct", direct)]
        for streams in stream_counts:
            plan = LoadPlan(streams, SECONDS, TOKENS, TOKEN_S, model=MODEL)
            stats, usage = bench.bench(targets, plan, streams, [pid])
            print(f"\n{streams} streams on each target")
            print(bench.format_markdown(bench.COLUMNS, bench.make_rows(targets, stats, plan)))
            print(f"gateway: {usage[0].cores:.2f} cores, {usage[0].memory_mb:.0f} MB")


if __name__ == "__main__":
    main(tuple(int(size) for size in sys.argv[1:]) or STREAM_COUNTS)
