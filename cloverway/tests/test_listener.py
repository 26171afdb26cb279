"""Slow, malformed and disconnecting callers at the listener, over real sockets."""

from __future__ import annotations

import contextlib
import http.client
import json
import selectors
import socket
import struct
import threading
import time

import pytest

from cloverway.entry import caller_connection
from cloverway.entry.listener import ListenerLimits
from cloverway.errors import Kind, RequestError
from cloverway.replies import Reply
from cloverway.tests.caller_harness import (
    BEARER,
    CHAT,
    CHAT_BODY,
    FORWARDED_BODY,
    STREAM_BODY,
    CallerServerHarness,
    FakeStream,
    read_all,
    read_answer,
    read_until,
    wait_until,
)

COMPLETIONS = "/v1/chat/completions"
HEAD = (
    f"POST {COMPLETIONS} HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {BEARER}\r\n"
    "Cloverway-Profile: chat\r\nContent-Type: application/json\r\n"
)
LIMITS = ListenerLimits(
    threads=4, queued=4, idle=16, header_bytes=4096, head_timeout_s=0.4, idle_timeout_s=0.5
)


def make_harness(**limits):
    return CallerServerHarness(
        listener_limits=LIMITS, **{"body_timeout_s": 0.4, "body_bytes": 65536, **limits}
    )


@pytest.fixture(scope="module")
def shared():
    with make_harness() as harness:
        yield harness


@pytest.fixture
def harness(shared):
    shared.gateway.answer = Reply(200, "application/json", b"{}")
    shared.gateway.requests.clear()
    shared.gateway.started.clear()
    return shared


def parse_problem(sock):
    """Read until the connection closes, and return the problem document of the answer."""
    head, _, body = read_all(sock).partition(b"\r\n\r\n")
    assert b"application/problem+json" in head
    return json.loads(body)


def list_readable(sockets, timeout_s=0.0):
    """List the sockets with input; unlike select(), also those with high descriptors."""
    with selectors.DefaultSelector() as selector:
        for sock in sockets:
            selector.register(sock, selectors.EVENT_READ)
        return [key.fileobj for key, _ in selector.select(timeout_s)]


def trickle(sock, piece, interval_s=0.05):
    """Send a piece repeatedly, until the returned event is set or the peer closes."""
    stop_event = threading.Event()

    def run():
        with contextlib.suppress(OSError):
            while not stop_event.wait(interval_s):
                sock.sendall(piece)

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    return stop_event, thread


@pytest.mark.parametrize(
    "head",
    [HEAD + "Content-Length: 60000\r\n\r\n", HEAD + "Transfer-Encoding: chunked\r\n\r\nFFFF\r\n"],
)
def test_a_slow_body_is_rejected_after_one_timeout_for_all_of_it(harness, head):
    """A caller that sends its body byte by byte is rejected as too slow.

    Each byte arrives well within the timeout of a single read. If only single reads had a timeout,
    four such callers could occupy all four threads for hours.
    """
    with harness.connect() as sock:
        sock.sendall(head.encode())
        stop_event, thread = trickle(sock, b"a")
        problem = parse_problem(sock)
        stop_event.set()
        thread.join()
    assert (problem["kind"], problem["ran"]) == ("too_slow", "no")
    assert wait_until(lambda: harness.server.count_in_progress() == 0)


def test_a_slow_head_is_rejected(harness):
    """A caller that sends headers without end is rejected as too slow."""
    with harness.connect() as sock:
        sock.sendall(HEAD.encode())
        stop_event, thread = trickle(sock, b"X: y\r\n")
        problem = parse_problem(sock)
        stop_event.set()
        thread.join()
    assert problem["kind"] == "too_slow"


@pytest.mark.parametrize("chunked", [False, True])
def test_the_caller_can_read_the_rejection_of_a_large_body(harness, chunked):
    """A caller sends a body that is too large, and reads the answer only afterwards.

    The gateway answers and closes while bytes still arrive. If it did not read them, the
    connection would be reset, and the caller's system could drop the answer.
    """
    body = iter([b"x" * 50_000] * 200) if chunked else b"x" * 10_000_000
    answer = harness.call("POST", COMPLETIONS, body, CHAT)
    assert (answer.status, answer.problem["kind"]) == (413, "too_large")
    assert answer.headers["Connection"] == "close"


