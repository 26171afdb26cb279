"""Tests of the interface for callers over real sockets."""

from __future__ import annotations

import http.client
import json
import re
from pathlib import Path

import pytest

from cloverway.errors import ERROR_ANSWERS, Kind, RequestError
from cloverway.replies import Reply
from cloverway.tests.caller_harness import (
    CHAT,
    CHAT_BODY,
    FORWARDED_BODY,
    HEADERS,
    STREAM_BODY,
    CallerServerHarness,
    FakeStream,
    wait_until,
)

COMPLETIONS = "/v1/chat/completions"


@pytest.fixture(scope="module")
def harness():
    with CallerServerHarness() as started:
        yield started


@pytest.fixture(autouse=True)
def _reset(harness):
    harness.gateway.answer = Reply(200, "application/json", b"{}")
    harness.gateway.requests.clear()
    harness.rejections.clear()


def test_a_completion_reaches_the_gateway(harness):
    harness.gateway.answer = Reply(200, "application/json", b'{"a": 1}', headers=(("X-Ran", "pl"),))
    answer = harness.call("POST", COMPLETIONS, CHAT_BODY, {**CHAT, "Cloverway-Deadline-Ms": "900"})
    assert (answer.status, answer.body) == (200, b'{"a": 1}')
    assert answer.headers["X-Ran"] == "pl"
    assert answer.headers["Cloverway-Host"] == "pl-1-a"
    [request] = harness.gateway.requests
    assert answer.headers["X-Request-Id"] == request.id
    assert (request.team, request.profile, request.body) == ("pharmacy", "chat", FORWARDED_BODY)
    assert request.deadline - request.arrived_at == pytest.approx(0.9)
    assert request.revision == 3
    assert not request.stream


def test_a_service_call_keeps_its_target(harness):
    headers = {**HEADERS, "Cloverway-Profile": "allocate", "Idempotency-Key": "k-1"}
    target = "/v1/services/stock/boxes/7?of=insulin&at=%41"
    assert harness.call("PUT", target, b"{}", headers).status == 200
    [request] = harness.gateway.requests
    assert (request.method, request.path, request.key) == ("PUT", target, "k-1")


def test_a_stream_arrives_completely(harness):
    stream = FakeStream([b"data: 1\n\n", b"data: 2\n\n", b"data: [DONE]\n\n"])
    harness.gateway.answer = Reply(200, "text/event-stream", stream=stream)
    answer = harness.call("POST", COMPLETIONS, STREAM_BODY, CHAT)
    assert answer.body == b"data: 1\n\ndata: 2\n\ndata: [DONE]\n\n"
    assert answer.headers["Content-Type"] == "text/event-stream"
    assert stream.closed.wait(5)
    assert harness.gateway.requests[0].stream


@pytest.mark.parametrize("error", [RequestError(Kind.TRUNCATED), RuntimeError("bug")])
def test_a_stream_cut_midway_never_looks_complete(harness, error):
    """The connection closes without the last chunk if the stream fails midway.

    The endpoint sends two events and fails. If the last chunk were sent, the caller would treat a
    truncated answer as complete.
    """
    stream = FakeStream([b"data: 1\n\n", b"data: 2\n\n"], error)
    harness.gateway.answer = Reply(200, "text/event-stream", stream=stream)
    with pytest.raises(http.client.IncompleteRead) as caught:
        harness.call("POST", COMPLETIONS, STREAM_BODY, CHAT)
    assert caught.value.partial == b"data: 1\n\ndata: 2\n\n"
    assert stream.closed.wait(5)
    assert wait_until(lambda: harness.server.count_in_progress() == 0)


def test_a_stream_that_fails_at_once_is_a_problem(harness):
    stream = FakeStream([], RequestError(Kind.ENDPOINT_FAILED))
    harness.gateway.answer = Reply(200, "text/event-stream", stream=stream)
    answer = harness.call("POST", COMPLETIONS, STREAM_BODY, CHAT)
    assert answer.status == 502
    assert answer.problem["kind"] == "endpoint_failed"
    assert stream.closed.wait(5)


def test_an_http_1_0_caller_gets_a_buffered_stream(harness):
    """An HTTP/1.0 caller detects the end of a stream only by the closed connection.

    A truncated stream closes it too, so such a caller could not tell the two apart. It gets the
    complete stream with a Content-Length, or a problem.
    """
    stream = FakeStream([b"data: 1\n\n", b"data: 2\n\n"])
    harness.gateway.answer = Reply(200, "text/event-stream", stream=stream)
    answer = harness.call("POST", COMPLETIONS, STREAM_BODY, CHAT, http_1_0=True)
    assert answer.headers["Content-Length"] == "18"
    assert answer.body == b"data: 1\n\ndata: 2\n\n"
    truncated = FakeStream([b"data: 1\n\n"], RequestError(Kind.TRUNCATED))
    harness.gateway.answer = Reply(200, "text/event-stream", stream=truncated)
    assert (
        harness.call("POST", COMPLETIONS, STREAM_BODY, CHAT, http_1_0=True).problem["status"] == 502
    )


