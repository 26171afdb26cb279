"""Answers that end early never look complete, however they are framed and their connection ends."""

from __future__ import annotations

import asyncio
import itertools
from contextlib import asynccontextmanager

import pytest

from cloverway.core.retry_budget import RetryBudgetSettings
from cloverway.tests.fleet.deployment import Fleet, run_fleet, run_scenario, wait_for
from cloverway.tests.fleet.endings import (
    EVENTS,
    FRAMES,
    Close,
    Ending,
    answer_bytes,
    answer_unframed,
    begin_unframed,
    end_connection,
    frame_stream,
    make_event,
    make_stream,
    stream_unframed,
)
from cloverway.tests.fleet.standins import Endpoint

CALLS = 12
RETRIES = RetryBudgetSettings(slack=1_000.0)
"""Enough that no retry is refused: whether one may be sent is tested elsewhere."""
STREAMS = 8
LAST = EVENTS - 2
"""The last complete event of a stream that is broken off."""
PLAIN_BODY = b"ran as asked"
RESTS = {
    "in its data": b"id: 3\ndata: tok",
    "after its id line": b"id: 3\n",
    "after one newline": b"id: 3\ndata: token 3\n",
    "after CR LF": b"id: 3\r\ndata: token 3\r\n\r",
    "after one byte": b"i",
}


@asynccontextmanager
async def run_hosts(endpoints: int = 2, *, is_remote: bool = False):
    """Run a host, and one of another region that passes requests on to it if `is_remote`."""
    async with run_fleet(hosts=0, endpoints=endpoints) as fleet:
        host = await fleet.add_host(retries=RETRIES)
        await wait_for(lambda: len(host.directory.endpoints) == 2 * endpoints)
        if is_remote:
            far = await fleet.add_host("d2")
            await wait_for(
                lambda: any(
                    {"model", "desk"} <= set(p.advertised) for p in far.members.peers.values()
                )
            )
        yield fleet


async def call_often(fleet: Fleet, path: str):
    """Send requests with different bodies, one after the other, to the newest host."""
    return [
        await fleet.call(path, fleet.hosts[-1], body=b"call %d" % number) for number in range(CALLS)
    ]


def count_complete(replies) -> int:
    """Count the answers that look complete to their callers."""
    return sum(reply.status == 200 and reply.complete for reply in replies)


def let_models_answer(fleet: Fleet, make_answer) -> None:
    for name, endpoint in fleet.endpoints.items():
        if name.startswith("model"):
            endpoint.answer = make_answer(endpoint)


def let_models_end(fleet: Fleet, *endings: Ending) -> None:
    """Let the runs of all models together end in turn as given."""
    turns = itertools.cycle(endings)
    let_models_answer(fleet, lambda endpoint: stream_unframed(endpoint, turns))


@pytest.mark.parametrize("is_remote", [False, True], ids=["own region", "other region"])
@pytest.mark.parametrize("rest", RESTS.values(), ids=RESTS)
def test_a_stream_that_ends_inside_an_event_never_looks_complete(rest, is_remote):
    """Guards against broken-off streams that callers take for whole.

    Only the end of the connection marks the end of the answer, and it is closed in order.
    """

    async def scenario():
        async with run_hosts(is_remote=is_remote) as fleet:
            let_models_end(fleet, Ending(LAST, rest))
            replies = await call_often(fleet, "/cut/a")
            assert count_complete(replies) == 0
            sent = make_event(1) + make_event(2)
            assert {reply.body for reply in replies if reply.status == 200} <= {sent}

    run_scenario(scenario)


@pytest.mark.parametrize("rest", RESTS.values(), ids=RESTS)
def test_a_resumable_stream_that_ends_inside_an_event_goes_on_elsewhere(rest):
    """Guards against broken-off streams that nobody continues, though idle siblings could.

    Every second run ends so, wherever it is.
    """

    async def scenario():
        async with run_hosts() as fleet:
            let_models_end(fleet, Ending(LAST, rest), Ending())
            replies = await call_often(fleet, "/stream/a")
            assert count_complete(replies) == CALLS
            assert {reply.body for reply in replies} == {make_stream()}

    run_scenario(scenario)


