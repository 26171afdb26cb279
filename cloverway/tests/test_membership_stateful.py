"""Stateful tests of membership and the endpoint table under generated histories."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cloverway.membership.endpoint_table import MAX_LIST_LAG_S, EndpointTable, LoadReport
from cloverway.membership.heartbeats import Heartbeat
from cloverway.membership.membership import RETIREMENT_S, Membership, MergeResult

NAMES = ("h1", "h2", "h3")


SUSPECT_S = 2.0


class MembershipMachine(RuleBasedStateMachine):
    """Hosts send heartbeats, which the network delays, duplicates or drops."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.membership = Membership("me", 77, SUSPECT_S)
        self.membership.adopt(["me", *NAMES])
        self.current = {name: Heartbeat(name, 1, 1) for name in NAMES}
        self.sent: list[Heartbeat] = []
        self.left: set[tuple[str, int]] = set()
        self.seen_leaving: set[tuple[str, int]] = set()
        self.highest: dict[tuple[str, int], int] = {}
        self.received_at: dict[str, float] = {}

    @rule(name=st.sampled_from(NAMES), leave=st.booleans())
    def send(self, name, leave):
        heartbeat = self.current[name]
        heartbeat = heartbeat._replace(
            sequence=heartbeat.sequence + 1, leaving=heartbeat.leaving or leave
        )
        self.current[name] = heartbeat
        self.sent.append(heartbeat)

    @rule(name=st.sampled_from(NAMES))
    def replace(self, name):
        self.current[name] = Heartbeat(name, self.current[name].incarnation + 1, 1)

    @rule(pick=st.integers(0, 200), to=st.sampled_from([77, 77, 77, 76, 0]))
    def deliver(self, pick, to):
        if not self.sent:
            return
        heartbeat = self.sent[pick % len(self.sent)]
        key = (heartbeat.host, heartbeat.incarnation)
        before = self.membership._members[heartbeat.host]
        merged = self.membership.merge(heartbeat, to, self.now)
        if merged not in (MergeResult.CHANGED, MergeResult.UNCHANGED):
            assert self.membership._members[heartbeat.host] == before
            return
        assert to == 77
        if before and before.incarnation == heartbeat.incarnation:
            assert heartbeat.sequence > self.highest.get(key, 0)
        self.highest[key] = max(heartbeat.sequence, self.highest.get(key, 0))
        self.received_at[heartbeat.host] = self.now
        if heartbeat.leaving:
            self.seen_leaving.add(key)

    @rule(seconds=st.sampled_from([0.1, 1.0, 3.0, RETIREMENT_S + 1]))
    def pass_time(self, seconds):
        self.now += seconds

    @rule(seconds=st.sampled_from([1.0, 10.0]))
    def pause(self, seconds):
        live = set(self.membership.list_live(self.now))
        self.membership.resume(self.now, self.now + seconds)
        self.now += seconds
        assert set(self.membership.list_live(self.now)) == live

    @invariant()
    def leaving_is_never_reset(self):
        for name, state in self.membership.get_states("d", self.now).items():
            key = (name, int(state.incarnation, 16))
            assert state.leaving or key not in self.seen_leaving

    @invariant()
    def only_hosts_that_were_heard_are_live(self):
        assert set(self.membership.list_live(self.now)) <= set(self.received_at)

    @invariant()
    def memory_is_bounded(self):
        assert all(len(retired) <= 16 for retired in self.membership._retired.values())


MembershipMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=40)


TestMembership = MembershipMachine.TestCase


class EndpointTableMachine(RuleBasedStateMachine):
    """Two hosts read one endpoint that restarts and leaves; details arrive in any order."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.tables = [EndpointTable(4.0), EndpointTable(4.0)]
        for table in self.tables:
            table.adopt(["e"])
        self.number = 1
        self.current = LoadReport("i1", True, False, 0, 0, 8, ("m",))
        self.details: list = []
        self.known_leaving: list[set[str]] = [set(), set()]

    @rule()
    def leave(self):
        self.current = self.current._replace(leaving=True)

    @rule()
    def restart(self):
        self.number += 1
        self.current = LoadReport(f"i{self.number}", True, False, 0, 0, 8, ("m",))

    @rule(reader=st.integers(0, 1))
    def read(self, reader):
        self.tables[reader].apply_report("e", self.current, self.now)
        state = self.tables[reader].get_states(self.now)["e"]
        assert state.incarnation == self.current.incarnation
        assert state.leaving >= self.current.leaving

    @rule(reader=st.integers(0, 1))
    def send(self, reader):
        self.details.append((reader, self.tables[reader].list_details(["e"], self.now)))

    @rule(pick=st.integers(0, 50))
    def deliver(self, pick):
        if self.details:
            sender, details = self.details[pick % len(self.details)]
            self.tables[1 - sender].apply_details(details, self.now)

    @rule(reader=st.integers(0, 1), leaving=st.booleans())
    def apply_list(self, reader, leaving):
        self.tables[reader].apply_member_list({"e": leaving}, self.now)

    @rule(seconds=st.sampled_from([0.5, 3.0, MAX_LIST_LAG_S]))
    def pass_time(self, seconds):
        self.now += seconds

    @invariant()
    def leaving_is_never_reset(self):
        for table, left in zip(self.tables, self.known_leaving, strict=True):
            known = table._records["e"]
            if known.leaving_confirmed:
                left.add(known.state.incarnation)
            else:
                assert known.state.incarnation not in left


EndpointTableMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=30)


TestEndpointTable = EndpointTableMachine.TestCase
