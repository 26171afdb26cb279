"""The course of requests through a host, over stand-ins of the platform's store and endpoints."""

from __future__ import annotations

import asyncio

import pytest

from cloverway.serving.client import AnswerError, fetch, make_request
from cloverway.serving.clock import read_clock
from cloverway.tests.fleet.deployment import run_fleet, wait_for
from cloverway.tests.fleet.standins import make_route, make_service, share_part


def play(scenario):
    asyncio.run(scenario())


def count_runs(fleet, prefix):
    return sum(len(e.requests) for name, e in fleet.endpoints.items() if name.startswith(prefix))


def test_a_request_reaches_an_endpoint_unchanged_and_its_answer_the_caller():
    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            reply = await fleet.call(
                "/safe/a/b?q=1&r=%20", headers=((b"X-Own", b"kept"), (b"Connection", b"x-hop"))
            )
            assert (reply.status, reply.body, reply.whole) == (200, b"ran at desk-0", True)
            assert reply.headers[b"x-cloverway-response-seal"] == b"1.2.3"
            (seen,) = fleet.endpoints["desk-0"].requests
            fields = dict(seen.headers)
            assert (seen.method, seen.target, seen.body) == ("POST", "/safe/a/b?q=1&r=%20", b"x")
            assert fields[b"x-own"] == b"kept"
            assert fields[b"x-cloverway-target-instance"] == b"desk-0"
            assert 2000 < int(fields[b"x-cloverway-deadline-ms"]) <= 3000

    play(scenario)


def test_headers_that_are_the_systems_to_set_are_never_taken_from_a_caller():
    """A caller sends headers that steer engines: a reservation, a pin, another endpoint's id.

    Passed on, an endpoint would refuse the request or run it with another caller's reservation.
    They are dropped where a caller's request is decoded.
    """

    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            forged = (
                (b"X-Cloverway-Hold", b"h1"),
                (b"X-Cloverway-Pin-Ms", b"400"),
                (b"X-Cloverway-Target-Instance", b"other"),
                (b"X-Cloverway-Kv-Backup", b"10.0.0.1:1"),
                (b"Kv-From", b"10.0.0.1:1/3"),
                (b"Kv-Fetch", b"10.0.0.1:1"),
                (b"X-Cloverway-Request-Priority", b"0"),
            )
            await fleet.call("/safe/a", headers=forged)
            names = [name for name, _ in fleet.endpoints["desk-0"].requests[0].headers]
            fields = dict(fleet.endpoints["desk-0"].requests[0].headers)
            assert fields[b"x-cloverway-target-instance"] == b"desk-0"
            assert names.count(b"x-cloverway-target-instance") == 1
            assert not {b"x-cloverway-hold", b"x-cloverway-pin-ms", b"kv-from"} & set(names)
            assert b"x-cloverway-kv-backup" not in names

    play(scenario)


def test_a_path_without_a_route_is_not_found():
    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            reply = await fleet.call("/nothing/here")
            assert reply.status == 404

    play(scenario)


def test_a_request_that_may_run_once_is_not_sent_again_after_a_break():
    """The endpoint closes the connection without an answer, perhaps after it did the work.

    A second send could allocate the same stock twice. The caller gets 502, which promises nothing.
    """

    async def scenario():
        async with run_fleet() as fleet:
            for name in ("desk-0", "desk-1"):
                fleet.endpoints[name].answer = fleet.endpoints[name].break_off
            reply = await fleet.call("/once/a")
            assert reply.status == 502
            assert count_runs(fleet, "desk") == 1

    play(scenario)


