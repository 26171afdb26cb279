"""Parts of the path that need no host: events, the waiting line, settings, documents, log lines."""

from __future__ import annotations

import asyncio
import itertools
import json
import logging
import os
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverway.core.deployment import (
    Document,
    DocumentUnreadable,
    EndpointPublished,
    EndpointUnreadable,
)
from cloverway.errors import ConfigurationError, Kind, Ran, RequestError
from cloverway.platform.dialect import PlatformDialect
from cloverway.platform.documents import decode_documents
from cloverway.serving.clock import read_clock
from cloverway.serving.http.events import EventSplitter
from cloverway.serving.requests.request_queue import (
    MAX_HEAD_POLLED,
    MAX_TAIL_POLLED,
    QueueRank,
    QueueTicket,
    RequestQueue,
)
from cloverway.serving.settings import FleetSettings
from cloverway.serving.telemetry import MAX_PENDING_BYTES, LogLineHandler

STREAM = b"".join(b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(1, 9))


@given(st.lists(st.integers(1, len(STREAM) - 1), max_size=8))
@settings(max_examples=200)
def test_events_are_the_same_wherever_the_bytes_are_cut(cuts):
    splitter = EventSplitter()
    bounds = [0, *sorted(set(cuts)), len(STREAM)]
    events = [
        event
        for start, end in itertools.pairwise(bounds)
        for event in splitter.split(STREAM[start:end])
    ]
    assert b"".join(events) == STREAM
    assert len(events) == 8
    assert splitter.last_id == "8"


def test_half_an_event_is_dropped_before_a_stream_goes_on_elsewhere():
    splitter = EventSplitter()
    assert splitter.split(b"id: 1\ndata: a\n\nid: 2\nda") == [b"id: 1\ndata: a\n\n"]
    splitter.drop_rest()
    assert splitter.last_id == "1"
    assert splitter.split(b"id: 2\ndata: b\n\n") == [b"id: 2\ndata: b\n\n"]


def test_the_most_urgent_and_the_oldest_get_the_next_place():
    """Three requests wait for one place; the least urgent asks just when it gets free."""

    async def scenario():
        line = RequestQueue()
        places = []
        served = []

        async def ticket(name, priority, arrived_at):
            until = read_clock() + 2
            taken = await line.wait(
                QueueTicket(QueueRank(priority, arrived_at)),
                lambda ahead_s: places.pop() if places else None,
                until,
                places.append,
            )
            served.append((name, taken))

        tasks = [
            asyncio.create_task(ticket("old", 1, 1.0)),
            asyncio.create_task(ticket("urgent", 0, 3.0)),
            asyncio.create_task(ticket("young", 1, 2.0)),
        ]
        await asyncio.sleep(0.05)
        for _ in range(3):
            places.append("place")
            await asyncio.sleep(0.05)
        await asyncio.gather(*tasks)
        assert [name for name, _ in served] == ["urgent", "old", "young"]

    asyncio.run(scenario())


def test_who_can_still_be_answered_in_time_goes_before_who_is_late():
    """After a burst requests wait that are late already, and new ones come.

    In the order of their arrival each new one would wait until it is late as well, and a burst of
    a second made all answers late for ten.
    """

    async def scenario():
        line = RequestQueue()
        places = []
        served = []
        start = read_clock()

        async def ticket(name, arrived_at, latest_start_at):
            ticket = QueueTicket(QueueRank(1, arrived_at), latest_start_at=latest_start_at)
            attempt = lambda ahead_s: places.pop() if places else None  # noqa: E731
            await line.wait(ticket, attempt, start + 2, places.append)
            served.append(name)

        tasks = [
            asyncio.create_task(ticket("late", 1.0, start - 1)),
            asyncio.create_task(ticket("in time", 2.0, start + 9)),
            asyncio.create_task(ticket("soon late", 1.5, start + 0.05)),
        ]
        await asyncio.sleep(0.1)
        for _ in range(3):
            places.append("place")
            await asyncio.sleep(0.05)
        await asyncio.gather(*tasks)
        assert served == ["in time", "late", "soon late"]

    asyncio.run(scenario())


