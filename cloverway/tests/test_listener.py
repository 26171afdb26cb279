"""Failures between a caller and the listener, over real sockets."""

from __future__ import annotations

import contextlib
import http.client
import json
import select
import socket
import struct
import threading

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


def read_problem(sock):
    """Read one answer to its end, and give its kind."""
    head, _, body = read_all(sock).partition(b"\r\n\r\n")
    assert b"application/problem+json" in head
    return json.loads(body)


def trickle(sock, piece, pace_s=0.05):
    """Send a byte again and again until the other end answers or closes."""
    enough = threading.Event()

    def run():
        with contextlib.suppress(OSError):
            while not enough.wait(pace_s):
                sock.sendall(piece)

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    return enough, thread


@pytest.mark.parametrize(
    "head",
    [HEAD + "Content-Length: 60000\r\n\r\n", HEAD + "Transfer-Encoding: chunked\r\n\r\nFFFF\r\n"],
)
def test_a_slow_body_is_refused_after_one_time_for_all_of_it(harness, head):
    """The caller sends its body byte by byte, and is told that it was too slow.

    Each byte comes long before a timeout for a single read. Were the time counted for each read
    alone, four such callers would hold all four threads for hours.
    """
    with harness.connect() as sock:
        sock.sendall(head.encode())
        enough, thread = trickle(sock, b"a")
        problem = read_problem(sock)
        enough.set()
        thread.join()
    assert (problem["kind"], problem["ran"]) == ("too_slow", "no")
    assert wait_until(lambda: harness.server.in_progress() == 0)


def test_a_slow_head_is_refused(harness):
    """As above, for a caller that never ends its headers."""
    with harness.connect() as sock:
        sock.sendall(HEAD.encode())
        enough, thread = trickle(sock, b"X: y\r\n")
        problem = read_problem(sock)
        enough.set()
        thread.join()
    assert problem["kind"] == "too_slow"


@pytest.mark.parametrize("chunked", [False, True])
def test_a_large_body_is_refused_and_the_caller_can_read_why(harness, chunked):
    """The caller sends all of a body that is too large before it reads the answer.

    The gateway answers and closes while bytes still come. Were they not read, the connection
    would be reset, and the caller's system could drop the answer.
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
def test_bad_chunks_are_refused_before_they_are_held(harness, chunks, kind):
    with harness.connect() as sock:
        sock.sendall(HEAD.encode() + b"Transfer-Encoding: chunked\r\n\r\n" + chunks)
        assert read_problem(sock)["kind"] == kind
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
def test_a_bad_head_gets_the_same_form_of_answer(harness, text, kind):
    with harness.connect() as sock:
        sock.sendall(text)
        assert read_problem(sock)["kind"] == kind


def test_a_refused_body_is_never_taken_for_the_next_request(harness):
    """A body that was not read holds a second request, which must not be run."""
    hidden = HEAD.replace(BEARER, "no") + f"Content-Length: {len(HEAD)}\r\n\r\n" + HEAD
    with harness.connect() as sock:
        sock.sendall(hidden.encode() + b"Content-Length: 2\r\n\r\n{}")
        answers = read_all(sock)
    assert answers.count(b"HTTP/1.1 ") == 1
    assert not harness.gateway.requests


def test_a_body_that_is_cut_never_reaches_the_gateway(harness):
    with harness.connect() as sock:
        sock.sendall(HEAD.encode() + b"Content-Length: 500\r\n\r\n" + CHAT_BODY)
        sock.shutdown(socket.SHUT_WR)
        assert read_problem(sock)["kind"] == "malformed"
    assert not harness.gateway.requests


def test_idle_connections_cost_no_thread(harness):
    """A caller gets its answer though many more connections are open than there are threads.

    They were opened and say nothing. Were each given to a thread, which waits for its first byte,
    four of them would stop the daemon for the length of a timeout.
    """
    with contextlib.ExitStack() as stack:
        for _ in range(12):
            stack.enter_context(harness.connect())
        assert harness.call("POST", COMPLETIONS, CHAT_BODY, CHAT).status == 200


def test_unfinished_heads_cost_no_thread():
    """A caller gets its answer while many others have sent a part of a head and wait.

    They need no key for it. Were a thread given to each, to wait for the rest, a handful of
    connections would stop the daemon for as long as they like.
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


