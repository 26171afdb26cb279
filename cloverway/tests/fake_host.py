"""A fake host that sends prepared responses and records the requests it receives."""

from __future__ import annotations

import json
import socket
import threading
from typing import Any, NamedTuple


class SeenRequest(NamedTuple):
    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class FakeHost:
    """Sends the next prepared response for the path of a request; the last one is repeated."""

    def __init__(self) -> None:
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"
        self.seen: list[SeenRequest] = []
        self._answers: dict[str, list[bytes]] = {}
        self._thread = threading.Thread(target=self._serve, daemon=True)

    def __enter__(self) -> FakeHost:
        self.answer_json("/v1/hosts", {"hosts": [{"address": self.address}], "lifetime_s": 5})
        self._thread.start()
        return self

    def __exit__(self, *_: Any) -> None:
        self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()
        self._thread.join(5)

    def answer(self, path: str, raw: bytes) -> None:
        self._answers.setdefault(path, []).append(raw)

    def answer_json(self, path: str, document: Any, status: int = 200, headers: str = "") -> None:
        body = json.dumps(document).encode()
        head = f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n{headers}"
        self.answer(path, f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)

    def refuse(self, path: str, kind: str, ran: str, status: int = 503, headers: str = "") -> None:
        problem = {"kind": kind, "ran": ran, "detail": f"because {kind}", "request_id": "r-1"}
        self.answer_json(path, problem, status, headers)

    def paths(self) -> list[str]:
        return [seen.path for seen in self.seen]

    def _serve(self) -> None:
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            with connection:
                self._exchange(connection)

    def _exchange(self, connection: socket.socket) -> None:
        with connection.makefile("rb") as reader:
            method, path, _ = reader.readline().decode().split()
            lines = iter(lambda: reader.readline().decode().strip(), "")
            headers = {
                name.lower(): value for name, value in (line.split(": ", 1) for line in lines)
            }
            body = reader.read(int(headers.get("content-length", 0)))
        self.seen.append(SeenRequest(method, path, headers, body))
        prepared = self._answers.get(path, [])
        if not prepared:
            return
        connection.sendall(prepared.pop(0) if len(prepared) > 1 else prepared[0])


def make_stream(*texts: str, done: bool = True, last_chunk: bool = True) -> bytes:
    """Return a response with a chunked stream of completion events."""
    events = [json.dumps({"choices": [{"delta": {"content": text}}]}) for text in texts]
    events += ["[DONE]"] if done else []
    chunks = [f"data: {event}\n\n".encode() for event in events]
    framed = b"".join(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks)
    head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
    return head + b"\r\n" + framed + (b"0\r\n\r\n" if last_chunk else b"")
