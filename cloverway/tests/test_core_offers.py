"""What regions offer each other, as time passes, and who goes there; without a network."""

from __future__ import annotations

import pytest

from cloverway.core.engine_speed import START_S_PER_TOKEN
from cloverway.core.load import DUTY, EngineState
from cloverway.core.members import AdvertisedCapacity
from cloverway.core.prediction import DEFAULT_GAP_S, Far, RegionOffer, predict, predict_region
from cloverway.core.selection import (
    ANY_TOKENS,
    choose_endpoint,
    choose_region,
    estimate_wait,
    offer_region,
    update_offer,
)
from cloverway.core.token_gaps import START_PART, Gap
from cloverway.tests.test_core_selection import (
    BURST_TOKENS,
    HERE,
    MODEL,
    PAUSE_S,
    make_call,
    make_endpoint,
    send,
    want,
)

HEARTBEAT_S = 1.0 / 3
"""How often one of a region's three hosts is heard."""
TOKENS = 2_000
READ_S = TOKENS * START_S_PER_TOKEN
SECONDS = 20.0


def make_offer(room):
    return AdvertisedCapacity("model", room.wait_s, room.free, room.tokens, room.engine)


def pass_on(hosts: int, local_s: float = 0.0):
    """Let hosts of a region without engines pass prompts on whenever that seems to have a place.

    `local_s` is the time between two prompts of the other region itself. Gives the part of the
    time that its engine reads what was passed on, and the longest queue there.
    """
    endpoint = make_endpoint("a")
    offers = [(0.0, offer())] * hosts
    sent, longest_s, step_s, number = 0, 0.0, 0.01, 0
    for step in range(int(SECONDS / step_s)):
        now = step * step_s
        if step % int(HEARTBEAT_S / step_s) == 0:
            offers = [(now, make_offer(offer_region(MODEL, [endpoint], 0.0, now)))] * hosts
        if local_s and step % int(local_s / step_s) == 0:
            number += 1
            send(endpoint, make_call(f"local-{number}", TOKENS), number, now)
        for host, (told_at, told) in enumerate(offers):
            updated = update_offer(told, now - told_at)
            if updated.free_slots > 0 and updated.max_prompt_tokens >= TOKENS:
                offers[host] = (told_at, told._replace(free_slots=told.free_slots - 1))
                number += 1
                sent += 1
                send(endpoint, make_call(f"far-{number}", TOKENS), number, now)
        longest_s = max(longest_s, endpoint.load.backlog(now) * START_S_PER_TOKEN)
    return sent * READ_S / SECONDS, longest_s


@pytest.mark.parametrize("hosts", [1, 3])
def test_a_region_whose_engine_is_full_now_and_then_is_given_what_it_can_read(hosts):
    """A region is evacuated; its requests are refused beside engines that read half of the time.

    The engine is full at the moment of a heartbeat and has read all of it before the next one.
    Taken as it was told, the region had no place until then: 0.22 of the engine's time was used.
    Half of what is wanted of an engine at most is left to what its own region sends.
    """
    part, _ = pass_on(hosts)
    assert part >= 0.6 * DUTY


def test_what_is_passed_on_does_not_pile_up_before_an_engine_that_has_work_of_its_own():
    """Its own region fills half of the engine; three hosts elsewhere believe what it said."""
    _, longest_s = pass_on(3, local_s=2 * READ_S / DUTY)
    assert longest_s < 1.5


def test_a_region_behind_a_line_has_no_place_until_that_is_read():
    busy = offer(queue_s=2.0)._replace(free_slots=0, max_prompt_tokens=0)
    assert update_offer(busy, 1.0) == busy


def test_an_offer_that_nobody_repeats_does_not_grow_for_ever():
    full = offer(queue_s=0.3)._replace(free_slots=0, max_prompt_tokens=0)
    assert update_offer(full, 1e6).free_slots <= 10
    assert update_offer(full, 1e6).max_prompt_tokens < ANY_TOKENS


def test_places_of_a_plain_service_do_not_come_back_by_waiting():
    """They are lent one by one, and given back when the request has ended."""
    plain = AdvertisedCapacity("desk", 0.1, 0, 0)
    assert update_offer(plain, 5.0) == plain


