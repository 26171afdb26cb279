"""Requests to endpoints and other hosts: kept connections, and one answer read as it comes."""

from __future__ import annotations

import asyncio
import re
from collections import defaultdict
from collections.abc import Callable, Sequence
from typing import NamedTuple

import h11

from cloverway.core.calls import Header
from cloverway.errors import CloverwayError
from cloverway.serving.clock import read_clock
from cloverway.serving.http.transport import Connection, connect

DEFAULT_IDLE_S = 4.0
"""How long a connection is kept where the other end names no time: below the shortest idle time
of common servers, which is five seconds."""
IDLE_MARGIN_S = 0.8
"""A connection is given up this long before the other end does, or else a request may meet the
close on its way, and whether it ran can't be known."""
MAX_HEAD_BYTES = 64 * 1024
KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d+)")


class ConnectError(CloverwayError):
    """No connection could be opened; nothing was sent."""

    def __init__(self, detail: str, *, connection_refused: bool = False) -> None:
        super().__init__(detail)
        self.connection_refused = connection_refused
        """Whether the other machine refused it: what listened there has ended."""


class ResponseError(CloverwayError):
    """The answer broke off or is no HTTP; the request may have run."""


class ResponseTooLargeError(ResponseError):
    """The answer is longer than what may be held in memory."""


class ResponseHead(NamedTuple):
    """The head of an answer."""

    status: int
    headers: Sequence[Header]
    """Names in lower case."""

    def get(self, name: bytes) -> bytes | None:
        """Give the first header of a name in lower case."""
        return next((value for key, value in self.headers if key == name), None)


class ClientExchange:
    """One request on one connection, and its answer."""

    def __init__(self, connection: Connection, request: h11.Request, body: bytes) -> None:
        self.connection = connection
        self._request = request
        self._body = body
        self._http = self._begin()
        self.head: ResponseHead | None = None
        self.is_complete = False
        """Whether the answer was read to its end."""

    def write(self) -> None:
        """Send the request."""
        http = h11.Connection(h11.CLIENT)
        data = http.send(self._request) or b""
        data += http.send(h11.Data(data=self._body)) or b"" if self._body else b""
        self.connection.write(data + (http.send(h11.EndOfMessage()) or b""))

    async def read_head(self, is_expected: Callable[[ResponseHead], bool]) -> ResponseHead:
        """Give the head of the answer, past answers to others; raise ResponseError.

        An endpoint may send an answer a second time, when the next one is due on the connection:
        without the look at whom it answers, a caller would get the answer of another.
        """
        while True:
            event = await self._read_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise ResponseError("the answer has no head")
            head = ResponseHead(event.status_code, list(event.headers))
            if is_expected(head):
                self.head = head
                return head
            await self._skip_response()

    async def read_chunk(self) -> bytes:
        """Give the next part of the body, empty at its end; raise ResponseError."""
        event = await self._read_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if not isinstance(event, h11.EndOfMessage):
            raise ResponseError("the answer broke off")
        self.is_complete = True
        return b""

    async def read_body(self, limit: int) -> bytes:
        """Give the rest of the body; raise ResponseError, also when it is over a limit."""
        parts: list[bytes] = []
        size = 0
        while part := await self.read_chunk():
            parts.append(part)
            size += len(part)
            if size > limit:
                raise ResponseTooLargeError("the answer is too long")
        return b"".join(parts)

    @property
    def is_reusable(self) -> bool:
        """Whether the connection may carry another request."""
        return (
            self.is_complete
            and self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not self._http.trailing_data[0]
            and not self.connection.has_input
            and self.connection.unsent_bytes == 0
        )

    def _begin(self) -> h11.Connection:
        """Give a parser that expects the answer to this request."""
        http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        http.send(self._request)
        if self._body:
            http.send(h11.Data(data=self._body))
        http.send(h11.EndOfMessage())
        return http

    async def _skip_response(self) -> None:
        while await self.read_chunk():
            continue
        rest, closed = self._http.trailing_data
        if closed or self._http.their_state is not h11.DONE:
            raise ResponseError("the connection ended after the answer to another request")
        self.is_complete = False
        self._http = self._begin()
        self._http.receive_data(rest)

    async def _read_event(self) -> object:
        try:
            while (event := self._http.next_event()) is h11.NEED_DATA:
                self._http.receive_data(await self.connection.receive())
        except (h11.RemoteProtocolError, OSError) as error:
            raise ResponseError(str(error) or "the connection broke") from error
        return event


