"""Stand-ins of the platform for the scripts of the second review: standard library only.

They keep to the users' pages: a store that is only read, replicas that register in it, requesters,
and the platform that fills in the settings, starts the processes by the deploy file and signals them.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HEARTBEAT_S = 1.2
SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)
PLACEHOLDER = re.compile(r"\{\{([\w.@]+)(\|json)?\}\}")
BOUNDS = {
    "contactMs": 6000,
    "drainMs": 4000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 4000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retrySlack": 54,
    "coldOvershoot": 1.5,
    "coldSlack": 3,
}


class Record:
    """What was sent, answered and run, with seconds since the start, for record.txt."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began_at = time.monotonic()

    def write(self, line: str) -> None:
        text = f"{time.monotonic() - self._began_at:8.3f} s  {line}"
        print(text, file=self._file, flush=True)
        print(text, flush=True)


def _get(fields: Any, path: str) -> Any:
    for name in path.split("."):
        fields = fields.get(name) if isinstance(fields, dict) else None
    return fields


def fill_template(text: str, fields: dict[str, Any]) -> str:
    """Fill in deploy/settings.toml: the sections and placeholders of DEPLOY.md that it uses."""

    def fill_section(match: re.Match[str]) -> str:
        value, inner = _get(fields, match[1]), match[2]
        if isinstance(value, dict):
            return "".join(
                inner.replace("{{@}}", key).replace("{{.}}", str(item))
                for key, item in value.items()
            )
        return "" if value in (None, False) else inner.replace("{{.}}", str(value))

    def fill_value(match: re.Match[str]) -> str:
        value = _get(fields, match[1])
        return json.dumps(value) if match[2] else str(value)

    return PLACEHOLDER.sub(fill_value, SECTION.sub(fill_section, text))


def take_ip() -> str:
    """Return a loopback address of its own for a machine, so that its ports are free."""
    while True:
        ip = (
            f"127.{random.randrange(20, 120)}.{random.randrange(1, 250)}.{random.randrange(2, 250)}"
        )
        try:
            for port in (8140, 8143, 8144, 8146, 7660, 9464):
                with socket.socket() as sock:
                    sock.bind((ip, port))
        except OSError:
            continue
        return ip


class Request:
    """One request as a stand-in received it."""

    def __init__(self, method: str, target: str, fields: dict[str, str], body: bytes) -> None:
        self.method, self.target, self.fields, self.body = method, target, fields, body

    @property
    def id(self) -> str:
        return self.fields.get("x-cloverway-request-id", "")


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    return lines[0], {name.lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, fields: dict[str, str]) -> bytes:
    if "chunked" in fields.get("transfer-encoding", ""):
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
        return body
    return await reader.readexactly(int(fields.get("content-length", "0")))


def encode_answer(status: int, fields: dict[str, str], body: bytes) -> bytes:
    head = [f"HTTP/1.1 {status} X", *(f"{k}: {v}" for k, v in fields.items())]
    head += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(head).encode() + body


class HttpServer:
    """Accepts channels at a loopback address and hands each whole request to a handler."""

    def __init__(self) -> None:
        self.ip = take_ip()
        self.port = 0
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        return f"{self.ip}:{self.port}"

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, self.ip, self.port, limit=1 << 20)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
            while True:
                line, fields = await read_head(reader)
                method, target, _ = line.split(" ")
                body = await read_body(reader, fields)
                await self.handle(Request(method, target, fields, body), writer)
                await writer.drain()
        writer.close()

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError


