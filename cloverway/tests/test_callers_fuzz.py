"""Fuzz tests: no input of a caller causes a crash, a traceback or a hanging thread.

The environment variable CLOVERWAY_FUZZ sets the number of examples.
"""

from __future__ import annotations

import io
import json
import os
import socket
from types import SimpleNamespace

import pytest
from hypothesis import HealthCheck, event, example, given, settings
from hypothesis import strategies as st

from cloverway.entry import bodies
from cloverway.entry.application import IncomingCall
from cloverway.entry.listener import ListenerLimits
from cloverway.errors import ERROR_ANSWERS, RequestError
from cloverway.replies import Reply
from cloverway.tests.caller_harness import (
    CHAT,
    CHAT_BODY,
    CallerServerHarness,
    read_all,
    wait_until,
)

COUNT = int(os.environ.get("CLOVERWAY_FUZZ", "100"))
LIMIT = 2048
IN_PROCESS = settings(max_examples=COUNT, deadline=None, suppress_health_check=list(HealthCheck))
OVER_SOCKETS = settings(IN_PROCESS, max_examples=max(COUNT // 4, 25))

json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda inner: st.lists(inner, max_size=4)
    | st.dictionaries(st.text(max_size=8), inner, max_size=4),
    max_leaves=12,
)
completions = st.dictionaries(
    st.sampled_from(["messages", "prompt", "stream", "model", "n"]) | st.text(max_size=5),
    json_values,
)
documents = st.one_of(
    completions.map(lambda value: json.dumps(value).encode()),
    st.tuples(completions, st.integers(0, 60)).map(lambda p: json.dumps(p[0]).encode()[: p[1]]),
    st.binary(max_size=300),
    st.integers(1, 3000).map(lambda depth: b'{"messages":' + b"[" * depth),
    st.integers(1, 9000).map(lambda digits: b'{"messages":' + b"9" * digits + b"}"),
    st.just(CHAT_BODY),
)
paths = st.one_of(
    st.sampled_from(
        ["/v1/chat/completions", "/v1/completions", "/v1/idempotency-keys", "/v1/hosts"]
    ),
    st.text(st.sampled_from("/.%25eEfF\\;?&=a\x00\u00e9 "), max_size=20).map(
        lambda t: "/v1/services/stock" + t
    ),
    st.text(max_size=20),
)
header_values = st.one_of(
    st.sampled_from(
        [*CHAT.values(), "lookup", "allocate", "application/json; charset=utf-8", "100"]
    ),
    st.text(max_size=40),
    st.characters(),
)
headers = st.dictionaries(
    st.sampled_from(
        [
            "Cloverway-Profile",
            "Content-Type",
            "Cloverway-Deadline-Ms",
            "Idempotency-Key",
            "Content-Length",
        ]
    ),
    header_values,
)
chunked_bodies = st.one_of(
    st.binary(max_size=200),
    st.lists(
        st.sampled_from([b"0", b"5", b"FFFF", b"\r\n", b"abcde", b";x", b"-", b" ", b"\n"])
    ).map(b"".join),
)


@pytest.fixture(scope="module")
def harness():
    listener_limits = ListenerLimits(
        threads=4, queued=8, idle=32, header_bytes=4096, head_timeout_s=5, idle_timeout_s=5
    )
    with CallerServerHarness(listener_limits=listener_limits, body_bytes=LIMIT) as started:
        yield started


def make_call(method, path, sent_headers, body, chunked):
    """Return a call as the listener creates it, without a socket."""
    query = path.partition("?")[0]
    reader = io.BufferedReader(io.BytesIO(body))
    connection = SimpleNamespace(
        rfile=reader,
        socket=None,
        limit_reading=lambda *_: None,
        linger=False,
        head_received_at=10.0,
    )
    http = SimpleNamespace(
        chunked_read=chunked, rfile=SimpleNamespace(remaining=0), body_is_read=False
    )
    return IncomingCall("id", method, query, path, sent_headers, connection, http)


LOOKUP = {**CHAT, "Cloverway-Profile": "lookup"}
ALLOCATE = {**CHAT, "Cloverway-Profile": "allocate", "Idempotency-Key": "k-1"}
VALID_CALLS = [
    {"method": "POST", "path": "/v1/chat/completions", "sent_headers": CHAT, "body": CHAT_BODY},
    {"method": "POST", "path": "/v1/completions", "sent_headers": CHAT, "body": b'{"prompt":"a"}'},
    {"method": "GET", "path": "/v1/services/stock/a?b=c", "sent_headers": LOOKUP, "body": b""},
    {"method": "PUT", "path": "/v1/services/stock/a", "sent_headers": ALLOCATE, "body": b"x"},
    {"method": "POST", "path": "/v1/idempotency-keys", "sent_headers": CHAT, "body": b"{}"},
]
call_changes = st.one_of(
    st.fixed_dictionaries({}),
    st.fixed_dictionaries({"method": st.sampled_from(["GET", "POST", "PATCH", "\u00e9"])}),
    st.fixed_dictionaries({"path": paths}),
    st.fixed_dictionaries({"more": headers}),
    st.fixed_dictionaries(
        {"more": st.fixed_dictionaries({"Authorization": st.just("Bearer ") | header_values})}
    ),
    st.fixed_dictionaries({"body": documents}),
    st.fixed_dictionaries({"body": documents, "more": headers}),
    st.fixed_dictionaries({"path": paths, "more": headers, "body": documents}),
)
heads = st.tuples(
    st.sampled_from(["GET", "POST", "P\u00d6ST", ""]) | st.text(max_size=5),
    st.text(max_size=30),
    st.dictionaries(st.text(max_size=12), st.text(max_size=30), max_size=4),
)


@IN_PROCESS
@given(st.sampled_from(VALID_CALLS), call_changes, st.booleans())
def test_any_call_is_rejected_or_becomes_a_valid_request(
    harness, valid_call, changes_made, chunked
):
    fields = {**valid_call, **changes_made}
    length = {"Content-Length": str(len(fields["body"]))}
    fields["sent_headers"] = {**length, **fields["sent_headers"], **fields.pop("more", {})}
    call = make_call(**fields, chunked=chunked)
    try:
        request = harness.server._build_request(call)
    except RequestError as error:
        assert error.kind in ERROR_ANSWERS
        event(error.kind)
        json.dumps(error.as_problem("id"))
        return
    if isinstance(request, Reply):
        return
    event("made a request")
    assert request.team == "pharmacy"
    assert len(request.body) <= LIMIT
    assert 10.0 < request.deadline <= 40.0
    assert request.key.isascii() and len(request.key) <= 255
    assert request.path.isascii() and ".." not in request.path.partition("?")[0].split("/")
    if request.path.startswith("/v1/chat"):
        assert json.loads(request.body)["messages"]
        assert isinstance(request.stream, bool)


@IN_PROCESS
@given(chunked_bodies, st.integers(0, 100))
@example(b"5\r\nabcde\r\n0\r\n\r\n", 5)
@example(b" 0\r\n\r\n", 0)
def test_a_chunked_body_is_read_completely_or_rejected(text, limit):
    reader = io.BufferedReader(io.BytesIO(text))
    try:
        body = bodies.read_body(reader, None, True, limit)
    except RequestError as error:
        assert error.kind in ("malformed", "too_large")
        return
    assert len(body) <= limit
    assert text.startswith(b"0") or body


@OVER_SOCKETS
@given(heads, st.binary(max_size=100), st.booleans())
def test_any_bytes_are_answered_or_the_connection_is_closed(harness, head, body, known):
    method, path, fields = head
    lines = [f"{method} /{path} HTTP/1.1", "Host: h", *(f"{n}: {v}" for n, v in fields.items())]
    if known:
        lines += [f"{name}: {text}" for name, text in CHAT.items()]
        lines.append(f"Content-Length: {len(body)}")
    text = "\r\n".join(lines).encode("utf-8", "surrogatepass") + b"\r\n\r\n" + body
    with harness.connect() as sock:
        sock.sendall(text)
        sock.shutdown(socket.SHUT_WR)
        answer = read_all(sock)
    assert answer == b"" or answer.startswith(b"HTTP/1.1 ")
    assert b"Traceback" not in answer
    assert not answer.startswith(b"HTTP/1.1 500")
    assert wait_until(lambda: harness.server.count_in_progress() == 0)
