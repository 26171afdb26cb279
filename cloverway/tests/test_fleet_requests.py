"""Requests handled by a host, with stand-ins for the platform's store and endpoints."""

from __future__ import annotations

import asyncio

import pytest

from cloverway.serving.http.client import ResponseError
from cloverway.tests.fleet.deployment import count_runs, run_fleet, run_scenario, wait_for
from cloverway.tests.fleet.standins import make_route, make_service


def test_request_and_response_are_relayed_unchanged():
    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            reply = await fleet.call(
                "/safe/a/b?q=1&r=%20", headers=((b"X-Own", b"kept"), (b"Connection", b"x-hop"))
            )
            assert (reply.status, reply.body, reply.complete) == (200, b"ran at desk-0", True)
            assert reply.headers[b"x-cloverway-response-seal"] == b"1.2.3"
            (seen,) = fleet.endpoints["desk-0"].requests
            fields = dict(seen.headers)
            assert (seen.method, seen.target, seen.body) == ("POST", "/safe/a/b?q=1&r=%20", b"x")
            assert fields[b"x-own"] == b"kept"
            assert fields[b"x-cloverway-target-instance"] == b"desk-0"
            assert 2000 < int(fields[b"x-cloverway-deadline-ms"]) <= 3000

    run_scenario(scenario)


def test_reserved_headers_of_a_caller_are_dropped():
    """A caller sends headers that control engines: a reservation, a pin, another endpoint's id.

    If they were forwarded, an endpoint would refuse the request or run it with another caller's
    reservation. They are dropped when the request is decoded.
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

    run_scenario(scenario)


def test_a_path_without_a_route_is_not_found():
    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            reply = await fleet.call("/nothing/here")
            assert reply.status == 404

    run_scenario(scenario)


def test_a_non_idempotent_request_is_not_retried_after_a_lost_connection():
    """The endpoint closes the connection without a response, perhaps after it ran the request.

    A retry could allocate the same stock twice. The caller gets 502, which doesn't say whether the
    request ran.
    """

    async def scenario():
        async with run_fleet() as fleet:
            for name in ("desk-0", "desk-1"):
                fleet.endpoints[name].answer = fleet.endpoints[name].abort_connection
            reply = await fleet.call("/once/a")
            assert reply.status == 502
            assert count_runs(fleet, "desk") == 1

    run_scenario(scenario)


def test_a_non_idempotent_request_is_retried_after_not_run():
    async def scenario():
        async with run_fleet() as fleet:
            first, second = fleet.endpoints["desk-0"], fleet.endpoints["desk-1"]
            first.answer = first.answer_not_executed
            second.answer = second.answer_not_executed
            reply = await fleet.call("/once/a")
            assert reply.status == 503
            assert float(reply.headers[b"retry-after"]) > 0
            assert count_runs(fleet, "desk") == 2
            second.answer = second.answer_ok
            replies = [await fleet.call("/once/a") for _ in range(3)]
            assert {reply.status for reply in replies} == {200}

    run_scenario(scenario)


def test_each_decision_of_the_retry_budget_is_logged_with_its_inputs(caplog):
    """Guards against a fleet that exceeds its budget without a line that says which host did."""

    async def scenario():
        async with run_fleet() as fleet:
            for name in ("desk-0", "desk-1"):
                fleet.endpoints[name].answer = fleet.endpoints[name].answer_not_executed
            with caplog.at_level("INFO"):
                for _ in range(20):
                    await fleet.call("/once/a")

    run_scenario(scenario)
    granted = [record for record in caplog.records if record.msg == "retry_granted"]
    refused = [record for record in caplog.records if record.msg == "retry_refused"]
    assert granted and refused
    for record in granted + refused:
        assert record.request_id.startswith("call-")
        assert (record.service, record.hosts) == ("desk", 1)
        assert record.slack > 0
        assert record.capacity > 0
        assert record.age_s > 0
    assert min(record.available for record in granted) >= 1
    assert max(record.available for record in refused) < 1


def test_an_idempotent_request_is_retried_after_a_lost_connection():
    async def scenario():
        async with run_fleet() as fleet:
            first = fleet.endpoints["desk-0"]
            first.answer = first.abort_connection
            replies = [await fleet.call("/safe/a") for _ in range(4)]
            assert {reply.status for reply in replies} == {200}

    run_scenario(scenario)


def test_a_request_in_progress_is_never_reported_as_not_run():
    """The endpoint works on a request until the route's timeout.

    The timeout expires during the attempt, before it is counted as one that may have run. A refusal
    with "not run" (503) would make the caller allocate again while the first run succeeds.
    """

    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            fleet.publish(
                [make_route("once", "non_idempotent", "desk", timeoutMs=300)],
                [make_service("desk")],
            )
            await wait_for(lambda: fleet.hosts[0].directory.configuration.version == fleet.version)
            endpoint = fleet.endpoints["desk-0"]
            endpoint.answer = endpoint.never_answer
            reply = await fleet.call("/once/a")
            assert len(endpoint.requests) == 1
            assert reply.status == 504
            assert b"retry-after" not in reply.headers

    run_scenario(scenario)


def test_a_run_is_cancelled_when_its_caller_leaves():
    """The caller closes its connection while the endpoint works.

    Otherwise the endpoint would finish the work for nobody and use capacity that a queued request
    needs. The task of the request is cancelled, which closes the connection to the endpoint.
    """

    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            endpoint = fleet.endpoints["desk-0"]
            endpoint.answer = endpoint.never_answer
            client_exchange = await fleet.begin_call("/once/a")
            await wait_for(lambda: endpoint.requests)
            client_exchange.connection.abort()
            await wait_for(lambda: endpoint.cancelled, 0.5)
            assert fleet.hosts[0].caller_server.in_progress == 0

    run_scenario(scenario)


def test_a_response_to_another_request_is_skipped():
    """An endpoint repeats the response to an earlier request on a connection that is reused.

    The next request would get the response of another caller. The request id shows the mismatch.
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
                await endpoint.answer_ok(exchange)

            endpoint.answer = answer_twice
            reply = await fleet.call("/once/a")
            assert (reply.status, reply.body) == (200, b"ran at desk-0")

    run_scenario(scenario)


