"""Which requests are kept from endpoints, by the ends of those that ran them; in virtual time."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverway.core.quarantine import (
    MAX_CRASHED,
    MAX_CRASHES,
    MAX_HOLD_S,
    MAX_READ_DELAY_S,
    MAX_SERVED,
    MAX_SUSPECTS,
    MIN_RESTART_S,
    SERVED_IMMUNITY_S,
    Crash,
    Quarantine,
    QuarantineTerms,
)

TERMS = QuarantineTerms(ends=3, hold_s=1800.0)
DEADLY, BESIDE, OTHER = 1, 2, 3


def make_quarantine(*crashes):
    quarantine = Quarantine(TERMS)
    for crash in crashes:
        quarantine.note_crash(crash)
    return quarantine


def end_in_turn(count, *digests, start=0.0):
    return [Crash(f"e{number}", digests, start + number) for number in range(count)]


def test_a_request_is_refused_once_the_third_endpoint_has_ended_under_it():
    """It runs at one engine after the other, and each ends; others ran beside it once or twice.

    Refused after one end, every request that was lost with an engine would be.
    """
    quarantine = make_quarantine(
        Crash("e0", (DEADLY, BESIDE), 0.0),
        Crash("e1", (BESIDE, DEADLY), 1.0),
    )
    assert quarantine.get_block(DEADLY, 1.0) is None
    quarantine.note_crash(Crash("e2", (DEADLY, OTHER), 2.0))
    hold = quarantine.get_block(DEADLY, 3.0)
    assert hold == (3, TERMS.hold_s - 1.0)
    assert quarantine.get_block(BESIDE, 3.0) is None
    assert quarantine.get_block(OTHER, 3.0) is None


def test_the_end_of_one_endpoint_counts_once_however_often_it_is_told():
    end = Crash("e0", (DEADLY,), 5.0)
    quarantine = Quarantine(TERMS)
    assert quarantine.note_crash(end) == end
    assert quarantine.note_crash(end._replace(at=5.4)) is None
    assert quarantine.note_crash(end._replace(digests=(DEADLY, OTHER))) == end._replace(
        digests=(OTHER,)
    )
    assert quarantine.count_crashes(DEADLY) == 1


def test_a_refusal_ends_and_lasts_twice_as_long_after_each_further_end():
    """Somebody mended the endpoints, or the request was only unlucky: it is tried again.

    If it ends an endpoint once more, it is refused for longer, so that over the years one request
    ends few of them.
    """
    quarantine = make_quarantine(*end_in_turn(3, DEADLY))
    assert quarantine.get_block(DEADLY, 2.0 + TERMS.hold_s - 0.1) is not None
    assert quarantine.get_block(DEADLY, 2.0 + TERMS.hold_s) is None
    quarantine.note_crash(Crash("e3", (DEADLY,), 2000.0))
    assert quarantine.get_block(DEADLY, 2000.0) == (4, 2 * TERMS.hold_s)
    for number in range(4, 40):
        quarantine.note_crash(Crash(f"e{number}", (DEADLY,), 2000.0 + number))
    ends, left_s = quarantine.get_block(DEADLY, 2010.0)
    assert ends == MAX_CRASHES
    assert left_s <= MAX_HOLD_S + 10.0


def test_a_request_that_is_served_after_an_end_did_not_cause_it():
    """It was lost with an engine, ran elsewhere and was served; later others end beside it."""
    quarantine = make_quarantine(*end_in_turn(2, BESIDE))
    assert quarantine.note_served(BESIDE, 3.0)
    assert quarantine.count_crashes(BESIDE) == 0
    quarantine.note_crash(Crash("e7", (BESIDE,), 3.0 + SERVED_IMMUNITY_S))
    assert quarantine.count_crashes(BESIDE) == 1


def test_endpoints_that_lose_power_together_dont_shut_out_what_many_callers_ask():
    """Each of three endpoints was running one and the same request of different callers.

    All end at once, and the request was served at each of them just before. Counted against it, it
    would be refused to all callers for half an hour.
    """
    quarantine = Quarantine(TERMS)
    assert not quarantine.note_served(OTHER, 10.0)
    for crash in end_in_turn(3, OTHER, start=11.0):
        assert quarantine.note_crash(crash) is None
    assert quarantine.get_block(OTHER, 15.0) is None


def test_an_endpoint_that_is_there_before_and_after_had_not_ended():
    """Connections were reset three times, each time to another endpoint; all of them are there.

    To the request it looked as if they ended. The news of one of the resets comes late.
    """
    quarantine = make_quarantine(*end_in_turn(3, BESIDE))
    assert quarantine.get_block(BESIDE, 3.0) is not None
    quarantine.note_alive("e0", since=-5.0, until=0.0)
    assert quarantine.get_block(BESIDE, 3.0) is not None, "said before it seemed to end"
    quarantine.note_alive("e0", since=-5.0, until=0.9 * MAX_READ_DELAY_S)
    assert quarantine.get_block(BESIDE, 3.0) is not None, "read late"
    quarantine.note_alive("e0", since=1.1 * MIN_RESTART_S, until=9.0)
    assert quarantine.get_block(BESIDE, 3.0) is not None, "another life that took its name"
    quarantine.note_alive("e0", since=0.0, until=0.5)
    assert quarantine.get_block(BESIDE, 3.0) is None
    assert quarantine.note_crash(Crash("e0", (BESIDE, OTHER), 0.0)) is None
    assert quarantine.note_crash(Crash("e0", (BESIDE,), 9.0)) is not None, "it may end later"


def test_an_endpoint_to_which_connections_open_at_once_had_not_ended():
    """All connections to it were reset; what is opened within 0.2 s meets the same process."""
    quarantine = make_quarantine(*end_in_turn(3, BESIDE))
    quarantine.note_alive("e0", since=0.9 * MIN_RESTART_S, until=MIN_RESTART_S)
    assert quarantine.get_block(BESIDE, 3.0) is None


FACTS = st.one_of(
    st.tuples(
        st.just("crash"),
        st.builds(
            Crash,
            st.sampled_from(["a", "b", "c", "d"]),
            st.lists(st.integers(1, 3), min_size=1, max_size=3, unique=True).map(tuple),
            st.sampled_from([1.0, 2.0, 3.0]),
        ),
    ),
    st.tuples(st.just("served"), st.tuples(st.integers(1, 3), st.sampled_from([0.5, 2.5]))),
)


@given(st.lists(FACTS, max_size=6), st.randoms())
def test_hosts_that_hear_the_same_in_another_order_refuse_the_same(facts, random):
    shuffled = [*facts, *random.sample(facts, len(facts) // 2)]
    random.shuffle(shuffled)
    first, second = Quarantine(TERMS), Quarantine(TERMS)
    for quarantine, told in ((first, facts), (second, shuffled)):
        for kind, fact in told:
            if kind == "crash":
                quarantine.note_crash(fact)
            else:
                quarantine.note_served(*fact)
    counts = [[q.count_crashes(digest) for digest in (1, 2, 3)] for q in (first, second)]
    assert counts[0] == counts[1]


def test_what_is_listed_for_others_makes_them_refuse_the_same():
    quarantine = make_quarantine(*end_in_turn(3, DEADLY, BESIDE), Crash("e9", (OTHER,), 50.0))
    quarantine.note_served(BESIDE, 51.0)
    quarantine.note_crash(Crash("e9", (4,), 52.0))
    newcomer = Quarantine(TERMS)
    newcomer.note_crash(Crash("e0", (BESIDE,), 0.0))
    news = quarantine.list_updates(float("-inf"), 100)
    for digest in news.served:
        newcomer.note_served(digest, 52.0)
    for crash in news.crashes:
        newcomer.note_crash(crash)
    assert newcomer.get_block(DEADLY, 60.0) == quarantine.get_block(DEADLY, 60.0)
    assert [newcomer.count_crashes(digest) for digest in (BESIDE, OTHER, 4)] == [0, 1, 1]
    lately = quarantine.list_updates(40.0, 100)
    assert {crash.incarnation for crash in lately.crashes} == {"e9"}
    assert lately.served == (BESIDE,)
    few = quarantine.list_updates(float("-inf"), 1)
    assert few.crashes == (Crash("e9", (4,), 52.0),)


def test_what_is_remembered_is_bounded():
    quarantine = Quarantine(TERMS)
    numbers = itertools.count(10)
    for end in range(MAX_CRASHED + 50):
        digests = tuple(itertools.islice(numbers, 3))
        quarantine.note_crash(Crash(f"e{end}", digests, float(end)))
        quarantine.note_served(digests[0], float(end))
    assert len(quarantine._suspects) <= MAX_SUSPECTS
    assert len(quarantine._served) <= MAX_SERVED
    assert len(quarantine._cleared) <= MAX_SERVED
    assert len(quarantine._crashed) <= MAX_CRASHED


@pytest.mark.parametrize("ends", [1, 2, 5])
def test_the_number_of_ends_is_the_operators(ends):
    quarantine = Quarantine(TERMS._replace(ends=ends))
    for crash in end_in_turn(ends, DEADLY):
        assert quarantine.get_block(DEADLY, 0.0) is None
        quarantine.note_crash(crash)
    assert quarantine.get_block(DEADLY, float(ends)) is not None
