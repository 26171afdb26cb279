"""Components tested without a host: events, request queue, settings, documents, log lines."""

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
from cloverway.serving.http.event_stream import EventSplitter
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


@given(st.lists(st.integers(1, len(STREAM) - 1), max_size=8), st.sampled_from([b"\n", b"\r\n"]))
@settings(max_examples=200)
def test_events_do_not_depend_on_how_the_bytes_are_split(cuts, newline):
    splitter = EventSplitter()
    stream = STREAM.replace(b"\n", newline)
    bounds = [0, *sorted(set(cuts)), len(stream)]
    events = [
        event
        for start, end in itertools.pairwise(bounds)
        for event in splitter.split(stream[start:end])
    ]
    assert b"".join(events) == stream
    assert len(events) == 8
    assert splitter.last_id == "8"


def test_a_partial_event_is_discarded_before_a_stream_is_resumed():
    splitter = EventSplitter()
    assert splitter.split(b"id: 1\ndata: a\n\nid: 2\nda") == [b"id: 1\ndata: a\n\n"]
    splitter.drop_incomplete()
    assert splitter.last_id == "1"
    assert splitter.split(b"id: 2\ndata: b\n\n") == [b"id: 2\ndata: b\n\n"]


def test_the_queue_serves_by_priority_and_then_by_arrival():
    """Three requests are queued for one slot at a time."""

    async def scenario():
        queue = RequestQueue()
        free_slots = []
        served = []

        async def enqueue(name, priority, arrived_at):
            until = read_clock() + 2
            granted = await queue.wait(
                QueueTicket(QueueRank(priority, arrived_at)),
                lambda ahead_s: free_slots.pop() if free_slots else None,
                until,
                free_slots.append,
            )
            served.append((name, granted))

        tasks = [
            asyncio.create_task(enqueue("old", 1, 1.0)),
            asyncio.create_task(enqueue("urgent", 0, 3.0)),
            asyncio.create_task(enqueue("young", 1, 2.0)),
        ]
        await asyncio.sleep(0.05)
        for _ in range(3):
            free_slots.append("slot")
            await asyncio.sleep(0.05)
        await asyncio.gather(*tasks)
        assert [name for name, _ in served] == ["urgent", "old", "young"]

    asyncio.run(scenario())


def test_requests_that_can_meet_their_objective_go_before_late_ones():
    """After a burst, requests are queued that are already late, and new ones arrive.

    If the queue were ordered by arrival, each new request would wait until it is late as well: a
    burst of a second made all responses late for ten.
    """

    async def scenario():
        queue = RequestQueue()
        free_slots = []
        served = []
        start = read_clock()

        async def enqueue(name, arrived_at, latest_start_at):
            ticket = QueueTicket(QueueRank(1, arrived_at), latest_start_at=latest_start_at)
            acquire = lambda ahead_s: free_slots.pop() if free_slots else None  # noqa: E731
            await queue.wait(ticket, acquire, start + 2, free_slots.append)
            served.append(name)

        tasks = [
            asyncio.create_task(enqueue("late", 1.0, start - 1)),
            asyncio.create_task(enqueue("in time", 2.0, start + 9)),
            asyncio.create_task(enqueue("soon late", 1.5, start + 0.05)),
        ]
        await asyncio.sleep(0.1)
        for _ in range(3):
            free_slots.append("slot")
            await asyncio.sleep(0.05)
        await asyncio.gather(*tasks)
        assert served == ["in time", "late", "soon late"]

    asyncio.run(scenario())


def test_a_new_request_does_not_overtake_queued_ones():
    async def scenario():
        queue = RequestQueue()
        first = QueueTicket(QueueRank(1, 1.0), 0.2)
        wait = queue.wait(first, lambda ahead_s: None, read_clock() + 0.2, lambda _: None)
        waiting = asyncio.create_task(wait)
        await asyncio.sleep(0.01)
        now = read_clock()
        assert (
            queue.try_acquire(QueueTicket(QueueRank(1, 2.0)), lambda ahead_s: "slot", now) is None
        )
        assert (
            queue.try_acquire(QueueTicket(QueueRank(0, 2.0)), lambda ahead_s: "slot", now) == "slot"
        )
        assert queue.sum_work_ahead(QueueTicket(QueueRank(1, 2.0)), now) == 0.2
        assert queue.sum_work_ahead(QueueTicket(QueueRank(0, 2.0)), now) == 0.0
        await waiting

    asyncio.run(scenario())


