from __future__ import annotations

from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverway.errors import Kind, RequestError
from cloverway.upstream.framing import (
    MAX_EVENT_BYTES,
    MAX_LINE_BYTES,
    ChunkedBody,
    EventStream,
    LengthBody,
)

EVENTS = st.lists(
    st.binary(max_size=40).map(lambda text: b"data: " + text.translate(None, b"\r\n") + b"\n\n"),
    max_size=6,
)
DONE = b"data: [DONE]\n\n"


def chunk(*pieces: bytes) -> bytes:
    return b"".join(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces if piece)


def split(data: bytes, cuts: list[int]) -> list[bytes]:
    positions = [0, *sorted(cut % (len(data) + 1) for cut in cuts), len(data)]
    return [data[start:end] for start, end in pairwise(positions)]


def feed_all(pieces: list[bytes]) -> tuple[bytes, bool, int, bytes]:
    stream = EventStream(ChunkedBody())
    forwarded = b"".join(stream.feed(piece) for piece in pieces)
    return forwarded, stream.complete, stream.tokens, stream.body.excess


@given(EVENTS, st.lists(st.integers(0, 9999), max_size=12), st.lists(st.integers(0, 9999)))
def test_any_split_gives_the_same_events(events, chunk_cuts, read_cuts) -> None:
    events = [event for event in events if event != DONE]
    body = b"".join(events) + DONE
    wire = chunk(*split(body, chunk_cuts)) + b"0\r\n\r\n"
    assert feed_all(split(wire, read_cuts)) == (body, True, len(events), b"")
    assert feed_all([wire + b"more"])[3] == b"more"


@given(EVENTS, st.integers(0, 9999), st.lists(st.integers(0, 9999), max_size=4))
def test_a_truncated_stream_never_looks_complete(events, size, cuts) -> None:
    events = [event for event in events if event != DONE]
    wire = chunk(*events, DONE) + b"0\r\n\r\n"
    forwarded, complete, _, _ = feed_all(split(wire[: size % len(wire)], cuts))
    assert not complete
    assert DONE not in forwarded


@given(st.binary(max_size=200), st.lists(st.integers(0, 9999), max_size=5))
def test_any_bytes_are_parsed_the_same_however_split(data, cuts) -> None:
    def read(pieces: list[bytes]) -> tuple[bytes, bool, int, bytes] | Kind:
        try:
            return feed_all(pieces)
        except RequestError as error:
            return error.kind

    for wire in (data, chunk(data) + b"0\r\n\r\n"):
        assert read(split(wire, cuts)) == read([wire])


@given(st.binary(max_size=50), st.integers(0, 60), st.lists(st.integers(0, 99), max_size=5))
def test_length_body(data, length, cuts) -> None:
    body = LengthBody(length)
    read = b"".join(body.feed(piece) for piece in split(data, cuts))
    assert (read, body.ended, body.excess) == (data[:length], len(data) >= length, data[length:])


@pytest.mark.parametrize(
    "wire",
    [
        b"+5\r\nhello\r\n",
        b"0x5\r\nhello\r\n",
        b"-1\r\n\r\n",
        b"\r\n",
        b"5\r\nhelloXX",
        b"f" * 9 + b"\r\n",
        b"5\nhello\n\r\n",
        b"5;" + b"x" * MAX_LINE_BYTES,
        b"0\r\n" + b"a: b\r\n" * 4000,
        chunk(DONE, b"data: late\n\n") + b"0\r\n\r\n",
        chunk(DONE + b"data: late\n\n") + b"0\r\n\r\n",
        chunk(DONE + b"data") + b"0\r\n\r\n",
        chunk(b"data: no end\n\n") + b"0\r\n\r\n",
        chunk(b"x" * (MAX_EVENT_BYTES + 1)),
    ],
)
def test_malformed_framing_is_an_error(wire: bytes) -> None:
    with pytest.raises(RequestError) as failure:
        feed_all([wire])
    assert failure.value.kind in {Kind.ENDPOINT_FAILED, Kind.TRUNCATED}


def test_done_in_the_text_of_a_token_does_not_end_the_stream() -> None:
    events = b'data: {"text": "[DONE]"}\n\ndata: x\ndata: [DONE]\n\n: [DONE]\n\n'
    assert feed_all([chunk(events)]) == (events, False, 2, b"")
    assert feed_all([chunk(b"data:[DONE]\r\n\r\n") + b"0\r\nx: y\r\n\r\n"])[1]
