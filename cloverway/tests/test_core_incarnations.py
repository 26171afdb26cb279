"""Endpoints that restart with the same id: the state of one incarnation is not that of the next.

No network. To run more random histories:

    LIVES_RUNS=2000 python -m pytest -o addopts= cloverway/tests/test_core_incarnations.py
"""

from __future__ import annotations

import os

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cloverway.core.calls import Prompt, PromptSegment
from cloverway.core.deployment import EndpointEntry, EndpointPublished, Topology
from cloverway.core.endpoint import MISDIRECTED_BACKOFF_S, MISSING_GRACE_S
from cloverway.core.endpoints import Directory
from cloverway.core.load import HostLoad, Work
from cloverway.core.members import Member, Members
from cloverway.core.statements import Statement
from cloverway.serving.hosts.endpoint_loads import EndpointLoadExchange
from cloverway.serving.hosts.messages import EndpointUse, EndpointUses

RUNS = int(os.environ.get("LIVES_RUNS", "60"))
TOPOLOGY = Topology("d1", "north", {"d1": "north", "d2": "south"})
PROMPT = Prompt(9_000, 50, (PromptSegment(1, 6_000), PromptSegment(2, 3_000)))


def make_entry(started_ms, name="e1", **fields):
    return EndpointEntry(name, "desk", "10.0.0.1:80", "d1", 6, started_ms=started_ms, **fields)


def make_directory(*entries):
    directory = Directory(TOPOLOGY)
    publish(directory, 0.0, *entries)
    return directory


def publish(directory, now, *entries):
    changes = directory.apply([EndpointPublished(entry.id, entry) for entry in entries], now)
    return [change.what for change in changes]


def test_a_drained_endpoint_that_restarts_with_its_id_is_used():
    """During a software update the endpoint drains, exits and restarts with the same id.

    Draining was kept across incarnations, so the endpoint was not used until the host restarted.
    """
    directory = make_directory(make_entry(1_000, draining=True, removal_in_s=1.0))
    assert directory.list_usable("desk", 0.0) == []
    assert publish(directory, 5.0, make_entry(9_000)) == ["endpoint_reborn"]
    assert len(directory.list_usable("desk", 5.0)) == 1


def test_an_incarnation_whose_version_becomes_known_had_no_other_one():
    """Guards against a restart after which no host can show for 30 s that one version serves."""
    directory = make_directory(make_entry(1_000, version="v1"))
    for now in range(100):
        directory.versions.update(float(now), float(now))
    directory.record_restart("e1", 2_000, 99.0)
    assert directory.find_only_version("desk", 30.0, 99.1) is None
    publish(directory, 99.5, make_entry(2_000, version="v1"))
    assert directory.find_only_version("desk", 30.0, 99.6) == "v1"
    directory.record_restart("e1", 3_000, 99.7)
    publish(directory, 99.8, make_entry(4_000, version="v1"))
    assert directory.find_only_version("desk", 30.0, 99.9) is None


def test_a_restarted_endpoint_has_an_empty_cache_and_no_load():
    """An endpoint crashed with a long prompt in its cache; others were to fetch that from it.

    The fetches found nothing, the others prefilled the whole prompt, and the load of the previous
    incarnation kept requests away.
    """
    directory = make_directory(make_entry(1_000))
    before = directory.endpoints["e1"]
    before.load.begin(1, Work(9_000, 9_050), PROMPT, 0.0)
    before.load.record_host_load("host", HostLoad(9, 900, 9_000, 0.0), PROMPT.segments)
    before.load.record_failure(0.0)
    publish(directory, 0.1, make_entry(2_000, cold_s=2.0))
    load = directory.endpoints["e1"].load
    assert load.count_ready(PROMPT, 60.0) == 0
    assert load.count_uncached(PROMPT) == PROMPT.input_tokens
    assert (
        load.sum_region_load(0.1).running,
        load.estimate_backlog(0.1),
        load.count_failures(0.1),
    ) == (
        0,
        0.0,
        0.0,
    )
    assert directory.endpoints["e1"].is_cold(1.0)
    # A request of the previous incarnation ends only now and must not change the new load.
    before.load.end(1)
    assert load.get_own_load().running == 0


