"""Endpoints that start again under their id: what was known of one life says nothing of the next.

No network. To play more random histories:

    LIVES_RUNS=2000 python -m pytest -o addopts= cloverway/tests/test_core_incarnations.py
"""

from __future__ import annotations

import os

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cloverway.core.calls import Prompt, PromptPart
from cloverway.core.deployment import EndpointEntry, EndpointPublished, Topology
from cloverway.core.endpoints import MISDIRECTED_S, MISSING_GRACE_S, Directory
from cloverway.core.load import SiblingLoad, Work
from cloverway.core.members import Member, Members
from cloverway.core.statements import Statement
from cloverway.serving.hosts.endpoint_loads import EndpointLoadExchange
from cloverway.serving.hosts.messages import EndpointUse, EndpointUses

RUNS = int(os.environ.get("LIVES_RUNS", "60"))
TOPOLOGY = Topology("d1", "north", {"d1": "north", "d2": "south"})
PROMPT = Prompt(9_000, 50, (PromptPart(1, 6_000), PromptPart(2, 3_000)))


def make_entry(born, name="e1", **fields):
    return EndpointEntry(name, "desk", "10.0.0.1:80", "d1", 6, started_ms=born, **fields)


def make_directory(*entries):
    directory = Directory(TOPOLOGY)
    publish(directory, 0.0, *entries)
    return directory


def publish(directory, now, *entries):
    changes = directory.apply([EndpointPublished(entry.id, entry) for entry in entries], now)
    return [change.what for change in changes]


def test_an_endpoint_that_drained_and_starts_again_under_its_id_is_used():
    """Its software is replaced: it drains, ends, and starts again under the same id.

    Draining was kept for good, so the endpoint was never used again until the host itself ended.
    """
    directory = make_directory(make_entry(1_000, draining=True, removal_in_s=1.0))
    assert directory.list_usable("desk", 0.0) == []
    assert publish(directory, 5.0, make_entry(9_000)) == ["endpoint_reborn"]
    assert len(directory.list_usable("desk", 5.0)) == 1


def test_an_endpoint_that_starts_again_has_an_empty_memory_and_no_load():
    """It crashed with a long prompt in its memory; others were sent to fetch that from it.

    They fetched nothing, read all of it themselves, and its old load kept requests away.
    """
    directory = make_directory(make_entry(1_000))
    before = directory.endpoints["e1"]
    before.load.begin(1, Work(9_000, 9_050), PROMPT, 0.0)
    before.load.note_sibling("host", SiblingLoad(9, 900, 9_000, 0.0), PROMPT.parts)
    before.load.note_failure(0.0)
    publish(directory, 0.1, make_entry(2_000, cold_s=2.0))
    load = directory.endpoints["e1"].load
    assert load.count_ready(PROMPT, 60.0) == 0
    assert load.count_unread(PROMPT) == PROMPT.tokens_in
    assert (load.sum_all(0.1).running, load.backlog(0.1), load.failures(0.1)) == (0, 0.0, 0.0)
    assert directory.endpoints["e1"].is_cold(1.0)
    # The request of the life before ends only now, and takes nothing from the new one.
    before.load.end(1)
    assert load.sum_own().running == 0


def test_an_endpoint_that_has_said_it_leaves_stays_left_whatever_its_entry_says():
    """Guards against an entry that is older than the word, or lapses and comes back with it."""
    directory = make_directory(make_entry(1_000))
    directory.note_statement("e1@1000", Statement(leaving=True))
    publish(directory, 1.0, make_entry(1_000))
    assert directory.list_usable("desk", 1.0) == []
    directory.apply([EndpointPublished("e1", None)], 2.0)
    assert directory.forget_missing(2.0 + MISSING_GRACE_S)
    publish(directory, 5.0, make_entry(1_000))
    assert directory.list_usable("desk", 5.0) == []


