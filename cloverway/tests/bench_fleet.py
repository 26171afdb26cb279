"""Measure what control costs a host of a fleet: python -m cloverway.tests.bench_fleet."""

from __future__ import annotations

import json
import time
from collections.abc import Callable

from cloverway.core.calls import Call, Prompt, PromptPart
from cloverway.core.choice import predict
from cloverway.core.deployment import Document, EndpointEntry, EngineShape, Service, Topology
from cloverway.core.endpoints import Directory, Endpoint
from cloverway.platform.documents import decode_documents
from cloverway.serving.peerwire import CODEC, EndpointUse, Heartbeat, HostState, RegionOffer

ROUNDS = 2_000


def measure(what: str, run: Callable[[], object], rounds: int = ROUNDS) -> None:
    best = min(_time(run, rounds) for _ in range(3))
    print(f"{what}: {best / rounds * 1e6:.1f} us")


def _time(run: Callable[[], object], rounds: int) -> float:
    started = time.process_time()
    for _ in range(rounds):
        run()
    return time.process_time() - started


def make_heartbeat(others: int, uses: int, offers: int) -> Heartbeat:
    host = HostState(
        "10.1.0.35:8146", 1 << 50, "pl-a", "north", "10.1.0.35:1", "10.1.0.35:2", True, False, 12
    )
    return Heartbeat(
        host,
        5,
        1000,
        200,
        (host,) * others,
        tuple(EndpointUse(f"i-99ab12ff{n:02d}", 5, 9_000, 90_000) for n in range(uses)),
        tuple(RegionOffer(f"service-{n}", 30, 12, 9_000) for n in range(offers)),
    )


def main() -> None:
    for others, uses, offers in ((0, 0, 0), (8, 0, 0), (0, 4, 0), (0, 90, 0), (8, 0, 17)):
        heartbeat = make_heartbeat(others, uses, offers)
        data = CODEC.encode(heartbeat)
        name = f"heartbeat of {others} hosts, {uses} endpoints, {offers} services"
        print(f"{name}: {len(data)} bytes")
        measure("  encode", lambda heartbeat=heartbeat: CODEC.encode(heartbeat))
        measure("  decode", lambda data=data: CODEC.decode(data))

    service = Service("model", 360, engine=EngineShape(64, 240_000))
    parts = (PromptPart(1, 2_500), PromptPart(2, 3_800), PromptPart(3, 2_900))
    call = Call("c", "POST", "/", "h", (), b"", 0.0, 5.0, Prompt(9_200, 50, parts))
    endpoint = Endpoint(EndpointEntry("e", "model", "10.0.0.1:1", "d", 64), "north")
    measure(
        "prediction for one endpoint",
        lambda: predict(call, service, endpoint, domain="d1", hosts=3, now=1),
    )

    value = {"service": "s", "address": "10.0.0.1:1", "zone": "d", "slots": 64, "state": "ready"}
    document = Document("servers/i-99ab12ff", 7, json.dumps(value).encode())
    directory = Directory(Topology("d", "north", {"d": "north"}))
    measure("decode one entry", lambda: decode_documents([document]))
    publications = decode_documents([document]) * 1
    measure("apply one entry", lambda: directory.apply(publications, 1.0))


if __name__ == "__main__":
    main()