def test_a_request_that_may_run_once_is_sent_again_after_not_run():
    async def scenario():
        async with run_fleet() as fleet:
            first, second = fleet.endpoints["desk-0"], fleet.endpoints["desk-1"]
            first.answer = first.answer_not_run
            second.answer = second.answer_not_run
            reply = await fleet.call("/once/a")
            assert reply.status == 503
            assert float(reply.headers[b"retry-after"]) > 0
            assert count_runs(fleet, "desk") == 2
            second.answer = second.answer_plainly
            replies = [await fleet.call("/once/a") for _ in range(3)]
            assert {reply.status for reply in replies} == {200}

    play(scenario)


def test_an_idempotent_request_is_run_elsewhere_after_a_break():
    async def scenario():
        async with run_fleet() as fleet:
            first = fleet.endpoints["desk-0"]
            first.answer = first.break_off
            replies = [await fleet.call("/safe/a") for _ in range(4)]
            assert {reply.status for reply in replies} == {200}

    play(scenario)


def test_not_run_is_never_said_of_a_request_whose_answer_is_awaited():
    """The endpoint works on a request until the time of the route is over.

    The wait ends inside the send, before it counted as one that may have run. The refusal said
    "not run" (503), and the caller allocated once more while the first run ended well.
    """

    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            fleet.publish(
                [make_route("once", "non_idempotent", "desk", timeoutMs=300)],
                [make_service("desk")],
            )
            await wait_for(lambda: fleet.hosts[0].directory.configuration.version == fleet.version)
            endpoint = fleet.endpoints["desk-0"]
            endpoint.answer = endpoint.answer_never
            reply = await fleet.call("/once/a")
            assert len(endpoint.requests) == 1
            assert reply.status == 504
            assert b"retry-after" not in reply.headers

    play(scenario)


def test_a_caller_that_leaves_ends_the_run():
    """The caller closes its connection while the endpoint works.

    The endpoint would work to the end for nobody, in the place of a caller that waits. The task of
    the request is cancelled, and with it the connection to the endpoint.
    """

    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            endpoint = fleet.endpoints["desk-0"]
            endpoint.answer = endpoint.answer_never
            sending = await fleet.begin_call("/once/a")
            await wait_for(lambda: endpoint.requests)
            sending.connection.abort()
            await wait_for(lambda: endpoint.cancelled, 0.5)
            assert fleet.hosts[0].callers.in_progress == 0

    play(scenario)


def test_an_answer_to_another_request_is_passed_over():
    """An endpoint sends the answer to an earlier request once more, on a kept connection.

    The next request on it would be given the answer of another caller. Its id gives it away.
    """

    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            endpoint = fleet.endpoints["desk-0"]

            async def answer_twice(exchange):
                stale = (
                    b"HTTP/1.1 200 OK\r\nX-Cloverway-Request-Id: call-0\r\n"
                    b"X-Cloverway-Response-Seal: 9\r\nContent-Length: 5\r\n\r\nother"
                )
                exchange.connection.write(stale)
                await endpoint.answer_plainly(exchange)

            endpoint.answer = answer_twice
            reply = await fleet.call("/once/a")
            assert (reply.status, reply.body) == (200, b"ran at desk-0")

    play(scenario)


def test_an_answer_without_a_signature_is_not_passed_on():
    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            endpoint = fleet.endpoints["desk-0"]
            endpoint.answer = lambda exchange: exchange.answer(200, [], b"whose?")
            reply = await fleet.call("/once/a")
            assert reply.status == 502

    play(scenario)


def test_an_endpoints_own_failure_is_passed_on_as_it_is():
    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            endpoint = fleet.endpoints["desk-0"]
            endpoint.answer = lambda e: e.answer(500, endpoint.head(e), b"no stock")
            reply = await fleet.call("/once/a")
            assert (reply.status, reply.body) == (500, b"no stock")
            assert b"x-cloverway-response-seal" in reply.headers

    play(scenario)