@pytest.mark.parametrize(
    ("chunks", "kind"),
    [
        (b"FFFFFFFFFFF\r\n", "too_large"),
        (b"1;" + b"x" * 70_000, "malformed"),
        (b"1;" + b"x" * 300 + b"\r\n", "malformed"),
        (b"-5\r\n", "malformed"),
        (b"\r\n", "malformed"),
        (b"0\r\n" + b"A: b\r\n" * 200, "malformed"),
        (b"2\r\nabcdef\r\n0\r\n\r\n", "malformed"),
    ],
)
def test_invalid_chunks_are_rejected_before_they_are_buffered(harness, chunks, kind):
    with harness.connect() as sock:
        sock.sendall(HEAD.encode() + b"Transfer-Encoding: chunked\r\n\r\n" + chunks)
        assert parse_problem(sock)["kind"] == kind
    assert not harness.gateway.requests


@pytest.mark.parametrize(
    ("text", "kind"),
    [
        (b"nonsense\r\n\r\n", "malformed"),
        (b"GET /v1/hosts HTTP/1.1\r\n\r\n", "malformed"),
        (b"GET /v1/hosts HTTP/3.7\r\nHost: h\r\n\r\n", "malformed"),
        (b"GET /" + b"a" * 5000 + b" HTTP/1.1\r\nHost: h\r\n\r\n", "too_large"),
        (b"GET /v1/hosts HTTP/1.1\r\nHost: h\r\nA: " + b"a" * 5000 + b"\r\n\r\n", "too_large"),
        (HEAD.encode() + b"Content-Length: -1\r\n\r\n", "malformed"),
        (HEAD.encode() + b"Content-Length: many\r\n\r\n", "malformed"),
        (HEAD.encode() + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n", "malformed"),
        (HEAD.encode() + b"Transfer-Encoding: gzip\r\n\r\n", "malformed"),
    ],
)
def test_an_invalid_head_is_answered_with_a_problem(harness, text, kind):
    with harness.connect() as sock:
        sock.sendall(text)
        assert parse_problem(sock)["kind"] == kind


def test_an_unread_body_is_never_parsed_as_the_next_request(harness):
    """An unread body that contains a request must not be run as a second request."""
    hidden = HEAD.replace(BEARER, "no") + f"Content-Length: {len(HEAD)}\r\n\r\n" + HEAD
    with harness.connect() as sock:
        sock.sendall(hidden.encode() + b"Content-Length: 2\r\n\r\n{}")
        answers = read_all(sock)
    assert answers.count(b"HTTP/1.1 ") == 1
    assert not harness.gateway.requests


def test_a_truncated_body_never_reaches_the_gateway(harness):
    with harness.connect() as sock:
        sock.sendall(HEAD.encode() + b"Content-Length: 500\r\n\r\n" + CHAT_BODY)
        sock.shutdown(socket.SHUT_WR)
        assert parse_problem(sock)["kind"] == "malformed"
    assert not harness.gateway.requests


def test_idle_connections_occupy_no_thread(harness):
    """A caller gets its answer although more idle connections are open than there are threads.

    If each idle connection were passed to a thread that waits for its first byte, four of them
    would block the daemon until they time out.
    """
    with contextlib.ExitStack() as stack:
        for _ in range(12):
            stack.enter_context(harness.connect())
        assert harness.call("POST", COMPLETIONS, CHAT_BODY, CHAT).status == 200


def test_incomplete_heads_occupy_no_thread():
    """A caller gets its answer while many connections have sent an incomplete head.

    No key is needed to open them. If each occupied a thread that waits for the rest, a handful of
    connections could block the daemon indefinitely.
    """
    listener_limits = LIMITS._replace(head_timeout_s=30, idle_timeout_s=30)
    with (
        CallerServerHarness(listener_limits=listener_limits) as harness,
        contextlib.ExitStack() as stack,
    ):
        for _ in range(12):
            stack.enter_context(harness.connect()).sendall(HEAD.encode())
        slow = stack.enter_context(harness.connect())
        answers = [harness.call("POST", COMPLETIONS, CHAT_BODY, CHAT).status for _ in range(3)]
        assert answers == [200, 200, 200]
        for byte in (HEAD + f"Content-Length: {len(CHAT_BODY)}\r\n\r\n").encode():
            slow.sendall(bytes([byte]))
        slow.sendall(CHAT_BODY)
        assert read_answer(slow).status == 200


def test_slow_bodies_of_one_team_leave_threads_for_other_requests():
    """Slow bodies of a team may occupy one of the four threads; a second one is rejected.

    Calls of the same team with a prompt body, and calls of other teams, are still answered. Without
    the limit, each further slow body would occupy a thread for seconds.
    """
    listener_limits = LIMITS._replace(idle_timeout_s=30)
    with (
        CallerServerHarness(listener_limits=listener_limits) as harness,
        contextlib.ExitStack() as stack,
    ):
        head = (HEAD + "Content-Length: 100\r\n\r\n").encode()
        slow = [stack.enter_context(harness.connect()) for _ in range(2)]
        for sock in slow:
            sock.sendall(head)
        [refused] = list_readable(slow, 5)
        slow.remove(refused)
        answer = read_answer(refused)
        assert (answer.problem["kind"], answer.problem["ran"]) == ("team_limit", "no")
        assert answer.headers["Retry-After"] == "1"
        assert harness.call("POST", COMPLETIONS, CHAT_BODY.ljust(30_000), CHAT).status == 200
        other = {**CHAT, "Authorization": "Bearer other-key"}
        assert harness.call("POST", COMPLETIONS, CHAT_BODY, other).status == 200
        slow[0].sendall(CHAT_BODY.ljust(100))
        assert read_answer(slow[0]).status == 200


def test_pipelined_requests_are_answered_in_order(harness):
    """A second head that arrives with the first, complete or not, is neither lost nor mixed up."""
    request = (HEAD + f"Content-Length: {len(CHAT_BODY)}\r\n\r\n").encode() + CHAT_BODY
    with harness.connect() as sock:
        sock.sendall(request + request + request[:40])
        assert wait_until(lambda: len(harness.gateway.requests) == 2)
        sock.sendall(request[40:])
        assert read_all(sock).count(b"HTTP/1.1 200") == 3
    assert [taken.body for taken in harness.gateway.requests] == [FORWARDED_BODY] * 3


def test_idle_connections_are_limited_and_lock_nobody_out():
    """Many more connections are opened than the limit allows, and none sends a request.

    The oldest ones are closed. If new ones were rejected instead, a client that opens connections
    first could lock out all callers.
    """
    with (
        CallerServerHarness(listener_limits=LIMITS._replace(idle_timeout_s=30)) as harness,
        contextlib.ExitStack() as stack,
    ):
        idle = [stack.enter_context(harness.connect()) for _ in range(60)]
        for _ in range(3):
            assert harness.call("POST", COMPLETIONS, CHAT_BODY, CHAT).status == 200
        assert wait_until(lambda: len(list_readable(idle)) >= 60 - LIMITS.idle)
        assert idle[-1] not in list_readable(idle)


def test_a_connection_is_reused_and_closed_when_idle(harness):
    request = HEAD + f"Content-Length: {len(CHAT_BODY)}\r\n\r\n"
    with harness.connect() as sock:
        for _ in range(3):
            sock.sendall(request.encode() + CHAT_BODY)
            assert read_answer(sock).status == 200
        assert sock.recv(1) == b""
    assert len(harness.gateway.requests) == 3


def test_a_rejection_keeps_the_connection_if_the_body_was_read(harness):
    request = HEAD + "Content-Length: 2\r\n\r\n[]"
    with harness.connect() as sock:
        for _ in range(2):
            sock.sendall(request.encode())
            assert read_answer(sock).problem["kind"] == "malformed"


def test_a_disconnect_during_a_stream_closes_the_stream(harness):
    """A caller closes its connection after the first piece of a stream.

    Its thread is released, and the stream is closed, which cancels the work of the endpoint.
    Otherwise callers that disconnect would exhaust threads and endpoints.
    """
    stream = FakeStream([b"data: 1\n\n"] + [b"x" * 60_000] * 400)
    harness.gateway.answer = Reply(200, "text/event-stream", stream=stream)
    request = HEAD + f"Content-Length: {len(STREAM_BODY)}\r\n\r\n"
    with harness.connect() as sock:
        sock.sendall(request.encode() + STREAM_BODY)
        assert b"data: 1" in read_until(sock, b"data: 1")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    assert stream.closed.wait(5)
    assert wait_until(lambda: harness.server.count_in_progress() == 0)


def test_a_caller_that_reads_nothing_releases_its_thread(harness):
    harness.gateway.answer = Reply(200, "application/json", b"x" * 20_000_000)
    request = HEAD + f"Content-Length: {len(CHAT_BODY)}\r\n\r\n"
    with harness.connect() as sock:
        sock.sendall(request.encode() + CHAT_BODY)
        assert harness.gateway.started.wait(5)
        assert wait_until(lambda: harness.server.count_in_progress() == 0)


def test_a_caller_that_reads_slowly_releases_its_thread(harness, monkeypatch):
    """One deadline applies to the complete answer of a caller that reads a little at a time."""
    monkeypatch.setattr(caller_connection, "MIN_WRITE_BYTES_PER_S", 10**12)
    harness.gateway.answer = Reply(200, "application/json", b"x" * 20_000_000)
    request = HEAD + f"Content-Length: {len(CHAT_BODY)}\r\n\r\n"
    with harness.connect() as sock, pytest.raises(http.client.IncompleteRead):
        sock.sendall(request.encode() + CHAT_BODY)
        response = http.client.HTTPResponse(sock)
        response.begin()
        pause = threading.Event()
        while response.read(200_000):
            pause.wait(0.01)
        raise (
            http.client.IncompleteRead(b"")
            if response.length
            else AssertionError("the answer arrived completely")
        )


def test_a_disconnect_of_a_waiting_caller_is_detected():
    """A caller closes while its request waits for an endpoint and no thread reads its socket.

    If the request stayed in the queue until its deadline, callers that time out and retry would
    fill the queue with abandoned requests.
    """
    with make_harness() as harness:
        harness.gateway.resume.clear()
        request = HEAD + f"Content-Length: {len(CHAT_BODY)}\r\n\r\n"
        with harness.connect() as staying, harness.connect() as leaving:
            staying.sendall(request.encode() + CHAT_BODY)
            assert wait_until(lambda: len(harness.gateway.requests) == 1)
            leaving.sendall(request.encode() + CHAT_BODY)
            assert wait_until(lambda: len(harness.gateway.requests) == 2)
            leaving.close()
            assert wait_until(lambda: bool(harness.disconnected))
            assert harness.disconnected == [harness.gateway.requests[1].id]
            harness.gateway.resume.set()
            assert read_answer(staying).status == 200


def test_requests_beyond_the_thread_queue_are_rejected():
    """A request is rejected at once if all threads are busy and the queue for them is full."""
    with make_harness() as harness:
        harness.gateway.resume.clear()
        request = (HEAD + f"Content-Length: {len(CHAT_BODY)}\r\n\r\n").encode() + CHAT_BODY
        with contextlib.ExitStack() as stack:
            callers = [stack.enter_context(harness.connect()) for _ in range(12)]
            for sock in callers[:8]:
                sock.sendall(request)
            assert wait_until(lambda: harness.server.count_in_progress() == 8)
            for sock in callers[8:]:
                sock.sendall(request)
                problem = parse_problem(sock)
                assert (problem["kind"], problem["ran"]) == ("overloaded", "no")
            assert [rejection.kind for rejection in harness.rejections] == ["overloaded"] * 4
            harness.gateway.resume.set()
            for sock in callers[:8]:
                assert read_answer(sock).status == 200


def test_the_wait_for_a_thread_counts_against_the_deadline():
    """Guards against work that runs after its caller has left.

    All threads are busy, so the complete head of a request waits for one. If its deadline began
    only when a thread took it, the request would run although the caller gave up long ago.
    """
    with make_harness() as harness:
        harness.gateway.resume.clear()
        request = (HEAD + f"Content-Length: {len(CHAT_BODY)}\r\n\r\n").encode() + CHAT_BODY
        with contextlib.ExitStack() as stack:
            callers = [stack.enter_context(harness.connect()) for _ in range(5)]
            for sock in callers[:4]:
                sock.sendall(request)
            assert wait_until(lambda: len(harness.gateway.requests) == 4)
            callers[4].sendall(request)
            assert wait_until(lambda: harness.server.count_in_progress() == 5)
            head_was_read_by = time.monotonic()
            harness.gateway.resume.set()
            assert read_answer(callers[4]).status == 200
            waited = harness.gateway.requests[4]
            assert waited.arrived_at <= head_was_read_by
            assert waited.deadline == waited.arrived_at + 5.0


def test_no_thread_is_left_after_a_stop():
    before = threading.active_count()
    with make_harness() as harness:
        harness.server.stop_accepting()
        answer = harness.call("POST", COMPLETIONS, CHAT_BODY, CHAT)
        assert (answer.status, answer.headers["Connection"]) == (200, "close")
        harness.gateway.answer = RequestError(Kind.LEAVING, retry_after=1.0)
        assert harness.call("POST", COMPLETIONS, CHAT_BODY, CHAT).problem["kind"] == "leaving"
    assert wait_until(lambda: threading.active_count() <= before)