def test_an_endpoint_that_said_it_leaves_and_starts_again_is_used():
    """Guards against a word of one life that is held against the next."""
    directory = make_directory(make_entry(1_000))
    directory.note_statement("e1@1000", Statement(leaving=True))
    assert publish(directory, 5.0, make_entry(9_000)) == ["endpoint_reborn"]
    assert len(directory.list_usable("desk", 5.0)) == 1


def test_a_pause_that_an_endpoint_asked_for_outlives_its_entry():
    """Guards against entries that lapse while the store is away and bring a full endpoint back."""
    directory = make_directory(make_entry(1_000))
    directory.note_pause("e1@1000", 60.0, 1.0)
    directory.apply([EndpointPublished("e1", None)], 2.0)
    assert directory.forget_missing(2.0 + MISSING_GRACE_S)
    publish(directory, 5.0, make_entry(1_000))
    assert directory.get_pause_s(directory.endpoints["e1"], 5.0) == 56.0
    assert directory.get_pause_s(directory.endpoints["e1"], 61.0) == 0.0
    publish(directory, 10.0, make_entry(9_000))
    assert directory.get_pause_s(directory.endpoints["e1"], 10.0) == 0.0


def test_a_word_that_comes_before_the_entry_is_kept_for_it():
    """Guards against a host that has just started and hears of an endpoint before the store."""
    directory = make_directory()
    directory.note_statement("e1@1000", Statement(leaving=True))
    publish(directory, 1.0, make_entry(1_000))
    assert directory.list_usable("desk", 1.0) == []


def test_an_entry_of_the_life_before_that_comes_late_changes_nothing():
    """The dying process's last word, that it drains, reaches the store after the new one's first.

    Taken over, it took the new life out for good.
    """
    directory = make_directory(make_entry(1_000), make_entry(2_000))
    assert publish(directory, 1.0, make_entry(1_000, draining=True)) == []
    assert len(directory.list_usable("desk", 1.0)) == 1


def test_an_entry_of_a_life_that_is_gone_is_no_new_endpoint():
    directory = make_directory(make_entry(2_000))
    directory.apply([EndpointPublished("e1", None)], 1.0)
    directory.forget_missing(1.0 + MISSING_GRACE_S)
    assert publish(directory, 9.0, make_entry(1_000)) == []
    assert directory.endpoints == {}
    assert publish(directory, 9.0, make_entry(2_000)) == ["endpoint_new"]


def test_an_entry_without_its_start_is_not_read_where_the_endpoint_told_it_before():
    """Another writer leaves out the field: nothing says which life the entry is about."""
    directory = make_directory(make_entry(1_000))
    assert publish(directory, 1.0, make_entry(None)) == ["endpoint_unreadable"]
    assert directory.list_usable("desk", 1.0) == []
    assert publish(directory, 2.0, make_entry(1_000)) == ["endpoint_back"]


def test_endpoints_that_do_not_tell_their_start_are_known_by_their_id():
    """As before: each start has a new id there, and draining is for good."""
    directory = make_directory(make_entry(None, draining=True))
    assert publish(directory, 1.0, make_entry(None)) == []
    assert directory.list_usable("desk", 1.0) == []


def test_news_of_the_life_before_that_come_late_are_dropped():
    """A host tells what it has at an endpoint before it has heard that the endpoint started again.

    Taken over, the empty engine would seem to be busy and to hold the prompt.
    """
    own, other = (Member(n, 1, "d1", "north", f"{n}:80", f"{n}:81", True) for n in "ab")
    members = Members(own)
    members.apply_state(other, 0.0, True, 0.0)
    directory = make_directory(make_entry(2_000))
    exchange = EndpointLoadExchange(members, directory, lambda name, data: None)
    late = EndpointUse("e1", 5, 9_000, 9_050, (1,), (6_000,), 9_000, born_ms=1_000)
    exchange.receive(EndpointUses("b", (late,)), 0.0)
    load = directory.endpoints["e1"].load
    assert (load.sum_all(0.0).running, load.backlog(0.0)) == (0, 0.0)
    exchange.receive(EndpointUses("b", (late._replace(born_ms=2_000),)), 0.0)
    assert load.sum_all(0.0).running == 5