def test_a_stream_goes_on_at_another_endpoint_after_its_last_whole_event():
    """An endpoint breaks off in the middle of the third event.

    The caller must get each event once and whole. The second endpoint is asked for what follows
    the second event, and the half of the third one is dropped.
    """

    async def scenario():
        async with run_fleet() as fleet:
            asked = []
            for endpoint in (fleet.endpoints["model-0"], fleet.endpoints["model-1"]):

                async def answer(exchange, endpoint=endpoint):
                    last = dict(exchange.headers).get(b"last-event-id")
                    asked.append(last)
                    if last is None:
                        await endpoint.stream(1, 2, breaks=True)(exchange)
                    else:
                        await endpoint.stream(int(last) + 1, 5)(exchange)

                endpoint.answer = answer
            reply = await fleet.call("/stream/a")
            expected = b"".join(b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(1, 6))
            assert (reply.status, reply.body, reply.whole) == (200, expected, True)
            assert asked == [None, b"2"]

    play(scenario)


def test_a_stream_that_may_not_go_on_elsewhere_ends_visibly_cut():
    async def scenario():
        async with run_fleet() as fleet:
            for endpoint in (fleet.endpoints["model-0"], fleet.endpoints["model-1"]):
                endpoint.answer = endpoint.stream(1, 2, breaks=True)
            reply = await fleet.call("/cut/a")
            assert reply.status == 200
            assert not reply.whole
            assert reply.body.endswith(b"token 2\n\n")
            assert count_runs(fleet, "model") == 1

    play(scenario)


def test_events_reach_the_caller_as_they_come():
    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            endpoint = fleet.endpoints["model-0"]
            endpoint.answer = endpoint.stream(1, 3, gap_s=0.2)
            sending = await fleet.begin_call("/cut/a")
            await sending.read_head(lambda head: True)
            assert b"token 1" in await sending.read_part()
            assert len(endpoint.requests) == 1
            assert not sending.is_whole

    play(scenario)


def test_an_address_that_another_endpoint_has_taken_over_runs_nothing():
    """An endpoint ended and another service's endpoint started at its address.

    The entry of the first is still there. The request names the endpoint it is meant for, and the
    new one answers 421; the request then runs at an endpoint of its own service.
    """

    async def scenario():
        async with run_fleet() as fleet:
            first = fleet.endpoints["desk-0"]
            first.answer = lambda exchange: exchange.answer(421, [], b"")
            replies = [await fleet.call("/once/a") for _ in range(4)]
            assert {reply.body for reply in replies} == {b"ran at desk-1"}

    play(scenario)


def test_requests_with_two_meanings_are_refused_and_the_connection_is_closed():
    """A head has both a length and chunks, so that two readers see its end in two places.

    What lies between them would be run as a request that nobody sent.
    """

    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            connection = await fleet.pool.open_new(fleet.hosts[0].settings.listen.callers, 1.0)
            connection.write(
                b"POST /once/a HTTP/1.1\r\nHost: shop.example\r\nX-Cloverway-Request-Id: a\r\n"
                b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
                b"POST /once/b HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 0\r\n\r\n"
            )
            data = b""
            while part := await connection.receive():
                data += part
            assert data.startswith(b"HTTP/1.1 400")
            assert data.count(b"HTTP/1.1") == 1
            assert count_runs(fleet, "desk") == 0

    play(scenario)


def test_a_body_over_the_limit_is_refused():
    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            reply = await fleet.call("/once/a", body=b"x" * 150_000)
            assert reply.status == 413
            assert count_runs(fleet, "desk") == 0

    play(scenario)


def test_a_chunked_body_arrives_whole():
    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            connection = await fleet.pool.open_new(fleet.hosts[0].settings.listen.callers, 1.0)
            connection.write(
                b"POST /once/a HTTP/1.1\r\nHost: shop.example\r\nX-Cloverway-Request-Id: a\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
            )
            assert (await connection.receive()).startswith(b"HTTP/1.1 200")
            assert fleet.endpoints["desk-0"].requests[0].body == b"abcde"

    play(scenario)


