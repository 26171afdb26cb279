from __future__ import annotations

import io
import json
import logging

import pytest

from cloverway.errors import Kind, Ran, RequestError
from cloverway.gateway import RequestRecord
from cloverway.logs import make_formatter
from cloverway.operations.metrics import Metrics
from cloverway.operations.reporting import Reporter
from cloverway.replies import Reply
from cloverway.tests.caller_harness import (
    BEARER,
    CHAT,
    HEADERS,
    CallerServerHarness,
    FakeStream,
    read_all,
)

BODY_SECRET = "insulin-for-ward-nine"
KEY_SECRET = "idempotency-key-of-ward-nine"


@pytest.fixture
def lines():
    """Return a function that lists all lines of all loggers, at every level."""
    text = io.StringIO()
    handler = logging.StreamHandler(text)
    handler.setFormatter(make_formatter("pl-1-a", "i-1"))
    root = logging.getLogger()
    level = root.level
    root.addHandler(handler)
    root.setLevel(logging.DEBUG)
    yield lambda: [json.loads(line) for line in text.getvalue().splitlines()]
    root.removeHandler(handler)
    root.setLevel(level)


def test_no_body_and_no_key_is_ever_logged(lines):
    """Guards against personal data and keys in logs, which have other residency rules.

    Requests end in every way: answered, refused before the gateway, truncated, and failed by an
    error in the gateway itself.
    """
    body = json.dumps({"messages": [{"content": BODY_SECRET}], "stream": True})
    headers = {**CHAT, "Idempotency-Key": KEY_SECRET}
    with CallerServerHarness() as harness:
        for answer in (
            Reply(200, "application/json", BODY_SECRET.encode()),
            Reply(
                200, "text/event-stream", stream=FakeStream([b"a"], RequestError(Kind.TRUNCATED))
            ),
            Reply(200, "text/event-stream", stream=FakeStream([b"a"], OSError(32, "broken pipe"))),
            RequestError(Kind.OVERLOADED, retry_after=1.0),
            RuntimeError("a fault"),
        ):
            harness.gateway.answer = answer
            try:
                harness.call("POST", "/v1/chat/completions", body, headers)
            except Exception:
                logging.getLogger(__name__).debug("the answer was truncated, as expected")
        harness.call("POST", "/v1/chat/completions", body + "}", headers)
        harness.call(
            "POST", "/v1/chat/completions", body, {**headers, "Authorization": "Bearer no"}
        )
        harness.call("POST", "/v1/chat/completions", body, {**headers, "Cloverway-Profile": BEARER})
        with harness.connect() as sock:
            sock.sendall(f"POST {BODY_SECRET}{BEARER}{KEY_SECRET}\r\n\r\n".encode())
            assert b"400" in read_all(sock)
        reporter = Reporter(Metrics(lambda: 0.0, (0.1,)), harness.holder)
        for rejection in harness.rejections:
            reporter.report_rejection(rejection)
        for request in harness.gateway.requests:
            reporter.report_request(RequestRecord(request, "e-1", 1, 0.1, 0.0, 0.2, None, Ran.YES))
    logged = json.dumps(lines())
    assert len(harness.gateway.requests) == 5
    assert [rejection.kind for rejection in harness.rejections] == [
        "malformed",
        "unauthenticated",
        "forbidden",
        "malformed",
    ]
    for secret in (BEARER, BODY_SECRET, KEY_SECRET, HEADERS["Authorization"]):
        assert secret not in logged


def test_each_request_is_logged_in_one_line_with_all_fields(lines):
    with CallerServerHarness() as harness:
        harness.call("POST", "/v1/chat/completions", b'{"messages": [1]}', CHAT)
        reporter = Reporter(Metrics(lambda: 0.0, (0.1,)), harness.holder)
        [request] = harness.gateway.requests
        reporter.report_request(
            RequestRecord(request, "e-1", 2, 0.1234, 0.01, 0.2, Kind.TRUNCATED, Ran.UNKNOWN)
        )
    [line] = [line for line in lines() if line["message"] == "request"]
    assert line.pop("time")
    assert line == {
        "level": "INFO",
        "logger": "cloverway.operations.reporting",
        "message": "request",
        "host": "pl-1-a",
        "incarnation": "i-1",
        "request_id": request.id,
        "team": "pharmacy",
        "profile": "chat",
        "method": "POST",
        "endpoint": "e-1",
        "attempts": 2,
        "queue_ms": 10.0,
        "first_byte_ms": 123.4,
        "total_ms": 200.0,
        "outcome": "truncated",
        "ran": "unknown",
        "passed_on": False,
    }