class Store(HttpServer):
    """The platform's store: read over HTTP, written in process by the operator and replicas."""

    def __init__(self) -> None:
        super().__init__()
        self._revision = 1
        self._items: dict[str, tuple[int, bytes]] = {}
        self._history: list[tuple[str, int, bytes | None]] = []
        self._changed = asyncio.Event()

    def put(self, key: str, value: Any) -> None:
        data = json.dumps(value).encode()
        self._revision += 1
        self._items[key] = (self._revision, data)
        self._note(key, data)

    def delete(self, key: str) -> None:
        self._revision += 1
        self._items.pop(key, None)
        self._note(key, None)

    def _note(self, key: str, data: bytes | None) -> None:
        self._history.append((key, self._revision, data))
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        prefix, after = query.get("prefix", ""), query.get("after", "")
        if parts.path == "/kv-range":
            keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
            items = [_item(k, *self._items[k]) for k in keys]
            answer = {"items": items, "hasMore": False, "at": self._revision}
        else:
            changed = self._changed
            if not self._since(prefix, int(after)):
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(changed.wait(), int(query["waitMs"]) / 1000)
            answer = {"events": self._since(prefix, int(after)), "at": self._revision}
        kind = {"Content-Type": "application/json"}
        writer.write(encode_answer(200, kind, json.dumps(answer).encode()))

    def _since(self, prefix: str, after: int) -> list[Any]:
        return [_item(k, r, v) for k, r, v in self._history if r > after and k.startswith(prefix)]


def _item(key: str, revision: int, data: bytes | None) -> Any:
    if data is None:
        return {"key": key, "revision": revision, "tombstone": True}
    value = base64.b64encode(data).decode()
    return {"key": key, "value": value, "revision": revision, "createdAt": 1, "lease": 0}


Answer = Callable[["Replica", Request, asyncio.StreamWriter], Awaitable[None]]


class Replica(HttpServer):
    """A replica that registers itself and answers by a function of the case."""

    def __init__(
        self, name: str, service: str, zone: str, record: Record, answer: Answer, slots: int
    ) -> None:
        super().__init__()
        self.slots = slots
        self.name, self.service, self.zone = name, service, zone
        self.record, self._answer = record, answer
        self.born = int(time.time() * 1000)
        self.runs: list[str] = []
        self._sequence = 0

    async def register(self, store: Store) -> None:
        while True:
            self._sequence += 1
            entry = {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": "ready",
                "coldRemainingMs": 0,
                "sequence": self._sequence,
                "born": self.born,
            }
            store.put(f"servers/{self.name}", entry)
            await asyncio.sleep(HEARTBEAT_S)

    def seal(self, request: Request) -> dict[str, str]:
        return {"X-Cloverway-Response-Seal": "3e1b.07", "X-Cloverway-Request-Id": request.id}

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        target = request.fields.get("x-cloverway-target-instance", self.name)
        if target != self.name:
            refused = {"X-Cloverway-Not-Executed": "1", "X-Cloverway-Request-Id": request.id}
            writer.write(encode_answer(421, refused, b""))
        elif request.target == "/report":
            writer.write(encode_answer(200, {}, json.dumps({"born": self.born}).encode()))
        elif request.target == "/health":
            writer.write(encode_answer(200, {"X-Cloverway-Instance-Id": self.name}, b""))
        else:
            self.runs.append(request.id)
            self.record.write(f"replica {self.name} runs {request.id}")
            await self._answer(self, request, writer)


