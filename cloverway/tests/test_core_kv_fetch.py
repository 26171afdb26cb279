"""KV cache that engines fetch from each other, under simulated load; no network.

The load is that of callers with long shared prefixes: each of about ninety documents of 4,900
tokens is requested every few seconds, at five engines of a region. The engine parameters are those
of a large deployment: 18 KB of KV cache per token, links of 180 Gbit/s.
"""

from __future__ import annotations

from collections import Counter

import pytest

from cloverway.core.calls import Call, Prompt, PromptSegment
from cloverway.core.deployment import (
    CallKind,
    EndpointEntry,
    EngineSpec,
    Route,
    Service,
    WeightedService,
)
from cloverway.core.endpoint import Endpoint
from cloverway.core.kv_fetch import MIN_TOKENS, estimate_fetch_s, find_fetch_source
from cloverway.core.prediction import RoutedCall, Sender, predict
from cloverway.core.selection import choose_endpoint
from cloverway.serving.requests.target_selector import _find_fetch_sources

SPEC = EngineSpec(64, 340_000, token_bytes=18_432, link_mbps=180_000.0)
MODEL = Service("model", 360, engine=SPEC)
HERE = Sender("d1")
ROUTE = Route("r", "h", "/a/", CallKind.STREAM, (WeightedService("model", 1.0),), 5.0, 1.0)
DOCUMENT = PromptSegment(1, 6_000)


def make_endpoint(name, domain="d1"):
    return Endpoint(EndpointEntry(name, "model", f"10.0.0.1:{len(name)}", domain, 64), "north")


def make_call(name="c", own=3_000, shared=(DOCUMENT,)):
    segments = (*shared, PromptSegment(hash(name) & 0xFFFF, own))
    prompt = Prompt(sum(segment.tokens for segment in segments), 50, segments)
    return Call(name, "POST", "/a/", "h", (), b"", 0.0, 5.0, prompt)


def route_call(call):
    return RoutedCall(call, ROUTE, MODEL, Counter())


def prefill(endpoint, call, at, took_s=0.3):
    """Let an engine finish the prefill of a request."""
    candidate = predict(route_call(call), endpoint, sender=HERE, now=at)
    endpoint.load.begin(1, candidate.work, call.prompt, at)
    endpoint.load.record_first_event(1, at + took_s)
    endpoint.load.end(1)


def predict_all(endpoints, call, now):
    source = find_fetch_source(call.prompt, endpoints, now)
    return [
        predict(route_call(call), endpoint, sender=HERE, now=now, source=source)
        for endpoint in endpoints
    ]


def test_an_engine_fetches_a_prefix_that_another_one_has_cached():
    """The engine that has a document cached is busy when a second request for it arrives.

    Prefill at another engine takes 200 ms of its time; a fetch takes 10.
    """
    busy, idle = make_endpoint("busy"), make_endpoint("idle")
    prefill(busy, make_call("first"), 0.0)
    busy.load.begin(
        2, predict(route_call(make_call("x", 9_000)), busy, sender=HERE, now=1.0).work, None, 1.0
    )
    chosen = choose_endpoint(predict_all([busy, idle], make_call("second"), 1.0))
    assert chosen.endpoint is idle
    assert chosen.fetch_source is busy
    assert chosen.work.fetched_tokens == DOCUMENT.tokens
    assert chosen.work.prefill_tokens == 3_000
    assert chosen.wait_s < 0.15


def test_an_idle_engine_with_the_prefix_is_preferred_to_a_fetch():
    holder, other = make_endpoint("holder"), make_endpoint("other")
    prefill(holder, make_call("first"), 0.0)
    chosen = choose_endpoint(predict_all([other, holder], make_call("second"), 2.0))
    assert chosen.endpoint is holder
    assert chosen.fetch_source is None


def test_a_prefix_is_not_fetched_before_its_prefill_is_finished():
    """Two requests for one document arrive at the same moment.

    The first engine has not finished its prefill: a fetch would find nothing there, and the second
    engine would be predicted to be free 200 ms too early.
    """
    first, second = make_endpoint("a"), make_endpoint("b")
    call = make_call("first")
    first.load.begin(
        1, predict(route_call(call), first, sender=HERE, now=0.0).work, call.prompt, 0.0
    )
    assert find_fetch_source(make_call("second").prompt, [first, second], 0.01) is None
    first.load.record_first_event(1, 0.25)
    assert find_fetch_source(make_call("second").prompt, [first, second], 0.26).endpoint is first


@pytest.mark.parametrize("state", ["draining", "cold", "failed"])
def test_nothing_is_fetched_from_an_engine_that_may_not_answer(state):
    """The engine with the prefix is leaving, has just restarted, or has just failed.

    The request would wait for a fetch that is not answered.
    """
    holder = make_endpoint("holder")
    prefill(holder, make_call("first"), 0.0)
    if state == "draining":
        holder.entry = holder.entry._replace(draining=True)
    elif state == "cold":
        holder.cold_until = 5.0
    else:
        holder.load.record_failure(0.9)
    assert find_fetch_source(make_call("second").prompt, [holder], 1.0) is None


def test_few_tokens_are_prefilled_rather_than_fetched():
    holder, other = make_endpoint("holder"), make_endpoint("other")
    small = (PromptSegment(7, MIN_TOKENS - 1),)
    prefill(holder, make_call("first", shared=small), 0.0)
    candidates = predict_all([holder, other], make_call("second", shared=small), 1.0)
    assert [candidate.work.fetched_tokens for candidate in candidates] == [0, 0]


def test_fetched_tokens_are_not_counted_as_prefill_work():
    """Work that an engine doesn't have would keep requests in the queue that it could serve."""
    holder, other = make_endpoint("holder"), make_endpoint("other")
    prefill(holder, make_call("first"), 0.0)
    call = make_call("second")
    candidate = predict_all([holder, other], call, 1.0)[1]
    other.load.begin(2, candidate.work, call.prompt, 1.0)
    assert other.load.estimate_backlog(1.0) == 3_000
    assert other.load.take_update(8).sent_prefill_tokens == 3_000


def test_fetch_time_is_the_setup_plus_the_transfer_time():
    assert estimate_fetch_s(0, SPEC) == 0.0
    assert estimate_fetch_s(6_000, SPEC) == pytest.approx(0.005 + 6_000 * 18_432 * 8 / 180e9)


def test_a_prefix_is_not_fetched_from_another_version():
    """Guards against prompts that are continued from what another software version has cached."""
    holder, sibling, other = make_endpoint("a"), make_endpoint("bb"), make_endpoint("ccc")
    for endpoint, version in ((holder, "v1"), (sibling, "v1"), (other, "v2")):
        endpoint.entry = endpoint.entry._replace(version=version)
    prefill(holder, make_call("first"), 0.0)
    routed = route_call(make_call("second"))
    sources = _find_fetch_sources(routed, [holder, sibling, other], 2.0)
    assert sources["v1"].endpoint is holder
    assert sources["v2"] is None
