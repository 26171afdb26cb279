"""Exchange of endpoints' statements between hosts; messages are captured, without a network."""

from __future__ import annotations

import asyncio

from cloverway.core.deployment import EndpointEntry, EndpointPublished, Topology
from cloverway.core.endpoints import Directory
from cloverway.core.members import Member, Members
from cloverway.serving.hosts.broadcast import UpdateBroadcaster
from cloverway.serving.hosts.messages import CODEC
from cloverway.serving.hosts.statements import (
    ENDED_LIMIT_REBROADCAST_S,
    MAX_STATEMENTS_PER_MESSAGE,
    StatementExchange,
)
from cloverway.serving.ports import ReplyFacts
from cloverway.serving.telemetry import Metrics

INCARNATION, OTHER = "engine-1@7", "engine-2@7"


def make_member(name, region="north"):
    return Member(name, 1, "d1", region, f"{name}:80", f"{name}:81", True)


class RecordingHost:
    """One host with the messages that it sent."""

    def __init__(self, name, others=("b",), remote=()):
        self.members = Members(make_member(name))
        for other in others:
            self.members.apply_state(make_member(other), 0.0, True, 0.0)
        for other in remote:
            self.members.apply_state(make_member(other, "south"), 0.0, True, 0.0)
        self.directory = Directory(Topology("d1", "north", {"d1": "north"}))
        self.statements = self.directory.statements
        self.exchange = StatementExchange(name, self.directory, Metrics())
        self.broadcaster = UpdateBroadcaster(self.members, [self.exchange])
        self.broadcaster.send = lambda name, data: self.sent.append((name, CODEC.decode(data)))
        self.sent = []

    def publish(self, *incarnations):
        for incarnation in incarnations:
            name, _, started_ms = incarnation.partition("@")
            entry = EndpointEntry(name, "desk", "10.0.0.1:80", "d1", 8, started_ms=int(started_ms))
            self.directory.apply([EndpointPublished(name, entry)], 0.0)

    def answer(self, limit_per_s, now, incarnation=INCARNATION, *, leaving=False, is_signed=True):
        facts = ReplyFacts(
            not_run=False, is_signed=is_signed, limit_per_s=limit_per_s, leaving=leaving
        )
        self.exchange.record_answer(incarnation, facts, request_id="r", sent_at=now - 1, now=now)

    def take_sent(self):
        sent, self.sent = self.sent, []
        return sent


def run_scenario(scenario):
    asyncio.run(scenario())


def test_other_hosts_of_the_region_receive_a_limit_at_once():
    """Guards against hosts that each have to learn a limit from an answer of their own."""

    async def scenario():
        here, there = RecordingHost("a", ["b"], remote=["c"]), RecordingHost("b", ["a"])
        here.answer(2.5, 100.0)
        here.answer(2.5, 100.1)
        await asyncio.sleep(0.1)
        [(name, report)] = here.take_sent()
        assert name == "b"
        there.exchange.receive(report, False, 500.0)
        assert there.statements.get(INCARNATION).limit_per_s == 2.5
        await asyncio.sleep(0.1)
        assert there.sent == []

    run_scenario(scenario)


def test_a_limit_that_changes_with_each_answer_is_broadcast_a_few_times_per_second():
    """Guards against a broadcast to the hosts of the region for each answer."""

    async def scenario():
        here = RecordingHost("a")
        for number in range(40):
            here.answer(10.0 + number, 100.0 + number / 100)
            await asyncio.sleep(0.01)
        assert len(here.take_sent()) <= 4

    run_scenario(scenario)


def test_a_limit_ends_only_with_an_answer_to_a_later_request():
    """Guards against an old answer that overtakes a newer one and lifts a limit still in force."""

    async def scenario():
        here = RecordingHost("a")
        here.answer(1.0, 100.0)
        here.answer(None, 100.5)
        here.answer(None, 103.0, is_signed=False)
        assert here.statements.get(INCARNATION).limit_per_s == 1.0
        here.answer(None, 101.5)
        assert here.statements.get(INCARNATION).limit_per_s is None

    run_scenario(scenario)


def test_valid_limits_are_rebroadcast_and_ended_ones_for_a_while():
    """Guards against hosts that have just started, or lost the datagram, and never learn of it."""

    async def scenario():
        here = RecordingHost("a", ["b"])
        here.publish(INCARNATION, OTHER)
        here.answer(1.0, 100.0)
        here.answer(1.0, 100.0, OTHER)
        here.answer(None, 102.0, OTHER)
        await asyncio.sleep(0.1)
        here.take_sent()
        here.broadcaster.rebroadcast(101.0 + ENDED_LIMIT_REBROADCAST_S - 1)
        [(_, report)] = here.take_sent()
        assert {(s.life, s.limit_milli) for s in report.statements} == {
            (INCARNATION, 1000),
            (OTHER, -1),
        }
        here.broadcaster.rebroadcast(102.0 + ENDED_LIMIT_REBROADCAST_S + 1)
        [(_, report)] = here.take_sent()
        assert [s.life for s in report.statements] == [INCARNATION]

    run_scenario(scenario)


def test_each_message_fits_into_one_packet():
    async def scenario():
        here = RecordingHost("a", ["b"])
        for number in range(MAX_STATEMENTS_PER_MESSAGE + 5):
            here.answer(1.0, 100.0, f"engine-of-a-long-name-{number:03}@1760000000000")
        await asyncio.sleep(0.1)
        sizes = [len(CODEC.encode(report)) for _, report in here.take_sent()]
        assert len(sizes) == 2
        assert max(sizes) <= 1_450

    run_scenario(scenario)


def test_other_hosts_learn_that_an_endpoint_is_leaving_and_avoid_it():
    """Guards against hosts that send to a leaving endpoint until each has the announcement."""

    async def scenario():
        here, there = RecordingHost("a", ["b"]), RecordingHost("b", ["a"])
        there.publish(INCARNATION, OTHER)
        here.answer(None, 100.0, leaving=True)
        here.answer(None, 101.0)
        await asyncio.sleep(0.1)
        [(_, report)] = here.take_sent()
        there.exchange.receive(report, False, 500.0)
        [usable] = there.directory.list_usable("desk", 500.0)
        assert usable.entry.incarnation == OTHER

    run_scenario(scenario)


def test_statements_of_endpoints_that_are_gone_are_not_rebroadcast():
    """Guards against endless rebroadcasts about incarnations that ended long ago."""

    async def scenario():
        here = RecordingHost("a", ["b"])
        here.publish(INCARNATION)
        here.answer(None, 100.0, leaving=True)
        here.answer(None, 100.0, OTHER, leaving=True)
        await asyncio.sleep(0.1)
        here.take_sent()
        here.broadcaster.rebroadcast(300.0)
        [(_, report)] = here.take_sent()
        assert [(s.life, s.leaving, s.limit_milli) for s in report.statements] == [
            (INCARNATION, True, -1)
        ]

    run_scenario(scenario)
