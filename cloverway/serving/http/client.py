"""HTTP client for endpoints and other hosts, with kept connections and streamed responses."""

from __future__ import annotations

import asyncio
import itertools
import re
from collections import defaultdict
from collections.abc import Callable, Sequence
from enum import StrEnum
from typing import NamedTuple

import h11

from cloverway.core.calls import Header
from cloverway.errors import CloverwayError
from cloverway.serving.clock import read_clock
from cloverway.serving.http.transport import Connection, connect
from cloverway.serving.timeouts import limit_running_time

DEFAULT_IDLE_S = 4.0
"""How long an idle connection is kept if the server states no idle timeout: below the shortest idle
timeout of common servers, which is five seconds."""
IDLE_MARGIN_S = 0.8
"""A connection is closed this long before the server does so. Otherwise the server's close may
cross a request, and it is unknown whether the request ran."""
MAX_HEAD_BYTES = 64 * 1024
MAX_REQUEST_IDS = 256
"""A connection that has carried so many requests is not kept, since it holds their ids: 25 KB."""
MAX_EARLIER_RESPONSES = 16
"""Responses, interim ones too, that may come before the one to a request. Endpoints send an earlier
one again once."""
MAX_SKIPPED_BYTES = 4 * 1024 * 1024
"""Maximum length of a response to another request, as of one that is expected."""
MIN_COUNTED_BYTES = 512
"""What a chunk counts at least in the length of a body: one of a byte takes as long to parse."""
EVENTS_PER_TURN = 64
"""Parsed parts of a response after which other requests get a turn, though more has arrived."""
BODILESS_STATUSES = frozenset((204, 304))
KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d+)")


class ConnectError(CloverwayError):
    """No connection could be opened; nothing was sent."""

    def __init__(self, detail: str, *, connection_refused: bool = False) -> None:
        super().__init__(detail)
        self.connection_refused = connection_refused
        """Whether the connection was refused: nothing listens at the address any more."""


class ResponseError(CloverwayError):
    """The response broke off or is not valid HTTP; the request may have run."""


class ResponseTooLargeError(ResponseError):
    """The response is larger than the limit on what is held in memory."""


