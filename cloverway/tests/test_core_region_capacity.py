"""Capacity that regions advertise to each other, and requests forwarded by it; no network."""

from __future__ import annotations

import pytest

from cloverway.core.engine_speed import INITIAL_PREFILL_S_PER_TOKEN
from cloverway.core.load import PREFILL_DUTY, EngineState
from cloverway.core.members import AdvertisedCapacity
from cloverway.core.prediction import (
    DEFAULT_GAP_OBJECTIVE_S,
    RegionCandidate,
    RemoteRegion,
    predict,
    predict_region,
)
from cloverway.core.selection import (
    UNLIMITED_TOKENS,
    choose_endpoint,
    choose_region,
    compute_region_capacity,
    estimate_queueing_cost,
    extrapolate_capacity,
)
from cloverway.core.token_gaps import INITIAL_BURST_RATIO, TokenGap
from cloverway.tests.test_core_selection import (
    BURST_TOKENS,
    GAP_OBJECTIVE_S,
    HERE,
    MODEL,
    make_call,
    make_endpoint,
    route_call,
    send,
)

HEARTBEAT_S = 1.0 / 3
"""Interval between heartbeats from any of a region's three hosts."""
TOKENS = 2_000
PREFILL_S = TOKENS * INITIAL_PREFILL_S_PER_TOKEN
SECONDS = 20.0


def advertise(capacity):
    return AdvertisedCapacity(
        "model", capacity.wait_s, capacity.free_slots, capacity.max_prompt_tokens, capacity.engine
    )


def forward_prompts(hosts: int, local_s: float = 0.0):
    """Let hosts of a region without engines forward prompts to a region that advertises capacity.

    `local_s` is the interval of that region's own prompts. Return the fraction of time that its
    engine spends on prefill of forwarded prompts, and its longest queue in seconds.
    """
    endpoint = make_endpoint("a")
    advertised = [(0.0, make_capacity())] * hosts
    sent, longest_s, step_s, number = 0, 0.0, 0.01, 0
    for step in range(int(SECONDS / step_s)):
        now = step * step_s
        if step % int(HEARTBEAT_S / step_s) == 0:
            advertised = [
                (now, advertise(compute_region_capacity(MODEL, [endpoint], 0.0, now)))
            ] * hosts
        if local_s and step % int(local_s / step_s) == 0:
            number += 1
            send(endpoint, make_call(f"local-{number}", TOKENS), number, now)
        for host, (sent_at, capacity) in enumerate(advertised):
            extrapolated = extrapolate_capacity(capacity, now - sent_at)
            if extrapolated.free_slots > 0 and extrapolated.max_prompt_tokens >= TOKENS:
                advertised[host] = (sent_at, capacity._replace(free_slots=capacity.free_slots - 1))
                number += 1
                sent += 1
                send(endpoint, make_call(f"far-{number}", TOKENS), number, now)
        longest_s = max(
            longest_s, endpoint.load.estimate_backlog(now) * INITIAL_PREFILL_S_PER_TOKEN
        )
    return sent * PREFILL_S / SECONDS, longest_s


@pytest.mark.parametrize("hosts", [1, 3])
def test_capacity_is_extrapolated_between_heartbeats(hosts):
    """Requests of an evacuated region were refused while engines elsewhere were idle half the time.

    The engine is full at the moment of a heartbeat and prefills its queue before the next one.
    Without extrapolation, the region had no capacity until then: 0.22 of the engine's time was
    used. At most half of the prefill duty is left for the region's own requests.
    """
    used_fraction, _ = forward_prompts(hosts)
    assert used_fraction >= 0.6 * PREFILL_DUTY


def test_forwarded_requests_do_not_overload_an_engine_with_local_work():
    """Its own region uses half of the engine; three remote hosts use what it advertised last."""
    _, longest_s = forward_prompts(3, local_s=2 * PREFILL_S / PREFILL_DUTY)
    assert longest_s < 1.5


def test_a_region_with_a_queue_has_no_capacity_until_it_is_prefilled():
    busy = make_capacity(queue_s=2.0)._replace(free_slots=0, max_prompt_tokens=0)
    assert extrapolate_capacity(busy, 1.0) == busy


def test_old_capacity_does_not_grow_without_bound():
    full = make_capacity(queue_s=0.3)._replace(free_slots=0, max_prompt_tokens=0)
    assert extrapolate_capacity(full, 1e6).free_slots <= 10
    assert extrapolate_capacity(full, 1e6).max_prompt_tokens < UNLIMITED_TOKENS


