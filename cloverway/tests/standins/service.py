"""Stand-in for a plain service that counts its calls."""

from __future__ import annotations

import asyncio
import hashlib
import json
import secrets
from collections import Counter

from cloverway.tests.standins.base import Connection, Request, Server, make_parser, serve_forever
from cloverway.tests.standins.faults import Faults

NOT_STARTED = {"Cloverway-Ran": "no", "Retry-After": "1"}


class Service(Server):
    """A service that answers any path and counts a call when it starts to run it."""

    def __init__(
        self,
        port: int = 0,
        *,
        services: tuple[str, ...] = ("allocations",),
        work_s: float = 0.0,
        slots: int = 64,
    ) -> None:
        super().__init__(port)
        self.services = services
        self.slots = slots
        self.work_s = work_s
        self.incarnation = secrets.token_hex(8)
        self.leaving = False
        self.running = 0
        self.received_leaving = 0
        self.by_key: Counter[str] = Counter()
        self.by_body: Counter[str] = Counter()
        self.by_id: Counter[str] = Counter()
        self.by_path: Counter[str] = Counter()
        self.cancelled = 0

    @property
    def total(self) -> int:
        """Return how many calls were run."""
        return sum(self.by_path.values())

    def discard_state(self) -> None:
        """Discard all counts and change the incarnation, as a restart does."""
        self.incarnation = secrets.token_hex(8)
        for counter in (self.by_key, self.by_body, self.by_id, self.by_path):
            counter.clear()

    async def answer(self, request: Request, connection: Connection) -> None:
        if self.answer_fault_switches(request, connection):
            return
        if request.path == "/load":
            connection.send_json(200, self.load())
        elif request.path == "/test/runs":
            connection.send_json(200, self.counts())
        elif request.path == "/test/state" and request.method == "POST":
            self.set_state(**request.json())
            connection.send_json(200, self.load())
        else:
            await self._run_call(request, connection, self.faults.take_for_request())

    def set_state(
        self, *, leaving: bool | None = None, renew: bool = False, forget: bool = False
    ) -> None:
        if leaving is not None:
            self.leaving = leaving
        if renew:
            self.incarnation = secrets.token_hex(8)
        if forget:
            self.discard_state()

    def load(self) -> dict[str, object]:
        return {
            "incarnation": self.incarnation,
            "ready": not self.leaving,
            "leaving": self.leaving,
            "running": self.running,
            "waiting": 0,
            "slots": self.slots,
            "services": list(self.services),
            "report_age_ms": 0,
        }

    def counts(self) -> dict[str, object]:
        return {
            "total": self.total,
            "received_leaving": self.received_leaving,
            "keys": dict(self.by_key),
            "bodies": dict(self.by_body),
            "ids": dict(self.by_id),
            "paths": dict(self.by_path),
            "cancelled": self.cancelled,
        }

    async def _run_call(self, request: Request, connection: Connection, faults: Faults) -> None:
        self.received_leaving += self.leaving
        if faults.refuse:
            connection.send_json(503, {"error": {"type": "not_started"}}, NOT_STARTED)
            return
        self._count(request)
        self.running += 1
        try:
            await self._finish_call(request, connection, faults)
        finally:
            self.running -= 1
        self.cancelled += connection.disconnected.is_set()

    def _count(self, request: Request) -> None:
        self.by_path[request.path] += 1
        self.by_body[request.body.decode("utf-8", "replace")] += 1
        self.by_key[request.headers.get("idempotency-key", "")] += 1
        self.by_id[request.headers.get("x-request-id", "")] += 1

    async def _finish_call(self, request: Request, connection: Connection, faults: Faults) -> None:
        if faults.close_at_once:
            connection.cut()
            return
        if faults.silent:
            await connection.disconnected.wait()
            return
        await asyncio.sleep(self.work_s + faults.first_byte_s)
        if faults.hold:
            await self.faults.wait_released(connection.disconnected)
        if faults.error:
            connection.send_json(faults.error, {"error": {"type": "failed"}})
            return
        await connection.send_faulty(faults, "application/json", self._body(request))

    def _body(self, request: Request) -> bytes:
        answer = {
            "path": request.path,
            "method": request.method,
            "digest": digest(request.body),
            "echo": request.body.decode("utf-8", "replace"),
            "request_id": request.headers.get("x-request-id", ""),
            "key": request.headers.get("idempotency-key", ""),
            "run": self.total,
        }
        return json.dumps(answer).encode()


def digest(body: bytes) -> str:
    """Return a short digest by which a caller recognizes the answer to its request."""
    return hashlib.sha256(body).hexdigest()[:16]


def main() -> None:
    options = make_parser("A plain service that counts its calls.")
    options.add_argument("--services", default="allocations")
    options.add_argument("--work-s", type=float, default=0.0)
    options.add_argument("--slots", type=int, default=64)
    arguments = options.parse_args()
    services = tuple(arguments.services.split(","))
    serve_forever(
        Service(arguments.port, services=services, work_s=arguments.work_s, slots=arguments.slots),
        arguments.host,
    )


if __name__ == "__main__":
    main()
