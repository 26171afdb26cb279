from __future__ import annotations

import json
from collections.abc import Iterator

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverway.answers import parse_events
from cloverway.client import Call, Client, decide_wait
from cloverway.errors import CallError, Kind, Ran
from cloverway.tests.fake_host import FakeHost, make_stream

CHAT = "/v1/chat/completions"
KEYS = "/v1/idempotency-keys"


@pytest.fixture
def host() -> Iterator[FakeHost]:
    with FakeHost() as fake:
        yield fake


@pytest.fixture
def other() -> Iterator[FakeHost]:
    with FakeHost() as fake:
        yield fake


def make_client(*hosts: FakeHost, waits: list[float] | None = None) -> Client:
    waited = waits if waits is not None else []
    return Client([host.address for host in hosts], "cw_test", patience_s=20, sleep=waited.append)


def chat(stream: bool = True) -> Call:
    return Call.for_chat("chat", [{"role": "user", "content": "hello"}], stream=stream)


def name_hosts(first: FakeHost, *rest: FakeHost) -> None:
    addresses = [{"address": host.address} for host in (first, *rest)]
    first._answers["/v1/hosts"] = []
    first.answer_json("/v1/hosts", {"hosts": addresses, "lifetime_s": 5})


def test_call_looks_up_hosts_and_sends_headers(host: FakeHost) -> None:
    host.answer(CHAT, make_stream("Yes, ", "10 boxes."))
    answer = make_client(host).call(chat()._replace(deadline_ms=900))
    assert "".join(answer.read_text()) == "Yes, 10 boxes."
    assert host.paths() == ["/v1/hosts", CHAT]
    headers = host.seen[-1].headers
    assert headers["authorization"] == "Bearer cw_test"
    assert headers["cloverway-profile"] == "chat"
    assert headers["cloverway-deadline-ms"] == "900"
    assert "idempotency-key" not in headers


def test_complete_json_answer(host: FakeHost) -> None:
    host.answer_json(CHAT, {"choices": [{"message": {"content": "whole"}}]})
    assert list(make_client(host).call(chat(stream=False)).read_text()) == ["whole"]


@pytest.mark.parametrize(
    "raw",
    [
        make_stream("one", "two", done=False),
        make_stream("one", "two", done=False, last_chunk=False),
        make_stream("one", "two", last_chunk=False)[:-10],
        make_stream("one", "two", last_chunk=False),
    ],
    ids=["no closing event", "connection closed", "within an event", "no last chunk"],
)
def test_truncated_stream_is_never_treated_as_complete(host: FakeHost, raw: bytes) -> None:
    """Guards against a truncated stream that looks complete to the caller.

    The endpoint crashes in the middle of the answer, and the host ends its stream without the
    closing event and without the last chunk. The caller must get an error after the text.
    """
    host.answer(CHAT, raw)
    texts = make_client(host).call(chat()).read_text()
    assert next(texts) == "one"
    with pytest.raises(CallError) as raised:
        list(texts)
    assert raised.value.kind is Kind.TRUNCATED
    assert raised.value.ran is Ran.UNKNOWN


def test_short_body_is_never_treated_as_complete(host: FakeHost) -> None:
    """A body shorter than Content-Length is an error, even if it parses as JSON."""
    host.answer(CHAT, b"HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{}")
    with pytest.raises(CallError) as raised:
        make_client(host).call(chat(stream=False)).read()
    assert raised.value.kind is Kind.TRUNCATED


@pytest.mark.parametrize("stream", [True, False])
def test_answer_that_is_not_json_is_an_error(host: FakeHost, stream: bool) -> None:
    kind = b"text/event-stream" if stream else b"application/json"
    body = b"data: {cut\n\ndata: [DONE]\n\n" if stream else b"{cut"
    head = b"HTTP/1.1 200 OK\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n"
    host.answer(CHAT, head % (kind, len(body)) + body)
    with pytest.raises(CallError) as raised:
        list(make_client(host).call(chat(stream)).read_text())
    assert raised.value.kind is Kind.TRUNCATED