@pytest.mark.parametrize("rest", [b"", b"id: 1\ndata: tok"], ids=["no byte", "half an event"])
def test_a_stream_without_any_event_never_looks_complete(rest):
    """Guards against a success of no events, from an endpoint that broke off before the first."""

    async def scenario():
        async with run_hosts() as fleet:
            let_models_end(fleet, Ending(0, rest))
            assert count_complete(await call_often(fleet, "/cut/a")) == 0

    run_scenario(scenario)


@pytest.mark.parametrize("path", ["/cut/a", "/stream/a"])
def test_no_stream_of_an_endpoint_that_crashes_looks_complete(path):
    """Guards against streams that a crash ends between two events, so that no byte tells it.

    The kernel closes the connections of the process in order. Half of its streams are inside an
    event at that moment.
    """

    async def scenario():
        async with run_hosts(endpoints=1) as fleet:
            endpoint = fleet.endpoints["model-0"]
            waiting, may_end = [], asyncio.Event()

            async def answer(exchange):
                begin_unframed(endpoint, exchange)
                exchange.connection.write(make_event(1))
                if len(waiting) % 2:
                    exchange.connection.write(RESTS["in its data"])
                waiting.append(exchange)
                await may_end.wait()

            endpoint.answer = answer
            calls = [
                asyncio.create_task(fleet.call(path, body=b"stream %d" % number))
                for number in range(STREAMS)
            ]
            await wait_for(lambda: len(waiting) == STREAMS)
            await asyncio.sleep(0.05)
            endpoint.crash()
            assert count_complete(await asyncio.gather(*calls)) == 0

    run_scenario(scenario)


def test_no_plain_answer_of_an_endpoint_that_crashes_looks_complete():
    """Guards against half of a plain answer, which no byte tells from a whole one."""

    async def scenario():
        async with run_hosts(endpoints=1) as fleet:
            endpoint = fleet.endpoints["desk-0"]

            async def answer(exchange):
                begin_unframed(endpoint, exchange)
                exchange.connection.write(PLAIN_BODY[:3])
                await asyncio.sleep(0.05)
                endpoint.crash()

            endpoint.answer = answer
            assert count_complete([await fleet.call("/once/a")]) == 0

    run_scenario(scenario)


@pytest.mark.parametrize("is_remote", [False, True], ids=["own region", "other region"])
@pytest.mark.parametrize("newline", [b"\n", b"\r\n"], ids=["LF", "CR LF"])
@pytest.mark.parametrize("path", ["/cut/a", "/stream/a"])
def test_a_whole_stream_without_framing_is_complete(path, newline, is_remote):
    """Guards against whole streams that are taken for broken off, and run again or lost."""

    async def scenario():
        async with run_hosts(is_remote=is_remote) as fleet:
            let_models_end(fleet, Ending(newline=newline))
            replies = await call_often(fleet, path)
            assert count_complete(replies) == CALLS
            assert {reply.body for reply in replies} == {make_stream(newline)}
            assert sum(len(e.requests) for e in fleet.endpoints.values()) == CALLS

    run_scenario(scenario)


def test_a_whole_stream_without_event_ids_is_complete():
    """Guards against whole streams that seem to have no event, since none of them names an id."""

    async def scenario():
        async with run_hosts() as fleet:
            body = b"data: one\n\ndata: two\n\n"
            let_models_answer(fleet, lambda endpoint: answer_unframed(endpoint, body))
            replies = await call_often(fleet, "/cut/a")
            assert count_complete(replies) == CALLS
            assert {reply.body for reply in replies} == {body}

    run_scenario(scenario)


def test_blank_lines_after_the_last_event_do_not_break_a_stream_off():
    """Guards against a whole stream that is taken for broken off for its last newline."""

    async def scenario():
        async with run_hosts() as fleet:
            let_models_end(fleet, Ending(rest=b"\n"))
            assert count_complete(await call_often(fleet, "/cut/a")) == CALLS

    run_scenario(scenario)


@pytest.mark.parametrize("is_remote", [False, True], ids=["own region", "other region"])
@pytest.mark.parametrize("path", ["/once/a", "/safe/a"])
def test_a_whole_plain_answer_without_framing_is_complete(path, is_remote):
    """Guards against whole plain answers that are taken for broken off."""

    async def scenario():
        async with run_hosts(is_remote=is_remote) as fleet:
            for endpoint in fleet.endpoints.values():
                endpoint.answer = answer_unframed(endpoint, PLAIN_BODY)
            replies = await call_often(fleet, path)
            assert count_complete(replies) == CALLS
            assert {reply.body for reply in replies} == {PLAIN_BODY}

    run_scenario(scenario)