def test_an_announced_leave_is_final_whatever_the_entry_says():
    """Guards against entries older than the statement, and entries that expire and return."""
    directory = make_directory(make_entry(1_000))
    directory.record_statement("e1@1000", Statement(leaving=True))
    publish(directory, 1.0, make_entry(1_000))
    assert directory.list_usable("desk", 1.0) == []
    directory.apply([EndpointPublished("e1", None)], 2.0)
    assert directory.forget_missing(2.0 + MISSING_GRACE_S)
    publish(directory, 5.0, make_entry(1_000))
    assert directory.list_usable("desk", 5.0) == []


def test_an_endpoint_that_announced_its_leave_and_restarts_is_used():
    """Guards against applying the statement of one incarnation to the next."""
    directory = make_directory(make_entry(1_000))
    directory.record_statement("e1@1000", Statement(leaving=True))
    assert publish(directory, 5.0, make_entry(9_000)) == ["endpoint_reborn"]
    assert len(directory.list_usable("desk", 5.0)) == 1


def test_a_requested_pause_outlives_the_entry():
    """Guards against entries that expire with the store and return without the pause."""
    directory = make_directory(make_entry(1_000))
    directory.record_pause("e1@1000", 60.0, 1.0)
    directory.apply([EndpointPublished("e1", None)], 2.0)
    assert directory.forget_missing(2.0 + MISSING_GRACE_S)
    publish(directory, 5.0, make_entry(1_000))
    assert directory.get_pause_s(directory.endpoints["e1"], 5.0) == 56.0
    assert directory.get_pause_s(directory.endpoints["e1"], 61.0) == 0.0
    publish(directory, 10.0, make_entry(9_000))
    assert directory.get_pause_s(directory.endpoints["e1"], 10.0) == 0.0


def test_a_statement_that_arrives_before_the_entry_is_kept():
    """A recently started host can receive a statement before it has read the store."""
    directory = make_directory()
    directory.record_statement("e1@1000", Statement(leaving=True))
    publish(directory, 1.0, make_entry(1_000))
    assert directory.list_usable("desk", 1.0) == []


def test_a_late_entry_of_the_previous_incarnation_changes_nothing():
    """The last entry of the exiting process, draining, is written after the first of the new one.

    When it was applied, the new incarnation was not used any more.
    """
    directory = make_directory(make_entry(1_000), make_entry(2_000))
    assert publish(directory, 1.0, make_entry(1_000, draining=True)) == []
    assert len(directory.list_usable("desk", 1.0)) == 1


def test_an_entry_of_a_removed_incarnation_is_not_a_new_endpoint():
    directory = make_directory(make_entry(2_000))
    directory.apply([EndpointPublished("e1", None)], 1.0)
    directory.forget_missing(1.0 + MISSING_GRACE_S)
    assert publish(directory, 9.0, make_entry(1_000)) == []
    assert directory.endpoints == {}
    assert publish(directory, 9.0, make_entry(2_000)) == ["endpoint_new"]


def test_an_entry_that_lost_its_start_time_is_rejected():
    """Another writer omits the field, so the incarnation of the entry is unknown."""
    directory = make_directory(make_entry(1_000))
    assert publish(directory, 1.0, make_entry(None)) == ["endpoint_unreadable"]
    assert directory.list_usable("desk", 1.0) == []
    assert publish(directory, 2.0, make_entry(1_000)) == ["endpoint_back"]


def test_endpoints_without_start_times_are_identified_by_id():
    """Each start of such an endpoint has a new id, and draining is final."""
    directory = make_directory(make_entry(None, draining=True))
    assert publish(directory, 1.0, make_entry(None)) == []
    assert directory.list_usable("desk", 1.0) == []