def test_the_lines_of_an_attempt_name_its_connection(caplog):
    """Guards against an answer taken for that of another request, without a line that shows it."""

    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            endpoint = fleet.endpoints["desk-0"]
            await fleet.call("/safe/a")
            endpoint.answer = endpoint.answer_not_executed
            await fleet.call("/once/a")

    with caplog.at_level("INFO"):
        run_scenario(scenario)
    (answered,) = (record for record in caplog.records if record.msg == "answered")
    (failed,) = (record for record in caplog.records if record.msg == "attempt_failed")
    assert (answered.exchange, failed.exchange) == (1, 2)
    assert answered.connection == failed.connection
    assert (answered.skipped, failed.skipped) == (0, 0)


def test_a_response_without_a_signature_is_not_relayed():
    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            endpoint = fleet.endpoints["desk-0"]
            endpoint.answer = lambda exchange: exchange.answer(200, [], b"whose?")
            reply = await fleet.call("/once/a")
            assert reply.status == 502

    run_scenario(scenario)


def test_an_error_response_of_an_endpoint_is_relayed_unchanged():
    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            endpoint = fleet.endpoints["desk-0"]
            endpoint.answer = lambda e: e.answer(500, endpoint.make_head(e), b"no stock")
            reply = await fleet.call("/once/a")
            assert (reply.status, reply.body) == (500, b"no stock")
            assert b"x-cloverway-response-seal" in reply.headers

    run_scenario(scenario)


def test_a_stream_resumes_at_another_endpoint_after_its_last_complete_event():
    """An endpoint closes the connection in the middle of the third event.

    The caller must get each event once and complete. The second endpoint is asked for the events
    after the second one, and the received half of the third is discarded.
    """

    async def scenario():
        async with run_fleet() as fleet:
            asked = []
            for endpoint in (fleet.endpoints["model-0"], fleet.endpoints["model-1"]):

                async def answer(exchange, endpoint=endpoint):
                    last = dict(exchange.headers).get(b"last-event-id")
                    asked.append(last)
                    if last is None:
                        await endpoint.stream(1, 2, aborts=True)(exchange)
                    else:
                        await endpoint.stream(int(last) + 1, 5)(exchange)

                endpoint.answer = answer
            reply = await fleet.call("/stream/a")
            expected = b"".join(b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(1, 6))
            assert (reply.status, reply.body, reply.complete) == (200, expected, True)
            assert asked == [None, b"2"]

    run_scenario(scenario)


