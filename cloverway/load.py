"""Open-loop load generator for one or more targets, with latency histograms per target.

Arrivals don't wait for answers, so a slow target does not reduce its own load. The targets get
arrivals in turn, so that a disturbance of the machine affects all of them alike.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import time
from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from random import Random
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from cloverway.addresses import split_address
from cloverway.errors import RequestError
from cloverway.upstream.framing import BodyParser, ChunkedBody, EventStream, LengthBody

US_PER_SECOND = 1_000_000
MAX_RECORDED_US = 600 * US_PER_SECOND
SIGNIFICANT_DIGITS = 3
READ_BYTES = 64 * 1024
HEAD_END = b"\r\n\r\n"
COMPLETE = "whole"
TRUNCATED = "cut"
UNREACHABLE = "unreached"
TIMED_OUT = "late"


class Target(NamedTuple):
    """A target of the load, with the headers that it needs."""

    name: str
    addresses: tuple[str, ...]
    """Addresses as IP:PORT; calls use them in turn."""
    headers: Mapping[str, str] = {}


class _Call(NamedTuple):
    address: str
    headers: Mapping[str, str]


class LoadPlan(NamedTuple):
    """The size and duration of a load."""

    streams: int
    """Concurrent streams on each target, if each takes the expected time."""
    seconds: float
    tokens: int
    token_s: float
    """Expected inter-token latency of the endpoint, in seconds."""
    timeout_s: float = 60.0
    model: str = ""
    prompt: str = "Is insulin in stock?"

    @property
    def arrivals_per_s(self) -> float:
        """Arrivals per second at each target that keep `streams` streams running."""
        return self.streams / (self.tokens * self.token_s)


class LoadStats:
    """Outcomes and latencies measured by the callers of one target, in microseconds."""

    def __init__(self) -> None:
        self.outcomes: Counter[str] = Counter()
        self.first_token = HdrHistogram(1, MAX_RECORDED_US, SIGNIFICANT_DIGITS)
        self.token_gaps = HdrHistogram(1, MAX_RECORDED_US, SIGNIFICANT_DIGITS)
        self.tokens = 0

    def record_first_token(self, seconds: float) -> None:
        """Record a time to first token."""
        self.first_token.record_value(max(1, round(seconds * US_PER_SECOND)))

    def record_token_gap(self, seconds: float) -> None:
        """Record the time between two tokens."""
        self.token_gaps.record_value(max(1, round(seconds * US_PER_SECOND)))


def schedule_arrivals(plan: LoadPlan, targets: int, random: Random) -> Iterator[tuple[float, int]]:
    """Yield (seconds from the start, index of the target) of each arrival of a Poisson process."""
    rate = plan.arrivals_per_s * targets
    at = 0.0
    for target_index in itertools.cycle(range(targets)):
        at += random.expovariate(rate)
        if at >= plan.seconds:
            return
        yield at, target_index


def run_load(targets: Sequence[Target], plan: LoadPlan, random: Random) -> list[LoadStats]:
    """Run a load to its end and return the statistics of each target."""
    return asyncio.run(_run_all(targets, plan, random))


async def _run_all(targets: Sequence[Target], plan: LoadPlan, random: Random) -> list[LoadStats]:
    stats = [LoadStats() for _ in targets]
    started_at = time.monotonic()
    addresses = [itertools.cycle(target.addresses) for target in targets]
    running = []
    for at, target_index in schedule_arrivals(plan, len(targets), random):
        await asyncio.sleep(max(0.0, started_at + at - time.monotonic()))
        call = _Call(next(addresses[target_index]), targets[target_index].headers)
        running.append(asyncio.create_task(_run_call(call, plan, stats[target_index])))
    await asyncio.gather(*running)
    return stats


async def _run_call(call: _Call, plan: LoadPlan, stats: LoadStats) -> None:
    try:
        outcome = await asyncio.wait_for(_run_stream(call, plan, stats), plan.timeout_s)
    except TimeoutError:
        outcome = TIMED_OUT
    except (OSError, asyncio.IncompleteReadError):
        outcome = UNREACHABLE
    except (RequestError, ValueError):
        outcome = TRUNCATED
    stats.outcomes[outcome] += 1


async def _run_stream(call: _Call, plan: LoadPlan, stats: LoadStats) -> str:
    started_at = time.monotonic()
    reader, writer = await asyncio.open_connection(*split_address(call.address))
    try:
        writer.write(_make_request(call, plan))
        head = await reader.readuntil(HEAD_END)
        status = int(head.split(b" ", 2)[1])
        if status != 200:
            return f"status {status}"
        return await _read_events(reader, _make_parser(head), stats, started_at)
    finally:
        writer.close()


async def _read_events(
    reader: asyncio.StreamReader, body: BodyParser, stats: LoadStats, started_at: float
) -> str:
    events = EventStream(body)
    token_count, last_at = 0, started_at
    while not events.complete:
        data = await reader.read(READ_BYTES)
        if not data:
            return TRUNCATED
        events.feed(data)
        new_tokens = events.tokens - token_count
        if not new_tokens:
            continue
        now = time.monotonic()
        if token_count:
            stats.record_token_gap((now - last_at) / new_tokens)
        else:
            stats.record_first_token(now - started_at)
        stats.tokens += new_tokens
        token_count, last_at = events.tokens, now
    return COMPLETE


def _make_request(call: _Call, plan: LoadPlan) -> bytes:
    messages = [{"role": "user", "content": plan.prompt}]
    document = {"messages": messages, "max_tokens": plan.tokens, "stream": True}
    body = json.dumps({**document, "model": plan.model} if plan.model else document).encode()
    headers = {
        "Host": call.address,
        "Content-Type": "application/json",
        "Content-Length": str(len(body)),
        "Connection": "close",
        **call.headers,
    }
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"POST /v1/chat/completions HTTP/1.1\r\n{lines}\r\n".encode() + body


def _make_parser(head: bytes) -> BodyParser:
    for line in head.lower().split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name == b"content-length":
            return LengthBody(int(value))
    return ChunkedBody()