def test_late_load_reports_of_the_previous_incarnation_are_dropped():
    """A host reports its load at an endpoint before it knows that the endpoint has restarted.

    If it were applied, the idle engine would seem busy and to have the prompt cached.
    """
    own, other = (Member(n, 1, "d1", "north", f"{n}:80", f"{n}:81", True) for n in "ab")
    members = Members(own)
    members.apply_state(other, 0.0, True, 0.0)
    directory = make_directory(make_entry(2_000))
    exchange = EndpointLoadExchange(members, directory, lambda name, data: None)
    late = EndpointUse("e1", 5, 9_000, 9_050, (1,), (6_000,), 9_000, born_ms=1_000)
    exchange.receive(EndpointUses("b", (late,)), 0.0)
    load = directory.endpoints["e1"].load
    assert (load.sum_region_load(0.0).running, load.estimate_backlog(0.0)) == (0, 0.0)
    exchange.receive(EndpointUses("b", (late._replace(born_ms=2_000),)), 0.0)
    assert load.sum_region_load(0.0).running == 5


def test_a_misdirected_endpoint_gets_no_requests_for_a_while():
    """Another endpoint answers at its address: each request sent there wastes an attempt."""
    directory = make_directory(make_entry(1_000))
    directory.endpoints["e1"].misdirected_at = 1.0
    assert directory.list_usable("desk", 1.5) == []
    assert len(directory.list_usable("desk", 1.0 + MISDIRECTED_BACKOFF_S)) == 1
    directory.endpoints["e1"].misdirected_at = 1.0
    publish(directory, 1.5, make_entry(1_000)._replace(address="10.0.0.9:80"))
    assert len(directory.list_usable("desk", 1.5)) == 1


class Incarnations(RuleBasedStateMachine):
    """Check starts, drains, exits, late and repeated entries against a small model."""

    def __init__(self):
        super().__init__()
        self.directory = Directory(TOPOLOGY)
        self.now = 0.0
        self.written = []
        """All entries written so far; any of them may be received again, late."""
        self.latest_start = None
        """Start time of the latest incarnation that the host knows."""
        self.drained = set()
        """Start times of the incarnations that the host has seen draining."""
        self.gone_at = None
        self.requests = {}
        """Running requests by number, with the load that counts them."""

    @rule(later=st.integers(1, 3), draining=st.booleans())
    def write(self, later, draining):
        start = (self.written[-1].started_ms if self.written else 1_000) + later
        self._receive(make_entry(start, draining=draining))

    @rule(pick=st.integers(0, 1_000), draining=st.booleans())
    def receive_late(self, pick, draining):
        if self.written:
            entry = self.written[pick % len(self.written)]
            self._receive(entry._replace(draining=entry.draining or draining))

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

    def _receive(self, entry):
        self.written.append(entry)
        self.directory.apply([EndpointPublished("e1", entry)], self.now)
        if self.latest_start is not None and entry.started_ms < self.latest_start:
            return
        self.latest_start = entry.started_ms
        self.gone_at = None
        if entry.draining:
            self.drained.add(entry.started_ms)

    @invariant()
    def only_the_latest_incarnation_is_known(self):
        endpoint = self.directory.endpoints.get("e1")
        if endpoint is not None:
            assert endpoint.entry.started_ms == self.latest_start

    @invariant()
    def endpoint_is_used_while_present_and_not_draining(self):
        is_present = self.latest_start is not None and (
            self.gone_at is None or self.now - self.gone_at < MISSING_GRACE_S
        )
        expected = is_present and self.latest_start not in self.drained
        assert bool(self.directory.list_usable("desk", self.now)) == expected

    @invariant()
    def load_counts_only_requests_of_the_incarnation(self):
        for endpoint in self.directory.endpoints.values():
            load = endpoint.load
            own = {n for n, (_, counted) in self.requests.items() if counted is load}
            assert load.get_own_load().running <= len(own)
            if not own:
                assert load.count_uncached(PROMPT) == PROMPT.input_tokens


TestIncarnations = Incarnations.TestCase
TestIncarnations.settings = settings(max_examples=RUNS, stateful_step_count=30, deadline=None)
