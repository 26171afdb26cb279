"""The HTTP server behind the interfaces of a host for callers, other hosts and operators."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from collections.abc import Awaitable, Callable, Iterable
from http import HTTPStatus
from typing import NamedTuple

import h11

from cloverway.core.calls import Header
from cloverway.core.deployment import CallerLimits
from cloverway.errors import Kind, Ran, RequestError
from cloverway.serving.clock import read_clock
from cloverway.serving.http.transport import Connection, listen
from cloverway.serving.timeouts import limit_running_time

log = logging.getLogger(__name__)

BODY_TIMEOUT_S = 10.0
"""Timeout for receiving a complete body: a caller with 400 KB/s sends four megabytes in this
time."""
LINGER_TIMEOUT_S = 1.0
"""How long input of a refused caller is still read and discarded. Closing a connection with unread
input resets it, and the caller may lose the response before reading it."""
NEW_CONNECTION_GRACE_S = 0.25
"""Age below which a connection does not count as idle. A caller sends its request right after
connecting, and a close that crosses the request would reset the connection."""
BLANK_LINE = b"\r\n"
MAX_BLANK_BYTES = 256
"""Bytes of blank lines before the head of a request."""
KINDS_BY_STATUS = {
    400: Kind.MALFORMED,
    408: Kind.TOO_SLOW,
    413: Kind.TOO_LARGE,
    431: Kind.TOO_LARGE,
    501: Kind.MALFORMED,
}
REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}


class BadRequestError(Exception):
    """A request that cannot be parsed; its connection is closed after the response."""

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail


class CallerDisconnectedError(Exception):
    """The caller closed its connection between requests, or before its request was complete."""


class Exchange:
    """One complete request, and the way to answer it."""

    def __init__(
        self,
        connection: Connection,
        http: h11.Connection,
        head: h11.Request,
        body: bytes,
        arrived_at: float,
    ) -> None:
        self.connection = connection
        self._http = http
        self.method = head.method.decode("ascii")
        self.target = head.target.decode("latin-1")
        self.headers: list[Header] = list(head.headers)
        self.body = body
        self.arrived_at = arrived_at
        """When its head was complete. The caller's deadline counts from then, however long the
        body takes."""
        self.started = False
        self.finished = False
        self.close_after = False
        """Whether the connection is closed after the response."""

    def start(self, status: int, headers: Iterable[Header]) -> None:
        """Send the head of the response; without a length the body is sent in chunks."""
        self.started = True
        all_headers = list(headers)
        if self.close_after:
            all_headers.append((b"Connection", b"close"))
        reason = REASONS.get(status, b"")
        head = h11.Response(status_code=status, headers=all_headers, reason=reason)
        self.connection.write(self._http.send(head) or b"")

    def write(self, data: bytes) -> None:
        """Send a part of the body, or buffer it if the caller reads slowly."""
        self.connection.write(self._http.send(h11.Data(data=data)) or b"")

    async def send(self, data: bytes) -> None:
        """Send a part of the body, waiting for a caller that reads slowly."""
        self.write(data)
        await self.connection.drain()

    def finish(self) -> None:
        """End the response."""
        self.connection.write(self._http.send(h11.EndOfMessage()) or b"")
        self.finished = True

    async def answer(self, status: int, headers: Iterable[Header], body: bytes) -> None:
        """Send a complete response."""
        length = (b"Content-Length", str(len(body)).encode())
        self.start(status, [*headers, length])
        await self.send(body)
        self.finish()

    def abort(self) -> None:
        """Break off a response that has begun, so that the caller sees that it is incomplete."""
        self.connection.abort()


Handler = Callable[[Exchange], Awaitable[None]]


class ServerOptions(NamedTuple):
    """What an HTTP server needs to know about the host."""

    get_limits: Callable[[], CallerLimits]
    is_leaving: Callable[[], bool]
    make_refusal: Callable[[Exchange | None, RequestError], bytes]
    """Returns the complete response to a request that could not be parsed."""
    is_short_lived: bool = False
    """Whether each connection carries only one small request."""


class Server:
    """Accepts connections at one address and answers the requests of each one in order."""

    def __init__(self, handler: Handler, options: ServerOptions) -> None:
        self._handler = handler
        self._options = options
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._idle: dict[Connection, float] = {}
        """Connections waiting for a request, and since when."""
        self.in_progress = 0
        """Requests that were read and not answered yet."""

    async def start(self, address: str, bound_socket: socket.socket | None = None) -> None:
        """Accept connections from now on; raise OSError if the address cannot be bound.

        `bound_socket` is used if it listens at the address already.
        """
        is_short_lived = self._options.is_short_lived
        self._server = await listen(
            address, self._accept, bound_socket, is_short_lived=is_short_lived
        )

    def stop_accepting(self) -> None:
        """Accept no new connections."""
        if self._server is not None:
            self._server.close()

    def close_idle(self, now: float) -> None:
        """Close the connections without a request in progress or about to arrive."""
        for connection, since in list(self._idle.items()):
            if not connection.has_input and now - since >= NEW_CONNECTION_GRACE_S:
                connection.close()

    def _accept(self, connection: Connection) -> None:
        task = asyncio.get_running_loop().create_task(self._serve(connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, connection: Connection) -> None:
        limits = self._options.get_limits()
        http = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.header_bytes)
        try:
            while await self._serve_one(connection, http):
                http.start_next_cycle()
        except CallerDisconnectedError:
            pass
        except BadRequestError as error:
            await self._refuse(connection, error)
        except (OSError, h11.LocalProtocolError) as error:
            log.debug("a connection ended", extra={"why": repr(error)})
        except asyncio.CancelledError:
            raise
        except Exception:
            log.exception("unexpected error while serving a connection")
            connection.abort()
        finally:
            connection.close()

    async def _serve_one(self, connection: Connection, http: h11.Connection) -> bool:
        """Read and answer one request; return whether the connection stays open."""
        head = await self._read_head(connection, http)
        arrived_at = read_clock()
        _check_framing(head)
        body = await self._read_body(connection, http)
        exchange = Exchange(connection, http, head, body, arrived_at)
        exchange.close_after = self._options.is_leaving()
        self.in_progress += 1
        try:
            await run_while_connected(self._handler(exchange), connection)
        finally:
            self.in_progress -= 1
        return exchange.finished and http.our_state is h11.DONE and http.their_state is h11.DONE

    async def _read_head(self, connection: Connection, http: h11.Connection) -> h11.Request:
        limits = self._options.get_limits()
        has_begun = bool(http.trailing_data[0])
        blank_bytes = 0
        while True:
            event = _next_event(http)
            if isinstance(event, h11.Request):
                return event
            if event is not h11.NEED_DATA:
                raise CallerDisconnectedError()
            timeout_s = limits.header_s if has_begun else limits.idle_s
            data = await self._receive_head(connection, timeout_s)
            if not has_begun:
                # Other hosts send blank lines while they wait; one may cross the end of an answer.
                received_bytes = len(data)
                data = data.lstrip(BLANK_LINE)
                blank_bytes += received_bytes - len(data)
                if blank_bytes > MAX_BLANK_BYTES:
                    raise BadRequestError(400, "too many blank lines before a request")
            if data:
                has_begun = True
                http.receive_data(data)

    async def _receive_head(self, connection: Connection, timeout_s: float) -> bytes:
        self._idle[connection] = read_clock()
        try:
            async with limit_running_time(timeout_s, steps=1):
                data = await connection.receive()
        except TimeoutError:
            raise CallerDisconnectedError() from None
        finally:
            self._idle.pop(connection, None)
        if not data:
            raise CallerDisconnectedError()
        return data

    async def _read_body(self, connection: Connection, http: h11.Connection) -> bytes:
        limit = self._options.get_limits().body_bytes
        chunks: list[bytes] = []
        size = 0
        try:
            async with limit_running_time(BODY_TIMEOUT_S):
                while True:
                    event = _next_event(http)
                    if isinstance(event, h11.EndOfMessage):
                        return b"".join(chunks)
                    if isinstance(event, h11.Data):
                        chunks.append(bytes(event.data))
                        size += len(event.data)
                        if size > limit:
                            raise BadRequestError(413, "the body is over the size limit")
                        continue
                    if http.they_are_waiting_for_100_continue:
                        go_on = h11.InformationalResponse(status_code=100, headers=[])
                        connection.write(http.send(go_on) or b"")
                    data = await connection.receive()
                    if not data:
                        raise CallerDisconnectedError()
                    http.receive_data(data)
        except TimeoutError:
            raise BadRequestError(408, "the body did not arrive in time") from None

    async def _refuse(self, connection: Connection, error: BadRequestError) -> None:
        kind = KINDS_BY_STATUS.get(error.status, Kind.MALFORMED)
        refusal = RequestError(kind, error.detail, ran=Ran.NO)
        connection.write(self._options.make_refusal(None, refusal))
        with contextlib.suppress(OSError, TimeoutError):
            await connection.drain()
            connection.transport.write_eof()
            async with asyncio.timeout(LINGER_TIMEOUT_S):
                while await connection.receive():
                    continue


async def run_while_connected(work: Awaitable[None], connection: Connection) -> None:
    """Run the work for a caller, and cancel it when the caller disconnects.

    An engine that continued the work would use a slot that a waiting request needs.
    """
    task = asyncio.ensure_future(work)
    try:
        await asyncio.wait((task, connection.lost), return_when=asyncio.FIRST_COMPLETED)
    finally:
        if not task.done():
            task.cancel()
    try:
        await task
    except asyncio.CancelledError:
        raise CallerDisconnectedError() from None


def _next_event(http: h11.Connection) -> object:
    try:
        return http.next_event()
    except h11.RemoteProtocolError as error:
        raise BadRequestError(error.error_status_hint, str(error)) from error


def _check_framing(head: h11.Request) -> None:
    """Reject requests that two parsers may understand differently (request smuggling).

    A request with both a length and chunks may end at one byte for this parser and at another one
    for an endpoint. The bytes between the two would be run as a request that nobody sent.
    """
    names = [name for name, _ in head.headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        raise BadRequestError(400, "send Content-Length or Transfer-Encoding, not both")
    if head.http_version != b"1.1":
        raise BadRequestError(400, "speak HTTP/1.1")
    if not head.target.startswith(b"/"):
        raise BadRequestError(400, "the target must begin with a slash")
