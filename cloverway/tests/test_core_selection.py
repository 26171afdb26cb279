"""Selection of endpoints under simulated load; no network.

The engine parameters are those of deployed engines: prefill of 38 tokens per millisecond, chunks
of 4,096 tokens, one token of each running answer per step.
"""

from __future__ import annotations

from collections import Counter

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
from cloverway.core.engine_speed import INITIAL_PREFILL_S_PER_TOKEN
from cloverway.core.load import PREFILL_DUTY, HostLoad, Work
from cloverway.core.prediction import (
    DEFAULT_GAP_OBJECTIVE_S,
    RoutedCall,
    Sender,
    estimate_work,
    predict,
)
from cloverway.core.selection import choose_endpoint
from cloverway.core.token_gaps import (
    INITIAL_BURST_RATIO,
    SATURATION_FRACTION,
    SATURATION_S,
    TokenGap,
)

HERE = Sender("d1")
GAP_OBJECTIVE_S = 0.6
ROUTE = Route(
    "r", "h", "/a/", CallKind.STREAM, (WeightedService("model", 1.0),), 5.0, 1.0, GAP_OBJECTIVE_S
)
BURST_TOKENS = int(INITIAL_BURST_RATIO * DEFAULT_GAP_OBJECTIVE_S / INITIAL_PREFILL_S_PER_TOKEN)
MODEL = Service("model", 360, engine=EngineSpec(64, 240_000))
PLAIN = Service("desk", 100)


def make_endpoint(name, slots=64, domain="d1"):
    return Endpoint(EndpointEntry(name, "model", f"10.0.0.1:{len(name)}", domain, slots), "north")


def make_call(name="c", input_tokens=9_000, output_tokens=50, segments=()):
    segments = tuple(PromptSegment(*segment) for segment in segments)
    return Call(
        name, "POST", "/a/", "h", (), b"", 0.0, 5.0, Prompt(input_tokens, output_tokens, segments)
    )


def send(endpoint, call, number, now):
    endpoint.load.begin(number, estimate_work(call, endpoint), call.prompt, now)


def route_call(call, service=MODEL):
    return RoutedCall(call, ROUTE, service, Counter())


def choose(endpoints, call, now, service=MODEL, sender=HERE):
    candidates = [
        predict(route_call(call, service), endpoint, sender=sender, now=now)
        for endpoint in endpoints
    ]
    chosen = choose_endpoint(candidates)
    return chosen.endpoint.entry.id if chosen is not None else None


def test_a_shared_prefix_is_prefilled_at_one_endpoint_while_it_has_capacity():
    """Requests of one session arrive in quick succession.

    At another endpoint, the prefill of the shared prefix would take 160 ms of an engine again.
    """
    endpoints = [make_endpoint(name) for name in ("a", "b", "c")]
    chosen = set()
    for number in range(6):
        now = number * 0.5
        call = make_call(f"c{number}", segments=((1, 6_000), (100 + number, 3_000)))
        name = choose(endpoints, call, now)
        chosen.add(name)
        endpoint = next(e for e in endpoints if e.entry.id == name)
        send(endpoint, call, number, now)
        endpoint.load.end(number)
    assert len(chosen) == 1


