from __future__ import annotations

import json
import socket
import threading
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverway.config.schema import Endpoint, EndpointKind
from cloverway.errors import PeerError
from cloverway.membership.reports import (
    MAX_FIRST_READ_DELAY_S,
    MAX_REPORT_BYTES,
    EndpointReader,
    ReadSchedule,
    parse_report,
)
from cloverway.tests.raw_endpoint import EndpointSideConnection, RawEndpoint
from cloverway.tests.standins.engine import Engine

ENGINE = Endpoint("d", "http://127.0.0.1:1", models=("m",))
BODY = {"incarnation": "i1", "ready": True, "running": 2, "waiting": 1, "slots": 8}
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=3), inner),
    max_leaves=5,
)


class Listener:
    """Answers each connection with the next of some responses; None sends nothing."""

    def __init__(self, *responses: bytes | None) -> None:
        self.accepted = 0
        self._responses = iter(responses)
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._connections: list[socket.socket] = []
        self.url = f"http://127.0.0.1:{self._listener.getsockname()[1]}"
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *_):
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for connection in self._connections:
            connection.close()
        self._thread.join()

    def _run(self):
        for response in self._responses:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.accepted += 1
            self._connections.append(connection)
            connection.recv(4096)
            if response is not None:
                connection.sendall(response)


def make_response(body: bytes, status: str = "200 OK", headers: str = "") -> bytes:
    return f"HTTP/1.1 {status}\r\n{headers}Content-Length: {len(body)}\r\n\r\n".encode() + body


def read(url):
    reader = EndpointReader(ENGINE._replace(url=url))
    try:
        return reader.read()
    finally:
        reader.close()


def test_a_report_of_an_engine_is_read_over_one_connection():
    with Engine() as engine:
        reader = EndpointReader(ENGINE._replace(url=engine.url))
        first, second = reader.read(), reader.read()
        engine.set_state(leaving=True)
        third = reader.read()
        reader.close()
    assert first.ready and first.incarnation == second.incarnation
    assert third.leaving


def test_a_read_is_retried_on_a_new_connection(monkeypatch):
    """Failure: a working endpoint gets no more requests because its report can't be read.

    The persistent connection went silent for good, because a device between the two ends dropped
    its state. A new connection works at once.
    """
    monkeypatch.setattr("cloverway.membership.reports.SOCKET_TIMEOUT_S", 0.1)
    good = make_response(json.dumps(BODY).encode())
    with Listener(good, good) as listener:
        reader = EndpointReader(ENGINE._replace(url=listener.url))
        assert reader.read().ready
        assert reader.read().running == 2
        reader.close()
        assert listener.accepted == 2


@pytest.mark.parametrize(
    "response",
    [
        None,
        b"garbage\r\n\r\n",
        make_response(b"{}"),
        make_response(b"[]"),
        make_response(b"not json"),
        make_response(json.dumps(BODY).encode(), status="500 Failed"),
        make_response(
            json.dumps(BODY).encode(), status="302 Found", headers="Location: http://x/\r\n"
        ),
        make_response(b" " * (MAX_REPORT_BYTES + 1)),
    ],
)
def test_an_invalid_response_raises_an_error_in_time(response, monkeypatch):
    monkeypatch.setattr("cloverway.membership.reports.SOCKET_TIMEOUT_S", 0.1)
    with Listener(response) as listener, pytest.raises(PeerError):
        read(listener.url)


def test_an_endpoint_that_refuses_connections_raises_an_error():
    with pytest.raises(PeerError):
        read("http://127.0.0.1:1")


@pytest.mark.parametrize(
    "change",
    [
        {"incarnation": ""},
        {"incarnation": 5},
        {"incarnation": "x" * 500},
        {"ready": 1},
        {"running": -1},
        {"running": "many"},
        {"running": True},
        {"waiting": float("nan")},
        {"models": "m"},
    ],
)
def test_a_malformed_report_is_rejected(change):
    with pytest.raises(PeerError):
        parse_report(json.dumps({**BODY, **change}).encode(), ENGINE)


def test_values_of_a_report_are_limited():
    body = {**BODY, "running": 10**12, "models": ["m", 5, ""] + ["n"] * 500, "leaving": "soon"}
    report = parse_report(json.dumps(body).encode(), ENGINE)
    assert report.running < 2**15 and len(report.models) <= 64
    assert report.models[0] == "m" and "" not in report.models
    assert report.leaving


def test_a_report_of_a_service_lists_its_services():
    endpoint = ENGINE._replace(kind=EndpointKind.SERVICE)
    body = {**BODY, "services": ["stock"], "models": ["m"]}
    assert parse_report(json.dumps(body).encode(), endpoint).models == ("stock",)


@given(st.one_of(st.binary(max_size=60), JSON.map(lambda value: json.dumps(value).encode())))
def test_arbitrary_bytes_are_parsed_or_rejected(data):
    try:
        parse_report(data, ENGINE)
    except PeerError:
        return


def test_an_endpoint_is_first_read_soon_and_then_once_per_interval():
    schedule = ReadSchedule(lambda: 0.5)
    assert schedule.take_due(["a"], 10.0, 0.0) == []
    assert schedule.take_due(["a"], 10.0, MAX_FIRST_READ_DELAY_S) == ["a"]
    assert schedule.take_due(["a"], 10.0, 30.0) == []
    assert schedule.list_overdue(5.0, 30.0) == ["a"]
    schedule.finish("a")
    assert schedule.take_due(["a"], 10.0, 31.0) == ["a"]
    assert schedule.take_due([], 10.0, 90.0) == []


def test_late_copies_of_load_reports_do_not_delay_all_later_ones() -> None:
    """Guards against hosts whose picture of an endpoint falls behind by a report for each copy."""
    pause_s = 0.02

    def report_with_copies(connection: EndpointSideConnection) -> None:
        copy = b""
        while connection.read_request():
            body = json.dumps(
                {"incarnation": "i1", "ready": True, "running": len(endpoint.requests)}
            ).encode()
            answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
            connection.send(copy)
            time.sleep(pause_s)
            connection.send(answer)
            copy = answer

    with RawEndpoint(report_with_copies) as endpoint:
        reader = EndpointReader(ENGINE._replace(url=endpoint.url))
        for number in range(1, 8):
            assert reader.read().running >= number - 1
            time.sleep(2 * pause_s)
        reader.close()
