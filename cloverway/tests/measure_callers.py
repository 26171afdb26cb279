"""Measure the server for callers: python -m cloverway.tests.measure_callers

Prints one line per measurement. The client shares the process, so the times include its cost.
"""

from __future__ import annotations

import contextlib
import http.client
import resource
import statistics
import time

from cloverway.config.published import Published
from cloverway.entry.authentication import KeyIndex, hash_key
from cloverway.errors import Ran
from cloverway.operations.metrics import Metrics, RequestEnded, StreamEnded
from cloverway.replies import Reply
from cloverway.tests.caller_harness import CHAT, CHAT_BODY, DOCUMENTS, CallerServerHarness

REQUESTS = 2000
IDLE = 1000
TEAMS = 9000
GAPS = (0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.5, 5.0, 10.0)


def measure_requests() -> None:
    with CallerServerHarness(threads=192, admitted=64, queued=64) as harness:
        harness.gateway.answer = Reply(200, "application/json", b"{}")
        connection = http.client.HTTPConnection(harness.server.address)
        before, times = time.process_time(), []
        for _ in range(REQUESTS):
            start = time.perf_counter()
            connection.request("POST", "/v1/chat/completions", CHAT_BODY, CHAT)
            connection.getresponse().read()
            times.append(time.perf_counter() - start)
        spent = time.process_time() - before
        connection.close()
    cuts = statistics.quantiles(times, n=100)
    print(f"request: p50 {cuts[49] * 1e3:.2f} ms, p99 {cuts[98] * 1e3:.2f} ms")
    print(f"request: {spent / REQUESTS * 1e6:.0f} us of processor, client and server together")


def measure_idle_connections() -> None:
    with (
        CallerServerHarness(threads=192, admitted=64, queued=64) as harness,
        contextlib.ExitStack() as stack,
    ):
        before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        for _ in range(IDLE):
            stack.enter_context(harness.connect())
        status = harness.call("POST", "/v1/chat/completions", CHAT_BODY, CHAT).status
        after = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    print(
        f"idle: {(after - before) / IDLE:.1f} KB for each of {IDLE}, a call beside them: {status}"
    )


def measure_metrics() -> None:
    metrics = Metrics(time.monotonic, GAPS)
    metrics.start()
    ended = [
        RequestEnded(f"team-{n % (n // 20 + 1)}", "normal", None, Ran.YES, "e", 1, 0.0, 0.1, 0.2)
        for n in range(TEAMS)
    ]
    streams = [StreamEnded(e.team, "normal", 50, (1,) * (len(GAPS) + 1), 1.0) for e in ended]
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    start = time.process_time()
    for messages in zip(ended, streams, strict=True):
        for message in messages:
            metrics._task.ask(message)
    spent = time.process_time() - start
    after = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    print(f"metrics: {spent / TEAMS * 1e6:.0f} us of processor for a request and its stream")
    print(f"metrics: {(after - before) / 1024:.1f} MB more after {TEAMS} teams")
    start = time.process_time()
    text = metrics.render()
    spent = time.process_time() - start
    print(
        f"metrics: {len(text) / 1024:.0f} KB, {len(text.splitlines())} lines, {spent * 1e3:.0f} ms"
    )
    metrics.stop()


def measure_key_index() -> None:
    team = DOCUMENTS["teams"]["pharmacy"]
    teams = {f"team-{n}": {**team, "key_hashes": [hash_key(str(n))]} for n in range(TEAMS)}
    published = Published.from_documents({**DOCUMENTS, "teams": teams})
    start = time.process_time()
    index = KeyIndex.from_published(published)
    built = time.process_time() - start
    start = time.process_time()
    assert all(index.find_team(str(n)) == f"team-{n}" for n in range(TEAMS))
    spent = (time.process_time() - start) / TEAMS
    print(f"keys: index of {TEAMS} teams in {built * 1e3:.1f} ms")
    print(f"keys: {spent * 1e6:.1f} us for each look-up")


if __name__ == "__main__":
    measure_requests()
    measure_idle_connections()
    measure_metrics()
    measure_key_index()