def test_a_queued_request_gets_the_work_queued_ahead_of_it():
    """It determines the expected wait and whether another region would start the request sooner."""

    async def scenario():
        queue = RequestQueue()
        seen = {}

        async def enqueue(name, arrived_at, work_s):
            def acquire(ahead_s):
                seen[name] = ahead_s

            ticket = QueueTicket(QueueRank(0, arrived_at), work_s)
            await queue.wait(ticket, acquire, read_clock() + 0.1, lambda _: None)

        waits = [
            enqueue("first", 1.0, 0.2),
            enqueue("second", 2.0, 0.3),
            enqueue("third", 3.0, 0.1),
        ]
        tasks = [asyncio.create_task(each) for each in waits]
        await asyncio.sleep(0.06)
        assert queue.sum_work() == pytest.approx(0.6)
        await asyncio.gather(*tasks)
        assert seen == {"first": 0.0, "second": 0.2, "third": 0.5}

    asyncio.run(scenario())


def test_polling_a_long_queue_is_bounded_and_reaches_every_request():
    """After a restart a hundred requests are queued for full engines at a host with half a core.

    Trying all of them every 20 ms would use up that core and delay the responses in progress.
    """

    async def scenario():
        queue = RequestQueue()
        tries = Counter()

        def make(name):
            return lambda ahead_s: tries.update([name])

        tickets = [QueueTicket(QueueRank(1, float(number))) for number in range(100)]
        until = read_clock() + 0.8
        waits = [
            queue.wait(ticket, make(n), until, lambda _: None) for n, ticket in enumerate(tickets)
        ]
        tasks = [asyncio.create_task(wait) for wait in waits]
        await asyncio.sleep(0)
        now = read_clock()
        for _ in range(30):
            queue._try_waiters(now)
        assert sum(tries.values()) == 30 * (MAX_HEAD_POLLED + MAX_TAIL_POLLED)
        assert len(tries) == 100
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    asyncio.run(scenario())


def test_a_result_is_released_when_the_waiting_task_is_cancelled():
    async def scenario():
        queue = RequestQueue()
        free_slots = []
        task = asyncio.create_task(
            queue.wait(
                QueueTicket(QueueRank(0, 0.0)),
                lambda ahead_s: free_slots.pop() if free_slots else None,
                read_clock() + 2,
                free_slots.append,
            )
        )
        await asyncio.sleep(0.03)
        free_slots.append("slot")
        while free_slots:
            await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert free_slots == ["slot"] or task.result() == "slot"

    asyncio.run(scenario())


def test_a_queued_request_times_out():
    async def scenario():
        queue = RequestQueue()
        granted = await queue.wait(
            QueueTicket(QueueRank(0, 0.0)),
            lambda ahead_s: None,
            read_clock() + 0.05,
            lambda _: None,
        )
        assert granted is None
        assert len(queue) == 0

    asyncio.run(scenario())


def test_a_malformed_document_does_not_affect_the_others():
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
def test_only_requests_that_did_not_run_get_a_status_that_says_so(kind, ran):
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


def test_settings_are_read_and_all_findings_are_reported(tmp_path):
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


def test_a_machine_without_capacity_is_rejected(tmp_path):
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS + "[machine]\ncore_share = -1\nlink_mbps = 0\n")
    with pytest.raises(ConfigurationError) as caught:
        FleetSettings.from_toml(path)
    assert "machine.core_share" in str(caught.value)
    assert "machine.link_mbps" in str(caught.value)


def test_a_quarantine_of_every_request_is_rejected(tmp_path):
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS + "[quarantine]\nends = 0\nhold_s = -1\n")
    with pytest.raises(ConfigurationError) as caught:
        FleetSettings.from_toml(path)
    assert "quarantine.ends" in str(caught.value)
    assert "quarantine.hold_s" in str(caught.value)


def make_record(text="x"):
    return logging.LogRecord("n", logging.INFO, "p", 1, text, None, None)


def test_logging_never_blocks_and_counts_dropped_lines():
    """Nobody reads the pipe of the process. A blocking write would stop all its requests."""
    read_end, write_end = os.pipe()
    try:
        log_handler = LogLineHandler(write_end)
        log_handler.setFormatter(logging.Formatter("%(message)s"))
        for second in range(4_000):
            record = make_record("x" * 1_000)
            record.created = float(second)
            log_handler.emit(record)
        assert log_handler.dropped > 0
        assert len(log_handler._pending) <= MAX_PENDING_BYTES + 2_000
    finally:
        os.close(read_end)
        os.close(write_end)


def test_log_lines_in_a_second_are_limited():
    read_end, write_end = os.pipe()
    try:
        log_handler = LogLineHandler(write_end)
        log_handler.setFormatter(logging.Formatter("%(message)s"))
        for _ in range(2_000):
            record = make_record()
            record.created = 5.0
            log_handler.emit(record)
        assert log_handler.dropped == 1_500
    finally:
        os.close(read_end)
        os.close(write_end)