def test_a_request_is_passed_on_to_the_region_that_may_run_it():
    """The route is bound to the south; the caller is connected to a host in the north.

    Endpoints answer only hosts of their own region, so a host in the south runs it, in one hop.
    """

    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            south = await fleet.add_host("d2")
            endpoint = await fleet.add_endpoint("far-0", "desk", "d2")
            fleet.publish(
                [make_route("once", "non_idempotent", "desk", homeRegions=["south"])],
                [make_service("desk")],
            )
            north = fleet.hosts[0]
            await wait_for(
                lambda: all(h.directory.configuration.version == fleet.version for h in fleet.hosts)
                and "far-0" in south.directory.endpoints
                and any("desk" in p.offers for p in north.members.peers.values())
            )
            reply = await fleet.call("/once/a", north)
            assert reply.body == b"ran at far-0"
            assert len(endpoint.requests) == 1
            assert count_runs(fleet, "desk") == 0

    play(scenario)


def test_a_failure_of_the_only_endpoint_of_a_region_is_made_good_in_another():
    """An endpoint answers one request in seven with a failure of its own, and may be asked again.

    A region with several endpoints asks the next one; the only one of a region has no next, and its
    callers got seven times as many failures as others.
    """

    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            await fleet.add_host("d2")
            await fleet.add_endpoint("far-0", "desk", "d2")
            north = fleet.hosts[0]
            await wait_for(lambda: any("desk" in p.offers for p in north.members.peers.values()))
            endpoint = fleet.endpoints["desk-0"]

            async def fail(exchange):
                await exchange.answer(500, endpoint.head(exchange), b"")

            endpoint.answer = fail
            reply = await fleet.call("/safe/a", north)
            assert (reply.status, reply.body) == (200, b"ran at far-0")
            assert len(endpoint.requests) == 1

    play(scenario)


def test_places_that_another_region_has_lent_are_free_again_after_each_request():
    """The endpoint of one region is away, and the one of another region has two places.

    It is told of them once a second. Twenty short requests come then, one after the other, and
    after the second of them all were refused.
    """

    async def scenario():
        async with run_fleet(endpoints=0) as fleet:
            await fleet.add_host("d2")
            await fleet.add_endpoint("far-0", "desk", "d2", slots=2)
            north = fleet.hosts[0]
            await wait_for(lambda: any("desk" in p.offers for p in north.members.peers.values()))
            replies = [await fleet.call("/once/a", north) for _ in range(20)]
            assert [reply.status for reply in replies] == [200] * 20

    play(scenario)


def test_what_a_region_has_offered_since_a_request_left_outlives_its_refusal():
    """A region has room again; whoever had a request declined there believes it has none.

    The request waited in the line there before it was declined, and the region's hosts have said
    meanwhile what is free. That was forgotten with what they had said before.
    """

    async def scenario():
        async with run_fleet(endpoints=0) as fleet:
            await fleet.add_host("d2")
            await fleet.add_endpoint("far-0", "desk", "d2")
            north = fleet.hosts[0]
            await wait_for(lambda: any("desk" in p.offers for p in north.members.peers.values()))
            (peer,) = (p for p in north.members.peers.values() if "desk" in p.offers)
            targeting = north.context.targeting
            targeting.withdraw_offer("south", "desk", peer.offers_at - 0.2)
            assert "desk" in peer.offers
            targeting.withdraw_offer("south", "desk", peer.offers_at)
            assert "desk" not in peer.offers

    play(scenario)


def test_an_answer_that_breaks_off_is_an_error_to_its_reader():
    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            endpoint = fleet.endpoints["model-0"]
            endpoint.answer = endpoint.stream(1, 1, breaks=True)
            sending = await fleet.begin_call("/cut/a")
            await sending.read_head(lambda head: True)
            with pytest.raises(AnswerError):
                while await sending.read_part():
                    continue

    play(scenario)


