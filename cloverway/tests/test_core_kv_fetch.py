"""Prompt parts that engines fetch from each other, by virtual loads; no network.

The load is that of callers who share long parts: each of some ninety documents of 4,900 tokens is
asked for every few seconds, at five engines of a region. The figures of the engine are the users':
18 KB of memory a token, links of 180 Gbit/s.
"""

from __future__ import annotations

from collections import Counter

import pytest

from cloverway.core.calls import Call, Prompt, PromptPart
from cloverway.core.deployment import (
    CallKind,
    EndpointEntry,
    EngineShape,
    Route,
    Service,
    WeightedService,
)
from cloverway.core.endpoints import Endpoint
from cloverway.core.kv_fetch import LEAST_TOKENS, estimate_fetch, find_source
from cloverway.core.prediction import Sender, Wanted, predict
from cloverway.core.selection import choose_endpoint

SHAPE = EngineShape(64, 340_000, token_bytes=18_432, link_mbps=180_000.0)
MODEL = Service("model", 360, engine=SHAPE)
HERE = Sender("d1")
ROUTE = Route("r", "h", "/a/", CallKind.STREAM, (WeightedService("model", 1.0),), 5.0, 1.0)
DOCUMENT = PromptPart(1, 6_000)


def make_endpoint(name, domain="d1"):
    return Endpoint(EndpointEntry(name, "model", f"10.0.0.1:{len(name)}", domain, 64), "north")


def make_call(name="c", own=3_000, shared=(DOCUMENT,)):
    parts = (*shared, PromptPart(hash(name) & 0xFFFF, own))
    prompt = Prompt(sum(part.tokens for part in parts), 50, parts)
    return Call(name, "POST", "/a/", "h", (), b"", 0.0, 5.0, prompt)


def want(call):
    return Wanted(call, ROUTE, MODEL, Counter())


def read(endpoint, call, at, took_s=0.3):
    """Let an engine read the prompt of a request to its end."""
    candidate = predict(want(call), endpoint, sender=HERE, now=at)
    endpoint.load.begin(1, candidate.work, call.prompt, at)
    endpoint.load.note_first(1, at + took_s)
    endpoint.load.end(1)


def predict_all(endpoints, call, now):
    source = find_source(call.prompt, endpoints, now)
    return [
        predict(want(call), endpoint, sender=HERE, now=now, source=source) for endpoint in endpoints
    ]


def test_an_engine_fetches_what_another_one_has_read():
    """The engine that has a document is busy, and a second request for it comes.

    Read again, it takes 200 ms of an engine that others wait for; fetched it takes 10.
    """
    busy, idle = make_endpoint("busy"), make_endpoint("idle")
    read(busy, make_call("first"), 0.0)
    busy.load.begin(
        2, predict(want(make_call("x", 9_000)), busy, sender=HERE, now=1.0).work, None, 1.0
    )
    chosen = choose_endpoint(predict_all([busy, idle], make_call("second"), 1.0))
    assert chosen.endpoint is idle
    assert chosen.source is busy
    assert chosen.work.fetched == DOCUMENT.tokens
    assert chosen.work.unread == 3_000
    assert chosen.wait_s < 0.15


def test_an_idle_engine_that_has_the_part_is_preferred_to_a_fetch():
    holder, other = make_endpoint("holder"), make_endpoint("other")
    read(holder, make_call("first"), 0.0)
    chosen = choose_endpoint(predict_all([other, holder], make_call("second"), 2.0))
    assert chosen.endpoint is holder
    assert chosen.source is None


def test_a_part_that_is_still_being_read_is_not_fetched():
    """Two requests for one document come at the same moment.

    The first engine has not read it yet: a fetch would find nothing there, and the second engine
    would be taken to be free 200 ms before it is.
    """
    first, second = make_endpoint("a"), make_endpoint("b")
    call = make_call("first")
    first.load.begin(1, predict(want(call), first, sender=HERE, now=0.0).work, call.prompt, 0.0)
    assert find_source(make_call("second").prompt, [first, second], 0.01) is None
    first.load.note_first(1, 0.25)
    assert find_source(make_call("second").prompt, [first, second], 0.26).endpoint is first


@pytest.mark.parametrize("state", ["draining", "cold", "failed"])
def test_nothing_is_fetched_from_an_engine_that_may_not_answer(state):
    """The engine that has the part is about to go, has just come back, or failed a moment ago.

    The request would wait there for memory that doesn't come.
    """
    holder = make_endpoint("holder")
    read(holder, make_call("first"), 0.0)
    if state == "draining":
        holder.entry = holder.entry._replace(draining=True)
    elif state == "cold":
        holder.cold_until = 5.0
    else:
        holder.load.note_failure(0.9)
    assert find_source(make_call("second").prompt, [holder], 1.0) is None


def test_few_tokens_are_read_rather_than_fetched():
    holder, other = make_endpoint("holder"), make_endpoint("other")
    small = (PromptPart(7, LEAST_TOKENS - 1),)
    read(holder, make_call("first", shared=small), 0.0)
    candidates = predict_all([holder, other], make_call("second", shared=small), 1.0)
    assert [candidate.work.fetched for candidate in candidates] == [0, 0]


def test_what_was_fetched_is_not_counted_as_read():
    """Work that an engine doesn't have would hold back requests that it could take."""
    holder, other = make_endpoint("holder"), make_endpoint("other")
    read(holder, make_call("first"), 0.0)
    call = make_call("second")
    candidate = predict_all([holder, other], call, 1.0)[1]
    other.load.begin(2, candidate.work, call.prompt, 1.0)
    assert other.load.backlog(1.0) == 3_000
    assert other.load.take_news(8).read == 3_000


def test_the_time_of_a_fetch_is_that_of_its_bytes_on_the_link():
    assert estimate_fetch(0, SHAPE) == 0.0
    assert estimate_fetch(6_000, SHAPE) == pytest.approx(0.005 + 6_000 * 18_432 * 8 / 180e9)
