"""An endpoint on a raw socket, which runs one script per connection."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Callable
from contextlib import suppress

from cloverway.messages import Request

TIMEOUT_S = 10.0


def make_request(deadline_s: float = TIMEOUT_S, **fields: object) -> Request:
    now = time.monotonic()
    values = {
        "id": "r1",
        "team": "caroni",
        "profile": "desk",
        "path": "/v1/chat/completions",
        "method": "POST",
        "body": b'{"prompt": "x"}',
        "content_type": "application/json",
        "arrived_at": now,
        "deadline": now + deadline_s,
    }
    return Request(**(values | fields))


class EndpointSideConnection:
    """An accepted connection, on the side of the endpoint."""

    def __init__(self, sock: socket.socket, number: int) -> None:
        self.sock = sock
        self.number = number
        self.requests: list[bytes] = []
        sock.settimeout(TIMEOUT_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def read_request(self) -> bytes:
        """Read one complete request; return an empty string if the client closed."""
        data = b""
        while b"\r\n\r\n" not in data:
            received = self.sock.recv(65536)
            if not received:
                return b""
            data += received
        head, _, body = data.partition(b"\r\n\r\n")
        lengths = [
            int(line.split(b":")[1])
            for line in head.lower().split(b"\r\n")
            if line.startswith(b"content-length:")
        ]
        while lengths and len(body) < lengths[0]:
            body += self.sock.recv(65536)
        self.requests.append(head + b"\r\n\r\n" + body)
        return self.requests[-1]

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)

    def answer(self, body: bytes, head: bytes = b"200 OK", extra: bytes = b"") -> None:
        """Read a request and send a complete answer with Content-Length."""
        if self.read_request():
            extra += self.name_request()
            self.send(b"HTTP/1.1 %b\r\nContent-Type: application/json\r\n" % head + extra)
            self.send(b"Content-Length: %d\r\n\r\n%b" % (len(body), body))

    def name_request(self) -> bytes:
        """Return the header line that names the last request, as endpoints send it."""
        lines = self.requests[-1].split(b"\r\n")
        named = [line for line in lines if line.lower().startswith(b"x-request-id:")]
        return named[0] + b"\r\n" if named else b""

    def wait_for_close(self) -> bool:
        """Return whether the client closes within the timeout of the socket."""
        try:
            return self.sock.recv(1) == b""
        except TimeoutError:
            return False
        except OSError:
            return True


class RawEndpoint:
    """Accepts connections on a free port and runs a script for each, by its number."""

    def __init__(self, *scripts: Callable[[EndpointSideConnection], None]) -> None:
        self._scripts = scripts
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.url = f"http://127.0.0.1:{self._listener.getsockname()[1]}"
        self.connections: list[EndpointSideConnection] = []
        self.cancels: list[bytes] = []
        self.closed_count = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def __enter__(self) -> RawEndpoint:
        return self

    def __exit__(self, *_: object) -> None:
        self.stop_listening()
        for connection in self.connections:
            connection.sock.close()

    def stop_listening(self) -> None:
        with suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    @property
    def requests(self) -> list[bytes]:
        return [request for each in self.connections for request in each.requests]

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                sock, _ = self._listener.accept()
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with sock, suppress(OSError):
            sock.settimeout(TIMEOUT_S)
            start = sock.recv(15, socket.MSG_PEEK | socket.MSG_WAITALL)
            if start == b"POST /v1/cancel":
                cancel = EndpointSideConnection(sock, -1)
                cancel.answer(b"{}")
                self.cancels += cancel.requests
                return
            connection = EndpointSideConnection(sock, len(self.connections))
            self.connections.append(connection)
            self._scripts[min(connection.number, len(self._scripts) - 1)](connection)
        self.closed_count += 1
