"""Stand-in for a model engine: completions, streams, orders, load reports and fault switches."""

from __future__ import annotations

import asyncio
import itertools
import secrets
import time
from collections import Counter, deque
from typing import Any

from cloverway.tests.standins.base import Connection, Request, Server, make_parser, serve_forever
from cloverway.tests.standins.batching import Batch, PrefixCache, Run, Timing
from cloverway.tests.standins.completions import Answer
from cloverway.tests.standins.faults import Faults
from cloverway.tests.standins.orders import Orders
from cloverway.tests.standins.service import NOT_STARTED

SAMPLE_S = 0.02
NUMERIC_OPTIONS = {
    "slots": 8,
    "cache_blocks": 1024,
    "report_lag_s": 0.0,
    "event_lag_s": 0.0,
    "gap_every": 0,
}
"""Numeric command-line options and their defaults."""
COMPLETIONS = {"/v1/chat/completions": "chat", "/v1/completions": "text"}


class Engine(Server):
    """An engine with continuous batching."""

    def __init__(
        self,
        port: int = 0,
        *,
        models: tuple[str, ...] = ("clover-assist",),
        slots: int = 8,
        timing: Timing | None = None,
        cache_blocks: int = 1024,
        report_lag_s: float = 0.0,
        event_lag_s: float = 0.0,
        gap_every: int = 0,
        fencing: bool = False,
    ) -> None:
        super().__init__(port)
        self.timing = timing or Timing()
        self.report_lag_s = report_lag_s
        self.event_lag_s = event_lag_s
        self.orders = Orders(models, fencing)
        self.incarnation = secrets.token_hex(8)
        self.cache_blocks = cache_blocks
        self.gap_every = gap_every
        self.batch = Batch(slots, self.timing, PrefixCache(cache_blocks, gap_every))
        self.received_leaving = 0
        self.by_key: Counter[str] = Counter()
        self.by_user: Counter[str] = Counter()
        self._reports: deque[tuple[float, dict[str, Any]]] = deque(maxlen=4096)
        self._number = itertools.count()

    def on_start(self) -> None:
        self._sampler = self._loop.create_task(self._sample())

    async def _sample(self) -> None:
        while True:
            if self.report_lag_s:
                self._reports.append((time.monotonic(), self._load_now()))
            await asyncio.sleep(SAMPLE_S)

    def discard_state(self) -> None:
        """Discard all runs, the cache and the fencing number, as a restart does."""
        self.batch.discard_all()
        self.batch.cache = PrefixCache(self.cache_blocks, self.gap_every)
        self.incarnation = secrets.token_hex(8)
        self.orders.highest_fencing = 0
        self._reports.clear()

    async def answer(self, request: Request, connection: Connection) -> None:
        if self.answer_fault_switches(request, connection):
            return
        route = (request.method, request.path)
        if request.method == "POST" and request.path in COMPLETIONS:
            await self._complete(request, connection, self.faults.take_for_request())
        elif route == ("POST", "/v1/cancel"):
            found = self.batch.cancel(str(request.json().get("id", "")))
            connection.send_json(200 if found else 404, {"cancelled": found})
        elif route == ("GET", "/v1/resume"):
            await self._resume(request, connection, self.faults.take_for_request())
        elif route == ("GET", "/v1/load"):
            connection.send_json(200, self.load(time.monotonic()))
        elif route == ("GET", "/v1/cache-events"):
            connection.send_json(200, self._cache_events(int(request.query.get("after", "0"))))
        elif route == ("POST", "/v1/orders"):
            self._accept_order(request.json(), connection)
        elif request.path == "/test/runs":
            connection.send_json(200, self.counts())
        elif request.path == "/test/state" and request.method == "POST":
            self.set_state(**request.json())
            connection.send_json(200, self._load_now())

    def set_state(
        self,
        *,
        leaving: bool | None = None,
        forget: bool = False,
        report_lag_s: float | None = None,
        timing: dict[str, float] | None = None,
    ) -> None:
        if leaving is not None:
            self.orders.leaving = leaving
        if report_lag_s is not None:
            self.report_lag_s = report_lag_s
        if timing is not None:
            self.timing = self.timing._replace(**timing)
            self.batch.timing = self.timing
        if forget:
            self.discard_state()

    def counts(self) -> dict[str, Any]:
        return {
            **self.batch.as_dict(),
            "total": sum(self.batch.started.values()),
            "received_leaving": self.received_leaving,
            "keys": dict(self.by_key),
            "users": dict(self.by_user),
            "orders": self.orders.accepted,
            "refused_orders": self.orders.refused,
        }

    def load(self, now: float) -> dict[str, Any]:
        """Return the load report as it was `report_lag_s` ago."""
        due = now - self.report_lag_s
        old = [report for report in self._reports if report[0] <= due]
        at, report = old[-1] if self.report_lag_s and old else (now, self._load_now())
        return {**report, "report_age_ms": round((now - at) * 1000)}

    def _load_now(self) -> dict[str, Any]:
        return {
            "incarnation": self.incarnation,
            "ready": bool(self.orders.models) and not self.orders.leaving,
            "leaving": self.orders.leaving,
            "running": self.batch.running,
            "waiting": self.batch.waiting,
            "slots": self.batch.slots,
            "models": list(self.orders.models),
            "loading": sorted(self.orders.loading),
            "role": self.orders.role,
            "kv_used": round(self.batch.cache.used, 4),
        }

    def _cache_events(self, after: int) -> dict[str, Any]:
        until = time.monotonic() - self.event_lag_s
        events = self.batch.cache.events(after, until)
        listed = [{"seq": e.sequence, "kind": e.kind, "block": e.block} for e in events]
        return {"incarnation": self.incarnation, "events": listed}

    def _accept_order(self, order: dict[str, Any], connection: Connection) -> None:
        if not self.orders.apply(order):
            error = {"type": "old_fencing", "highest": self.orders.highest_fencing}
            connection.send_json(409, {"error": error})
            return
        if "load" in order:
            self._loop.create_task(self.orders.load(str(order["load"]), self.timing.load_s))
        connection.send_json(200, {"accepted": True, "incarnation": self.incarnation})

    async def _complete(self, request: Request, connection: Connection, faults: Faults) -> None:
        body = request.json()
        model = str(body.get("model", ""))
        self.received_leaving += self.orders.leaving
        if faults.refuse or model not in self.orders.models:
            connection.send_json(503, {"error": {"type": "not_started"}}, NOT_STARTED)
            return
        run = self._make_run(request, body)
        self.by_key[request.headers.get("idempotency-key", "")] += 1
        self.by_user[run.user] += 1
        self.batch.add(run, faults.token_s)
        try:
            answer = Answer(run, COMPLETIONS[request.path], connection, faults, live=self.faults)
            await answer.send(stream=bool(body.get("stream")))
        finally:
            if connection.disconnected.is_set() or run.state == "running":
                self.batch.interrupt(run)

    def _make_run(self, request: Request, body: dict[str, Any]) -> Run:
        messages = body.get("messages", [])
        last_answer = messages[-1] if messages and messages[-1]["role"] == "assistant" else None
        contents = [str(message["content"]) for message in messages if message is not last_answer]
        prompt = str(body.get("prompt", "")) or "\n".join(contents)
        identity = request.headers.get("x-request-id") or f"run-{next(self._number)}"
        if identity in self.batch.runs:
            identity = f"{identity}+{next(self._number)}"
        priority = int(request.headers.get("cloverway-priority", "1"))
        total = int(body.get("max_tokens", 16))
        run = Run(identity, prompt, str(body.get("user", "")), total, priority)
        run.continued_from = len(last_answer["content"].split()) if last_answer else 0
        return run

    async def _resume(self, request: Request, connection: Connection, faults: Faults) -> None:
        run = self.batch.runs.get(request.query.get("id", ""))
        if run is None or run.state in ("cancelled", "lost"):
            connection.send_json(404, {"error": {"type": "no_such_run"}})
            return
        self.batch.resume(run)
        try:
            start = int(request.query.get("from", "0"))
            form = request.query.get("form", "chat")
            await Answer(run, form, connection, faults, live=self.faults).stream(start)
        finally:
            if connection.disconnected.is_set():
                self.batch.interrupt(run)


def main() -> None:
    options = make_parser("A model engine.")
    options.add_argument("--models", default="clover-assist")
    options.add_argument("--fencing", action="store_true")
    for name, default in NUMERIC_OPTIONS.items():
        options.add_argument(f"--{name.replace('_', '-')}", type=type(default), default=default)
    for name in Timing._fields:
        default = Timing._field_defaults[name]
        options.add_argument(f"--{name.replace('_', '-')}", type=float, default=default)
    arguments = vars(options.parse_args())
    timing = Timing(*(arguments.pop(name) for name in Timing._fields))
    models = tuple(filter(None, arguments.pop("models").split(",")))
    host = arguments.pop("host")
    serve_forever(Engine(models=models, timing=timing, **arguments), host)


if __name__ == "__main__":
    main()