def test_body_without_framing_is_refused(host: FakeHost) -> None:
    """A body that ends when its connection closes can't be told from a truncated one."""
    host.answer(CHAT, b'HTTP/1.1 200 OK\r\n\r\n{"choices": []}')
    with pytest.raises(CallError) as raised:
        make_client(host).call(chat(stream=False)).read()
    assert raised.value.kind is Kind.TRUNCATED


def test_call_to_a_leaving_host_is_retried_at_the_next(host: FakeHost, other: FakeHost) -> None:
    name_hosts(host, other)
    host.refuse(CHAT, "leaving", "no")
    other.answer(CHAT, make_stream("here"))
    waits: list[float] = []
    answer = make_client(host, waits=waits).call(chat())
    assert list(answer.read_text()) == ["here"]
    assert answer.host == other.address
    assert waits == []


def test_retry_after_is_honoured(host: FakeHost) -> None:
    host.refuse(CHAT, "overloaded", "no", 429, "Retry-After: 7\r\n")
    host.answer(CHAT, make_stream("later"))
    waits: list[float] = []
    assert list(make_client(host, waits=waits).call(chat()).read_text()) == ["later"]
    assert waits == [7.0]


def test_refusals_without_a_wait_cause_no_retry_storm(host: FakeHost) -> None:
    """Attempts are spaced even if every answer has Retry-After: 0."""
    host.refuse(CHAT, "overloaded", "no", 429, "Retry-After: 0\r\n")
    host.refuse(CHAT, "overloaded", "no", 429, "Retry-After: 0\r\n")
    host.answer(CHAT, make_stream("later"))
    waits: list[float] = []
    make_client(host, waits=waits).call(chat()).close()
    assert len(waits) == 2 and min(waits) >= 0.1


@pytest.mark.parametrize("ran", ["unknown", "yes", "", "nonsense"])
def test_a_call_is_not_retried_unless_it_did_not_run(host: FakeHost, ran: str) -> None:
    """The endpoint failed after the first byte was sent, so the request may have run.

    A second attempt could run an allocation twice. Only an explicit `ran: no` allows one; a
    missing or unreadable value counts as unknown.
    """
    host.refuse(CHAT, "overloaded", ran, 429, "Retry-After: 1\r\n")
    with pytest.raises(CallError) as raised:
        make_client(host).call(chat())
    assert raised.value.ran is (Ran.YES if ran == "yes" else Ran.UNKNOWN)
    assert host.paths().count(CHAT) == 1


def test_call_with_a_lost_answer_is_unknown_and_not_retried(
    host: FakeHost, other: FakeHost
) -> None:
    """The host crashes after it read the complete request: the request may have been run."""
    name_hosts(host, other)
    with pytest.raises(CallError) as raised:
        make_client(host).call(chat())
    assert raised.value.ran is Ran.UNKNOWN
    assert CHAT not in other.paths()


def test_once_gets_a_key_first(host: FakeHost) -> None:
    host.answer_json(KEYS, {"keys": ["K1"], "lifetime_s": 60})
    host.answer_json("/v1/services/stock-desk/allocations", {"carton": 1})
    call = Call.for_service("allocation", "stock-desk", "/allocations", {"item": "insulin"})
    answer = make_client(host).call(call, once=True)
    assert json.loads(answer.read()) == {"carton": 1}
    assert host.paths()[1:] == [KEYS, "/v1/services/stock-desk/allocations"]
    assert host.seen[-1].headers["idempotency-key"] == "K1"
    assert answer.key == "K1"