def test_an_idempotent_request_is_run_elsewhere_when_an_endpoint_hangs():
    """An endpoint takes a request and says nothing more, or its connection went silent for good.

    Nothing tells the two from an endpoint that works. After a few objectives the request is run
    elsewhere, well within the caller's time.
    """

    async def scenario():
        async with run_fleet() as fleet:
            first = fleet.endpoints["desk-0"]
            first.answer = first.answer_never
            replies = [await fleet.call("/safe/a") for _ in range(3)]
            assert {reply.status for reply in replies} == {200}
            assert first.cancelled == len(first.requests) > 0

    play(scenario)


def test_a_request_that_may_run_once_is_waited_for_however_long_its_endpoint_is_silent():
    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            endpoint = fleet.endpoints["desk-0"]

            async def answer_late(exchange):
                await asyncio.sleep(1.8)
                await endpoint.answer_plainly(exchange)

            endpoint.answer = answer_late
            reply = await fleet.call("/once/a")
            assert reply.status == 200
            assert len(endpoint.requests) == 1

    play(scenario)


def test_a_stream_that_falls_silent_goes_on_elsewhere():
    """The connection to an endpoint goes silent after two events, without a close or a reset."""

    async def scenario():
        async with run_fleet() as fleet:
            for endpoint in (fleet.endpoints["model-0"], fleet.endpoints["model-1"]):

                async def answer(exchange, endpoint=endpoint):
                    last = dict(exchange.headers).get(b"last-event-id")
                    if last is not None:
                        await endpoint.stream(int(last) + 1, 4)(exchange)
                        return
                    exchange.start(200, endpoint.head(exchange))
                    for number in (1, 2):
                        await exchange.send(b"id: %d\ndata: token %d\n\n" % (number, number))
                    await asyncio.sleep(3600)

                endpoint.answer = answer
            reply = await fleet.call("/stream/a", deadline_ms=8000)
            assert reply.whole
            assert reply.body.count(b"data:") == 4

    play(scenario)


@pytest.mark.parametrize(("pause_s", "strained"), [(0.6, True), (0.0, False)])
def test_the_pauses_of_an_engine_are_its_own(pause_s, strained):
    """A stream breaks off, and goes on at another endpoint after 0.7 s.

    Its caller sees a pause, but no engine reads prompts in every step: taken for strained, the
    second one would get no long prompts. An engine that pauses between its events is strained.
    """

    async def scenario():
        async with run_fleet() as fleet:
            first, second = fleet.endpoints["model-0"], fleet.endpoints["model-1"]
            host = fleet.hosts[0]

            async def go_on_late(exchange):
                await asyncio.sleep(0.7)
                await second.stream(3, 5, gap_s=pause_s)(exchange)

            first.answer = first.stream(1, 2, breaks=True)
            second.answer = go_on_late
            host.directory.endpoints["model-1"].load.note_failure(read_clock())
            reply = await fleet.call("/stream/")
            assert reply.whole
            assert reply.body.count(b"id: ") == 5
            loads = [endpoint.load for endpoint in host.directory.endpoints.values()]
            last_event_at = read_clock() - pause_s
            assert any(load.is_strained(last_event_at) for load in loads) == strained

    play(scenario)


def test_a_host_with_an_older_configuration_does_not_run_what_is_passed_on_to_it():
    """A host passes a request on by a configuration that the other host has not read yet.

    That one would run it by a route of before, after callers saw the effect of the new one. It
    declines, and says "not run".
    """

    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            host = fleet.hosts[0]
            newer = host.directory.configuration.version + 1
            passed = b"%d;desk;south" % newer
            fields = [
                (b"Host", b"shop.example"),
                (b"X-Cloverway-Request-Id", b"passed"),
                (b"X-Cloverway-Deadline-Ms", b"2000"),
                (b"cloverway-passed-on", passed),
            ]
            request = make_request("POST", "/once/a", fields, b"x")
            head, _ = await fetch(
                fleet.pool, host.members.own.inner, request, b"x", timeout_s=2.0, limit=10_000
            )
            assert head.status == 503
            assert head.get(b"cloverway-ran") == b"no"
            assert count_runs(fleet, "desk") == 0

    play(scenario)


