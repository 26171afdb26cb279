"""Which requests are blocked after crashes of the endpoints that ran them, in virtual time."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverway.core.bad_parts import PartSuspects
from cloverway.core.crash_times import MAX_CRASHED, MAX_READ_DELAY_S, MIN_RESTART_S
from cloverway.core.part_crashes import PartCrash
from cloverway.core.quarantine import (
    MAX_BLOCK_S,
    MAX_CRASHES,
    MAX_SERVED,
    MAX_SUSPECTS,
    SERVED_IMMUNITY_S,
    Crash,
    Quarantine,
    QuarantineSettings,
    SuspicionLevel,
)

SETTINGS = QuarantineSettings(ends=3, hold_s=1800.0)
FATAL, BYSTANDER, OTHER = 1, 2, 3


def make_quarantine(*crashes):
    quarantine = Quarantine(SETTINGS)
    for crash in crashes:
        quarantine.record_crash(crash)
    return quarantine


def crash_in_turn(count, *digests, start=0.0):
    return [Crash(f"e{number}", digests, start + number) for number in range(count)]


def test_request_is_blocked_after_the_third_crash():
    """One engine after the other crashes while running it; others ran beside it once or twice.

    If one crash were enough, every request that was lost with an engine would be blocked.
    """
    quarantine = make_quarantine(
        Crash("e0", (FATAL, BYSTANDER), 0.0),
        Crash("e1", (BYSTANDER, FATAL), 1.0),
    )
    assert quarantine.get_block(FATAL, 1.0) is None
    quarantine.record_crash(Crash("e2", (FATAL, OTHER), 2.0))
    block = quarantine.get_block(FATAL, 3.0)
    assert block == (3, SETTINGS.hold_s - 1.0)
    assert quarantine.get_block(BYSTANDER, 3.0) is None
    assert quarantine.get_block(OTHER, 3.0) is None


def test_repeated_reports_of_one_crash_count_once():
    crash = Crash("e0", (FATAL,), 5.0)
    quarantine = Quarantine(SETTINGS)
    assert quarantine.record_crash(crash) == crash
    assert quarantine.record_crash(crash._replace(at=5.4)) is None
    assert quarantine.record_crash(crash._replace(digests=(FATAL, OTHER))) == crash._replace(
        digests=(OTHER,)
    )
    assert quarantine.count_crashes(FATAL) == 1


def test_block_expires_and_doubles_with_each_further_crash():
    """The endpoints may have been fixed, or the request was a bystander: it is tried again.

    If it crashes an endpoint once more, it is blocked for longer, so that over the years one
    request crashes few endpoints.
    """
    quarantine = make_quarantine(*crash_in_turn(3, FATAL))
    assert quarantine.get_block(FATAL, 2.0 + SETTINGS.hold_s - 0.1) is not None
    assert quarantine.get_block(FATAL, 2.0 + SETTINGS.hold_s) is None
    quarantine.record_crash(Crash("e3", (FATAL,), 2000.0))
    assert quarantine.get_block(FATAL, 2000.0) == (4, 2 * SETTINGS.hold_s)
    for number in range(4, 40):
        quarantine.record_crash(Crash(f"e{number}", (FATAL,), 2000.0 + number))
    crashes, remaining_s = quarantine.get_block(FATAL, 2010.0)
    assert crashes == MAX_CRASHES
    assert remaining_s <= MAX_BLOCK_S + 10.0


def test_request_served_after_a_crash_is_cleared():
    """It was lost in a crash, retried elsewhere and served; later another endpoint crashes."""
    quarantine = make_quarantine(*crash_in_turn(2, BYSTANDER))
    assert quarantine.record_served(BYSTANDER, 3.0)
    assert quarantine.count_crashes(BYSTANDER) == 0
    quarantine.record_crash(Crash("e7", (BYSTANDER,), 3.0 + SERVED_IMMUNITY_S))
    assert quarantine.count_crashes(BYSTANDER) == 1


def test_power_loss_does_not_block_a_request_of_many_callers():
    """Three endpoints were running the same request for different callers, and lose power at once.

    The request was served at each of them just before. If these crashes counted against it, it
    would be blocked for all callers for half an hour.
    """
    quarantine = Quarantine(SETTINGS)
    assert not quarantine.record_served(OTHER, 10.0)
    for crash in crash_in_turn(3, OTHER, start=11.0):
        assert quarantine.record_crash(crash) is None
    assert quarantine.get_block(OTHER, 15.0) is None


def test_crash_of_an_endpoint_seen_alive_later_is_retracted():
    """Connections to three endpoints were reset, which looked like crashes; all are still alive.

    The report of one of the resets arrives late.
    """
    quarantine = make_quarantine(*crash_in_turn(3, BYSTANDER))
    assert quarantine.get_block(BYSTANDER, 3.0) is not None
    quarantine.record_alive("e0", since=-5.0, until=0.0)
    assert quarantine.get_block(BYSTANDER, 3.0) is not None, "seen alive before the crash"
    quarantine.record_alive("e0", since=-5.0, until=0.9 * MAX_READ_DELAY_S)
    assert quarantine.get_block(BYSTANDER, 3.0) is not None, "last output read late"
    quarantine.record_alive("e0", since=1.1 * MIN_RESTART_S, until=9.0)
    assert quarantine.get_block(BYSTANDER, 3.0) is not None, "a later incarnation"
    quarantine.record_alive("e0", since=0.0, until=0.5)
    assert quarantine.get_block(BYSTANDER, 3.0) is None
    assert quarantine.record_crash(Crash("e0", (BYSTANDER, OTHER), 0.0)) is None
    assert quarantine.record_crash(Crash("e0", (BYSTANDER,), 9.0)) is not None, "it may crash later"


def test_crash_is_retracted_when_a_connection_opens_at_once():
    """All its connections were reset; one opened within 0.2 s reaches the same process."""
    quarantine = make_quarantine(*crash_in_turn(3, BYSTANDER))
    quarantine.record_alive("e0", since=0.9 * MIN_RESTART_S, until=MIN_RESTART_S)
    assert quarantine.get_block(BYSTANDER, 3.0) is None


EVENTS = st.one_of(
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


@given(st.lists(EVENTS, max_size=6), st.randoms())
def test_updates_in_any_order_give_the_same_crash_counts(events, random):
    shuffled = [*events, *random.sample(events, len(events) // 2)]
    random.shuffle(shuffled)
    first, second = Quarantine(SETTINGS), Quarantine(SETTINGS)
    for quarantine, order in ((first, events), (second, shuffled)):
        for kind, event in order:
            if kind == "crash":
                quarantine.record_crash(event)
            else:
                quarantine.record_served(*event)
    counts = [[q.count_crashes(digest) for digest in (1, 2, 3)] for q in (first, second)]
    assert counts[0] == counts[1]


def test_listed_updates_reproduce_the_blocks_on_another_host():
    quarantine = make_quarantine(*crash_in_turn(3, FATAL, BYSTANDER), Crash("e9", (OTHER,), 50.0))
    quarantine.record_served(BYSTANDER, 51.0)
    quarantine.record_crash(Crash("e9", (4,), 52.0))
    joining_host = Quarantine(SETTINGS)
    joining_host.record_crash(Crash("e0", (BYSTANDER,), 0.0))
    update = quarantine.list_updates(float("-inf"), 100)
    for digest in update.served:
        joining_host.record_served(digest, 52.0)
    for crash in update.crashes:
        joining_host.record_crash(crash)
    assert joining_host.get_block(FATAL, 60.0) == quarantine.get_block(FATAL, 60.0)
    assert [joining_host.count_crashes(digest) for digest in (BYSTANDER, OTHER, 4)] == [0, 1, 1]
    recent = quarantine.list_updates(40.0, 100)
    assert {crash.incarnation for crash in recent.crashes} == {"e9"}
    assert recent.served == (BYSTANDER,)
    limited = quarantine.list_updates(float("-inf"), 1)
    assert limited.crashes == (Crash("e9", (4,), 52.0),)


def test_retained_state_is_bounded():
    quarantine = Quarantine(SETTINGS)
    numbers = itertools.count(10)
    for crash_number in range(MAX_CRASHED + 50):
        digests = tuple(itertools.islice(numbers, 3))
        quarantine.record_crash(Crash(f"e{crash_number}", digests, float(crash_number)))
        quarantine.record_served(digests[0], float(crash_number))
    assert len(quarantine._suspects) <= MAX_SUSPECTS
    assert len(quarantine._served) <= MAX_SERVED
    assert len(quarantine._cleared) <= MAX_SERVED
    assert len(quarantine._crashed) <= MAX_CRASHED


@pytest.mark.parametrize("ends", [1, 2, 5])
def test_number_of_crashes_is_a_setting(ends):
    quarantine = Quarantine(SETTINGS._replace(ends=ends))
    for crash in crash_in_turn(ends, FATAL):
        assert quarantine.get_block(FATAL, 0.0) is None
        quarantine.record_crash(crash)
    assert quarantine.get_block(FATAL, float(ends)) is not None


def test_an_answer_under_an_id_that_no_other_process_has_retracts_a_crash():
    """Guards against requests blocked because a busy host opened its next connection late."""
    quarantine = make_quarantine(Crash("e0", (FATAL,), 0.0))
    quarantine.record_alive("e0", since=5.0, until=5.1)
    assert quarantine.count_crashes(FATAL) == 1
    quarantine.record_alive("e0", since=-5.0, until=0.1, has_unique_id=True)
    assert quarantine.count_crashes(FATAL) == 1
    quarantine.record_alive("e0", since=5.0, until=5.1, has_unique_id=True)
    assert quarantine.count_crashes(FATAL) == 0


def test_crashes_that_a_bad_part_explains_do_not_count():
    """Guards against a request that many send, blocked for a bad part's crashes and one more.

    Nobody has had an answer to it yet, and it runs wherever an engine crashes.
    """
    quarantine = make_quarantine(*crash_in_turn(4, BYSTANDER))
    parts = PartSuspects(SETTINGS.hold_s)
    for number in range(2):
        parts.record_crash(PartCrash(f"e{number}", (8, 9), float(number)))

    def explains(incarnation):
        return parts.explains(incarnation, (8,))

    assert quarantine.get_block(BYSTANDER, 4.0) is not None
    assert quarantine.get_block(BYSTANDER, 4.0, explains) is None
    assert quarantine.get_level(BYSTANDER, 4.0, explains) is SuspicionLevel.ISOLATED
    quarantine.record_crash(Crash("e4", (BYSTANDER,), 5.0))
    assert quarantine.get_block(BYSTANDER, 5.0, explains).crashes == SETTINGS.ends