def test_capacity_of_plain_services_is_not_extrapolated():
    """Their slots are reserved one by one, and released when the request has ended."""
    plain = AdvertisedCapacity("desk", 0.1, 0, 0)
    assert extrapolate_capacity(plain, 5.0) == plain


def test_a_region_advertises_the_capacity_of_its_engines():
    endpoint = make_endpoint("a")
    idle = compute_region_capacity(MODEL, [endpoint], 0.0, 0.0)
    endpoint.load.record_prefill(BURST_TOKENS, 0.0)
    busy = compute_region_capacity(MODEL, [endpoint], 0.0, 0.0)
    assert idle.free_slots > 0
    assert idle.max_prompt_tokens == UNLIMITED_TOKENS
    assert (busy.free_slots, busy.max_prompt_tokens) == (0, 0)
    assert busy.wait_s > 0.9 * INITIAL_BURST_RATIO * DEFAULT_GAP_OBJECTIVE_S


def test_a_region_with_queued_requests_advertises_no_capacity():
    """The engines are overloaded, and each of them has capacity for a moment now and then.

    Two of five requests forwarded for such a moment were queued there and then declined, after half
    a second and twelve kilobytes between regions.
    """
    endpoint = make_endpoint("a")
    capacity = compute_region_capacity(MODEL, [endpoint], 0.3, 0.0)
    assert capacity.free_slots == 0
    assert capacity.wait_s >= 0.3


def test_a_request_leaves_its_region_only_for_a_clear_gain():
    here = predict(route_call(make_call()), make_endpoint("a"), sender=HERE, now=0.0)
    near, remote = [RegionCandidate("south", 0.0, here.cost_s - less) for less in (0.1, 0.5)]
    assert choose_region(here.cost_s, [near], 0.3) is None
    assert choose_region(here.cost_s, [near, remote], 0.3) is remote
    assert choose_region(estimate_queueing_cost([], 0.0), [near], 0.3) is near


def test_a_request_is_queued_here_if_that_is_faster_than_forwarding():
    """All engines are full for 0.1 s more, and another region has capacity.

    A forwarded request arrives there after 0.2 s, when others may have taken the capacity, and is
    forwarded to a third region. Behind a long queue, forwarding is faster.
    """
    endpoints = [make_endpoint("a"), make_endpoint("b")]
    for endpoint in endpoints:
        endpoint.load.record_prefill(BURST_TOKENS - 1_000, 0.0)
    routed = route_call(make_call(input_tokens=5_000, output_tokens=20))
    candidates = [predict(routed, endpoint, sender=HERE, now=0.0) for endpoint in endpoints]
    assert choose_endpoint(candidates) is None
    remote_candidate = predict_region(routed, make_capacity(), RemoteRegion("south", 0.2), 0.0)
    assert choose_region(estimate_queueing_cost(candidates, 0.0), [remote_candidate], 0.3) is None
    assert (
        choose_region(estimate_queueing_cost(candidates, 2.0), [remote_candidate], 0.3)
        is remote_candidate
    )


def make_capacity(queue_s=0.0, decode_s_per_token=0.006, running=0):
    engine = EngineState(queue_s, INITIAL_PREFILL_S_PER_TOKEN, decode_s_per_token, running)
    return AdvertisedCapacity("model", queue_s, 10, UNLIMITED_TOKENS, engine)


def test_long_answers_leave_a_region_with_slow_decoding():
    """A region with one engine is at its daily peak; the peak of another region is hours away.

    The engine still accepts prompts, so time to first token alone would keep all requests there.
    But it takes 30 ms per token, and answers of 400 tokens are truncated by the timeout of their
    route.
    """
    busy = make_endpoint("a")
    for step in range(5):
        busy.load.record_gap(TokenGap(0.27, GAP_OBJECTIVE_S, tokens=9), 1.0 + step * 0.27)
    remote = RemoteRegion("south", 0.2)
    now = 2.3
    for output_tokens, leaves in ((600, True), (20, False)):
        routed = route_call(make_call(input_tokens=700, output_tokens=output_tokens))
        here = predict(routed, busy, sender=HERE, now=now)
        remote_candidate = predict_region(routed, make_capacity(), remote, now)
        assert (choose_region(here.cost_s, [remote_candidate], 0.3) is not None) is leaves


def test_a_request_stays_if_its_region_is_as_idle_as_others():
    endpoint = make_endpoint("a")
    routed = route_call(make_call(input_tokens=9_000, output_tokens=600))
    here = predict(routed, endpoint, sender=HERE, now=0.0)
    remote_candidate = predict_region(routed, make_capacity(), RemoteRegion("south", 0.2), 0.0)
    assert choose_region(here.cost_s, [remote_candidate], 0.3) is None
