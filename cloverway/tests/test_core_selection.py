"""Where requests go, by virtual loads; no network.

The figures of the engine are those of the users' engines: 38 prompt tokens a millisecond, chunks of
4,096 tokens, one token of each running answer a step.
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
from cloverway.core.engine_speed import START_S_PER_TOKEN
from cloverway.core.load import DUTY, SiblingLoad, Work
from cloverway.core.prediction import (
    DEFAULT_GAP_S,
    Sender,
    Wanted,
    estimate_work,
    predict,
)
from cloverway.core.retry_budget import BudgetTerms, RetryBudget
from cloverway.core.selection import (
    choose_endpoint,
)
from cloverway.core.token_gaps import START_PART, STRAINED_PART, STRAINED_S, Gap

HERE = Sender("d1")


PAUSE_S = 0.6


ROUTE = Route("r", "h", "/a/", CallKind.STREAM, (WeightedService("model", 1.0),), 5.0, 1.0, PAUSE_S)


BURST_TOKENS = int(START_PART * DEFAULT_GAP_S / START_S_PER_TOKEN)


MODEL = Service("model", 360, engine=EngineShape(64, 240_000))


DESK = Service("desk", 100)


def make_endpoint(name, slots=64, domain="d1"):
    return Endpoint(EndpointEntry(name, "model", f"10.0.0.1:{len(name)}", domain, slots), "north")


def make_call(name="c", tokens_in=9_000, tokens_out=50, parts=()):
    parts = tuple(PromptPart(*part) for part in parts)
    return Call(name, "POST", "/a/", "h", (), b"", 0.0, 5.0, Prompt(tokens_in, tokens_out, parts))


def send(endpoint, call, number, now):
    endpoint.load.begin(number, estimate_work(call, endpoint), call.prompt, now)


def want(call, service=MODEL):
    return Wanted(call, ROUTE, service, Counter())


def choose(endpoints, call, now, service=MODEL, sender=HERE):
    candidates = [
        predict(want(call, service), endpoint, sender=sender, now=now) for endpoint in endpoints
    ]
    chosen = choose_endpoint(candidates)
    return chosen.endpoint.entry.id if chosen is not None else None


def test_a_shared_part_is_read_at_one_endpoint_while_that_has_room():
    """Requests of one session come in quick succession.

    Read at another endpoint, the shared part costs 160 ms of an engine that others wait for.
    """
    endpoints = [make_endpoint(name) for name in ("a", "b", "c")]
    chosen = set()
    for number in range(6):
        now = number * 0.5
        call = make_call(f"c{number}", parts=((1, 6_000), (100 + number, 3_000)))
        name = choose(endpoints, call, now)
        chosen.add(name)
        endpoint = next(e for e in endpoints if e.entry.id == name)
        send(endpoint, call, number, now)
        endpoint.load.end(number)
    assert len(chosen) == 1


def test_prompts_beyond_the_pace_wait_instead_of_filling_an_engine():
    """A burst of large prompts arrives at once, and all engines have running streams.

    Sent at once, they would be read in every step for seconds, and each running stream would pause
    for over 600 ms. What an engine holds stays within BURST_TOKENS.
    """
    endpoints = [make_endpoint("a"), make_endpoint("b")]
    accepted = 0
    for number in range(20):
        call = make_call(f"c{number}", tokens_in=5_000)
        name = choose(endpoints, call, 0.0)
        if name is not None:
            accepted += 1
            send(next(e for e in endpoints if e.entry.id == name), call, number, 0.0)
    assert accepted == 2 * (BURST_TOKENS // 5_000)
    assert all(e.load.backlog(0.0) <= BURST_TOKENS for e in endpoints)


def test_what_an_engine_is_given_stays_within_its_duty_over_time():
    endpoint = make_endpoint("a")
    sent = 0
    for step in range(1_000):
        now = step * 0.01
        call = make_call(f"c{step}", tokens_in=3_000)
        if choose([endpoint], call, now) is not None:
            send(endpoint, call, step, now)
            endpoint.load.end(step)
            sent += 3_000
    allowed = 10.0 * DUTY / endpoint.load.read_s_per_token
    assert 0.85 * allowed < sent < allowed + BURST_TOKENS


def test_a_prompt_larger_than_the_burst_is_served_by_an_idle_engine():
    """A prompt of 40,000 tokens is over every bound; without an exception it would never be run."""
    endpoint = make_endpoint("a")
    assert choose([endpoint], make_call(tokens_in=40_000), 0.0) == "a"


def test_a_very_large_prompt_does_not_wait_until_an_engine_has_nothing_to_read():
    """Prompts of 3,000 tokens come all the time, and among them one of 24,000.

    Whenever an engine has read enough for the large one, a small one has just been sent there. One
    in ten of those that share a document is that large; they came a second late, or not at all.
    """
    endpoint = make_endpoint("a")
    large = make_call("large", tokens_in=24_000)
    send(endpoint, make_call("small", tokens_in=3_000), 1, 0.0)
    assert choose([endpoint], large, 0.0) == "a"
    send(endpoint, large, 2, 0.0)
    assert choose([endpoint], make_call("next", tokens_in=3_000), 0.3) is None


def test_small_prompts_pass_where_large_ones_wait():
    endpoint = make_endpoint("a")
    send(endpoint, make_call("x", tokens_in=11_500), 1, 0.0)
    assert choose([endpoint], make_call(tokens_in=5_000), 0.0) is None
    assert choose([endpoint], make_call(tokens_in=700, tokens_out=300), 0.0) == "a"


def test_long_answers_keep_away_from_engines_that_read_much():
    """One engine reads large prompts all the time; another one has run as many small ones.

    A long answer at the first gets a token in 110 ms instead of 5.
    """
    busy, calm = make_endpoint("busy"), make_endpoint("calm")
    for step in range(20):
        busy.load.note_read(5_000, step * 0.3)
        calm.load.note_read(700, step * 0.3)
    call = make_call(tokens_in=700, tokens_out=400)
    assert choose([busy, calm], call, 6.5) == "calm"


def test_answers_that_run_at_an_engine_tell_how_fast_it_makes_tokens():
    """Two engines got the same prompts by what this host knows; one makes a token in 40 ms.

    Another host filled it, or it is slow. A long answer there would end after its time.
    """
    slow, fast = make_endpoint("slow"), make_endpoint("fast")
    for step in range(5):
        slow.load.note_gap(Gap(0.36, PAUSE_S, tokens=9), 1.0 + step * 0.36)
        fast.load.note_gap(Gap(0.09, PAUSE_S, tokens=9), 1.0 + step * 0.36)
    call = make_call(tokens_in=700, tokens_out=600)
    assert choose([slow, fast], call, 2.5) == "fast"
    assert choose([slow], call, 2.5) == "slow"


def test_an_answer_with_little_time_left_goes_where_it_can_be_whole():
    """A stream broke off and goes on with two seconds left; it needs 200 tokens more.

    The engine with the earliest first token makes one in 12 ms: 2.4 s. The other one has a prompt
    to read first, and makes a token in 6 ms.
    """
    slow, fast = make_endpoint("slow"), make_endpoint("fast")
    for step in range(5):
        slow.load.note_gap(Gap(0.108, PAUSE_S, tokens=9), 1.0 + step * 0.1)
        fast.load.note_gap(Gap(0.054, PAUSE_S, tokens=9), 1.0 + step * 0.1)
    fast.load.begin(1, Work(12_000, 12_000), None, 1.5)
    call = make_call(tokens_in=700, tokens_out=333)._replace(deadline=3.5)
    assert choose([slow, fast], call, 1.5) == "fast"
    short = make_call(tokens_in=700, tokens_out=100)._replace(deadline=3.5)
    assert choose([slow, fast], short, 1.5) == "slow"


def test_a_prompt_that_stalls_streams_goes_where_few_run():
    """A prompt of 20,000 tokens arrives; an engine with four streams has read a part of it.

    Read there it takes a little less time, and each of the four pauses for over 450 ms. The other
    engine has one stream.
    """
    parts = ((1, 6_000), (2, 14_000))
    streams, calm = make_endpoint("streams"), make_endpoint("calm")
    streams.load.note_parts([PromptPart(1, 6_000)], 0.0)
    streams.load.note_sibling("other", SiblingLoad(4, 0, 4_000, 0.0), ())
    calm.load.note_sibling("other", SiblingLoad(1, 0, 1_000, 0.0), ())
    assert choose([streams, calm], make_call(tokens_in=20_000, parts=parts), 0.0) == "calm"


def test_an_engine_that_fails_is_used_last_and_never_shut_out():
    sick, sound = make_endpoint("sick"), make_endpoint("sound")
    for _ in range(3):
        sick.load.note_failure(0.0)
    assert choose([sick, sound], make_call(), 0.1) == "sound"
    assert choose([sick], make_call(), 0.1) == "sick"


def test_memory_bounds_what_runs_at_an_engine():
    endpoint = make_endpoint("a")
    load = SiblingLoad(running=20, unread=0, held=230_000, at=0.0)
    endpoint.load.note_sibling("other", load, ())
    assert choose([endpoint], make_call(tokens_in=9_000), 0.0) is None


def test_loads_of_siblings_that_fell_silent_are_forgotten():
    endpoint = make_endpoint("a")
    endpoint.load.note_sibling("other", SiblingLoad(64, 0, 0, 0.0), ())
    assert choose([endpoint], make_call(), 1.0) is None
    assert choose([endpoint], make_call(), 3.0) == "a"


def test_hosts_that_see_the_same_loads_spread_their_requests():
    """Eight hosts see two idle endpoints and choose at the same moment, without a word."""
    chosen = [
        choose([make_endpoint("a", 6), make_endpoint("b", 6)], _plain(f"c{n}"), 0.0, DESK)
        for n in range(40)
    ]
    assert 10 <= chosen.count("a") <= 30


def _plain(name):
    return Call(name, "POST", "/a/", "h", (), b"", 0.0, 5.0)


@pytest.mark.parametrize("hosts", [1, 3, 10])
def test_extra_sends_of_all_hosts_stay_within_the_budget_of_any_window(hosts):
    """All hosts are cut off from each other and each retries as often as it may."""
    terms = BudgetTerms(ratio=0.2, slack=54.0, window_s=10.0)
    budgets = [RetryBudget(terms) for _ in range(hosts)]
    sends, requests = [], []
    for step in range(3_000):
        now = step * 0.01
        for budget in budgets:
            if step % 10 == 0:
                budget.note_request(now)
                requests.append(now)
            if budget.take(hosts, now):
                sends.append(now)
    for start in range(20):
        in_window = sum(start <= at < start + 10 for at in sends)
        asked = sum(start <= at < start + 10 for at in requests)
        assert in_window <= 0.2 * asked + 54


def test_requests_stay_in_their_failure_domain_while_its_endpoints_are_as_good():
    """Two domains with an idle endpoint each, and requests with bodies of 9 KB.

    Chosen by the spread alone, half of them cross, and their bytes took a twentieth of a calm day.
    """
    endpoints = [make_endpoint("far", domain="d2"), make_endpoint("near")]
    calls = [make_call(f"c{n}")._replace(body=b"x" * 9_000) for n in range(20)]
    assert {choose(endpoints, call, 0.0) for call in calls} == {"near"}


def test_a_request_crosses_to_another_domain_for_what_was_read_there():
    """To read 6,000 tokens again takes five times as long as the bytes that cross count."""
    far, near = make_endpoint("far", domain="d2"), make_endpoint("near")
    send(far, make_call("first", parts=((1, 6_000), (2, 3_000))), 1, 0.0)
    far.load.end(1)
    call = make_call("second", parts=((1, 6_000), (3, 3_000)))._replace(body=b"x" * 9_000)
    assert choose([far, near], call, 1.0) == "far"


def test_prompts_that_an_engine_had_already_are_not_counted_as_work():
    """All hosts start again and know nothing of what the engines have read before.

    Each prompt counts as 9,000 tokens to read, so after two of them the engine takes no more, and
    callers wait at the hosts. Its first events come within 30 ms: it had the prompts.
    """
    engine = make_endpoint("a")
    for number in range(8):
        now = number * 0.1
        call = make_call(f"c{number}", parts=((number, 9_000),))
        assert choose([engine], call, now) == "a"
        send(engine, call, number, now)
        engine.load.note_first(number, now + 0.03)
    assert engine.load.take_news(8).read < 8 * 9_000 / 2


def test_prompts_that_an_engine_did_read_stay_counted():
    engine = make_endpoint("a")
    send(engine, make_call(), 1, 0.0)
    engine.load.note_first(1, 0.25)
    assert engine.load.take_news(8).read == 9_000


def test_an_engine_whose_answers_pause_gets_no_more_long_prompts_for_a_moment():
    """Several hosts chose one engine before they heard of each other; it reads in every step.

    What each of them believes of its backlog is too little, and they would send on. Its running
    answers pause for over 450 ms: that is seen at once, whatever is believed.
    """
    strained, other = make_endpoint("a"), make_endpoint("b")
    strained.load.note_gap(Gap(STRAINED_PART * PAUSE_S + 0.1, PAUSE_S), 1.0)
    other.load.begin(1, Work(BURST_TOKENS // 2, 9_000), None, 1.0)
    assert choose([strained, other], make_call(tokens_in=3_000), 1.1) == "b"
    assert choose([strained], make_call(tokens_in=9_000), 1.1) is None
    assert choose([strained], make_call(tokens_in=900), 1.1) == "a"
    assert choose([strained], make_call(tokens_in=9_000), 1.0 + STRAINED_S + 0.1) == "a"


def test_a_host_that_has_just_started_sends_each_engine_one_prompt_at_a_time():
    """All hosts start again at once, and their callers come back with everything they had.

    None knows what the others send. Each filled every engine up to the burst: 1.4 million tokens in
    a second to engines that read 0.5 million, and answers paused for ten seconds.
    """
    engine = make_endpoint("a")
    young = Sender("d1", is_young=True)
    assert choose([engine], make_call("first"), 0.0, sender=young) == "a"
    send(engine, make_call("first", tokens_in=2_500), 1, 0.0)
    assert choose([engine], make_call("second", tokens_in=4_000), 0.01, sender=young) is None
    assert choose([engine], make_call("second", tokens_in=4_000), 0.01) == "a"
    assert choose([engine], make_call("second", tokens_in=4_000), 1.0, sender=young) == "a"
