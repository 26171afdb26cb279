"""TCP and UDP links between two parties that a test cuts, slows down, silences and restores."""

from __future__ import annotations

import asyncio
import socket
import threading
from collections.abc import Coroutine
from typing import Any

PIECE = 64 * 1024
TO_TARGET, TO_CALLER = "to_target", "to_caller"
BOTH = (TO_TARGET, TO_CALLER)


class State:
    """What a link does with bytes, for each of its two directions."""

    def __init__(self) -> None:
        self.silent = dict.fromkeys(BOTH, False)
        self.delay_s = dict.fromkeys(BOTH, 0.0)
        self.bytes_per_s: float | None = None


class Link:
    """Pass TCP connections and UDP datagrams at one port on to a target."""

    def __init__(self, target: str, *, udp: bool = False, port: int = 0) -> None:
        host, _, number = target.rpartition(":")
        self.target = (host, int(number))
        self.udp = udp
        self.port = port
        self.state = State()
        self.connections = 0
        self.passed = dict.fromkeys(BOTH, 0)
        self._pairs: set[tuple[asyncio.StreamWriter, asyncio.StreamWriter]] = set()
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

    def cut(self) -> None:
        """Reset open connections and refuse new ones; drop datagrams."""
        self.state.silent = dict.fromkeys(BOTH, True)
        self._wait(self._cut())

    def silence(self, *directions: str) -> None:
        """Keep connections open and accept new ones, but pass nothing, or nothing one way."""
        for direction in directions or BOTH:
            self.state.silent[direction] = True

    def silence_open(self) -> None:
        """Pass nothing more on the connections that are open now; new ones work."""
        self._wait(self._forget_open())

    def slow(self, delay_s: float, bytes_per_s: float | None = None) -> None:
        """Hold each piece back for a while, and pass only so many bytes a second."""
        self.state.delay_s = dict.fromkeys(BOTH, delay_s)
        self.state.bytes_per_s = bytes_per_s

    def restore(self) -> None:
        """Pass everything again; what was dropped stays lost."""
        self.state.silent = dict.fromkeys(BOTH, False)
        self.state.delay_s = dict.fromkeys(BOTH, 0.0)
        self.state.bytes_per_s = None
        if self._listener is None:
            self._wait(self._listen())

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_forever()
        for task in asyncio.all_tasks(self._loop):
            task.cancel()
        self._loop.run_until_complete(asyncio.sleep(0))
        self._loop.close()

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

    async def _cut(self) -> None:
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for pair in list(self._pairs):
            for writer in pair:
                writer.transport.abort()

    async def _forget_open(self) -> None:
        for pair in list(self._pairs):
            for writer in pair:
                writer.transport.pause_reading()
        self._pairs.clear()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, far_writer)
        self._pairs.add(pair)
        await asyncio.gather(
            self._copy(reader, far_writer, TO_TARGET),
            self._copy(far_reader, writer, TO_CALLER),
            return_exceptions=True,
        )
        self._pairs.discard(pair)

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: str
    ) -> None:
        try:
            while piece := await reader.read(PIECE):
                await self._pass(piece, writer, direction)
        except OSError:
            writer.transport.abort()
            return
        if not self.state.silent[direction]:
            writer.close()

    async def _pass(self, piece: bytes, writer: asyncio.StreamWriter, direction: str) -> None:
        if self.state.delay_s[direction]:
            await asyncio.sleep(self.state.delay_s[direction])
        if self.state.bytes_per_s:
            await asyncio.sleep(len(piece) / self.state.bytes_per_s)
        if self.state.silent[direction]:
            return
        writer.write(piece)
        self.passed[direction] += len(piece)
        await writer.drain()


class _Datagrams(asyncio.DatagramProtocol):
    """Pass datagrams on, each sender by a socket of its own, and their answers back."""

    def __init__(self, link: Link) -> None:
        self._link = link
        self._senders: dict[Any, socket.socket] = {}

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, sender: Any) -> None:
        self._later(TO_TARGET, lambda: self._socket_of(sender).send(data))

    def _socket_of(self, sender: Any) -> socket.socket:
        if sender not in self._senders:
            own = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            own.setblocking(False)
            own.connect(self._link.target)
            self._senders[sender] = own
            loop = asyncio.get_running_loop()
            loop.add_reader(own, self._answer, own, sender)
        return self._senders[sender]

    def _answer(self, own: socket.socket, sender: Any) -> None:
        try:
            data = own.recv(PIECE)
        except OSError:
            return
        self._later(TO_CALLER, lambda: self._transport.sendto(data, sender))

    def _later(self, direction: str, send: Any) -> None:
        if not self._link.state.silent[direction]:
            delay = self._link.state.delay_s[direction]
            asyncio.get_running_loop().call_later(delay, send)
