"""Test support for the server for callers: a configuration, a fake gateway and callers."""

from __future__ import annotations

import contextlib
import http.client
import json
import socket
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from cloverway.config.published import Published
from cloverway.config.settings import Limits, Listen, PlatformSettings, Security, Settings
from cloverway.entry.authentication import hash_key
from cloverway.entry.callers import CallerServer
from cloverway.entry.listener import ListenerLimits
from cloverway.membership.view import View, ViewHolder
from cloverway.messages import Request
from cloverway.replies import Reply

BEARER = "secret-of-pharmacy"
DOCUMENTS: dict[str, Any] = {
    "revision": 3,
    "organisation": {"name": "riviere"},
    "regions": {"port-louis": {}, "curepipe": {}},
    "domains": {"pl-1": {"region": "port-louis"}, "cu-1": {"region": "curepipe"}},
    "hosts": {
        "pl-1-a": {
            "domain": "pl-1",
            "callers": "127.0.0.1:7001",
            "admin": "127.0.0.1:7002",
            "peers": "127.0.0.1:7003",
        }
    },
    "profiles": {
        "chat": {"model": "clover-7b", "idempotent": True, "deadline_ms": 5000},
        "lookup": {"service": "stock", "idempotent": True, "urgency": "urgent"},
        "allocate": {"service": "stock"},
        "other": {"model": "clover-7b"},
    },
    "teams": {
        "pharmacy": {
            "home": "port-louis",
            "profiles": ["chat", "lookup", "allocate"],
            "key_hashes": [hash_key(BEARER)],
        },
        "hospital": {
            "home": "curepipe",
            "profiles": ["chat"],
            "key_hashes": [hash_key("other-key")],
        },
    },
}
HEADERS = {"Authorization": f"Bearer {BEARER}", "Content-Type": "application/json"}
CHAT = {**HEADERS, "Cloverway-Profile": "chat"}
CHAT_BODY = b'{"messages": [{"role": "user", "content": "insulin?"}]}'
FORWARDED_BODY = json.dumps(
    {**json.loads(CHAT_BODY), "model": "clover-7b"}, separators=(",", ":")
).encode()
"""The same body with the model of the profile, as it is sent to an endpoint."""
STREAM_BODY = b'{"messages": [{"role": "user", "content": "insulin?"}], "stream": true}'


def issue_keys(count: int) -> list[str]:
    return [f"key-{number}" for number in range(count)]


class FakeStream:
    """Stream of the given pieces, followed by the given error, if any."""

    def __init__(self, pieces: list[bytes], error: Exception | None = None) -> None:
        self.pieces = iter(pieces)
        self.error = error
        self.closed = threading.Event()
        self.resume = threading.Event()
        self.resume.set()

    def __iter__(self) -> Iterator[bytes]:
        for piece in self.pieces:
            yield piece
            self.resume.wait(5)
        if self.error is not None:
            raise self.error

    def relay_to(self, caller: socket.socket) -> None:
        for piece in self:
            caller.sendall(b"%X\r\n%s\r\n" % (len(piece), piece))

    def close(self) -> None:
        self.closed.set()


class FakeGateway:
    """Records each request, and returns or raises `answer`, which the test sets."""

    def __init__(self) -> None:
        self.requests: list[Request] = []
        self.answer: Reply | Exception = Reply(200, "application/json", b"{}")
        self.started = threading.Event()
        self.resume = threading.Event()
        self.resume.set()

    def run(self, request: Request) -> Reply:
        self.requests.append(request)
        self.started.set()
        self.resume.wait(10)
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.answer


class Answer(NamedTuple):
    status: int
    headers: http.client.HTTPMessage
    body: bytes

    @property
    def problem(self) -> dict[str, Any]:
        assert self.headers["Content-Type"] == "application/problem+json"
        problem: dict[str, Any] = json.loads(self.body)
        assert problem["status"] == self.status
        return problem


def make_settings(**limits: Any) -> Settings:
    """Return settings with a small thread pool."""
    return Settings(
        host="pl-1-a",
        domain="pl-1",
        region="port-louis",
        listen=Listen("127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"),
        platform=PlatformSettings(directory="."),
        security=Security("secret"),
        limits=Limits(**{"threads": 4, "admitted": 2, "queued": 1, **limits}),
    )


def make_view(**fields: Any) -> View:
    """Return a view of the published configuration above."""
    published = Published.from_documents(DOCUMENTS)
    return View("pl-1-a", "i-1", "pl-1", "port-louis", published=published)._replace(**fields)


class CallerServerHarness:
    """Server for callers on a free port, with a fake gateway behind it."""

    def __init__(self, listener_limits: ListenerLimits | None = None, **limits: Any) -> None:
        self.gateway = FakeGateway()
        self.rejections: list[Any] = []
        self.disconnected: list[str] = []
        self.holder = ViewHolder(make_view())
        self.server = CallerServer(
            make_settings(**limits),
            self.holder,
            self.gateway,
            issue_keys,
            on_rejection=self.rejections.append,
            on_disconnect=self.disconnected.append,
            listener_limits=listener_limits,
        )

    def __enter__(self) -> CallerServerHarness:
        self.server.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.gateway.resume.set()
        self.server.stop()

    def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
        http_1_0: bool = False,
    ) -> Answer:
        """Send one request on a new connection, and return the complete answer."""
        connection = http.client.HTTPConnection(self.server.address, timeout=10)
        if http_1_0:
            connection._http_vsn, connection._http_vsn_str = 10, "HTTP/1.0"  # type: ignore
        with contextlib.closing(connection):
            connection.request(method, path, body, HEADERS if headers is None else headers)
            response = connection.getresponse()
            return Answer(response.status, response.headers, response.read())

    def connect(self) -> socket.socket:
        """Open a TCP connection to the server."""
        host, port = self.server.address.rsplit(":", 1)
        return socket.create_connection((host, int(port)), timeout=10)


def read_all(sock: socket.socket) -> bytes:
    """Read until the peer closes."""
    pieces = []
    with contextlib.suppress(ConnectionResetError):
        while piece := sock.recv(65536):
            pieces.append(piece)
    return b"".join(pieces)


def read_until(sock: socket.socket, delimiter: bytes) -> bytes:
    """Read until the delimiter arrives, or the peer closes."""
    text = b""
    while delimiter not in text and (piece := sock.recv(4096)):
        text += piece
    return text


def read_answer(sock: socket.socket) -> Answer:
    """Read one answer without closing the connection."""
    response = http.client.HTTPResponse(sock)
    response.begin()
    return Answer(response.status, response.headers, response.read())


def wait_until(condition: Callable[[], bool], timeout_s: float = 5.0) -> bool:
    """Poll a condition for a limited time; return whether it became true."""
    pause = threading.Event()
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if condition():
            return True
        pause.wait(0.005)
    return condition()