def test_required_key_is_fetched(host: FakeHost) -> None:
    host.answer_json(KEYS, {"keys": ["K1"], "lifetime_s": 60})
    host.refuse(CHAT, "key_required", "no", 428)
    host.answer(CHAT, make_stream("once"))
    assert list(make_client(host).call(chat()).read_text()) == ["once"]
    assert host.paths()[1:] == [CHAT, KEYS, CHAT]
    assert host.seen[-1].headers["idempotency-key"] == "K1"


def test_unknown_outcome_carries_the_key_for_a_repeat(host: FakeHost) -> None:
    host.answer_json(KEYS, {"keys": ["K1"], "lifetime_s": 60})
    host.refuse(CHAT, "endpoint_failed", "unknown", 502)
    with pytest.raises(CallError) as raised:
        make_client(host).call(chat(), once=True)
    assert raised.value.key == "K1"
    assert raised.value.request_id == "r-1"


def test_call_is_retried_after_a_failed_key_lookup(host: FakeHost, other: FakeHost) -> None:
    """The host crashes during the request for a key, so the call itself was not sent."""
    name_hosts(host, other)
    other.answer_json(KEYS, {"keys": ["K2"], "lifetime_s": 60})
    other.answer(CHAT, make_stream("there"))
    waits: list[float] = []
    answer = make_client(host, waits=waits).call(chat(), once=True)
    assert answer.key == "K2"
    assert waits == []
    assert CHAT not in host.paths()


def test_call_to_a_crashed_host_is_retried_at_the_next_at_once(host: FakeHost) -> None:
    """The host list still contains a crashed host. Nothing was sent, so the next one is tried."""
    with FakeHost() as gone:
        pass
    host._answers["/v1/hosts"] = []
    addresses = [{"address": gone.address}, {"address": host.address}]
    host.answer_json("/v1/hosts", {"hosts": addresses, "lifetime_s": 5})
    host.answer(CHAT, make_stream("here"))
    waits: list[float] = []
    assert list(make_client(host, waits=waits).call(chat()).read_text()) == ["here"]
    assert waits == []


def test_host_list_is_requested_from_the_next_address(other: FakeHost) -> None:
    with FakeHost() as gone:
        pass
    other.answer(CHAT, make_stream("x"))
    client = Client([gone.address, other.address], "cw_test", sleep=lambda _: None)
    assert list(client.call(chat()).read_text()) == ["x"]


def test_call_without_a_reachable_host_is_not_run() -> None:
    with FakeHost() as gone:
        pass
    with pytest.raises(CallError) as raised:
        Client([gone.address], "cw_test").call(chat())
    assert raised.value.ran is Ran.NO


def test_repeat_keeps_its_own_key(host: FakeHost) -> None:
    host.answer(CHAT, make_stream("same"))
    make_client(host).call(chat()._replace(key="K0"), once=True)
    assert KEYS not in host.paths()
    assert host.seen[-1].headers["idempotency-key"] == "K0"


@given(
    kind=st.sampled_from(Kind),
    ran=st.sampled_from(Ran),
    retry_after=st.none() | st.floats(0, 100),
    others=st.booleans(),
)
def test_a_new_attempt_requires_that_the_call_did_not_run(
    kind: Kind, ran: Ran, retry_after: float | None, others: bool
) -> None:
    error = CallError(kind, ran=ran, retry_after=retry_after)
    wait = decide_wait(error, others, now=10.0, give_up_at=40.0)
    assert wait is None or (ran is Ran.NO and 0 <= wait < 30)


@given(st.lists(st.text(st.characters(codec="ascii", exclude_characters="\r\n")), max_size=5))
def test_events_do_not_depend_on_how_bytes_arrive(texts: list[str]) -> None:
    all_bytes = b"".join(b"data: " + text.encode() + b"\r\n\r\n" for text in texts)
    one_by_one = (bytes([byte]) for byte in all_bytes)
    assert list(parse_events(one_by_one)) == list(parse_events(iter([all_bytes])))
    assert len(list(parse_events(iter([all_bytes])))) == len(texts)
