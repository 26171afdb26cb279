from __future__ import annotations

import itertools
import os
from collections import Counter

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from cloverway.errors import Kind, Ran
from cloverway.once.keys import (
    Grant,
    Recorded,
    Settlement,
)
from cloverway.tests.ledgers import ANSWER, LIMITS, issue, make_claim, make_ledger, make_settle_call


class AtMostOnce(RuleBasedStateMachine):
    """Claimants that are killed, paused and late; messages lost, duplicated and out of order.

    `runs` counts the runs of each key, as its endpoint would; two runs of one key are the failure.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.names = itertools.count()
        self.incarnations = itertools.count()
        self.keys = []
        self.runs = Counter()
        self.grants = {}
        self.settled = []
        self.late_claims = []
        self.replace_issuer()

    def replace_issuer(self):
        name = f"i{next(self.incarnations)}"
        self.ledger = make_ledger(name, LIMITS._replace(keys=4), self.now)
        self.issue_key()

    def issue_key(self):
        self.keys.append(issue(self.ledger, self.now, next(self.names).to_bytes(12, "big")))

    @precondition(lambda self: len(self.keys) < 6)
    @rule(replace=st.booleans())
    def issue_or_replace(self, replace):
        if replace:
            self.replace_issuer()
        else:
            self.issue_key()

    @rule(
        data=st.data(),
        left_s=st.sampled_from([0.5, 5.0, 200.0]),
        fate=st.sampled_from(["arrives", "arrives", "arrives", "answer lost", "doubled", "late"]),
    )
    def claim(self, data, left_s, fate):
        key = data.draw(st.sampled_from(self.keys))
        call = make_claim(key, f"c{next(self.names)}", left_s=left_s)
        if fate != "arrives":
            self.late_claims.append((call, self.now))
        if fate != "late":
            self.deliver(call, self.now, lost=fate == "answer lost")

    @precondition(lambda self: self.late_claims)
    @rule(data=st.data())
    def deliver_late_claim(self, data):
        call, sent_at = data.draw(st.sampled_from(self.late_claims))
        self.deliver(call, sent_at, lost=False)

    def deliver(self, call, sent_at, lost):
        result = self.ledger.claim(call, self.now)
        if isinstance(result, Grant):
            # A late duplicate of a claim gets its grant again, but its claimant no longer waits.
            assert not self.runs[call.key] or call.claimant in self.grants
            if not lost and call.claimant not in self.grants:
                self.grants[call.claimant] = (call.key, sent_at + result.lifetime_s)
        elif isinstance(result, Recorded) or result.ran is Ran.YES:
            assert self.runs[call.key] == 1
        elif result.ran is Ran.NO and result.kind is not Kind.KEY_MISMATCH:
            assert not self.runs[call.key]

    @precondition(lambda self: any(self.grants.values()))
    @rule(data=st.data(), settlement=st.sampled_from(list(Settlement)), killed=st.booleans())
    def use_grant(self, data, settlement, killed):
        claimants = [name for name, grant in self.grants.items() if grant]
        claimant = data.draw(st.sampled_from(claimants))
        key, start_by = self.grants[claimant]
        self.grants[claimant] = None
        if self.now >= start_by:
            settlement = Settlement.NOT_RUN
        if settlement is not Settlement.NOT_RUN:
            self.runs[key] += 1
        if not killed:
            recorded = ANSWER if settlement is Settlement.DONE else None
            self.settled.append(make_settle_call(key, settlement, claimant, recorded))
            self.ledger.settle(self.settled[-1], self.now)

    @precondition(lambda self: self.settled)
    @rule(data=st.data())
    def deliver_late_settlement(self, data):
        self.ledger.settle(data.draw(st.sampled_from(self.settled)), self.now)

    @rule(seconds=st.sampled_from([0.001, 0.9, 6.0, 60.0, 100.0]))
    def pass_time(self, seconds):
        self.now += seconds

    @invariant()
    def no_key_runs_twice(self):
        assert all(count <= 1 for count in self.runs.values())

    @invariant()
    def the_table_is_bounded(self):
        assert len(self.ledger) <= 2
        assert 0 <= self.ledger.recorded_bytes <= LIMITS.recorded_bytes
        assert 0 <= self.ledger.outstanding <= len(self.ledger)


EXAMPLES = int(os.environ.get("CLOVERWAY_EXAMPLES", "100"))

TestAtMostOnce = AtMostOnce.TestCase
TestAtMostOnce.settings = settings(
    max_examples=EXAMPLES,
    stateful_step_count=25,
    deadline=None,
    derandomize=EXAMPLES <= 100,
    suppress_health_check=list(HealthCheck),
)