class Machine:
    """A machine of the platform: its settings file and its process, by the deploy file."""

    def __init__(self, name: str, zone: str, platform: Platform) -> None:
        self.name, self.zone, self._platform = name, zone, platform
        self.ip = take_ip()
        self.process: asyncio.subprocess.Process | None = None
        self._folder = platform.folder / name
        self._folder.mkdir()
        self.settings = self._folder / "settings.toml"

    @property
    def control(self) -> str:
        return f"{self.ip}:8146"

    def write_settings(self, seeds: list[str]) -> None:
        platform = self._platform
        fields = {
            "nodeName": self.name,
            "zone": self.zone,
            "region": platform.zones[self.zone],
            "zones": platform.zones,
            "listen": {
                "frontend": f"{self.ip}:8144",
                "readiness": f"{self.ip}:8140",
                "control": self.control,
                "directory": f"{self.ip}:8143",
            },
            "internalPortRange": [7660, 7675],
            "seeds": seeds,
            "limits": {"cpuShare": 0.537, "cores": 2, "memoryMb": 300, "linkMbps": 1000.0},
            "bounds": BOUNDS,
            "platform": {"address": platform.store.address, "readsPerS": 2000},
        }
        text = fill_template((ROOT / platform.role["template"]).read_text(), fields)
        fresh = self.settings.with_suffix(".new")
        fresh.write_text(text)
        fresh.rename(self.settings)

    async def start(self) -> None:
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment |= {
            "CLOVERWAY_BOOT": str(self.settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (self._folder / "log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self._platform.role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def read_log(self) -> str:
        return (self._folder / "log").read_text(errors="replace")

    async def is_ready(self) -> bool:
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.ip, 8140)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line, _ = await read_head(reader)
                writer.close()
        except (OSError, EOFError, TimeoutError):
            return False
        return " 200 " in line

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        async with asyncio.timeout(timeout_s):
            while not await self.is_ready():
                await asyncio.sleep(0.05)


class Platform:
    """Store, replicas and machines of one case; ends all that it started."""

    def __init__(self, record: Record, zones: dict[str, str]) -> None:
        self.record, self.zones = record, zones
        self.folder = Path(tempfile.mkdtemp(prefix="cloverway-review-"))
        self.role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["gateway"]
        self.store = Store()
        self.machines: list[Machine] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._version = 0

    def add_machine(self, name: str, zone: str) -> Machine:
        machine = Machine(name, zone, self)
        self.machines.append(machine)
        return machine

    async def add_replica(
        self, name: str, service: str, zone: str, answer: Answer, slots: int = 64
    ) -> Replica:
        replica = Replica(name, service, zone, self.record, answer, slots)
        await replica.start()
        self._tasks.append(asyncio.create_task(replica.register(self.store)))
        return replica

    def configure(self, routes: list[dict[str, Any]], services: list[dict[str, Any]]) -> None:
        self._version += 3
        limits = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        }
        document = {"version": self._version, "routes": routes, "services": services}
        self.store.put("op/config", document | {"limits": limits})

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        for machine in self.machines:
            process = machine.process
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
        if "KEEP_LOGS" in os.environ:
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def make_route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    return {
        "name": name,
        "hostname": "shop.example",
        "prefix": f"/{name}/",
        "routeType": kind,
        "timeoutMs": 5000,
        "targetLatencyMs": 500,
        "priority": 1,
        "service": service,
        "attempts": 1,
        "sessionAffinity": False,
        "resumable": False,
        "homeRegions": [],
    } | fields


def make_service(name: str, **fields: Any) -> dict[str, Any]:
    return {
        "name": name,
        "healthCheckPath": "/health",
        "maxConnections": 100,
        "protocol": "h1",
        "tls": False,
        "coldS": 0.0,
        "coldPerS": 0.0,
    } | fields


def encode_request(
    request_id: str, method: str, path: str, deadline_ms: int, body: bytes = b""
) -> bytes:
    head = [
        f"{method} {path} HTTP/1.1",
        "Host: shop.example",
        f"X-Cloverway-Request-Id: {request_id}",
        f"X-Cloverway-Deadline-Ms: {deadline_ms}",
    ]
    if body or method == "POST":
        head.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*head, "", ""]).encode() + body


def has_trouble() -> bool:
    """Return whether the case plays its disruption; TROUBLE=0 leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(
    folder: Path, play: Callable[[Record], Awaitable[int]], limit_s: float = 100.0
) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    record = Record(folder / "record.txt")
    record.write(f"TROUBLE={int(has_trouble())}")

    async def bounded() -> int:
        async with asyncio.timeout(limit_s):
            return await play(record)

    try:
        code = asyncio.run(bounded())
    except Exception as error:  # noqa: BLE001 - whatever stops a case, it could not run
        record.write(f"the case couldn't run: {error!r}")
        code = 2
    record.write({0: "the rule held", 1: "THE RULE WAS BROKEN"}.get(code, "couldn't run"))
    sys.exit(code)