def test_failures_of_the_gateway_become_problems(harness):
    harness.gateway.answer = RequestError(Kind.OVERLOADED, retry_after=1.2)
    answer = harness.call("POST", COMPLETIONS, CHAT_BODY, CHAT)
    assert (answer.status, answer.headers["Retry-After"]) == (429, "2")
    assert (answer.problem["kind"], answer.problem["ran"]) == ("overloaded", "no")
    harness.gateway.answer = RuntimeError("a secret detail")
    answer = harness.call("POST", COMPLETIONS, CHAT_BODY, CHAT)
    assert (answer.problem["kind"], answer.problem["ran"]) == ("internal", "unknown")
    assert b"secret" not in answer.body


@pytest.mark.parametrize(
    ("method", "path", "headers", "kind"),
    [
        ("GET", "/v1/nothing", CHAT, Kind.NOT_FOUND),
        ("GET", COMPLETIONS, CHAT, Kind.METHOD_NOT_ALLOWED),
        ("PATCH", "/v1/services/stock/a", CHAT, Kind.METHOD_NOT_ALLOWED),
        ("POST", COMPLETIONS, {**CHAT, "Authorization": "Bearer no"}, Kind.UNAUTHENTICATED),
        ("POST", COMPLETIONS, {**CHAT, "Authorization": "Basic x"}, Kind.UNAUTHENTICATED),
        ("POST", COMPLETIONS, HEADERS, Kind.MALFORMED),
        ("POST", COMPLETIONS, {**CHAT, "Cloverway-Profile": "other"}, Kind.FORBIDDEN),
        ("POST", COMPLETIONS, {**CHAT, "Cloverway-Profile": "none"}, Kind.FORBIDDEN),
        ("POST", COMPLETIONS, {**CHAT, "Cloverway-Deadline-Ms": "-1"}, Kind.MALFORMED),
        ("POST", COMPLETIONS, {**CHAT, "Content-Type": "text/plain"}, Kind.MALFORMED),
        ("POST", COMPLETIONS, {**CHAT, "Cloverway-Profile": "lookup"}, Kind.MALFORMED),
        ("GET", "/v1/services/other/a", {**CHAT, "Cloverway-Profile": "lookup"}, Kind.NOT_FOUND),
        (
            "POST",
            "/v1/services/stock/a",
            {**CHAT, "Cloverway-Profile": "allocate"},
            Kind.KEY_REQUIRED,
        ),
    ],
)
def test_invalid_calls_are_rejected(harness, method, path, headers, kind):
    answer = harness.call(method, path, CHAT_BODY, headers)
    assert (answer.problem["kind"], answer.problem["ran"]) == (kind, "no")
    assert not harness.gateway.requests
    assert [rejection.kind for rejection in harness.rejections] == [kind]


@pytest.mark.parametrize(
    "path", ["/../load", "/a/../../x", "/%2e%2e/x", "/a%2f..%2fb", "//x", "/a\\b"]
)
def test_a_target_stays_below_its_service(harness, path):
    """A caller must not reach control paths of an endpoint by a path that it normalizes."""
    headers = {**HEADERS, "Cloverway-Profile": "lookup"}
    answer = harness.call("GET", "/v1/services/stock" + path, None, headers)
    assert answer.problem["kind"] in ("malformed", "not_found")
    assert not harness.gateway.requests


def test_a_rejection_before_the_key_lookup_never_claims_not_run(harness):
    """A caller repeats a call with its key after a lost answer, and is rejected.

    The first request may have run. If the rejection of the repeat said `ran: no`, the caller would
    run the operation again with a new key.
    """
    headers = {**HEADERS, "Cloverway-Profile": "none", "Idempotency-Key": "k-1"}
    answer = harness.call("POST", "/v1/services/stock/a", b"{}", headers)
    assert (answer.problem["kind"], answer.problem["ran"]) == ("forbidden", "unknown")
    headers = {**HEADERS, "Cloverway-Profile": "allocate", "Idempotency-Key": "k" * 300}
    answer = harness.call("POST", "/v1/services/stock/a", b"{}", headers)
    assert (answer.problem["kind"], answer.problem["ran"]) == ("key_invalid", "no")


def test_hosts_and_keys(harness):
    answer = harness.call("GET", "/v1/hosts", headers={})
    assert [host["name"] for host in json.loads(answer.body)["hosts"]] == ["pl-1-a"]
    answer = harness.call("POST", "/v1/idempotency-keys", b'{"count": 2}')
    assert json.loads(answer.body) == {
        "key": "key-0",
        "keys": ["key-0", "key-1"],
        "lifetime_s": 3600.0,
    }
    assert harness.call("POST", "/v1/idempotency-keys").status == 200
    answer = harness.call("POST", "/v1/idempotency-keys", b'{"count": 101}')
    assert answer.problem["kind"] == "malformed"
    assert harness.call("POST", "/v1/idempotency-keys", headers={}).problem["status"] == 401


def test_the_guide_for_callers_lists_every_error_kind():
    page = Path(__file__).parents[2] / "docs" / "user-guide" / "calling.md"
    rows = re.findall(
        r"^\| `(\w+)` \| (\d+) \| `(\w+)` \| (\w+) \|", page.read_text(), re.MULTILINE
    )
    assert {kind: (int(status), ran, back) for kind, status, ran, back in rows} == {
        str(kind): (answer.status, str(answer.ran), "yes" if answer.has_retry_after else "no")
        for kind, answer in ERROR_ANSWERS.items()
    }