def test_an_endpoint_whose_address_another_one_has_gets_nothing_for_a_while():
    """Every request that is led there is answered by the other one, and has lost a try."""
    directory = make_directory(make_entry(1_000))
    directory.endpoints["e1"].misdirected_at = 1.0
    assert directory.list_usable("desk", 1.5) == []
    assert len(directory.list_usable("desk", 1.0 + MISDIRECTED_S)) == 1
    directory.endpoints["e1"].misdirected_at = 1.0
    publish(directory, 1.5, make_entry(1_000)._replace(address="10.0.0.9:80"))
    assert len(directory.list_usable("desk", 1.5)) == 1


class Lives(RuleBasedStateMachine):
    """Births, drains, ends, late and repeated entries, against a model of a few lines."""

    def __init__(self):
        super().__init__()
        self.directory = Directory(TOPOLOGY)
        self.now = 0.0
        self.written = []
        """All entries that were ever written; any of them may come again, late."""
        self.latest = None
        """The start of the last life that the host has heard of."""
        self.drained = set()
        """Lives that the host has heard draining."""
        self.gone_at = None
        self.requests = {}
        """Requests under way by number, with the load that counts them."""

    @rule(later=st.integers(1, 3), draining=st.booleans())
    def write(self, later, draining):
        start = (self.written[-1].started_ms if self.written else 1_000) + later
        self._hear(make_entry(start, draining=draining))

    @rule(pick=st.integers(0, 1_000), draining=st.booleans())
    def hear_again(self, pick, draining):
        if self.written:
            entry = self.written[pick % len(self.written)]
            self._hear(entry._replace(draining=entry.draining or draining))

    @rule()
    def remove(self):
        self.directory.apply([EndpointPublished("e1", None)], self.now)
        if "e1" in self.directory.endpoints and self.gone_at is None:
            self.gone_at = self.now

    @rule(seconds=st.floats(0.1, 3.0))
    def wait(self, seconds):
        self.now += seconds
        self.directory.forget_missing(self.now)

    @rule()
    def begin(self):
        for endpoint in self.directory.list_usable("desk", self.now):
            number = len(self.requests) + 1
            endpoint.load.begin(number, Work(9_000, 9_050), PROMPT, self.now)
            self.requests[number] = (endpoint.entry.started_ms, endpoint.load)

    @rule(number=st.integers(1, 5))
    def end(self, number):
        if number in self.requests:
            self.requests[number][1].end(number)

    def _hear(self, entry):
        self.written.append(entry)
        self.directory.apply([EndpointPublished("e1", entry)], self.now)
        if self.latest is not None and entry.started_ms < self.latest:
            return
        self.latest = entry.started_ms
        self.gone_at = None
        if entry.draining:
            self.drained.add(entry.started_ms)

    @invariant()
    def only_the_latest_life_is_known(self):
        endpoint = self.directory.endpoints.get("e1")
        if endpoint is not None:
            assert endpoint.entry.started_ms == self.latest

    @invariant()
    def it_is_used_while_it_is_there_and_does_not_drain(self):
        is_there = self.latest is not None and (
            self.gone_at is None or self.now - self.gone_at < MISSING_GRACE_S
        )
        wanted = is_there and self.latest not in self.drained
        assert bool(self.directory.list_usable("desk", self.now)) == wanted

    @invariant()
    def its_load_is_of_its_own_requests(self):
        for endpoint in self.directory.endpoints.values():
            load = endpoint.load
            own = {n for n, (_, counted) in self.requests.items() if counted is load}
            assert load.sum_own().running <= len(own)
            if not own:
                assert load.count_unread(PROMPT) == PROMPT.tokens_in


TestLives = Lives.TestCase
TestLives.settings = settings(max_examples=RUNS, stateful_step_count=30, deadline=None)