def test_nobody_passes_those_who_wait_before():
    async def scenario():
        line = RequestQueue()
        first = QueueTicket(QueueRank(1, 1.0), 0.2)
        wait = line.wait(first, lambda ahead_s: None, read_clock() + 0.2, lambda _: None)
        waiting = asyncio.create_task(wait)
        await asyncio.sleep(0.01)
        now = read_clock()
        assert (
            line.try_acquire(QueueTicket(QueueRank(1, 2.0)), lambda ahead_s: "place", now) is None
        )
        assert (
            line.try_acquire(QueueTicket(QueueRank(0, 2.0)), lambda ahead_s: "place", now)
            == "place"
        )
        assert line.sum_work_ahead(QueueTicket(QueueRank(1, 2.0)), now) == 0.2
        assert line.sum_work_ahead(QueueTicket(QueueRank(0, 2.0)), now) == 0.0
        await waiting

    asyncio.run(scenario())


def test_a_waiting_request_knows_the_work_that_waits_before_it():
    """How long it will wait follows from it, and whether another region would have it sooner."""

    async def scenario():
        line = RequestQueue()
        seen = {}

        async def ticket(name, arrived_at, work_s):
            def attempt(ahead_s):
                seen[name] = ahead_s

            ticket = QueueTicket(QueueRank(0, arrived_at), work_s)
            await line.wait(ticket, attempt, read_clock() + 0.1, lambda _: None)

        asks = [ticket("first", 1.0, 0.2), ticket("second", 2.0, 0.3), ticket("third", 3.0, 0.1)]
        tasks = [asyncio.create_task(each) for each in asks]
        await asyncio.sleep(0.06)
        assert line.sum_work() == pytest.approx(0.6)
        await asyncio.gather(*tasks)
        assert seen == {"first": 0.0, "second": 0.2, "third": 0.5}

    asyncio.run(scenario())


def test_a_long_line_costs_a_bounded_time_and_everybody_gets_a_turn():
    """After a restart a hundred requests wait before full engines at a host with half a core.

    All tried every 20 ms, they took that core, and the answers that ran were late as well.
    """

    async def scenario():
        line = RequestQueue()
        tries = Counter()

        def make(name):
            return lambda ahead_s: tries.update([name])

        asks = [QueueTicket(QueueRank(1, float(number))) for number in range(100)]
        until = read_clock() + 0.8
        waits = [line.wait(ticket, make(n), until, lambda _: None) for n, ticket in enumerate(asks)]
        tasks = [asyncio.create_task(wait) for wait in waits]
        await asyncio.sleep(0)
        now = read_clock()
        for _ in range(30):
            line._try_waiters(now)
        assert sum(tries.values()) == 30 * (MAX_HEAD_POLLED + MAX_TAIL_POLLED)
        assert len(tries) == 100
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    asyncio.run(scenario())


def test_a_place_is_given_back_when_the_caller_has_left_meanwhile():
    async def scenario():
        line = RequestQueue()
        places = []
        task = asyncio.create_task(
            line.wait(
                QueueTicket(QueueRank(0, 0.0)),
                lambda ahead_s: places.pop() if places else None,
                read_clock() + 2,
                places.append,
            )
        )
        await asyncio.sleep(0.03)
        places.append("place")
        while places:
            await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert places == ["place"] or task.result() == "place"

    asyncio.run(scenario())


def test_a_request_that_waited_in_vain_is_told_so():
    async def scenario():
        line = RequestQueue()
        taken = await line.wait(
            QueueTicket(QueueRank(0, 0.0)),
            lambda ahead_s: None,
            read_clock() + 0.05,
            lambda _: None,
        )
        assert taken is None
        assert len(line) == 0

    asyncio.run(scenario())


