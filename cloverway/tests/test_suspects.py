"""What hosts tell each other of suspects under way; messages are caught, no network."""

from __future__ import annotations

import asyncio
from collections import Counter
from types import SimpleNamespace

from cloverway.core.members import Member, Members
from cloverway.core.prediction import Candidate, Wanted
from cloverway.core.quarantine import Crash, Quarantine, QuarantineTerms
from cloverway.serving.clock import read_clock
from cloverway.serving.hosts.broadcast import UpdateBroadcaster
from cloverway.serving.hosts.messages import CODEC
from cloverway.serving.hosts.suspects import MAX_SUSPECTS_PER_MESSAGE, SuspectTracker

SUSPECT, OTHER, INNOCENT = 1, 2, 3
NOW = read_clock()
LEFT_S = 3_600.0
"""Far more than the tests take from here: what is told goes by the real clock."""


class Side:
    """One host with the messages that it sent."""

    def __init__(self, name, other):
        self.members = Members(_make_member(name))
        self.members.apply_state(_make_member(other), 0.0, True, 0.0)
        self.quarantine = Quarantine(QuarantineTerms())
        for number, digests in enumerate(((SUSPECT, OTHER), (SUSPECT,), (OTHER,))):
            self.quarantine.note_crash(Crash(f"gone-{number}", digests, NOW))
        self.watch = SuspectTracker(name, self.quarantine)
        self.news = UpdateBroadcaster(self.members, [self.watch])
        self.news.send = lambda name, data: self.sent.append(CODEC.decode(data))
        self.sent = []

    def begin(self, number, digest, life="e1"):
        self.watch.begin(number, want(digest), life, NOW + LEFT_S, NOW)

    def choose(self, digest):
        candidates = [make_candidate(life) for life in ("e1", "e2")]
        kept = self.watch.weigh_candidates(want(digest), candidates, NOW)
        return {c.endpoint.entry.incarnation: round(c.cost_s, 3) for c in kept}


def _make_member(name):
    return Member(name, 1, "d1", "north", f"{name}:80", f"{name}:81", True)


def want(digest):
    return Wanted(SimpleNamespace(id="r"), None, None, Counter(), digest)


def make_candidate(life):
    endpoint = SimpleNamespace(entry=SimpleNamespace(incarnation=life))
    return Candidate(endpoint, 0.0, 0.0, None, False)


def test_a_host_keeps_a_suspect_away_from_where_anothers_runs():
    """Guards against two hosts whose suspects meet, so that the next end names neither."""

    async def scenario():
        here, there = Side("a", "b"), Side("b", "a")
        here.begin(7, SUSPECT)
        await asyncio.sleep(0.02)
        [report] = here.sent
        there.watch.receive(report, False, NOW)
        assert there.choose(OTHER).keys() == {"e2"}
        assert there.choose(SUSPECT) == {}, "it runs once at a time"
        assert there.choose(INNOCENT)["e1"] > there.choose(INNOCENT)["e2"] == 0.0
        here.watch.end(7)
        await asyncio.sleep(0.02)
        there.watch.receive(here.sent[-1], False, NOW)
        assert there.choose(OTHER).keys() == {"e1", "e2"}

    asyncio.run(scenario())


def test_a_request_that_is_not_suspected_is_nobodys_news():
    async def scenario():
        here = Side("a", "b")
        here.begin(7, INNOCENT)
        here.watch.end(7)
        await asyncio.sleep(0.02)
        assert here.sent == []
        assert here.watch.list_for_rebroadcast(NOW) == []

    asyncio.run(scenario())


def test_a_suspect_of_a_host_that_says_nothing_more_is_forgotten_when_its_time_is_over():
    async def scenario():
        here, there = Side("a", "b"), Side("b", "a")
        here.begin(7, SUSPECT)
        there.watch.receive(CODEC.decode(here.watch.list_for_rebroadcast(NOW)[0]), False, NOW)
        assert there.choose(OTHER).keys() == {"e2"}
        candidates = [make_candidate("e1")]
        assert there.watch.weigh_candidates(want(OTHER), candidates, NOW + 2 * LEFT_S)

    asyncio.run(scenario())


def test_what_is_told_of_many_suspects_fits_into_one_packet():
    async def scenario():
        here = Side("a", "b")
        for number in range(3 * MAX_SUSPECTS_PER_MESSAGE):
            here.begin(number, SUSPECT, f"engine-of-a-long-name-{number:03}@1760000000000")
        [message] = here.watch.list_for_rebroadcast(NOW)
        assert len(message) <= 1_472

    asyncio.run(scenario())