def test_a_stream_that_is_reset_never_looks_complete():
    """Guards against a reset that is read as an orderly end, since input waits before it."""

    async def scenario():
        async with run_hosts() as fleet:
            let_models_end(fleet, Ending(close=Close.RESET))
            assert count_complete(await call_often(fleet, "/cut/a")) == 0

    run_scenario(scenario)


def test_a_stream_that_a_crash_ends_in_order_counts_against_its_request():
    """Guards against a request that crashes endpoints and is cleared by each answer that it cuts.

    Taken for whole, each answer counts as served, and no endpoint counts as crashed.
    """

    async def scenario():
        async with run_hosts(endpoints=5) as fleet:
            crashed = []

            def make_answer(endpoint):
                async def answer(exchange):
                    begin_unframed(endpoint, exchange)
                    exchange.connection.write(make_event(1))
                    await asyncio.sleep(0.01)
                    crashed.append(endpoint.name)
                    endpoint.crash()

                return answer

            let_models_answer(fleet, make_answer)
            for _ in range(5):
                await fleet.call("/cut/a")
            assert len(crashed) == 3

    run_scenario(scenario)


def test_a_kept_connection_that_was_dropped_does_not_break_a_whole_stream_off():
    """Guards against whole streams that count as broken off, since the query met a dead connection.

    An endpoint may drop an idle connection without notice; the next request on it is reset.
    """

    async def scenario():
        async with run_hosts(endpoints=1) as fleet:
            let_models_end(fleet, Ending())
            endpoint = fleet.endpoints["model-0"]
            answered = []

            async def answer_once(exchange):
                if exchange.connection in answered:
                    end_connection(exchange.connection, Close.RESET)
                    return
                answered.append(exchange.connection)
                await Endpoint.answer_state(endpoint, exchange)

            endpoint.answer_state = answer_once
            assert count_complete(await call_often(fleet, "/cut/a")) == CALLS
            assert len(answered) > 1

    run_scenario(scenario)


@pytest.mark.parametrize("close", Close)
@pytest.mark.parametrize("where", ["inside an event", "between two events", "before the first"])
@pytest.mark.parametrize("framing", ["chunks", "length"])
def test_a_framed_stream_that_ends_early_never_looks_complete(framing, where, close):
    """Guards against a connection's end that counts for more than the framing that it cuts."""
    pieces = {
        "inside an event": [make_event(1), make_event(2)[:9]],
        "between two events": [make_event(1)],
        "before the first": [],
    }[where]
    answer = frame_stream(framing, pieces, has_end=False)

    async def scenario():
        async with run_hosts() as fleet:
            let_models_answer(fleet, lambda endpoint: answer_bytes(answer, close))
            assert count_complete(await call_often(fleet, "/cut/a")) == 0

    run_scenario(scenario)


def test_a_stream_whose_last_chunk_follows_half_an_event_never_looks_complete():
    """Guards against a broken-off event that its endpoint frames as if it were the whole stream."""
    answer = frame_stream("chunks", [make_event(1), make_event(2)[:9]], has_end=True)

    async def scenario():
        async with run_hosts() as fleet:
            let_models_answer(fleet, lambda endpoint: answer_bytes(answer, Close.ORDERLY))
            assert count_complete(await call_often(fleet, "/cut/a")) == 0

    run_scenario(scenario)


@pytest.mark.parametrize("framing", FRAMES)
def test_a_whole_stream_is_complete_in_each_framing(framing):
    """Guards against checks of broken-off streams that catch whole ones, too."""
    pieces = [make_event(number) for number in range(1, EVENTS + 1)]
    answer = frame_stream(framing, pieces, has_end=True)

    async def scenario():
        async with run_hosts() as fleet:
            let_models_answer(fleet, lambda endpoint: answer_bytes(answer, Close.ORDERLY))
            replies = await call_often(fleet, "/cut/a")
            assert count_complete(replies) == CALLS
            assert {reply.body for reply in replies} == {make_stream()}

    run_scenario(scenario)