def test_a_region_offers_what_its_engines_can_take_at_their_pace():
    endpoint = make_endpoint("a")
    idle = offer_region(MODEL, [endpoint], 0.0, 0.0)
    endpoint.load.note_read(BURST_TOKENS, 0.0)
    busy = offer_region(MODEL, [endpoint], 0.0, 0.0)
    assert idle.free > 0
    assert idle.tokens == ANY_TOKENS
    assert (busy.free, busy.tokens) == (0, 0)
    assert busy.wait_s > 0.9 * START_PART * DEFAULT_GAP_S


def test_a_region_with_requests_that_wait_offers_nothing():
    """More comes than the engines bear, and each of them has room for a moment now and then.

    Two of five requests that were passed on for such a moment waited in the line there and were
    declined, after half a second and twelve kilobytes between regions.
    """
    endpoint = make_endpoint("a")
    room = offer_region(MODEL, [endpoint], 0.3, 0.0)
    assert room.free == 0
    assert room.wait_s >= 0.3


def test_a_request_leaves_its_region_only_for_a_clear_gain():
    here = predict(want(make_call()), make_endpoint("a"), sender=HERE, now=0.0)
    near, far = [RegionOffer("south", 0.0, here.cost_s - less) for less in (0.1, 0.5)]
    assert choose_region(here.cost_s, [near], 0.3) is None
    assert choose_region(here.cost_s, [near, far], 0.3) is far
    assert choose_region(estimate_wait([], 0.0), [near], 0.3) is near


def test_a_request_waits_here_where_that_is_sooner_than_the_way_to_another_region():
    """All engines are full for 0.1 s more, and another region has room.

    Passed on, it arrives there after 0.2 s, when others have taken the room, and is sent to a third
    one. Behind a long line the way is worth it.
    """
    endpoints = [make_endpoint("a"), make_endpoint("b")]
    for endpoint in endpoints:
        endpoint.load.note_read(BURST_TOKENS - 1_000, 0.0)
    wanted = want(make_call(tokens_in=5_000, tokens_out=20))
    candidates = [predict(wanted, endpoint, sender=HERE, now=0.0) for endpoint in endpoints]
    assert choose_endpoint(candidates) is None
    away = predict_region(wanted, offer(), Far("south", 0.2), 0.0)
    assert choose_region(estimate_wait(candidates, 0.0), [away], 0.3) is None
    assert choose_region(estimate_wait(candidates, 2.0), [away], 0.3) is away


def offer(queue_s=0.0, token_s=0.006, running=0):
    engine = EngineState(queue_s, START_S_PER_TOKEN, token_s, running)
    return AdvertisedCapacity("model", queue_s, 10, ANY_TOKENS, engine)


def test_long_answers_leave_a_region_whose_engines_make_tokens_slowly():
    """A region of one engine at its peak, and one whose peak is hours away.

    The engine still takes prompts, so nothing would leave by the time to the first token alone; but
    it makes a token in 30 ms, and answers of 400 tokens are cut by the time of their route.
    """
    busy = make_endpoint("a")
    for step in range(5):
        busy.load.note_gap(Gap(0.27, PAUSE_S, tokens=9), 1.0 + step * 0.27)
    far = Far("south", 0.2)
    now = 2.3
    for tokens_out, leaves in ((600, True), (20, False)):
        wanted = want(make_call(tokens_in=700, tokens_out=tokens_out))
        here = predict(wanted, busy, sender=HERE, now=now)
        away = predict_region(wanted, offer(), far, now)
        assert (choose_region(here.cost_s, [away], 0.3) is not None) is leaves


def test_a_request_stays_while_its_region_is_as_calm_as_others():
    endpoint = make_endpoint("a")
    wanted = want(make_call(tokens_in=9_000, tokens_out=600))
    here = predict(wanted, endpoint, sender=HERE, now=0.0)
    away = predict_region(wanted, offer(), Far("south", 0.2), 0.0)
    assert choose_region(here.cost_s, [away], 0.3) is None
