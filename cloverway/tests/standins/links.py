"""TCP and UDP proxies with injected faults: cut, delayed, dropping and stalled connections."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import socket
import struct
import threading
from asyncio import WriteTransport as Transport
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

from cloverway.tests.standins.waiting import end_tasks

MAX_CHUNK_BYTES = 64 * 1024
POLL_S = 0.005
LARGE_CHUNK_BYTES = 4096
TO_TARGET, TO_CALLER = "to_target", "to_caller"
BOTH = (TO_TARGET, TO_CALLER)


ANY_CLIENT = ""
NO_LINGER = struct.pack("ii", 1, 0)
Identify = Callable[[str, int], str]
"""Returns the name of the process that uses a local port of a kind ("tcp" or "udp")."""


def reset_transport(transport: Transport) -> None:
    """Reset a connection; `abort` alone closes it in order unless received bytes are unread."""
    if not transport.is_closing():
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    transport.abort()


class ClientIdentity:
    """The client that uses a local port; looked up on first use, because a lookup is slow."""

    def __init__(self, identify: Identify, kind: str, port: int) -> None:
        self._find = functools.partial(identify, kind, port)

    @functools.cached_property
    def name(self) -> str:
        return self._find()

    def is_among(self, names: set[str]) -> bool:
        return bool(names) and (ANY_CLIENT in names or self.name in names)


class Pair(NamedTuple):
    """The two sides of a proxied connection and the client that opened it."""

    client: ClientIdentity
    caller_writer: asyncio.StreamWriter
    target_writer: asyncio.StreamWriter


class Link:
    """A proxy that forwards the TCP connections and UDP datagrams of one port to a target."""

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
        self.identify = identify or (lambda _kind, _port: ANY_CLIENT)
        self._cut: set[str] = set()
        self._blackholed_clients: dict[str, set[str]] = {direction: set() for direction in BOTH}
        self._delay_s = 0.0
        self._bytes_per_s: float | None = None
        self._max_passed: int | None = None
        self._opening: dict[asyncio.StreamWriter, ClientIdentity] = {}
        """Accepted connections that have none to the target yet."""
        self._pairs: set[Pair] = set()
        self._blackholed_pairs: set[Pair] = set()
        self._listener: socket.socket | None = None
        self._forwarding: set[asyncio.Task[None]] = set()
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

    def cut(self, *clients: str) -> None:
        """Reset the connections of the named clients, or of all, and refuse new ones."""
        self._cut |= set(clients or {ANY_CLIENT})
        self._wait(self._end_connections(reset_transport))

    def crash(self) -> None:
        """Close all connections in order and refuse new ones, as the kernel does after a crash."""
        self._cut.add(ANY_CLIENT)
        self._wait(self._end_connections(lambda transport: transport.abort()))

    def refuse(self) -> None:
        """Refuse new connections; those that are open stay."""
        self._cut.add(ANY_CLIENT)
        self._wait(self._refuse())

    def blackhole(self, *directions: str, client: str = ANY_CLIENT) -> None:
        """Keep accepting connections, but drop all data in some directions, by default in both."""
        for direction in directions or BOTH:
            self._blackholed_clients[direction].add(client)

    def blackhole_open(self) -> None:
        """Forward nothing more on the connections that are open now; new ones work."""
        self._wait(self._blackhole_open_pairs())

    def slow(self, delay_s: float, bytes_per_s: float | None = None) -> None:
        """Delay each chunk, and limit the throughput to `bytes_per_s`."""
        self._delay_s = delay_s
        self._bytes_per_s = bytes_per_s

    def hold_large(self, max_passed: int) -> None:
        """Forward only the first `max_passed` bytes of each large chunk sent to the target.

        The rest is held until `release_large` or `restore`. Small requests, such as those for
        load reports, are forwarded as usual.
        """
        self._max_passed = max_passed

    def release_large(self) -> None:
        """Forward the held data and keep other faults in place."""
        self._max_passed = None

    def restore(self) -> None:
        """Remove all faults; data that was dropped stays lost."""
        self._cut.clear()
        for names in self._blackholed_clients.values():
            names.clear()
        self._max_passed = None
        self.slow(0.0)
        if self._listener is None:
            self._wait(self._listen())

    def is_cut(self, client: ClientIdentity) -> bool:
        return client.is_among(self._cut)

    def is_blackholed(self, client: ClientIdentity, direction: str) -> bool:
        return client.is_among(self._blackholed_clients[direction])

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_forever()
        end_tasks(self._loop)

    def _wait(self, work: Coroutine[Any, Any, Any]) -> Any:
        return asyncio.run_coroutine_threadsafe(work, self._loop).result(5)

    async def _listen(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", self.port), backlog=128)
        self._listener.setblocking(False)
        self.port = self._listener.getsockname()[1]
        self._loop.add_reader(self._listener, self._accept, self._listener)

    async def _listen_udp(self) -> None:
        await self._loop.create_datagram_endpoint(
            lambda: _Datagrams(self), local_addr=("127.0.0.1", self.port)
        )

    async def _end_connections(self, end: Callable[[Transport], None]) -> None:
        if ANY_CLIENT in self._cut:
            await self._refuse()
        for writer, client in self._opening.items():
            if self.is_cut(client):
                end(writer.transport)
        for pair in [
            pair for pair in self._pairs | self._blackholed_pairs if self.is_cut(pair.client)
        ]:
            end(pair.caller_writer.transport)
            end(pair.target_writer.transport)

    async def _refuse(self) -> None:
        # An asyncio.Server that is closed leaves connections open, and unserved, which it has
        # accepted in the same iteration of its loop.
        if self._listener is not None:
            self._loop.remove_reader(self._listener)
            self._listener.close()
            self._listener = None

    async def _blackhole_open_pairs(self) -> None:
        for pair in self._pairs:
            pair.caller_writer.transport.pause_reading()
            pair.target_writer.transport.pause_reading()
        self._blackholed_pairs |= self._pairs
        self._pairs.clear()

    def _accept(self, listener: socket.socket) -> None:
        try:
            sock, address = listener.accept()
        except OSError:
            return  # The client has left, or another call accepted the connection.
        sock.setblocking(False)
        task = self._loop.create_task(self._forward(sock, address[1]))
        self._forwarding.add(task)
        task.add_done_callback(self._forwarding.discard)

    async def _forward(self, sock: socket.socket, client_port: int) -> None:
        self.connections += 1
        reader, writer = await asyncio.open_connection(sock=sock)
        client = ClientIdentity(self.identify, "tcp", client_port)
        if self.is_cut(client):
            writer.transport.abort()
            return
        self._opening[writer] = client
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        finally:
            del self._opening[writer]
        if self.is_cut(client):
            writer.transport.abort()
            target_writer.transport.abort()
            return
        pair = Pair(client, writer, target_writer)
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
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, pair: Pair, direction: str
    ) -> None:
        try:
            while received := await reader.read(MAX_CHUNK_BYTES):
                chunk = received
                await self._delay(len(chunk))
                if (
                    direction == TO_TARGET
                    and len(chunk) > LARGE_CHUNK_BYTES
                    and self._max_passed is not None
                ):
                    chunk = await self._pass_beginning(chunk, writer)
                if not self._drops(pair, direction):
                    self.passed_bytes[direction] += len(chunk)
                    writer.write(chunk)
                    await writer.drain()
        except OSError:
            reset_transport(writer.transport)
            return
        if not self._drops(pair, direction):
            writer.close()

    def _drops(self, pair: Pair, direction: str) -> bool:
        return pair in self._blackholed_pairs or self.is_blackholed(pair.client, direction)

    async def _pass_beginning(self, chunk: bytes, writer: asyncio.StreamWriter) -> bytes:
        """Forward the beginning of a chunk, wait for its release, and return the rest."""
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

    def schedule_datagram(
        self, client: ClientIdentity, direction: str, send: Callable[[], object]
    ) -> None:
        """Schedule the sending of a datagram unless the link drops it; call this on the loop."""
        if not self.is_cut(client) and not self.is_blackholed(client, direction):
            self._loop.call_later(self._delay_s, send)


class _Datagrams(asyncio.DatagramProtocol):
    """Forwards datagrams through one socket per sender, and the responses back to the sender."""

    def __init__(self, link: Link) -> None:
        self._link = link
        self._senders: dict[Any, socket.socket] = {}
        self._clients: dict[Any, ClientIdentity] = {}

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, sender: Any) -> None:
        upstream = self._socket_of(sender)
        self._link.schedule_datagram(
            self._clients[sender], TO_TARGET, lambda: _send(upstream, data)
        )

    def _socket_of(self, sender: Any) -> socket.socket:
        if sender not in self._senders:
            upstream = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            upstream.setblocking(False)
            upstream.connect(self._link.target)
            self._senders[sender] = upstream
            self._clients[sender] = ClientIdentity(self._link.identify, "udp", sender[1])
            asyncio.get_running_loop().add_reader(upstream, self._answer, upstream, sender)
        return self._senders[sender]

    def _answer(self, upstream: socket.socket, sender: Any) -> None:
        try:
            data = upstream.recv(MAX_CHUNK_BYTES)
        except OSError:
            return
        client = self._clients[sender]
        self._link.schedule_datagram(
            client, TO_CALLER, lambda: self._transport.sendto(data, sender)
        )


def _send(upstream: socket.socket, data: bytes) -> None:
    """Send a datagram; if that fails it is lost, as on any network."""
    with contextlib.suppress(OSError):
        upstream.send(data)
