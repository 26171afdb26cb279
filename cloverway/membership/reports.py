"""Reads the load reports of endpoints, by bounded blocking calls on a few threads."""

from __future__ import annotations

import contextlib
import json
import logging
import socket
import threading
from collections.abc import Callable
from concurrent.futures import Future
from http.client import HTTPException
from queue import SimpleQueue
from typing import Any, NotRequired, TypedDict

import urllib3.exceptions
from urllib3.connection import HTTPConnection
from urllib3.util import SKIP_HEADER

from cloverway.addresses import split_url
from cloverway.config.schema import Endpoint, EndpointKind
from cloverway.errors import PeerError
from cloverway.membership.endpoint_table import LoadReport

log = logging.getLogger(__name__)

SOCKET_TIMEOUT_S = 1.0
"""Timeout of connecting, and of each read from the socket."""
MAX_FIRST_READ_DELAY_S = 1.0
"""An endpoint that this host has not read yet is first read within this time."""
MAX_REPORT_BYTES = 64 * 1024
MAX_TEXT_LENGTH = 128
"""Maximum length of an incarnation or name in a report."""
MAX_MODELS = 64
MAX_COUNT = 2**15 - 1
MINIMAL_HEADERS = {"User-Agent": SKIP_HEADER, "Accept-Encoding": SKIP_HEADER}
"""Suppresses default headers that no endpoint uses; they are a third of the bytes of a read."""
LOAD_PATHS = {EndpointKind.ENGINE: "/v1/load", EndpointKind.SERVICE: "/load"}


class ReportBody(TypedDict):
    """The JSON body of a load report."""

    incarnation: str
    ready: bool
    leaving: NotRequired[bool]
    running: NotRequired[int]
    waiting: NotRequired[int]
    slots: NotRequired[int]
    models: NotRequired[list[str]]
    services: NotRequired[list[str]]
    kv_used: NotRequired[float]
    report_age_ms: NotRequired[float]


def parse_report(data: bytes, endpoint: Endpoint) -> LoadReport:
    """Parse a load report; raise PeerError when it is malformed."""
    try:
        body = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise PeerError("a load report is not JSON") from error
    if not isinstance(body, dict) or not isinstance(body.get("ready"), bool):
        raise PeerError("a load report has no boolean 'ready'")
    incarnation = body.get("incarnation")
    if not isinstance(incarnation, str) or not _is_text(incarnation):
        raise PeerError("a load report has no valid incarnation")
    offered = body.get("models" if endpoint.kind is EndpointKind.ENGINE else "services", [])
    if not isinstance(offered, list):
        raise PeerError("a load report has no list of models or services")
    return LoadReport(
        incarnation=incarnation,
        ready=body["ready"],
        # Anything but a plain false stops new requests: a needless stop costs little, while the
        # opposite error costs a request.
        leaving=body.get("leaving", False) is not False,
        running=_parse_count(body.get("running", 0), "running"),
        waiting=_parse_count(body.get("waiting", 0), "waiting"),
        slots=max(1, _parse_count(body.get("slots", endpoint.slots), "slots")),
        models=tuple(name for name in offered[:MAX_MODELS] if _is_text(name)),
        age_s=_parse_count(body.get("report_age_ms", 0), "report_age_ms", 2**31) / 1000,
    )