def test_prompts_beyond_the_burst_limit_are_queued_at_the_host():
    """A burst of large prompts arrives at once while all engines have running streams.

    If all were sent at once, the engines would have prefill work in every step for seconds, and
    each running stream would have gaps over 600 ms. The backlog of an engine stays within
    BURST_TOKENS.
    """
    endpoints = [make_endpoint("a"), make_endpoint("b")]
    accepted = 0
    for number in range(20):
        call = make_call(f"c{number}", input_tokens=5_000)
        name = choose(endpoints, call, 0.0)
        if name is not None:
            accepted += 1
            send(next(e for e in endpoints if e.entry.id == name), call, number, 0.0)
    assert accepted == 2 * (BURST_TOKENS // 5_000)
    assert all(e.load.estimate_backlog(0.0) <= BURST_TOKENS for e in endpoints)


def test_sent_prompt_tokens_stay_within_the_prefill_duty():
    endpoint = make_endpoint("a")
    sent = 0
    for step in range(1_000):
        now = step * 0.01
        call = make_call(f"c{step}", input_tokens=3_000)
        if choose([endpoint], call, now) is not None:
            send(endpoint, call, step, now)
            endpoint.load.end(step)
            sent += 3_000
    allowed = 10.0 * PREFILL_DUTY / endpoint.load.prefill_s_per_token
    assert 0.85 * allowed < sent < allowed + BURST_TOKENS


def test_a_prompt_larger_than_the_burst_limit_is_served_by_an_idle_engine():
    """A prompt of 40,000 tokens exceeds every limit; without an exception it would never run."""
    endpoint = make_endpoint("a")
    assert choose([endpoint], make_call(input_tokens=40_000), 0.0) == "a"


def test_a_very_large_prompt_does_not_wait_for_an_idle_engine():
    """Prompts of 3,000 tokens arrive constantly, and among them one of 24,000.

    Whenever an engine has prefilled enough to accept the large one, a small one is sent there
    first. One in ten of the prompts that share a document is that large; they were a second late or
    refused.
    """
    endpoint = make_endpoint("a")
    large = make_call("large", input_tokens=24_000)
    send(endpoint, make_call("small", input_tokens=3_000), 1, 0.0)
    assert choose([endpoint], large, 0.0) == "a"
    send(endpoint, large, 2, 0.0)
    assert choose([endpoint], make_call("next", input_tokens=3_000), 0.3) is None


def test_small_prompts_are_sent_where_large_ones_are_queued():
    endpoint = make_endpoint("a")
    send(endpoint, make_call("x", input_tokens=11_500), 1, 0.0)
    assert choose([endpoint], make_call(input_tokens=5_000), 0.0) is None
    assert choose([endpoint], make_call(input_tokens=700, output_tokens=300), 0.0) == "a"


def test_long_answers_avoid_engines_with_much_prefill_work():
    """One engine always has large prompts to prefill; another one gets as many small ones.

    A long answer at the first would get a token every 110 ms instead of every 5.
    """
    busy, calm = make_endpoint("busy"), make_endpoint("calm")
    for step in range(20):
        busy.load.record_prefill(5_000, step * 0.3)
        calm.load.record_prefill(700, step * 0.3)
    call = make_call(input_tokens=700, output_tokens=400)
    assert choose([busy, calm], call, 6.5) == "calm"


def test_decode_speed_is_measured_from_running_answers():
    """As far as this host knows, two engines have the same load; one takes 40 ms per token.

    It has load from another host, or is slow. A long answer there would exceed its timeout.
    """
    slow, fast = make_endpoint("slow"), make_endpoint("fast")
    for step in range(5):
        slow.load.record_gap(TokenGap(0.36, GAP_OBJECTIVE_S, tokens=9), 1.0 + step * 0.36)
        fast.load.record_gap(TokenGap(0.09, GAP_OBJECTIVE_S, tokens=9), 1.0 + step * 0.36)
    call = make_call(input_tokens=700, output_tokens=600)
    assert choose([slow, fast], call, 2.5) == "fast"
    assert choose([slow], call, 2.5) == "slow"


def test_an_answer_with_little_time_left_goes_where_it_can_complete():
    """A stream was interrupted and is resumed with two seconds left; it needs 200 more tokens.

    The engine with the shortest time to first token takes 12 ms per token: 2.4 s. The other one has
    a prompt to prefill first and takes 6 ms per token.
    """
    slow, fast = make_endpoint("slow"), make_endpoint("fast")
    for step in range(5):
        slow.load.record_gap(TokenGap(0.108, GAP_OBJECTIVE_S, tokens=9), 1.0 + step * 0.1)
        fast.load.record_gap(TokenGap(0.054, GAP_OBJECTIVE_S, tokens=9), 1.0 + step * 0.1)
    fast.load.begin(1, Work(12_000, 12_000), None, 1.5)
    call = make_call(input_tokens=700, output_tokens=333)._replace(deadline=3.5)
    assert choose([slow, fast], call, 1.5) == "fast"
    short = make_call(input_tokens=700, output_tokens=100)._replace(deadline=3.5)
    assert choose([slow, fast], short, 1.5) == "slow"


def test_a_prompt_that_stalls_streams_goes_where_few_run():
    """A prompt of 20,000 tokens arrives; an engine with four streams has a prefix of it cached.

    Its prefill there takes a little less time, but stalls each of the four streams for over 450 ms.
    The other engine has one stream.
    """
    segments = ((1, 6_000), (2, 14_000))
    streams, calm = make_endpoint("streams"), make_endpoint("calm")
    streams.load.record_segments([PromptSegment(1, 6_000)], 0.0)
    streams.load.record_host_load("other", HostLoad(4, 0, 4_000, 0.0), ())
    calm.load.record_host_load("other", HostLoad(1, 0, 1_000, 0.0), ())
    assert choose([streams, calm], make_call(input_tokens=20_000, segments=segments), 0.0) == "calm"


def test_a_failing_engine_is_used_last_but_never_excluded():
    failing, healthy = make_endpoint("sick"), make_endpoint("sound")
    for _ in range(3):
        failing.load.record_failure(0.0)
    assert choose([failing, healthy], make_call(), 0.1) == "sound"
    assert choose([failing], make_call(), 0.1) == "sick"


def test_kv_cache_capacity_limits_running_requests():
    endpoint = make_endpoint("a")
    load = HostLoad(running=20, prefill_tokens=0, reserved_kv_tokens=230_000, reported_at=0.0)
    endpoint.load.record_host_load("other", load, ())
    assert choose([endpoint], make_call(input_tokens=9_000), 0.0) is None


def test_load_reports_of_silent_hosts_expire():
    endpoint = make_endpoint("a")
    endpoint.load.record_host_load("other", HostLoad(64, 0, 0, 0.0), ())
    assert choose([endpoint], make_call(), 1.0) is None
    assert choose([endpoint], make_call(), 3.0) == "a"


def test_hosts_that_see_the_same_loads_spread_their_requests():
    """Eight hosts see two idle endpoints and choose at the same moment, without communication."""
    chosen = [
        choose([make_endpoint("a", 6), make_endpoint("b", 6)], make_plain_call(f"c{n}"), 0.0, PLAIN)
        for n in range(40)
    ]
    assert 10 <= chosen.count("a") <= 30


def make_plain_call(name):
    return Call(name, "POST", "/a/", "h", (), b"", 0.0, 5.0)


def test_requests_stay_in_their_failure_domain_if_endpoints_are_equal():
    """Two domains have an idle endpoint each; requests have bodies of 9 KB.

    With the random spread alone, half of them would cross domains, and that traffic is billed.
    """
    endpoints = [make_endpoint("far", domain="d2"), make_endpoint("near")]
    calls = [make_call(f"c{n}")._replace(body=b"x" * 9_000) for n in range(20)]
    assert {choose(endpoints, call, 0.0) for call in calls} == {"near"}


def test_a_request_crosses_to_another_domain_for_a_cached_prefix():
    """Prefill of 6,000 tokens costs five times as much as the bytes that cross domains."""
    far, near = make_endpoint("far", domain="d2"), make_endpoint("near")
    send(far, make_call("first", segments=((1, 6_000), (2, 3_000))), 1, 0.0)
    far.load.end(1)
    call = make_call("second", segments=((1, 6_000), (3, 3_000)))._replace(body=b"x" * 9_000)
    assert choose([far, near], call, 1.0) == "far"


def test_cached_prompts_are_not_counted_as_prefill_work():
    """All hosts restart and don't know which prompts the engines have cached.

    Each prompt counts as 9,000 tokens of prefill, so after two of them the engine would seem full,
    and requests would be queued at the hosts. First events within 30 ms show that it had them
    cached.
    """
    engine = make_endpoint("a")
    for number in range(8):
        now = number * 0.1
        call = make_call(f"c{number}", segments=((number, 9_000),))
        assert choose([engine], call, now) == "a"
        send(engine, call, number, now)
        engine.load.record_first_event(number, now + 0.03)
    assert engine.load.take_update(8).sent_prefill_tokens < 8 * 9_000 / 2


def test_prefilled_prompts_stay_counted():
    engine = make_endpoint("a")
    send(engine, make_call(), 1, 0.0)
    engine.load.record_first_event(1, 0.25)
    assert engine.load.take_update(8).sent_prefill_tokens == 9_000


def test_a_saturated_engine_gets_no_long_prompts_for_a_moment():
    """Several hosts choose one engine before they get each other's load; it is saturated.

    Each of them underestimates its backlog and would go on sending. Gaps over 450 ms in its running
    answers show the saturation at once.
    """
    saturated, other = make_endpoint("a"), make_endpoint("b")
    saturated.load.record_gap(
        TokenGap(SATURATION_FRACTION * GAP_OBJECTIVE_S + 0.1, GAP_OBJECTIVE_S), 1.0
    )
    other.load.begin(1, Work(BURST_TOKENS // 2, 9_000), None, 1.0)
    assert choose([saturated, other], make_call(input_tokens=3_000), 1.1) == "b"
    assert choose([saturated], make_call(input_tokens=9_000), 1.1) is None
    assert choose([saturated], make_call(input_tokens=900), 1.1) == "a"
    assert choose([saturated], make_call(input_tokens=9_000), 1.0 + SATURATION_S + 0.1) == "a"


def test_a_recently_started_host_sends_each_engine_one_prompt_at_a_time():
    """All hosts restart at once, and their callers send all their requests again.

    No host knows what the others send. Each filled every engine up to the burst limit: 1.4 million
    tokens in a second to engines that prefill 0.5 million, and answers stalled for ten seconds.
    """
    engine = make_endpoint("a")
    recent = Sender("d1", is_recently_started=True)
    assert choose([engine], make_call("first"), 0.0, sender=recent) == "a"
    send(engine, make_call("first", input_tokens=2_500), 1, 0.0)
    assert choose([engine], make_call("second", input_tokens=4_000), 0.01, sender=recent) is None
    assert choose([engine], make_call("second", input_tokens=4_000), 0.01) == "a"
    assert choose([engine], make_call("second", input_tokens=4_000), 1.0, sender=recent) == "a"