def test_a_stream_that_may_not_be_resumed_is_truncated():
    async def scenario():
        async with run_fleet() as fleet:
            for endpoint in (fleet.endpoints["model-0"], fleet.endpoints["model-1"]):
                endpoint.answer = endpoint.stream(1, 2, aborts=True)
            reply = await fleet.call("/cut/a")
            assert reply.status == 200
            assert not reply.complete
            assert reply.body.endswith(b"token 2\n\n")
            assert count_runs(fleet, "model") == 1

    run_scenario(scenario)


def test_events_are_relayed_as_they_arrive():
    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            endpoint = fleet.endpoints["model-0"]
            endpoint.answer = endpoint.stream(1, 3, gap_s=0.2)
            client_exchange = await fleet.begin_call("/cut/a")
            await client_exchange.read_head(lambda head: True)
            assert b"token 1" in await client_exchange.read_chunk()
            assert len(endpoint.requests) == 1
            assert not client_exchange.is_complete

    run_scenario(scenario)


def test_a_misdirected_request_is_run_by_another_endpoint():
    """An endpoint stopped, and an endpoint of another service started at its address.

    The entry of the first one still exists. The request names the endpoint it is meant for, so the
    new one answers 421, and the request is run by another endpoint of its own service.
    """

    async def scenario():
        async with run_fleet() as fleet:
            first = fleet.endpoints["desk-0"]
            first.answer = lambda exchange: exchange.answer(421, [], b"")
            replies = [await fleet.call("/once/a") for _ in range(4)]
            assert {reply.body for reply in replies} == {b"ran at desk-1"}

    run_scenario(scenario)


def test_ambiguous_requests_are_refused_and_the_connection_is_closed():
    """A head has both Content-Length and chunked encoding (request smuggling).

    Two parsers would see the end of the request in different places, and one of them would run the
    bytes in between as another request.
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

    run_scenario(scenario)


def test_a_body_over_the_limit_is_refused():
    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            reply = await fleet.call("/once/a", body=b"x" * 150_000)
            assert reply.status == 413
            assert count_runs(fleet, "desk") == 0

    run_scenario(scenario)


def test_a_chunked_body_is_received_completely():
    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            connection = await fleet.pool.open_new(fleet.hosts[0].settings.listen.callers, 1.0)
            connection.write(
                b"POST /once/a HTTP/1.1\r\nHost: shop.example\r\nX-Cloverway-Request-Id: a\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
            )
            assert (await connection.receive()).startswith(b"HTTP/1.1 200")
            assert fleet.endpoints["desk-0"].requests[0].body == b"abcde"

    run_scenario(scenario)


def test_reading_a_truncated_response_raises_an_error():
    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            endpoint = fleet.endpoints["model-0"]
            endpoint.answer = endpoint.stream(1, 1, aborts=True)
            client_exchange = await fleet.begin_call("/cut/a")
            await client_exchange.read_head(lambda head: True)
            with pytest.raises(ResponseError):
                while await client_exchange.read_chunk():
                    continue

    run_scenario(scenario)


def test_the_time_that_a_body_takes_counts_against_the_deadline():
    """Guards against work that runs after its caller has left.

    The body follows its head half a second later, as on a slow link or when the host is suspended
    in between. If the deadline began with the end of the body, the endpoint would get more time
    than its caller waits.
    """

    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            connection = await fleet.pool.open_new(fleet.hosts[0].settings.listen.callers, 1.0)
            connection.write(
                b"POST /once/a HTTP/1.1\r\nHost: shop.example\r\nX-Cloverway-Request-Id: a\r\n"
                b"X-Cloverway-Deadline-Ms: 2000\r\nContent-Length: 1\r\n\r\n"
            )
            await asyncio.sleep(0.5)
            connection.write(b"x")
            assert (await connection.receive()).startswith(b"HTTP/1.1 200")
            fields = dict(fleet.endpoints["desk-0"].requests[0].headers)
            assert int(fields[b"x-cloverway-deadline-ms"]) <= 1500

    run_scenario(scenario)
