"""Timeouts of requests whose endpoints are silent or full."""

from __future__ import annotations

import asyncio

import pytest

from cloverway.core.patience import MIN_GAP_TIMEOUT_S
from cloverway.serving.clock import read_clock
from cloverway.tests.fleet.deployment import run_fleet, run_scenario, wait_for
from cloverway.tests.fleet.separated import WorkingEndpoint
from cloverway.tests.fleet.standins import make_route, make_service, make_shared_prefix_headers


def test_an_idempotent_request_is_run_elsewhere_when_an_endpoint_hangs():
    """An endpoint accepts a request and sends nothing, or its connection went silent for good.

    Both look like an endpoint that is working. After a few objectives the request is run elsewhere,
    well within the caller's deadline.
    """

    async def scenario():
        async with run_fleet() as fleet:
            first = fleet.endpoints["desk-0"]
            first.answer = first.never_answer
            replies = [await fleet.call("/safe/a") for _ in range(3)]
            assert {reply.status for reply in replies} == {200}
            assert first.cancelled == len(first.requests) > 0

    run_scenario(scenario)


def test_a_non_idempotent_request_is_waited_for_however_long_its_endpoint_is_silent():
    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            endpoint = fleet.endpoints["desk-0"]

            async def answer_late(exchange):
                await asyncio.sleep(1.8)
                await endpoint.answer_ok(exchange)

            endpoint.answer = answer_late
            reply = await fleet.call("/once/a")
            assert reply.status == 200
            assert len(endpoint.requests) == 1

    run_scenario(scenario)


def test_a_stalled_stream_continues_at_another_endpoint():
    """The connection to an endpoint goes silent after two events, without a close or a reset."""

    async def scenario():
        async with run_fleet() as fleet:
            for endpoint in (fleet.endpoints["model-0"], fleet.endpoints["model-1"]):

                async def answer(exchange, endpoint=endpoint):
                    last = dict(exchange.headers).get(b"last-event-id")
                    if last is not None:
                        await endpoint.stream(int(last) + 1, 4)(exchange)
                        return
                    exchange.start(200, endpoint.make_head(exchange))
                    for number in (1, 2):
                        await exchange.send(b"id: %d\ndata: token %d\n\n" % (number, number))
                    await asyncio.sleep(3600)

                endpoint.answer = answer
            reply = await fleet.call("/stream/a", deadline_ms=8000)
            assert reply.complete
            assert reply.body.count(b"data:") == 4

    run_scenario(scenario)


@pytest.mark.parametrize(("pause_s", "saturated"), [(0.6, True), (0.0, False)])
def test_a_stall_between_endpoints_does_not_count_as_saturation(pause_s, saturated):
    """A stream breaks off and continues at another endpoint after 0.7 s.

    Its caller sees a stall, but no engine prefills in every step: if the second engine counted as
    saturated, it would get no long prompts. An engine that stalls between its events is saturated.
    """

    async def scenario():
        async with run_fleet() as fleet:
            first, second = fleet.endpoints["model-0"], fleet.endpoints["model-1"]
            host = fleet.hosts[0]

            async def continue_late(exchange):
                await asyncio.sleep(0.7)
                await second.stream(3, 5, gap_s=pause_s)(exchange)

            first.answer = first.stream(1, 2, aborts=True)
            second.answer = continue_late
            host.directory.endpoints["model-1"].load.record_failure(read_clock())
            reply = await fleet.call("/stream/")
            assert reply.complete
            assert reply.body.count(b"id: ") == 5
            loads = [endpoint.load for endpoint in host.directory.endpoints.values()]
            last_event_at = read_clock() - pause_s
            assert any(load.is_saturated(last_event_at) for load in loads) == saturated

    run_scenario(scenario)


ENGINE = {"slots": 8, "kvTokens": 300_000, "kvTokenBytes": 18_432, "linkMbps": 180_000}
PROMPT = (b"X-Cloverway-Token-Usage", b"5000,30")


async def publish_engine(fleet, timeout_ms):
    """Publish a streaming route to one engine, with an objective of 0.5 s.

    The host counts as started long ago.
    """
    route = make_route("cut", "streaming", "model", timeoutMs=timeout_ms)
    fleet.publish([route], [make_service("model", engine=ENGINE)])
    host = fleet.hosts[0]
    await wait_for(lambda: host.directory.configuration.version == fleet.version)
    endpoint = fleet.endpoints["model-0"]
    endpoint.answer = endpoint.stream(1, 2)
    host.context.target_selector._started_at -= 10.0
    return host.directory.endpoints["model-0"].load


