"""Stand-in for the platform: configuration to read and watch, host list, directory, weights."""

from __future__ import annotations

import asyncio
import json
import time
from collections import Counter
from pathlib import Path
from typing import Any

from cloverway.tests.standins.base import Connection, Request, Server, make_parser, serve_forever

MAX_CALLS_PER_S = 2000
MAX_VALUE_BYTES = 1024 * 1024
MAX_WAIT_S = 60.0
EMPTY_LIST: dict[str, Any] = {"hosts": {}, "endpoints": {}}


class TokenBucket:
    """A token bucket of so many calls a second whose burst is one second's worth."""

    def __init__(self, per_s: float) -> None:
        self.per_s = per_s
        self._left = per_s
        self._at = time.monotonic()

    def take(self, now: float) -> bool:
        self._left = min(self.per_s, self._left + (now - self._at) * self.per_s)
        self._at = now
        if self._left < 1:
            return False
        self._left -= 1
        return True


class Platform(Server):
    """The platform's read-only service; tests publish in process or under /test."""

    def __init__(
        self,
        port: int = 0,
        *,
        documents: dict[str, Any] | None = None,
        list_lag_s: float = 0.0,
        calls_per_s: float = MAX_CALLS_PER_S,
        weights_per_s: float = 2.0,
    ) -> None:
        super().__init__(port)
        self.revision = 0
        self.list_lag_s = list_lag_s
        self.slow_s = 0.0
        self.calls: Counter[str] = Counter()
        self.refused = 0
        self.weight_reads: Counter[str] = Counter()
        self._documents: dict[str, tuple[int, Any]] = {}
        self._history: list[tuple[int, str, Any]] = []
        self._frozen_at: int | None = None
        self._changed: asyncio.Event | None = None
        self._lists: list[tuple[float, dict[str, Any]]] = [(float("-inf"), EMPTY_LIST)]
        self._rate = TokenBucket(calls_per_s)
        self._weights = TokenBucket(weights_per_s)
        for key, value in (documents or {}).items():
            self._put(key, value)

    def on_start(self) -> None:
        self._changed = asyncio.Event()

    def publish(self, key: str, value: Any) -> int:
        """Publish a document, or delete it if the value is None; return its revision."""
        if len(json.dumps(value)) > MAX_VALUE_BYTES:
            raise ValueError(f"document {key} is larger than 1 MiB")
        return int(self.call(lambda: self._put(key, value)))

    def publish_all(self, documents: dict[str, Any]) -> int:
        return [self.publish(key, value) for key, value in documents.items()][-1]

    def set_listed(
        self, *, hosts: dict[str, str] | None = None, endpoints: dict[str, str] | None = None
    ) -> None:
        """Change entries of the host list; readers see this after `list_lag_s`."""
        self.call(lambda: self._set_listed(hosts or {}, endpoints or {}))

    def freeze(self, revision: int | None = None) -> None:
        """Serve an old revision until `thaw`."""
        self._frozen_at = self.revision if revision is None else revision

    def thaw(self) -> None:
        self._frozen_at = None
        self.call(self._wake)

    def restart_at(self, revision: int) -> None:
        """Restart with older data: later changes are lost and their revisions are reused."""
        self.call(lambda: self._restart(revision))

    def _restart(self, revision: int) -> None:
        retained = [entry for entry in self._history if entry[0] <= revision]
        self.revision, self._history, self._documents = 0, [], {}
        for _, key, value in retained:
            self._put(key, value)
        for connection in list(self.open_connections):
            connection.cut()

    def _put(self, key: str, value: Any) -> int:
        self.revision += 1
        self._documents[key] = (self.revision, value)
        self._history.append((self.revision, key, value))
        self._wake()
        return self.revision

    def _wake(self) -> None:
        if self._changed is not None:
            self._changed.set()
            self._changed = asyncio.Event()

    def _set_listed(self, hosts: dict[str, str], endpoints: dict[str, str]) -> None:
        last = self._lists[-1][1]
        named = {"hosts": hosts, "endpoints": endpoints}
        entry = {
            part: {**last[part], **{name: {"state": state} for name, state in changes.items()}}
            for part, changes in named.items()
        }
        self._lists.append((time.monotonic(), entry))

    async def answer(self, request: Request, connection: Connection) -> None:
        if request.path.startswith("/test/"):
            self._answer_operator(request, connection)
            return
        if request.method != "GET":
            connection.send_json(405, {"error": "this service accepts no writes"})
            return
        self.calls[request.path] += 1
        if not self._rate.take(time.monotonic()):
            self.refused += 1
            connection.send_json(429, {"error": "too many calls"}, {"Retry-After": "1"})
            return
        if self.faults.silent:
            await connection.disconnected.wait()
            return
        await asyncio.sleep(self.slow_s + self.faults.first_byte_s)
        if self.faults.error:
            connection.send_json(self.faults.error, {"error": "failed"})
            return
        await self._answer_reader(request, connection)

    async def _answer_reader(self, request: Request, connection: Connection) -> None:
        if request.path == "/v1/config":
            after = int(request.query.get("after", "0"))
            wait_s = min(float(request.query.get("wait_s", "0")), MAX_WAIT_S)
            await self._wait_for_revision_after(after, wait_s)
            body = json.dumps(self.changes(after)).encode()
            await connection.send_faulty(self.faults, "application/json", body)
        elif request.path == "/v1/hosts":
            connection.send_json(200, self.listed(time.monotonic()))
        elif request.path == "/v1/directory":
            connection.send_json(200, self._directory())
        elif request.path.startswith("/v1/weights/"):
            self._answer_weights(request, connection)

    async def _wait_for_revision_after(self, revision: int, wait_s: float) -> None:
        end = time.monotonic() + wait_s
        while self._served_revision() <= revision and time.monotonic() < end:
            assert self._changed is not None
            waiting = asyncio.wait_for(self._changed.wait(), end - time.monotonic())
            await asyncio.gather(waiting, return_exceptions=True)

    def _served_revision(self) -> int:
        return self.revision if self._frozen_at is None else min(self.revision, self._frozen_at)

    def changes(self, after: int) -> dict[str, Any]:
        served = self._served_revision()
        last = {key: (rev, value) for rev, key, value in self._history if rev <= served}
        documents = [
            {"key": key, "revision": revision, "value": value}
            for key, (revision, value) in sorted(last.items(), key=lambda item: item[1][0])
            if revision > after
        ]
        return {"revision": served, "documents": documents}

    def listed(self, now: float) -> dict[str, Any]:
        """Return the host list as it was `list_lag_s` ago."""
        return [entry for at, entry in self._lists if at <= now - self.list_lag_s][-1]

    def _directory(self) -> dict[str, Any]:
        hosts = {
            key.removeprefix("hosts/"): value["callers"]
            for key, (_, value) in self._documents.items()
            if key.startswith("hosts/") and value
        }
        return {"hosts": hosts}

    def _answer_weights(self, request: Request, connection: Connection) -> None:
        if not self._weights.take(time.monotonic()):
            retry = {"Retry-After": str(max(1, round(1 / self._weights.per_s)))}
            connection.send_json(429, {"error": "over the rate"}, retry)
            return
        name = request.path.removeprefix("/v1/weights/")
        self.weight_reads[name] += 1
        connection.send(200, "application/octet-stream", name.encode() * 64)

    def _answer_operator(self, request: Request, connection: Connection) -> None:
        if self.answer_fault_switches(request, connection):
            return
        arguments = request.json()
        if request.path == "/test/publish":
            self._put(arguments["key"], arguments["value"])
        elif request.path == "/test/list":
            self._set_listed(arguments.get("hosts", {}), arguments.get("endpoints", {}))
        elif request.path == "/test/freeze":
            self.freeze(arguments.get("revision"))
        elif request.path == "/test/thaw":
            self.thaw()
        elif request.path == "/test/restart":
            self._restart(arguments["revision"])
            return
        elif request.path == "/test/slow":
            self.slow_s = arguments["s"]
        elif request.path != "/test/state":
            return
        connection.send_json(200, {"revision": self.revision, "calls": dict(self.calls)})


def main() -> None:
    options = make_parser("The platform.")
    options.add_argument("--documents", help="JSON file with the documents by key")
    options.add_argument("--list-lag-s", type=float, default=0.0)
    arguments = options.parse_args()
    documents = json.loads(Path(arguments.documents).read_text()) if arguments.documents else {}
    platform = Platform(arguments.port, documents=documents, list_lag_s=arguments.list_lag_s)
    serve_forever(platform, arguments.host)


if __name__ == "__main__":
    main()
