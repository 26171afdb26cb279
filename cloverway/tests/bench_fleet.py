"""Measure the control costs of a host of a fleet: python -m cloverway.tests.bench_fleet.

The printed times are the best of three runs.
"""

from __future__ import annotations

import json
import time
from collections import Counter
from collections.abc import Callable

from cloverway.core.calls import Call, Prompt, PromptSegment
from cloverway.core.deployment import (
    CallKind,
    Document,
    EndpointEntry,
    EngineSpec,
    Route,
    Service,
    Snapshot,
    Topology,
    WeightedService,
)
from cloverway.core.documents import DocumentTable
from cloverway.core.endpoint import Endpoint
from cloverway.core.endpoints import Directory
from cloverway.core.prediction import RoutedCall, Sender, predict
from cloverway.platform.documents import decode_documents
from cloverway.serving.hosts.messages import (
    CODEC,
    EndpointUse,
    EndpointUses,
    Heartbeat,
    HostState,
    RegionOffer,
)

ROUNDS = 2_000


def measure(label: str, run: Callable[[], object], rounds: int = ROUNDS) -> None:
    best = min(_time(run, rounds) for _ in range(3))
    print(f"{label}: {best / rounds * 1e6:.1f} us")


def _time(run: Callable[[], object], rounds: int) -> float:
    started = time.process_time()
    for _ in range(rounds):
        run()
    return time.process_time() - started


def make_heartbeat(host_count: int, service_count: int) -> Heartbeat:
    host = HostState(
        "10.1.0.35:8146", 1 << 50, "pl-a", "north", "10.1.0.35:1", "10.1.0.35:2", True, False, 12
    )
    return Heartbeat(
        host,
        5,
        1000,
        200,
        (host,) * host_count,
        tuple(RegionOffer(f"service-{n}", 30, 12, 9_000) for n in range(service_count)),
    )


def make_uses(count: int) -> EndpointUses:
    use = EndpointUse("i-99ab12ff00", 5, 9_000, 90_000, (1 << 40, 1 << 50), (6_000, 3_000), 9_000)
    return EndpointUses("10.1.0.35:8146", (use,) * count)


def make_value(state: str, sequence: int) -> bytes:
    value = {"service": "s", "address": "10.0.0.1:1", "zone": "d", "slots": 64, "state": state}
    return json.dumps(value | {"version": "1", "coldRemainingMs": 0, "sequence": sequence}).encode()


def measure_documents() -> None:
    """Measure what an endpoint's write costs a store reader, and what a change costs a follower."""

    def make(number: int, revision: int, state: str) -> Document:
        name = f"servers/i-{number:08d}"
        return Document(name, revision, make_value(state, revision))

    documents = tuple(make(number, 1, "ready") for number in range(1_000))
    table = DocumentTable(decode_documents)
    table.apply(Snapshot(1, documents, True))
    revisions = iter(range(2, 1 << 60))

    def write(state: str) -> None:
        revision = next(revisions)
        table.apply(Snapshot(revision, (make(revision % 1_000, revision, state),), False))

    measure("a reader: a write that says nothing new", lambda: write("ready"))
    measure("a reader: a write that says something new, half of them", lambda: write("draining"))
    measure("a follower: a heartbeat of who knows the same", lambda: table.adopt_revision(1, 2))
    measure(
        "changes of 1,000 entries for a follower", lambda: table.export_since(table.position), 200
    )


def main() -> None:
    messages = {
        f"heartbeat of {host_count} hosts, {service_count} services": make_heartbeat(
            host_count, service_count
        )
        for host_count, service_count in ((0, 0), (8, 0), (8, 17))
    }
    messages |= {f"uses of {count} endpoints": make_uses(count) for count in (1, 4, 90)}
    for name, message in messages.items():
        data = CODEC.encode(message)
        print(f"{name}: {len(data)} bytes")
        measure("  encode", lambda message=message: CODEC.encode(message))
        measure("  decode", lambda data=data: CODEC.decode(data))

    service = Service("model", 360, engine=EngineSpec(64, 240_000))
    segments = (PromptSegment(1, 2_500), PromptSegment(2, 3_800), PromptSegment(3, 2_900))
    call = Call("c", "POST", "/", "h", (), b"", 0.0, 5.0, Prompt(9_200, 50, segments))
    route = Route("r", "h", "/", CallKind.STREAM, (WeightedService("model", 1.0),), 5.0, 1.0)
    routed = RoutedCall(call, route, service, Counter())
    endpoint = Endpoint(EndpointEntry("e", "model", "10.0.0.1:1", "d", 64), "north")
    measure(
        "prediction for one endpoint",
        lambda: predict(routed, endpoint, sender=Sender("d1", 3), now=1),
    )

    document = Document("servers/i-99ab12ff", 7, make_value("ready", 7))
    directory = Directory(Topology("d", "north", {"d": "north"}))
    measure("decode one entry", lambda: decode_documents([document]))
    publications = decode_documents([document]) * 1
    measure("apply one entry", lambda: directory.apply(publications, 1.0))
    measure_documents()


if __name__ == "__main__":
    main()