def test_an_engine_gets_the_address_of_one_with_the_prefix_in_its_cache():
    """The engine that has prefilled a shared prefix is busy when the prefix is requested again.

    It works on a long prompt. The request goes to the idle engine, with the address of the one that
    has the prefix in its cache.
    """

    async def scenario():
        async with run_fleet() as fleet:
            model = make_service("model", engine=ENGINE)
            fleet.publish([make_route("cut", "streaming", "model")], [model])
            await wait_for(lambda: fleet.hosts[0].directory.configuration.version == fleet.version)
            engines = [fleet.endpoints[name] for name in ("model-0", "model-1")]
            for endpoint in engines:
                endpoint.answer = endpoint.stream(1, 2)
            await fleet.call("/cut/", headers=make_shared_prefix_headers(1, 1_000))
            holder = next(endpoint for endpoint in engines if endpoint.requests)
            other = next(endpoint for endpoint in engines if not endpoint.requests)
            load = fleet.hosts[0].directory.endpoints[holder.name].load
            await wait_for(lambda: not load.estimate_backlog(read_clock()))
            holder.answer = holder.never_answer
            waiting = await fleet.begin_call("/cut/", headers=make_shared_prefix_headers(2, 9_000))
            await wait_for(lambda: len(holder.requests) == 2)
            await fleet.call("/cut/", headers=make_shared_prefix_headers(3, 1_000))
            fields = dict(other.requests[0].headers)
            assert fields[b"kv-fetch"] == holder.address.encode()
            assert b"kv-fetch" not in dict(holder.requests[1].headers)
            waiting.connection.abort()

    run_scenario(scenario)


def test_a_request_that_would_exceed_its_timeout_in_the_queue_is_refused_at_once():
    """The only engine has ten seconds of pending prefill, and the route allows three.

    Queued until its timeout, the request would have waited for nothing. The caller is told at once
    that nothing ran, and when to retry.
    """

    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            load = await publish_engine(fleet, 3000)
            load.record_prefill(int(10 / load.prefill_s_per_token), read_clock())
            sent_at = read_clock()
            reply = await fleet.call("/cut/", headers=(PROMPT,))
            assert reply.status == 503
            assert read_clock() - sent_at < 0.5
            assert float(reply.headers[b"retry-after"]) >= 3.0
            assert not fleet.endpoints["model-0"].requests

    run_scenario(scenario)


def test_a_request_that_can_only_miss_its_objective_is_still_served():
    """The engine has 0.8 s of pending prefill. The objective is half a second, the timeout six.

    Refused after a part of the objective, the caller retried once, met the next queue and often got
    no answer.
    """

    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            load = await publish_engine(fleet, 6000)
            load.record_prefill(int(0.8 / load.prefill_s_per_token), read_clock())
            sent_at = read_clock()
            reply = await fleet.call("/cut/", headers=(PROMPT,), deadline_ms=6000)
            assert reply.status == 200
            assert read_clock() - sent_at > 0.5

    run_scenario(scenario)


def test_an_endpoint_is_left_before_another_one_of_its_region_goes_on():
    """Guards against two endpoints at work on one stream, as the connection to one is kept open."""

    async def scenario():
        async with run_fleet(endpoints=0) as fleet:
            stream = make_route("stream", "streaming", "model", attempts=2, resumable=True)
            fleet.publish([stream], [make_service("model")])
            working = [WorkingEndpoint(f"model-{number}", "d1") for number in range(2)]
            for endpoint in working:
                endpoint.silent_after = 2
                await endpoint.start()
                fleet.store.put(f"servers/{endpoint.name}", endpoint.make_entry())
            host = fleet.hosts[0]
            await wait_for(lambda: len(host.directory.endpoints) == 2)
            await wait_for(lambda: host.directory.configuration.version == fleet.version)
            exchange = await fleet.begin_call("/stream/a")
            await wait_for(lambda: all(e.begun or e.works for e in working), 2 * MIN_GAP_TIMEOUT_S)
            exchange.connection.abort()
            await wait_for(lambda: not any(e.begun for e in working))
            first, second = sorted(
                (work for endpoint in working for work in endpoint.works),
                key=lambda work: work.began_at,
            )
            assert first.measure_overlap_s(second) <= 0.05

    run_scenario(scenario)
