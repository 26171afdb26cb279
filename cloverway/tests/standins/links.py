"""TCP and UDP links between two parties that a test cuts, slows down, silences and restores."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import socket
import threading
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

from cloverway.tests.standins.waiting import end_tasks

MAX_CHUNK_BYTES = 64 * 1024
POLL_S = 0.005
LARGE_CHUNK_BYTES = 4096
TO_TARGET, TO_CALLER = "to_target", "to_caller"
BOTH = (TO_TARGET, TO_CALLER)


EVERYONE = ""
Identify = Callable[[str, int], str]
"""Gives the name of who uses a local port of a kind ("tcp" or "udp")."""


class PeerIdentity:
    """Who uses a port of this machine; found out when it first matters, for that takes long."""

    def __init__(self, identify: Identify, kind: str, port: int) -> None:
        self._find = functools.partial(identify, kind, port)

    @functools.cached_property
    def name(self) -> str:
        return self._find()

    def is_among(self, names: set[str]) -> bool:
        return bool(names) and (EVERYONE in names or self.name in names)


class Pair(NamedTuple):
    """The two halves of one connection, and who opened it."""

    source: PeerIdentity
    caller_writer: asyncio.StreamWriter
    target_writer: asyncio.StreamWriter


class Link:
    """Pass TCP connections and UDP datagrams at one port on to a target."""

    def __init__(
        self, target: str, *, udp: bool = False, port: int = 0, identify: Identify | None = None
    ) -> None:
        host, _, number = target.rpartition(":")
        self.target = (host, int(number))
        self.udp = udp
        self.port = port
        self.connections = 0
        self.held = 0
        self.passed_bytes = dict.fromkeys(BOTH, 0)
        self.identify = identify or (lambda _kind, _port: EVERYONE)
        self._cut: set[str] = set()
        self._blackholed_clients: dict[str, set[str]] = {way: set() for way in BOTH}
        self._delay_s = 0.0
        self._bytes_per_s: float | None = None
        self._max_passed: int | None = None
        self._pairs: set[Pair] = set()
        self._blackholed_pairs: set[Pair] = set()
        self._listener: asyncio.Server | None = None
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run, name="link", daemon=True)

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    @property
    def url(self) -> str:
        return f"http://{self.address}"

    def start(self) -> Link:
        self._thread.start()
        self._wait(self._listen())
        if self.udp:
            self._wait(self._listen_udp())
        return self

    def stop(self) -> None:
        if not self._loop.is_running():
            return
        self.cut()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5)

    def __enter__(self) -> Link:
        return self.start()

    def __exit__(self, *_: object) -> None:
        self.stop()

    def cut(self, *sources: str) -> None:
        """Reset the connections of some callers, or of all, and refuse their new ones."""
        self._cut |= set(sources or {EVERYONE})
        self._wait(self._reset())

    def blackhole(self, *directions: str, source: str = EVERYONE) -> None:
        """Keep connections open and accept new ones, but pass nothing, or nothing one way."""
        for way in directions or BOTH:
            self._blackholed_clients[way].add(source)

    def blackhole_open(self) -> None:
        """Pass nothing more on the connections that are open now; new ones work."""
        self._wait(self._blackhole_open_pairs())

    def slow(self, delay_s: float, bytes_per_s: float | None = None) -> None:
        """Hold each piece back for a while, and pass only so many bytes a second."""
        self._delay_s = delay_s
        self._bytes_per_s = bytes_per_s

    def hold_large(self, max_passed: int) -> None:
        """Of each large piece to the target pass so many bytes, and hold the rest until restored.

        Small requests, such as those for load reports, go on as before.
        """
        self._max_passed = max_passed

    def release_large(self) -> None:
        """Pass what is held back, and leave other faults as they are."""
        self._max_passed = None

    def restore(self) -> None:
        """Pass everything again; what was dropped stays lost."""
        self._cut.clear()
        for names in self._blackholed_clients.values():
            names.clear()
        self._max_passed = None
        self.slow(0.0)
        if self._listener is None:
            self._wait(self._listen())

    def is_cut(self, source: PeerIdentity) -> bool:
        return source.is_among(self._cut)

    def is_blackholed(self, source: PeerIdentity, way: str) -> bool:
        return source.is_among(self._blackholed_clients[way])

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_forever()
        end_tasks(self._loop)

    def _wait(self, work: Coroutine[Any, Any, Any]) -> Any:
        return asyncio.run_coroutine_threadsafe(work, self._loop).result(5)

    async def _listen(self) -> None:
        self._listener = await asyncio.start_server(
            self._accept, "127.0.0.1", self.port, reuse_address=True
        )
        self.port = self._listener.sockets[0].getsockname()[1]

    async def _listen_udp(self) -> None:
        await self._loop.create_datagram_endpoint(
            lambda: _Datagrams(self), local_addr=("127.0.0.1", self.port)
        )

    async def _reset(self) -> None:
        if EVERYONE in self._cut and self._listener is not None:
            self._listener.close()
            self._listener = None
        for pair in [
            pair for pair in self._pairs | self._blackholed_pairs if self.is_cut(pair.source)
        ]:
            pair.caller_writer.transport.abort()
            pair.target_writer.transport.abort()

    async def _blackhole_open_pairs(self) -> None:
        for pair in self._pairs:
            pair.caller_writer.transport.pause_reading()
            pair.target_writer.transport.pause_reading()
        self._blackholed_pairs |= self._pairs
        self._pairs.clear()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        source = PeerIdentity(self.identify, "tcp", writer.get_extra_info("peername")[1])
        if self.is_cut(source):
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        pair = Pair(source, writer, target_writer)
        self._pairs.add(pair)
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(
                self._copy(reader, target_writer, pair, TO_TARGET),
                self._copy(target_reader, writer, pair, TO_CALLER),
                return_exceptions=True,
            )
        self._pairs.discard(pair)
        self._blackholed_pairs.discard(pair)

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, pair: Pair, way: str
    ) -> None:
        try:
            while received := await reader.read(MAX_CHUNK_BYTES):
                chunk = received
                await self._delay(len(chunk))
                if (
                    way == TO_TARGET
                    and len(chunk) > LARGE_CHUNK_BYTES
                    and self._max_passed is not None
                ):
                    chunk = await self._pass_beginning(chunk, writer)
                if not self._drops(pair, way):
                    self.passed_bytes[way] += len(chunk)
                    writer.write(chunk)
                    await writer.drain()
        except OSError:
            writer.transport.abort()
            return
        if not self._drops(pair, way):
            writer.close()

    def _drops(self, pair: Pair, way: str) -> bool:
        return pair in self._blackholed_pairs or self.is_blackholed(pair.source, way)

    async def _pass_beginning(self, chunk: bytes, writer: asyncio.StreamWriter) -> bytes:
        """Pass a part of a piece, wait for the restoring, and give the rest."""
        part = chunk[: self._max_passed]
        self.passed_bytes[TO_TARGET] += len(part)
        self.held += 1
        writer.write(part)
        while self._max_passed is not None and not writer.is_closing():
            await asyncio.sleep(POLL_S)
        return chunk[len(part) :]

    async def _delay(self, size: int) -> None:
        if self._delay_s:
            await asyncio.sleep(self._delay_s)
        if self._bytes_per_s:
            await asyncio.sleep(size / self._bytes_per_s)

    def schedule_datagram(self, source: PeerIdentity, way: str, send: Callable[[], object]) -> None:
        """Send a datagram unless the link drops it; on the loop."""
        if not self.is_cut(source) and not self.is_blackholed(source, way):
            self._loop.call_later(self._delay_s, send)


class _Datagrams(asyncio.DatagramProtocol):
    """Pass datagrams on, each sender by a socket of its own, and their answers back."""

    def __init__(self, link: Link) -> None:
        self._link = link
        self._senders: dict[Any, socket.socket] = {}
        self._sources: dict[Any, PeerIdentity] = {}

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, sender: Any) -> None:
        own = self._socket_of(sender)
        self._link.schedule_datagram(self._sources[sender], TO_TARGET, lambda: _send(own, data))

    def _socket_of(self, sender: Any) -> socket.socket:
        if sender not in self._senders:
            own = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            own.setblocking(False)
            own.connect(self._link.target)
            self._senders[sender] = own
            self._sources[sender] = PeerIdentity(self._link.identify, "udp", sender[1])
            asyncio.get_running_loop().add_reader(own, self._answer, own, sender)
        return self._senders[sender]

    def _answer(self, own: socket.socket, sender: Any) -> None:
        try:
            data = own.recv(MAX_CHUNK_BYTES)
        except OSError:
            return
        source = self._sources[sender]
        self._link.schedule_datagram(
            source, TO_CALLER, lambda: self._transport.sendto(data, sender)
        )


def _send(own: socket.socket, data: bytes) -> None:
    """Send a datagram; one that can't be sent is lost, as on any network."""
    with contextlib.suppress(OSError):
        own.send(data)