def test_an_engine_is_told_where_to_fetch_what_another_one_has_read():
    """The engine that has read a shared part works on a long prompt; its part is asked for again.

    The request goes to the idle engine, with the address of the one that has the part.
    """

    async def scenario():
        async with run_fleet() as fleet:
            model = make_service("model", engine=ENGINE)
            fleet.publish([make_route("cut", "streaming", "model")], [model])
            await wait_for(lambda: fleet.hosts[0].directory.configuration.version == fleet.version)
            engines = [fleet.endpoints[name] for name in ("model-0", "model-1")]
            for endpoint in engines:
                endpoint.answer = endpoint.stream(1, 2)
            await fleet.call("/cut/", headers=share_part(1, 1_000))
            holder = next(endpoint for endpoint in engines if endpoint.requests)
            other = next(endpoint for endpoint in engines if not endpoint.requests)
            load = fleet.hosts[0].directory.endpoints[holder.name].load
            await wait_for(lambda: not load.backlog(read_clock()))
            holder.answer = holder.answer_never
            waiting = await fleet.begin_call("/cut/", headers=share_part(2, 9_000))
            await wait_for(lambda: len(holder.requests) == 2)
            await fleet.call("/cut/", headers=share_part(3, 1_000))
            fields = dict(other.requests[0].headers)
            assert fields[b"kv-fetch"] == holder.address.encode()
            assert b"kv-fetch" not in dict(holder.requests[1].headers)
            waiting.connection.abort()

    play(scenario)


ENGINE = {"slots": 8, "kvTokens": 300_000, "kvTokenBytes": 18_432, "linkMbps": 180_000}
PROMPT = (b"X-Cloverway-Token-Usage", b"5000,30")


async def publish_engine(fleet, timeout_ms):
    """Publish a route of streams to one engine, with an objective of 0.5 s, at an old host."""
    route = make_route("cut", "streaming", "model", timeoutMs=timeout_ms)
    fleet.publish([route], [make_service("model", engine=ENGINE)])
    host = fleet.hosts[0]
    await wait_for(lambda: host.directory.configuration.version == fleet.version)
    endpoint = fleet.endpoints["model-0"]
    endpoint.answer = endpoint.stream(1, 2)
    host.context.targeting._started_at -= 10.0
    return host.directory.endpoints["model-0"].load


def test_a_request_that_would_wait_too_long_is_refused_at_once():
    """The only engine has prompts to read for ten seconds, and the route allows three.

    Held until its time is over, the caller would have lost it for nothing. It is told at once that
    nothing ran, and to come back when there may be room.
    """

    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            load = await publish_engine(fleet, 3000)
            load.note_read(int(10 / load.read_s_per_token), read_clock())
            asked_at = read_clock()
            reply = await fleet.call("/cut/", headers=(PROMPT,))
            assert reply.status == 503
            assert read_clock() - asked_at < 0.5
            assert float(reply.headers[b"retry-after"]) >= 3.0
            assert not fleet.endpoints["model-0"].requests

    play(scenario)


def test_a_request_that_can_only_be_late_is_served_late():
    """The engine has prompts to read for 0.8 s. The objective is half a second, the time six.

    Refused after a part of the objective, the caller came back once, met the next queue, and often
    got nothing.
    """

    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            load = await publish_engine(fleet, 6000)
            load.note_read(int(0.8 / load.read_s_per_token), read_clock())
            asked_at = read_clock()
            reply = await fleet.call("/cut/", headers=(PROMPT,), deadline_ms=6000)
            assert reply.status == 200
            assert read_clock() - asked_at > 0.5

    play(scenario)