class Destination(NamedTuple):
    """Whom a connection leads to."""

    address: str
    life: str = ""
    """The life of the endpoint; empty for hosts. The next one at the address may be another
    endpoint, or know nothing of the one before: a connection of that time is never used for it."""


class _IdleConnection(NamedTuple):
    connection: Connection
    until: float


class ConnectionPool:
    """Connections that are kept between requests, by the place that they lead to."""

    def __init__(self, on_connect: Callable[[str], None] = lambda address: None) -> None:
        self._kept: defaultdict[Destination, list[_IdleConnection]] = defaultdict(list)
        self._on_connect = on_connect

    async def acquire(self, place: Destination, timeout_s: float) -> Connection:
        """Give a connection that is free, or a new one; raise ConnectError."""
        now = read_clock()
        kept = self._kept[place]
        while kept:
            connection, until = kept.pop()
            if now < until and not connection.has_input and not connection.lost.done():
                return connection
            connection.abort()
        return await self.open_new(place.address, timeout_s)

    async def open_new(self, address: str, timeout_s: float) -> Connection:
        """Give a new connection; raise ConnectError."""
        self._on_connect(address)
        try:
            return await connect(address, timeout_s)
        except OSError as error:
            refused = isinstance(error, ConnectionRefusedError)
            detail = str(error) or type(error).__name__
            raise ConnectError(detail, connection_refused=refused) from error

    def release(
        self, place: Destination, sending: ClientExchange, idle_s: float | None = None
    ) -> None:
        """Keep the connection of a request that has ended, or close it.

        It is kept for as long as the other end says, or else for `idle_s`.
        """
        if not sending.is_reusable or sending.head is None:
            sending.connection.abort()
            return
        until = (
            read_clock() + _get_keep_alive_s(sending.head, idle_s or DEFAULT_IDLE_S) - IDLE_MARGIN_S
        )
        self._kept[place].append(_IdleConnection(sending.connection, until))

    def close_idle(self, place: Destination) -> None:
        """Close the kept connections to a place."""
        for connection, _ in self._kept.pop(place, ()):
            connection.abort()

    def close_expired(self, now: float) -> None:
        """Close the connections that are kept no longer."""
        for place, kept in list(self._kept.items()):
            live = []
            for item in kept:
                if now < item.until and not item.connection.lost.done():
                    live.append(item)
                else:
                    item.connection.abort()
            if live:
                self._kept[place] = live
            else:
                del self._kept[place]


def make_request(method: str, target: str, headers: Sequence[Header], body: bytes) -> h11.Request:
    """Give the head of a request with the length of its body."""
    framed = list(headers)
    if body or method not in ("GET", "HEAD", "DELETE"):
        framed.append((b"Content-Length", str(len(body)).encode()))
    return h11.Request(method=method, target=target.encode("latin-1"), headers=framed)


async def fetch(
    pool: ConnectionPool,
    address: str,
    request: h11.Request,
    body: bytes,
    *,
    timeout_s: float,
    limit: int,
) -> tuple[ResponseHead, bytes]:
    """Send a small request and read its whole answer; raise ConnectError or ResponseError."""
    place = Destination(address)
    sending: ClientExchange | None = None
    try:
        async with asyncio.timeout(timeout_s):
            connection = await pool.acquire(place, timeout_s)
            sending = ClientExchange(connection, request, body)
            sending.write()
            head = await sending.read_head(lambda head: True)
            data = await sending.read_body(limit)
    except TimeoutError as error:
        raise ResponseError(f"no answer within {timeout_s:g} s") from error
    finally:
        if sending is not None:
            pool.release(place, sending)
    return head, data


def _get_keep_alive_s(head: ResponseHead, default_s: float) -> float:
    match = KEEP_ALIVE_TIMEOUT.search(head.get(b"keep-alive") or b"")
    return float(match.group(1)) if match else default_s