def test_slow_bodies_of_one_team_leave_threads_for_others():
    """A team's bodies come slowly, two at a time, and it may have one of the four threads.

    The second is refused; calls of the same team whose body comes at once, and those of others,
    go on. Were the slow ones not bounded, each further one would take a thread for seconds.
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
        [refused], _, _ = select.select(slow, [], [], 5)
        slow.remove(refused)
        answer = read_answer(refused)
        assert (answer.problem["kind"], answer.problem["ran"]) == ("team_limit", "no")
        assert answer.headers["Retry-After"] == "1"
        assert harness.call("POST", COMPLETIONS, CHAT_BODY.ljust(30_000), CHAT).status == 200
        other = {**CHAT, "Authorization": "Bearer other-key"}
        assert harness.call("POST", COMPLETIONS, CHAT_BODY, other).status == 200
        slow[0].sendall(CHAT_BODY.ljust(100))
        assert read_answer(slow[0]).status == 200


def test_requests_that_come_together_are_answered_in_order(harness):
    """A second head that came with the first, whole or in part, is neither lost nor mixed up."""
    request = (HEAD + f"Content-Length: {len(CHAT_BODY)}\r\n\r\n").encode() + CHAT_BODY
    with harness.connect() as sock:
        sock.sendall(request + request + request[:40])
        assert wait_until(lambda: len(harness.gateway.requests) == 2)
        sock.sendall(request[40:])
        assert read_all(sock).count(b"HTTP/1.1 200") == 3
    assert [taken.body for taken in harness.gateway.requests] == [FORWARDED_BODY] * 3


def test_idle_connections_are_bounded_and_keep_nobody_out():
    """Far more connections are opened than there are places, and none says anything.

    The oldest of them make room. Were new ones turned away instead, callers would be kept out by
    whoever opens connections first.
    """
    with (
        CallerServerHarness(listener_limits=LIMITS._replace(idle_timeout_s=30)) as harness,
        contextlib.ExitStack() as stack,
    ):
        idle = [stack.enter_context(harness.connect()) for _ in range(60)]
        for _ in range(3):
            assert harness.call("POST", COMPLETIONS, CHAT_BODY, CHAT).status == 200
        assert wait_until(lambda: len(select.select(idle, [], [], 0)[0]) >= 60 - LIMITS.idle)
        assert idle[-1] not in select.select(idle, [], [], 0)[0]


def test_a_connection_is_used_again_and_then_closed_when_idle(harness):
    request = HEAD + f"Content-Length: {len(CHAT_BODY)}\r\n\r\n"
    with harness.connect() as sock:
        for _ in range(3):
            sock.sendall(request.encode() + CHAT_BODY)
            assert read_answer(sock).status == 200
        assert sock.recv(1) == b""
    assert len(harness.gateway.requests) == 3


def test_a_refusal_keeps_the_connection_when_its_body_was_read(harness):
    request = HEAD + "Content-Length: 2\r\n\r\n[]"
    with harness.connect() as sock:
        for _ in range(2):
            sock.sendall(request.encode())
            assert read_answer(sock).problem["kind"] == "malformed"


def test_a_caller_that_leaves_midway_ends_its_stream(harness):
    """The caller closes after the first piece; the rest has nobody to go to.

    Its thread must come back and the endpoint's work must be given up, or callers that leave
    would use up both.
    """
    stream = FakeStream([b"data: 1\n\n"] + [b"x" * 60_000] * 400)
    harness.gateway.answer = Reply(200, "text/event-stream", stream=stream)
    request = HEAD + f"Content-Length: {len(STREAM_BODY)}\r\n\r\n"
    with harness.connect() as sock:
        sock.sendall(request.encode() + STREAM_BODY)
        assert b"data: 1" in read_until(sock, b"data: 1")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    assert stream.closed.wait(5)
    assert wait_until(lambda: harness.server.in_progress() == 0)


def test_a_caller_that_reads_nothing_gives_its_thread_back(harness):
    harness.gateway.answer = Reply(200, "application/json", b"x" * 20_000_000)
    request = HEAD + f"Content-Length: {len(CHAT_BODY)}\r\n\r\n"
    with harness.connect() as sock:
        sock.sendall(request.encode() + CHAT_BODY)
        assert harness.gateway.started.wait(5)
        assert wait_until(lambda: harness.server.in_progress() == 0)


def test_a_caller_that_reads_slowly_gives_its_thread_back(harness, monkeypatch):
    """A caller that takes a little of its answer now and then has one time for all of it."""
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
        raise http.client.IncompleteRead(b"") if response.length else AssertionError("came whole")


def test_a_caller_that_leaves_while_it_waits_is_noticed():
    """The caller closes while its request waits for an endpoint, and nobody reads its socket.

    Its place in the queue is of use to somebody else; were it kept until the deadline, a crowd
    that repeats its calls would fill the queue with requests of callers that are gone.
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


def test_more_requests_than_threads_get_an_answer():
    """Every thread is busy and the line for a thread is full: a new caller is told so at once."""
    with make_harness() as harness:
        harness.gateway.resume.clear()
        request = (HEAD + f"Content-Length: {len(CHAT_BODY)}\r\n\r\n").encode() + CHAT_BODY
        with contextlib.ExitStack() as stack:
            callers = [stack.enter_context(harness.connect()) for _ in range(12)]
            for sock in callers[:8]:
                sock.sendall(request)
            assert wait_until(lambda: harness.server.in_progress() == 8)
            for sock in callers[8:]:
                sock.sendall(request)
                problem = read_problem(sock)
                assert (problem["kind"], problem["ran"]) == ("overloaded", "no")
            assert [rejection.kind for rejection in harness.rejections] == ["overloaded"] * 4
            harness.gateway.resume.set()
            for sock in callers[:8]:
                assert read_answer(sock).status == 200


def test_a_stop_leaves_no_thread():
    before = threading.active_count()
    with make_harness() as harness:
        harness.server.stop_accepting()
        answer = harness.call("POST", COMPLETIONS, CHAT_BODY, CHAT)
        assert (answer.status, answer.headers["Connection"]) == (200, "close")
        harness.gateway.answer = RequestError(Kind.LEAVING, retry_after=1.0)
        assert harness.call("POST", COMPLETIONS, CHAT_BODY, CHAT).problem["kind"] == "leaving"
    assert wait_until(lambda: threading.active_count() <= before)