class Framing(StrEnum):
    """What marks the end of the body of a response."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"
    """Only the end of the connection, so that a truncated body looks like a complete one."""


class ResponseHead(NamedTuple):
    """The head of a response."""

    status: int
    headers: Sequence[Header]
    """Names in lower case."""

    def get(self, name: bytes) -> bytes | None:
        """Return the value of the first header with a name in lower case."""
        return next((value for key, value in self.headers if key == name), None)

    @property
    def framing(self) -> Framing:
        """What marks the end of the body."""
        if self.get(b"transfer-encoding") is not None:
            return Framing.CHUNKS
        has_length = self.get(b"content-length") is not None or self.status in BODILESS_STATUSES
        return Framing.LENGTH if has_length else Framing.CONNECTION


class ClientConnection(Connection):
    """A connection that this host opened, and what it has carried."""

    def __init__(self, number: int) -> None:
        super().__init__()
        self.number = number
        """Names the connection in logs; unique in its pool."""
        self.exchanges = 0
        """Requests that were sent on it."""
        self.request_ids: set[str] = set()
        """Ids of the requests to endpoints that it was acquired for."""


class ClientExchange:
    """One request on a connection, and its response."""

    def __init__(self, connection: ClientConnection, request: h11.Request, body: bytes) -> None:
        self.connection = connection
        self._request = request
        self._body = body
        self._http = self._begin()
        self.head: ResponseHead | None = None
        self.is_complete = False
        """Whether the response was read to its end."""
        self.is_last = False
        """Whether the connection must not carry another request."""
        self.skipped_responses = 0
        """Responses to other requests that were read before the one to this request."""
        self._events = 0

    def write(self) -> None:
        """Send the request."""
        self.connection.exchanges += 1
        http = h11.Connection(h11.CLIENT)
        data = http.send(self._request) or b""
        data += http.send(h11.Data(data=self._body)) or b"" if self._body else b""
        self.connection.write(data + (http.send(h11.EndOfMessage()) or b""))

    async def read_head(self, is_expected: Callable[[ResponseHead], bool]) -> ResponseHead:
        """Return the head of the response, skipping those of other requests; raise ResponseError.

        An endpoint may send a response twice, at the time when the next one is due on the
        connection. Without this check a caller would get the response to another caller's request.
        """
        for _ in range(MAX_EARLIER_RESPONSES + 1):
            event = await self._read_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise ResponseError("the response has no head")
            head = ResponseHead(event.status_code, list(event.headers))
            if is_expected(head):
                self.head = head
                return head
            await self._skip_response()
        raise ResponseError("too many other responses came before the one to the request")

    async def read_chunk(self) -> bytes:
        """Return the next chunk of the body, empty at its end; raise ResponseError."""
        event = await self._read_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if not isinstance(event, h11.EndOfMessage):
            raise ResponseError("the response is incomplete")
        self.is_complete = True
        return b""

    async def read_body(self, limit: int) -> bytes:
        """Return the rest of the body; raise ResponseError, also if it is over the limit."""
        chunks: list[bytes] = []
        size = 0
        while chunk := await self.read_chunk():
            chunks.append(chunk)
            size += max(len(chunk), MIN_COUNTED_BYTES)
            if size > limit:
                raise ResponseTooLargeError("the response is over the size limit")
        return b"".join(chunks)

    @property
    def is_reusable(self) -> bool:
        """Whether the connection can be used for another request."""
        return (
            self.is_complete
            and not self.is_last
            and self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not self._http.trailing_data[0]
            and not self.connection.has_input
            and self.connection.unsent_bytes == 0
        )

    def _begin(self) -> h11.Connection:
        """Return a parser that expects the response to this request."""
        http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        http.send(self._request)
        if self._body:
            http.send(h11.Data(data=self._body))
        http.send(h11.EndOfMessage())
        return http

    async def _skip_response(self) -> None:
        await self.read_body(MAX_SKIPPED_BYTES)
        rest, closed = self._http.trailing_data
        if closed or self._http.their_state is not h11.DONE:
            raise ResponseError("the connection ended after the response to another request")
        self.is_complete = False
        self.skipped_responses += 1
        self._http = self._begin()
        if rest:
            # No bytes would tell the parser that the connection has ended.
            self._http.receive_data(rest)

    async def _read_event(self) -> object:
        self._events += 1
        if self._events % EVENTS_PER_TURN == 0:
            await asyncio.sleep(0)
        try:
            while (event := self._http.next_event()) is h11.NEED_DATA:
                self._http.receive_data(await self.connection.receive())
        except (h11.RemoteProtocolError, OSError) as error:
            raise ResponseError(str(error) or "the connection broke") from error
        return event


class Destination(NamedTuple):
    """The target of a connection."""

    address: str
    incarnation: str = ""
    """The incarnation of the endpoint; empty for hosts. The next one at the address may be another
    endpoint or have no state of the earlier one, so a connection to the earlier one is never reused
    for it."""


class _IdleConnection(NamedTuple):
    connection: ClientConnection
    expires_at: float


class ConnectionPool:
    """Idle connections kept between requests, by destination."""

    def __init__(self, on_connect: Callable[[str], None] = lambda address: None) -> None:
        self._idle: defaultdict[Destination, list[_IdleConnection]] = defaultdict(list)
        self._on_connect = on_connect
        self._numbers = itertools.count(1)

    async def acquire(
        self, destination: Destination, timeout_s: float, request_id: str = ""
    ) -> ClientConnection:
        """Return an idle connection, or a new one; raise ConnectError.

        With a `request_id`, the connection has never carried a request of this id. An endpoint may
        send its answer once more when the next one is due, and only the id tells the two apart: if
        the same request were sent again, its earlier refusal would be read as its answer.
        """
        connection = self._take_idle(destination, request_id, read_clock())
        if connection is None:
            connection = await self.open_new(destination.address, timeout_s)
        if request_id:
            connection.request_ids.add(request_id)
        return connection

    def _take_idle(
        self, destination: Destination, request_id: str, now: float
    ) -> ClientConnection | None:
        """Return the most recently used idle connection that may carry a request."""
        idle = self._idle[destination]
        for item in idle[::-1]:
            connection = item.connection
            if request_id in connection.request_ids:
                continue
            idle.remove(item)
            if now < item.expires_at and not connection.has_input and not connection.lost.done():
                return connection
            connection.abort()
        return None

    async def open_new(self, address: str, timeout_s: float) -> ClientConnection:
        """Return a new connection; raise ConnectError."""
        self._on_connect(address)
        try:
            return await connect(address, timeout_s, lambda: ClientConnection(next(self._numbers)))
        except OSError as error:
            refused = isinstance(error, ConnectionRefusedError)
            detail = str(error) or type(error).__name__
            raise ConnectError(detail, connection_refused=refused) from error

    def release(
        self, destination: Destination, exchange: ClientExchange, idle_s: float | None = None
    ) -> None:
        """Keep the connection of a finished request, or close it.

        It is kept for as long as the server states, or else for `idle_s`.
        """
        is_worn = len(exchange.connection.request_ids) >= MAX_REQUEST_IDS
        if not exchange.is_reusable or exchange.head is None or is_worn:
            exchange.connection.abort()
            return
        expires_at = (
            read_clock()
            + _get_keep_alive_s(exchange.head, idle_s or DEFAULT_IDLE_S)
            - IDLE_MARGIN_S
        )
        self._idle[destination].append(_IdleConnection(exchange.connection, expires_at))

    def close_idle(self, destination: Destination) -> None:
        """Close the idle connections to a destination."""
        for connection, _ in self._idle.pop(destination, ()):
            connection.abort()

    def close_expired(self, now: float) -> None:
        """Close the idle connections whose time is over."""
        for destination, idle in list(self._idle.items()):
            live = []
            for item in idle:
                if now < item.expires_at and not item.connection.lost.done():
                    live.append(item)
                else:
                    item.connection.abort()
            if live:
                self._idle[destination] = live
            else:
                del self._idle[destination]


def make_request(method: str, target: str, headers: Sequence[Header], body: bytes) -> h11.Request:
    """Return the head of a request with the length of its body."""
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
    is_own_connection: bool = False,
) -> tuple[ResponseHead, bytes]:
    """Send a small request and read its response; raise ConnectError or ResponseError.

    With `is_own_connection` it is the only request on its connection. Nothing in such a response
    names its request, so that on a kept connection to an endpoint a late copy of an earlier one
    would be taken for it.
    """
    destination = Destination(address)
    exchange: ClientExchange | None = None
    try:
        async with limit_running_time(timeout_s):
            if is_own_connection:
                connection = await pool.open_new(address, timeout_s)
            else:
                connection = await pool.acquire(destination, timeout_s)
            exchange = ClientExchange(connection, request, body)
            exchange.write()
            head = await exchange.read_head(lambda head: True)
            data = await exchange.read_body(limit)
    except TimeoutError as error:
        raise ResponseError(f"no answer within {timeout_s:g} s") from error
    finally:
        if exchange is not None and is_own_connection:
            exchange.connection.abort()
        elif exchange is not None:
            pool.release(destination, exchange)
    return head, data


def _get_keep_alive_s(head: ResponseHead, default_s: float) -> float:
    match = KEEP_ALIVE_TIMEOUT.search(head.get(b"keep-alive") or b"")
    return float(match.group(1)) if match else default_s
