"""TWICE: a replica's late extra answer makes a request that may run once run again.

The only replica of a service stands in the other region. It is full when a request comes, and says
so (503, not executed). The system sends the request there once more, on the same channel. There the
faulty replica sends the extra copy of its first answer, and runs the request. The system takes the
copy for the answer to the second sending, believes that the request has not run, and sends it again
or refuses it.
"""

from __future__ import annotations

import asyncio
import os
import shutil
import signal
import sys
import tempfile
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standin_http import Answer, Request, format_answer, send_request
from standin_platform import (
    NOT_EXECUTED,
    SEAL,
    Channel,
    Host,
    Record,
    Replica,
    Store,
    make_configuration,
    make_head,
    make_route,
)

FOLDER = Path(__file__).resolve().parent
REGIONS = {"hall-a": "port-of-spain", "hall-b": "san-fernando"}
LEAD_S = 12.0
"""Traffic starts so long after the machines."""
REQUESTS = 6
"""Requests that may run once."""
LOOKUPS = 48
"""Requests that may be repeated, before each of them: 6 extra answers are 2 in 100 of all."""
WORK_S = 0.05
DEADLINE_MS = 10_000
REFUSALS = (408, 421, 429, 503)


class FaultyReplica(Replica):
    """A replica that was full once for each request that may run once."""

    def __init__(self, record: Record, has_trouble: bool) -> None:
        super().__init__("i-7f3a91c2", "portal", "hall-b", slots=6)
        self.runs: Counter[str] = Counter()
        self.answers = 0
        self.extra_answers = 0
        self.handle = self._handle
        self._record = record
        self._has_trouble = has_trouble
        self._refused: set[str] = set()

    async def _handle(self, request: Request, channel: Channel) -> None:
        late, channel.late_answer = channel.late_answer, b""
        if late:
            self.extra_answers += 1
            self._record("replica sends the extra copy of its answer 503")
            channel.writer.write(late)
            await channel.writer.drain()
        self.answers += 1
        is_once = request.target.startswith("/once/")
        if is_once and request.id not in self._refused:
            self._refused.add(request.id)
            answer = format_answer(503, [*make_head(request), NOT_EXECUTED])
            self._record(f"replica is full: 503, not executed, for {request.id}")
            channel.writer.write(answer)
            if self._has_trouble:
                channel.late_answer = answer
            return
        self.runs[request.id] += 1
        if is_once:
            self._record(f"replica runs {request.id}")
        await asyncio.sleep(WORK_S)
        body = f"done {request.id}".encode()
        channel.writer.write(format_answer(200, [*make_head(request), SEAL], body))


async def call(host: Host, method: str, path: str, request_id: str) -> Answer:
    """Send a request as a requester does."""
    headers = [
        ("X-Cloverway-Request-Id", request_id),
        ("X-Cloverway-Deadline-Ms", str(DEADLINE_MS)),
    ]
    body = b"" if method == "GET" else b"file 17"
    timeout_s = DEADLINE_MS / 1000 + 1
    return await send_request(host.callers, method, path, headers, body, timeout_s=timeout_s)


async def play(folder: Path, record: Record, hosts: list[Host], has_trouble: bool) -> int:
    """Play the case; return the exit status."""
    store = Store()
    await store.start()
    replica = FaultyReplica(record, has_trouble)
    await replica.start(store)
    routes = [
        make_route("once", "non_idempotent", "portal"),
        make_route("safe", "idempotent", "portal", attempts=2),
    ]
    store.put("op/config", make_configuration(routes, "portal"))
    hosts += [Host(f"front-{zone}-1", zone, REGIONS, store) for zone in REGIONS]
    for host in hosts:
        host.start(folder, [host.control for host in hosts])
    for host in hosts:
        await host.wait_until_ready()
    await asyncio.sleep(LEAD_S)
    answers: dict[str, int] = {}
    for number in range(REQUESTS):
        for lookup in range(LOOKUPS):
            await call(hosts[0], "GET", "/safe/status", f"safe-{number}-{lookup}")
        request_id = f"once-{number}"
        record(f"requester sends {request_id}")
        answer = await call(hosts[0], "POST", "/once/receipt", request_id)
        record(f"requester gets {answer.status} for {request_id}: {answer.body[:300]!r}")
        answers[request_id] = answer.status
    await asyncio.sleep(1.0)
    record(f"{replica.extra_answers} extra answers beside {replica.answers} answers")
    return judge(record, answers, replica.runs)


def judge(record: Record, answers: dict[str, int], runs: Counter[str]) -> int:
    """Return 1 if a request that may run once ran twice, or ran and was refused; else 0."""
    twice = [request_id for request_id in answers if runs[request_id] > 1]
    refused = [name for name, status in answers.items() if status in REFUSALS and runs[name]]
    record(f"TWICE: ran more than once: {twice or 'none'}")
    record(f"REFUSED: ran, and was answered as not run: {refused or 'none'}")
    if not any(runs[request_id] for request_id in answers):
        record("no such request ran at all")
        return 2
    return 1 if twice else 0


def main() -> int:
    """Run the case and write the record; 2 if it could not run."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record()
    hosts: list[Host] = []
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        return asyncio.run(asyncio.wait_for(play(folder, record, hosts, has_trouble), 110))
    except Exception as error:
        record(f"the case could not run: {error!r}")
        return 2
    finally:
        for host in hosts:
            host.stop()
        record.save(FOLDER / "record.txt")
        shutil.rmtree(folder, ignore_errors=True)


if __name__ == "__main__":
    sys.exit(main())
