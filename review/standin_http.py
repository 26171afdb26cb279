"""The few parts of HTTP/1.1 that the stand-ins speak, on asyncio streams."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

Headers = list[tuple[str, str]]


class Request(NamedTuple):
    """One request as it was received."""

    method: str
    target: str
    headers: dict[str, str]
    """By name in lower case."""
    body: bytes

    @property
    def id(self) -> str:
        """The id that its requester gave it."""
        return self.headers.get("x-cloverway-request-id", "")


class Answer(NamedTuple):
    """An answer as its requester got it; status 0 where the channel ended without one."""

    status: int
    body: bytes = b""
    complete: bool = False
    retry_after_s: float = 0.0


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Return the next request of a channel; raise IncompleteReadError at its end."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = _parse_headers(lines)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


def format_answer(status: int, headers: Headers, body: bytes = b"") -> bytes:
    """Return a whole answer with its length."""
    lines = [f"HTTP/1.1 {status} {'OK' if status == 200 else 'Refused'}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


async def send_request(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: Headers,
    body: bytes,
    *,
    timeout_s: float,
) -> Answer:
    """Send one request on a new channel, and return its answer; status -1 if none came in time."""
    reader, writer = await asyncio.open_connection(*address)
    lines = [f"{method} {target} HTTP/1.1", "Host: shop.example"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    writer.write("\r\n".join(lines).encode("latin-1") + body)
    try:
        async with asyncio.timeout(timeout_s):
            return await _read_answer(reader)
    except TimeoutError:
        return Answer(-1)
    except (asyncio.IncompleteReadError, ConnectionError):
        return Answer(0)
    finally:
        writer.close()


async def _read_answer(reader: asyncio.StreamReader) -> Answer:
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = _parse_headers(lines)
    status = int(first.split(" ")[1])
    retry_after_s = float(headers.get("retry-after", "0"))
    if headers.get("transfer-encoding") == "chunked":
        body, complete = await _read_chunks(reader)
        return Answer(status, body, complete, retry_after_s)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Answer(status, body, True, retry_after_s)


async def _read_chunks(reader: asyncio.StreamReader) -> tuple[bytes, bool]:
    """Return a body that comes in chunks, and whether its last chunk came."""
    body = b""
    try:
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            body += (await reader.readexactly(size + 2))[:-2]
    except (asyncio.IncompleteReadError, ConnectionError):
        return body, False
    return body, True


def _parse_headers(lines: list[str]) -> dict[str, str]:
    pairs = (line.partition(":") for line in lines if line)
    return {name.strip().lower(): value.strip() for name, _, value in pairs}
