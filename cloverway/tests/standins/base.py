"""A small HTTP/1.1 server with fault switches, which runs an event loop on its own thread."""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
import threading
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qsl, urlsplit

from cloverway.tests.standins.faults import Faults
from cloverway.tests.standins.waiting import end_tasks

REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 429: "Too Many Requests"}
MAX_HEAD_BYTES = 64 * 1024


class Request:
    """A parsed HTTP request."""

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        parts = urlsplit(target)
        self.method = method
        self.target = target
        self.path = parts.path
        self.query = dict(parse_qsl(parts.query))
        self.headers = headers
        self.body = body

    def json(self) -> Any:
        try:
            return json.loads(self.body or b"{}")
        except ValueError:
            return {}


class Connection(asyncio.Protocol):
    """A client connection that parses requests one at a time and writes the responses."""

    def __init__(self, server: Server) -> None:
        self._server = server
        self._buffer = bytearray()
        self._task: asyncio.Task[None] | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self.disconnected = asyncio.Event()
        self.requests = 0
        self.request_id = ""
        """Id of the request in progress, which its response names."""
        self.answered = False

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        self._server.open_connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.disconnected.set()
        self._writable.set()
        self._server.open_connections.discard(self)

    def pause_writing(self) -> None:
        self._writable.clear()

    def resume_writing(self) -> None:
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        self._serve_next()

    def _serve_next(self) -> None:
        if self._task is not None or self.disconnected.is_set():
            return
        request = self._parse()
        if request is not None:
            self.requests += 1
            self.request_id = request.headers.get("x-request-id", "")
            self.answered = False
            self._task = asyncio.get_running_loop().create_task(self._serve(request))

    def _parse(self) -> Request | None:
        end = self._buffer.find(b"\r\n\r\n")
        if end < 0:
            if len(self._buffer) > MAX_HEAD_BYTES:
                self.cut()
            return None
        lines = self._buffer[:end].decode("latin-1").split("\r\n")
        pairs = (line.split(":", 1) for line in lines[1:] if ":" in line)
        headers = {name.strip().lower(): value.strip() for name, value in pairs}
        length = int(headers.get("content-length", "0"))
        if len(self._buffer) < end + 4 + length:
            return None
        body = bytes(self._buffer[end + 4 : end + 4 + length])
        del self._buffer[: end + 4 + length]
        method, target, _version = lines[0].split(" ", 2)
        return Request(method, target, headers, body)

    async def _serve(self, request: Request) -> None:
        try:
            await self._server.answer(request, self)
            if not self.answered:
                self.send_json(404, {"error": {"type": "not_found"}})
        except ConnectionError:
            pass
        except Exception as error:
            self.send_json(500, {"error": {"type": "stand_in", "message": repr(error)}})
        finally:
            self._task = None
        if request.headers.get("connection", "").lower() == "close":
            self._transport.close()
        self._serve_next()

    def send(
        self, status: int, content_type: str, body: bytes, headers: dict[str, str] | None = None
    ) -> None:
        """Send a complete response."""
        self.write(self.head(status, content_type, {"Content-Length": len(body)}, headers) + body)

    def send_json(self, status: int, value: Any, headers: dict[str, str] | None = None) -> None:
        self.send(status, "application/json", json.dumps(value).encode(), headers)

    async def send_faulty(self, faults: Faults, content_type: str, body: bytes) -> None:
        """Send a response with the faults that the switches select."""
        length = len(body) + (64 if faults.short_body else 0)
        head = self.head(200, content_type, {"Content-Length": length})
        ends = (faults.cut_after, faults.stall_after, faults.hold_after)
        end = next((end for end in ends if end is not None), len(body))
        self.write(head + body[:end])
        if faults.stall_after is not None:
            await self.disconnected.wait()
        if faults.hold_after is not None:
            await self._server.faults.wait_released(self.disconnected)
            self.write(body[end:])
        if faults.short_body or faults.cut_after is not None:
            self._transport.close()
        if faults.duplicate:
            self.write(head + body)

    def head(self, status: int, content_type: str, *more: dict[str, Any] | None) -> bytes:
        lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
        lines.append(f"Content-Type: {content_type}")
        if self.request_id:
            lines.append(f"X-Request-Id: {self.request_id}")
        lines.extend(f"{name}: {value}" for each in more for name, value in (each or {}).items())
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")

    def start_chunked(self, content_type: str) -> None:
        self.write(self.head(200, content_type, {"Transfer-Encoding": "chunked"}))

    async def send_chunk(self, data: bytes) -> None:
        self.write(b"%x\r\n%s\r\n" % (len(data), data))
        if not self._writable.is_set():
            await self._writable.wait()

    def end_chunked(self) -> None:
        self.write(b"0\r\n\r\n")

    def write(self, data: bytes) -> None:
        if self.disconnected.is_set():
            raise ConnectionError("client disconnected")
        self.answered = True
        self._transport.write(data)

    def cut(self) -> None:
        """Reset the connection."""
        self._transport.abort()
        self.disconnected.set()
        self.answered = True

    def close(self) -> None:
        """Close the connection after the written data has been sent."""
        self._transport.close()
        self.answered = True