def test_a_document_that_cannot_be_read_leaves_the_others_in_force():
    good = {"service": "s", "address": "10.0.0.1:1", "zone": "d1", "slots": 3, "state": "ready"}
    good |= {"version": "v1", "coldRemainingMs": 0, "sequence": 1}
    documents = [
        Document("op/config", 2, b"{not json"),
        Document("servers/a", 3, json.dumps(good).encode()),
        Document("servers/b", 4, b'{"service": 1}'),
        Document("servers/c", 5, None),
        Document("other/d", 6, b"{}"),
    ]
    config, first, second, third = decode_documents(documents)
    assert isinstance(config, DocumentUnreadable)
    assert (first.id, first.entry.service) == ("a", "s")
    assert (second.id, type(second)) == ("b", EndpointUnreadable)
    assert third == EndpointPublished("c", None)


@pytest.mark.parametrize("kind", list(Kind))
@pytest.mark.parametrize("ran", list(Ran))
def test_only_not_run_is_answered_with_a_status_that_promises_it(kind, ran):
    error = RequestError(kind, ran=ran)
    status, headers, _ = PlatformDialect().encode_refusal(error, "id")
    if ran is not Ran.NO:
        assert status not in (408, 421, 429, 503)
        assert b"Retry-After" not in dict(headers)
    if status in (429, 503):
        assert ran is Ran.NO
        assert kind is Kind.TIMED_OUT or error.retry_after is not None or status == 503


SETTINGS = """
host = "h"
domain = "d1"
region = "north"
[regions]
"d1" = "north"
[listen]
callers = "10.0.0.1:1"
readiness = "10.0.0.1:2"
lookup = "10.0.0.1:3"
control = "10.0.0.1:4"
inner_ports = [7660, 7675]
[peers]
seeds = ["10.0.0.2:4"]
[store]
address = "10.0.0.9:5"
"""


def test_settings_are_read_and_every_finding_is_told(tmp_path):
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS)
    assert FleetSettings.from_toml(path).listen.inner_ports == (7660, 7675)
    broken = SETTINGS.replace("10.0.0.1:1", "nowhere").replace("7675", "99999")
    path.write_text(broken.replace('"d1" = ', '"d2" = '))
    with pytest.raises(ConfigurationError) as caught:
        FleetSettings.from_toml(path)
    text = str(caught.value)
    assert "listen.callers" in text
    assert "inner_ports" in text


def test_a_machine_that_gives_nothing_is_refused(tmp_path):
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS + "[machine]\ncore_share = -1\nlink_mbps = 0\n")
    with pytest.raises(ConfigurationError) as caught:
        FleetSettings.from_toml(path)
    assert "machine.core_share" in str(caught.value)
    assert "machine.link_mbps" in str(caught.value)


def test_a_quarantine_of_every_request_is_refused(tmp_path):
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS + "[quarantine]\nends = 0\nhold_s = -1\n")
    with pytest.raises(ConfigurationError) as caught:
        FleetSettings.from_toml(path)
    assert "quarantine.ends" in str(caught.value)
    assert "quarantine.hold_s" in str(caught.value)


def make_record(text="x"):
    return logging.LogRecord("n", logging.INFO, "p", 1, text, None, None)


def test_the_log_never_waits_for_a_reader_and_counts_what_it_drops():
    """Nobody reads the pipe of a process. A write that waited would stop all its requests."""
    read_end, write_end = os.pipe()
    try:
        writer = LogLineHandler(write_end)
        writer.setFormatter(logging.Formatter("%(message)s"))
        for second in range(4_000):
            record = make_record("x" * 1_000)
            record.created = float(second)
            writer.emit(record)
        assert writer.dropped > 0
        assert len(writer._pending) <= MAX_PENDING_BYTES + 2_000
    finally:
        os.close(read_end)
        os.close(write_end)


def test_the_log_is_bounded_in_a_second():
    read_end, write_end = os.pipe()
    try:
        writer = LogLineHandler(write_end)
        writer.setFormatter(logging.Formatter("%(message)s"))
        for _ in range(2_000):
            record = make_record()
            record.created = 5.0
            writer.emit(record)
        assert writer.dropped == 1_500
    finally:
        os.close(read_end)
        os.close(write_end)
