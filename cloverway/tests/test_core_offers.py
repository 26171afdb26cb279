"""What a region has offered, as time passes; in virtual time, without a network."""

from __future__ import annotations

import pytest

from cloverway.core.choice import ANY_TOKENS, offer_region, update_offer
from cloverway.core.load import DUTY
from cloverway.core.members import Offer
from cloverway.core.pace import START_S_PER_TOKEN
from cloverway.tests.test_core_choice import MODEL, make_call, make_endpoint, offer, send

HEARTBEAT_S = 1.0 / 3
"""How often one of a region's three hosts is heard."""
TOKENS = 2_000
READ_S = TOKENS * START_S_PER_TOKEN
SECONDS = 20.0


def make_offer(room):
    return Offer("model", room.wait_s, room.free, room.tokens, room.engine)


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
            if updated.free > 0 and updated.room >= TOKENS:
                offers[host] = (told_at, told._replace(free=told.free - 1))
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
    busy = offer(queue_s=2.0)._replace(free=0, room=0)
    assert update_offer(busy, 1.0) == busy


def test_an_offer_that_nobody_repeats_does_not_grow_for_ever():
    full = offer(queue_s=0.3)._replace(free=0, room=0)
    assert update_offer(full, 1e6).free <= 10
    assert update_offer(full, 1e6).room < ANY_TOKENS


def test_places_of_a_plain_service_do_not_come_back_by_waiting():
    """They are lent one by one, and given back when the request has ended."""
    plain = Offer("desk", 0.1, 0, 0)
    assert update_offer(plain, 5.0) == plain