class Server:
    """A server that runs until `stop`; `url` and `address` are valid after `start`."""

    def __init__(self, port: int = 0, host: str = "127.0.0.1") -> None:
        self.host = host
        self.port = port
        self.faults = Faults()
        self.open_connections: set[Connection] = set()
        self.connections = 0
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run, name="stand-in", daemon=True)
        self._listener: asyncio.Server | None = None

    @property
    def address(self) -> str:
        return f"{self.host}:{self.port}"

    @property
    def url(self) -> str:
        return f"http://{self.address}"

    def start(self) -> Any:
        self._thread.start()
        self.open()
        self.call(self.on_start)
        return self

    def stop(self) -> None:
        if not self._loop.is_running():
            return
        self.close()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5)

    def __enter__(self) -> Any:
        return self.start()

    def __exit__(self, *_: object) -> None:
        self.stop()

    def open(self) -> None:
        """Start to listen; after `close`, listen on the same port as before."""
        asyncio.run_coroutine_threadsafe(self._open(), self._loop).result(5)

    def close(self) -> None:
        """Stop listening and reset the open connections."""
        self.call(self._close)

    def call(self, function: Callable[[], Any]) -> Any:
        """Run a function on the server's loop and return its result."""

        async def run() -> Any:
            return function()

        if threading.current_thread() is self._thread:
            return function()
        return asyncio.run_coroutine_threadsafe(run(), self._loop).result(5)

    def on_start(self) -> None:
        """Start background tasks; called on the loop."""

    async def answer(self, request: Request, connection: Connection) -> None:
        """Handle one request; a request without a response gets status 404."""

    def answer_fault_switches(self, request: Request, connection: Connection) -> bool:
        """Handle POST /test/faults, which sets fault switches; return whether it was that."""
        if request.path != "/test/faults" or request.method != "POST":
            return False
        switches = request.json()
        if switches.pop("clear", False):
            self.faults.clear()
        self.faults.set(**switches)
        connection.send_json(200, {name: getattr(self.faults, name) for name in Faults.DEFAULTS})
        return True

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_forever()
        end_tasks(self._loop)

    async def _open(self) -> None:
        self._listener = await self._loop.create_server(
            lambda: Connection(self), self.host, self.port, backlog=1024, reuse_address=True
        )
        self.port = self._listener.sockets[0].getsockname()[1]

    def _close(self) -> None:
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for connection in list(self.open_connections):
            connection.cut()


def make_parser(description: str) -> argparse.ArgumentParser:
    """Create a parser with the command-line options that all stand-ins share."""
    options = argparse.ArgumentParser(description=description)
    options.add_argument("--port", type=int, default=0)
    options.add_argument("--host", default="127.0.0.1")
    return options


def serve_forever(server: Server, host: str) -> None:
    """Serve on an address until SIGTERM or SIGINT."""
    server.host = host
    server.start()
    print(server.url, flush=True)
    ended = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: ended.set())
    ended.wait()
    server.stop()