class EndpointReader:
    """Reads one endpoint over a persistent connection; one thread at a time may call `read`."""

    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        self._host, self._port = split_url(endpoint.url)
        self._path = LOAD_PATHS[endpoint.kind]
        self._connection: HTTPConnection | None = None
        self._connection_lock = threading.Lock()

    def read(self) -> LoadReport:
        """Read a report; raise PeerError when a new connection fails too.

        A persistent connection can go silent for good while new ones work, so its failure proves
        nothing about the endpoint.
        """
        if self._connection is not None:
            with contextlib.suppress(PeerError):
                return self._read()
        return self._read()

    def abort(self) -> None:
        """Abort a read in another thread.

        An endpoint that sends its response byte by byte never runs into the socket timeout.
        """
        with self._connection_lock:
            raw = getattr(self._connection, "sock", None)
        if raw is not None:
            with contextlib.suppress(OSError):
                raw.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the connection."""
        with self._connection_lock:
            connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()

    def _read(self) -> LoadReport:
        try:
            report = parse_report(self._get(), self.endpoint)
        except (HTTPException, urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            self.close()
            raise PeerError(f"can't read the endpoint's load: {error}") from error
        except BaseException:
            self.close()
            raise
        return report

    def _get(self) -> bytes:
        connection = self._connect()
        connection.request(
            "GET", self._path, headers=MINIMAL_HEADERS, preload_content=False, decode_content=False
        )
        response = connection.getresponse()
        data = response.read(MAX_REPORT_BYTES + 1)
        if response.status != 200:
            raise PeerError(f"the endpoint answered {response.status}")
        if len(data) > MAX_REPORT_BYTES:
            raise PeerError("a load report is too large")
        if response.headers.get("Connection", "").lower() == "close":
            self.close()
        return data

    def _connect(self) -> HTTPConnection:
        if self._connection is not None and not self._connection.is_connected:
            # Bytes that wait belong to no read to come: after an extra copy of a report was read,
            # each later read would return the report before its own.
            self.close()
        if self._connection is None:
            connection = HTTPConnection(self._host, self._port, timeout=SOCKET_TIMEOUT_S)
            with self._connection_lock:
                self._connection = connection
            connection.connect()
        return self._connection


class WorkerThreads:
    """A fixed number of daemon threads that make blocking calls."""

    def __init__(self, name: str, count: int) -> None:
        self._inbox: SimpleQueue[Callable[[], None] | None] = SimpleQueue()
        self._threads = [
            threading.Thread(target=self._run, name=f"{name}-{number}", daemon=True)
            for number in range(count)
        ]

    def start(self) -> None:
        """Start the threads."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Let each thread end after its current call, without waiting for it."""
        for _ in self._threads:
            self._inbox.put(None)

    def submit(self, call: Callable[..., Any], *arguments: Any) -> Future[Any]:
        """Make a call on one of the threads; return a future of its result."""
        result: Future[Any] = Future()

        def run() -> None:
            if not result.set_running_or_notify_cancel():
                return
            try:
                result.set_result(call(*arguments))
            except BaseException as error:
                result.set_exception(error)

        self._inbox.put(run)
        return result

    def _run(self) -> None:
        while (call := self._inbox.get()) is not None:
            call()


class ReadSchedule:
    """Decides which endpoints are due to be read; performs no I/O."""

    def __init__(self, random_fraction: Callable[[], float]) -> None:
        """Create a schedule; `random_fraction` spreads the first reads and returns 0 to 1."""
        self._random_fraction = random_fraction
        self._due: dict[str, float] = {}
        self._in_progress: dict[str, float] = {}

    def take_due(self, names: list[str], interval_s: float, now: float) -> list[str]:
        """Return the endpoints to read now, and schedule the next read of each."""
        self._due = {
            name: self._due.get(
                name, now + self._random_fraction() * min(interval_s, MAX_FIRST_READ_DELAY_S)
            )
            for name in names
        }
        due = [
            name for name, at in self._due.items() if at <= now and name not in self._in_progress
        ]
        for name in due:
            self._due[name] = max(self._due[name] + interval_s, now)
            self._in_progress[name] = now
        return due

    def finish(self, name: str) -> None:
        """Record that a read has ended."""
        self._in_progress.pop(name, None)

    def list_overdue(self, limit_s: float, now: float) -> list[str]:
        """List the endpoints whose read takes longer than a limit."""
        return [name for name, since in self._in_progress.items() if now - since > limit_s]


def _is_text(value: object) -> bool:
    return isinstance(value, str) and 0 < len(value) <= MAX_TEXT_LENGTH


def _parse_count(value: object, name: str, maximum: int = MAX_COUNT) -> int:
    if isinstance(value, bool) or not isinstance(value, int | float) or not value >= 0:
        raise PeerError(f"'{name}' of a load report is not a valid count")
    return int(min(value, maximum))
