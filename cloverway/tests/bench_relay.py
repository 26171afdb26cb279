"""Measure the cost of copying streams in worker threads and in the relay task, in one run.

    python -m cloverway.tests.bench_relay --streams 200 400 800 --rounds 3

Three kinds of process on loopback: a token source, one gateway for each copier, and the callers in
this process. For each number of streams, each round runs direct calls, the worker threads (plain)
and the relay task one after the other, and prints one row for each.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import resource
import socket
import subprocess
import sys
import threading
import time
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple

from cloverway.config.settings import Limits
from cloverway.errors import RequestError
from cloverway.messages import Request
from cloverway.upstream.copiers import RelayCopier, WorkerCopier
from cloverway.upstream.endpoints import EndpointClient
from cloverway.upstream.relay import Relay

PERIOD_S = 0.06
RAMP_S = 6.0
STACK_BYTES = 256 * 1024
THREADS = 1000
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
TOKEN = (
    b'data: {"id":"chatcmpl-0123456789abcdef","object":"chat.completion.chunk","created":1,'
    b'"model":"clover-assist","choices":[{"index":0,"delta":{"content":" token"}}]}\n\n'
)
DONE = b"data: [DONE]\n\n"
MODES = ("direct", "plain", "relay")


def chunk(event: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(event), event)


class Source(asyncio.Protocol):
    """Answers each request with the number of tokens that its body asks for."""

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.loop = asyncio.get_running_loop()
        self.data = b""

    def data_received(self, data: bytes) -> None:
        self.data += data
        head, end, body = self.data.partition(b"\r\n\r\n")
        if not end or not body.endswith(b"}"):
            return
        self.data = b""
        if b" /v1/cancel " in head:
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return
        self.left = json.loads(body)["tokens"]
        self.due = self.loop.time()
        self.transport.write(HEAD)
        self.send_token()

    def send_token(self) -> None:
        if self.transport.is_closing():
            return
        if self.left == 0:
            self.transport.write(chunk(DONE) + b"0\r\n\r\n")
            return
        self.transport.write(chunk(TOKEN))
        self.left -= 1
        self.due += PERIOD_S
        self.loop.call_at(self.due, self.send_token)


async def run_source() -> None:
    loop = asyncio.get_running_loop()
    server = await loop.create_server(Source, "127.0.0.1", 0, backlog=1024)
    print(server.sockets[0].getsockname()[1], flush=True)
    await loop.run_in_executor(None, sys.stdin.read)


class BenchGateway:
    """Server whose threads each accept a connection and forward its request."""

    def __init__(self, mode: str, url: str) -> None:
        copier = RelayCopier(Relay.start()) if mode == "relay" else WorkerCopier()
        self.client = EndpointClient(Limits(), copier)
        self.url = url

    def run(self) -> None:
        threading.stack_size(STACK_BYTES)
        listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
        print(listener.getsockname()[1], flush=True)
        for _ in range(THREADS):
            threading.Thread(target=self.accept, args=(listener,), daemon=True).start()
        sys.stdin.read()

    def accept(self, listener: socket.socket) -> None:
        while True:
            sock, _ = listener.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.serve(sock)

    def serve(self, sock: socket.socket) -> None:
        with sock:
            body = sock.recv(65536).partition(b"\r\n\r\n")[2]
            now = time.monotonic()
            request = Request(
                "r", "t", "p", "/v1/completions", "POST", body, "application/json", now, now + 300
            )
            with suppress(RequestError):
                reply = self.client.send(
                    self.url,
                    request,
                    idempotent=True,
                    max_gap_s=10,
                    priority=1,
                    check_before_send=lambda: None,
                )
                sock.sendall(HEAD + chunk(next(iter(reply.stream))))
                reply.stream.relay_to(sock)
                sock.sendall(b"0\r\n\r\n")


class Window(NamedTuple):
    """Time window in which gaps and CPU time are measured."""

    start: float
    end: float


class CallerProtocol(asyncio.Protocol):
    """One caller, which records the arrival times of its tokens."""

    def __init__(self, tokens: int, window: Window) -> None:
        self.tokens = tokens
        self.window = window
        self.first_s = 0.0
        self.last_at = 0.0
        self.gaps: list[float] = []
        self.seen = 0
        self.tail = b""
        self.ended = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.asked_at = time.monotonic()
        body = b'{"tokens": %d}' % self.tokens
        transport.write(
            b"POST /v1/completions HTTP/1.1\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        )

    def data_received(self, data: bytes) -> None:
        now = time.monotonic()
        count = data.count(b"delta")
        if count and not self.seen:
            self.first_s = now - self.asked_at
        elif count and self.window.start <= now < self.window.end:
            self.gaps.append(now - self.last_at)
        if count:
            self.last_at = now
            self.seen += count
        self.tail = (self.tail + data)[-32:]
        if self.tail.endswith(chunk(DONE) + b"0\r\n\r\n"):
            self.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        whole = self.seen == self.tokens and self.tail.endswith(b"[DONE]\n\n\r\n0\r\n\r\n")
        self.ended.set_result(whole)


class Usage(NamedTuple):
    """CPU time and memory of a gateway process."""

    cpu_s: float
    mb: float

    @classmethod
    def from_pid(cls, pid: int) -> Usage:
        """Read the usage of a process from /proc, since it may be too busy to answer a request."""
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
        return cls(ticks / os.sysconf("SC_CLK_TCK"), pages * resource.getpagesize() / 2**20)


def find_percentile(values: list[float], share: float) -> float:
    return sorted(values)[min(len(values) - 1, int(len(values) * share))]


async def run_callers(port: int, pid: int, streams: int, window_s: float) -> str:
    loop = asyncio.get_running_loop()
    start = time.monotonic()
    window = Window(start + RAMP_S + 1, start + RAMP_S + 1 + window_s)
    tokens = int((RAMP_S + 2 + window_s) / PERIOD_S)
    callers = [CallerProtocol(tokens, window) for _ in range(streams)]
    opening = loop.create_task(open_all(callers, port, start))
    await asyncio.sleep(window.start - time.monotonic())
    before = Usage.from_pid(pid)
    began = time.monotonic()
    await asyncio.sleep(window.end - time.monotonic())
    after = Usage.from_pid(pid)
    took = time.monotonic() - began
    await opening
    ended, _ = await asyncio.wait([caller.ended for caller in callers], timeout=60)
    whole = sum(future.result() for future in ended)
    gaps = [gap for caller in callers for gap in caller.gaps]
    core = (after.cpu_s - before.cpu_s) / took
    rate = len(gaps) / window_s
    first = find_percentile([caller.first_s for caller in callers], 0.95) * 1000
    return (
        f"{core:.3f} | {after.mb:.0f} | {first:.1f} | {find_percentile(gaps, 0.95) * 1000:.1f} | "
        f"{find_percentile(gaps, 0.99) * 1000:.1f} | {rate:.0f} | {core / rate * 1e6:.1f} | "
        f"{whole}/{streams}"
    )


async def open_all(callers: list[CallerProtocol], port: int, start: float) -> None:
    loop = asyncio.get_running_loop()
    for number, caller in enumerate(callers):
        due = start + RAMP_S * number / len(callers)
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        await loop.create_connection(lambda: caller, "127.0.0.1", port)  # noqa: B023


def start_process(*arguments: str) -> tuple[subprocess.Popen[bytes], int]:
    """Start a process of this module, which ends when its standard input is closed."""
    command = [sys.executable, "-m", "cloverway.tests.bench_relay", *arguments]
    process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
    return process, int(process.stdout.readline())


def run_rounds(streams: list[int], rounds: int, window_s: float, modes: list[str]) -> None:
    source, source_port = start_process("source")
    url = f"http://127.0.0.1:{source_port}"
    gateways = {mode: start_process(mode, url) for mode in modes if mode != "direct"}
    print(
        "| streams | way | core | MB | p95 first ms | p95 gap ms | p99 gap ms | tokens/s |", end=""
    )
    print(" us/token | whole |\n| --: | :-- | --: | --: | --: | --: | --: | --: | --: | --: |")
    try:
        for count, _, mode in ((c, r, m) for c in streams for r in range(rounds) for m in modes):
            process, port = gateways.get(mode, (source, source_port))
            row = asyncio.run(run_callers(port, process.pid, count, window_s))
            print(f"| {count} | {mode} | {row} |", flush=True)
    finally:
        for process in (source, *(gateway for gateway, _ in gateways.values())):
            process.stdin.close()
            process.wait(10)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("role", nargs="?", choices=("run", "source", *MODES), default="run")
    parser.add_argument("url", nargs="?")
    parser.add_argument("--streams", type=int, nargs="+", default=[200, 400, 800])
    parser.add_argument("--rounds", type=int, default=3, choices=range(1, 11))
    parser.add_argument("--window", type=float, default=6.0)
    parser.add_argument("--modes", nargs="+", choices=MODES, default=list(MODES))
    options = parser.parse_args()
    if options.role == "source":
        asyncio.run(run_source())
    elif options.role == "run":
        streams = [min(count, THREADS - 50) for count in options.streams]
        run_rounds(streams, options.rounds, min(options.window, 60.0), options.modes)
    else:
        BenchGateway(options.role, options.url).run()


if __name__ == "__main__":
    main()
