"""Exchange of suspected requests in progress; messages are captured, without a network."""

from __future__ import annotations

import asyncio
from collections import Counter
from types import SimpleNamespace

from cloverway.core.bad_parts import PartSuspects
from cloverway.core.members import Member, Members
from cloverway.core.prediction import Candidate, RoutedCall
from cloverway.core.quarantine import Crash, Quarantine, QuarantineSettings
from cloverway.serving.clock import read_clock
from cloverway.serving.hosts.broadcast import UpdateBroadcaster
from cloverway.serving.hosts.messages import CODEC
from cloverway.serving.hosts.suspects import MAX_SUSPECTS_PER_MESSAGE, SuspectTracker

SUSPECT, OTHER, INNOCENT = 1, 2, 3
NOW = read_clock()
LEFT_S = 3_600.0
"""Far more than the tests take from here, since messages are sent by the real clock."""


class RecordingHost:
    """One host with the messages that it sent."""

    def __init__(self, name, other):
        self.members = Members(_make_member(name))
        self.members.apply_state(_make_member(other), 0.0, True, 0.0)
        self.quarantine = Quarantine(QuarantineSettings())
        for number, digests in enumerate(((SUSPECT, OTHER), (SUSPECT,), (OTHER,))):
            self.quarantine.record_crash(Crash(f"gone-{number}", digests, NOW))
        self.tracker = SuspectTracker(name, self.quarantine, PartSuspects(1800.0))
        self.broadcaster = UpdateBroadcaster(self.members, [self.tracker])
        self.broadcaster.send = lambda name, data: self.sent.append(CODEC.decode(data))
        self.sent = []

    def begin(self, number, digest, incarnation="e1"):
        self.tracker.begin(number, route_call(digest), incarnation, NOW + LEFT_S, NOW)

    def choose(self, digest):
        candidates = [make_candidate(incarnation) for incarnation in ("e1", "e2")]
        weighed = self.tracker.weigh_candidates(route_call(digest), candidates, NOW)
        return {c.endpoint.entry.incarnation: round(c.cost_s, 3) for c in weighed}


def _make_member(name):
    return Member(name, 1, "d1", "north", f"{name}:80", f"{name}:81", True)


def route_call(digest):
    return RoutedCall(SimpleNamespace(id="r"), None, None, Counter(), digest)


def make_candidate(incarnation):
    endpoint = SimpleNamespace(entry=SimpleNamespace(incarnation=incarnation))
    return Candidate(endpoint, 0.0, 0.0, None, False)


def test_a_suspect_is_isolated_from_the_suspects_of_other_hosts():
    """Guards against suspects of two hosts at one endpoint, whose crash would identify neither."""

    async def scenario():
        here, there = RecordingHost("a", "b"), RecordingHost("b", "a")
        here.begin(7, SUSPECT)
        await asyncio.sleep(0.02)
        [report] = here.sent
        there.tracker.receive(report, False, NOW)
        assert there.choose(OTHER).keys() == {"e2"}
        assert there.choose(SUSPECT) == {}, "a suspect runs only once at a time"
        assert there.choose(INNOCENT)["e1"] > there.choose(INNOCENT)["e2"] == 0.0
        here.tracker.end(7)
        await asyncio.sleep(0.02)
        there.tracker.receive(here.sent[-1], False, NOW)
        assert there.choose(OTHER).keys() == {"e1", "e2"}

    asyncio.run(scenario())


def test_a_request_that_is_not_suspected_is_not_broadcast():
    async def scenario():
        here = RecordingHost("a", "b")
        here.begin(7, INNOCENT)
        here.tracker.end(7)
        await asyncio.sleep(0.02)
        assert here.sent == []
        assert here.tracker.list_for_rebroadcast(NOW) == []

    asyncio.run(scenario())


def test_a_suspect_of_a_silent_host_is_forgotten_after_its_deadline():
    async def scenario():
        here, there = RecordingHost("a", "b"), RecordingHost("b", "a")
        here.begin(7, SUSPECT)
        there.tracker.receive(CODEC.decode(here.tracker.list_for_rebroadcast(NOW)[0]), False, NOW)
        assert there.choose(OTHER).keys() == {"e2"}
        candidates = [make_candidate("e1")]
        assert there.tracker.weigh_candidates(route_call(OTHER), candidates, NOW + 2 * LEFT_S)

    asyncio.run(scenario())


def test_a_message_with_many_suspects_fits_into_one_packet():
    async def scenario():
        here = RecordingHost("a", "b")
        for number in range(3 * MAX_SUSPECTS_PER_MESSAGE):
            here.begin(number, SUSPECT, f"engine-of-a-long-name-{number:03}@1760000000000")
        [message] = here.tracker.list_for_rebroadcast(NOW)
        assert len(message) <= 1_472

    asyncio.run(scenario())
