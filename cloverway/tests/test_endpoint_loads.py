"""Exchange of endpoint loads between hosts; messages are captured, without a network."""

from __future__ import annotations

import asyncio

from cloverway.core.calls import Prompt, PromptSegment
from cloverway.core.deployment import EndpointEntry, EndpointPublished, Topology
from cloverway.core.endpoints import Directory
from cloverway.core.load import Work
from cloverway.core.members import SMALL_REGION_HOSTS, Member, Members
from cloverway.serving.hosts.endpoint_loads import MAX_IMMEDIATE_RECIPIENTS, EndpointLoadExchange
from cloverway.serving.hosts.messages import CODEC

TOPOLOGY = Topology("d1", "north", {"d1": "north"})
PROMPT = Prompt(9_000, 50, (PromptSegment(1, 6_000), PromptSegment(2, 3_000)))


def make_member(name):
    return Member(name, 1, "d1", "north", f"{name}:80", f"{name}:81", True)


class Side:
    """One host with the messages that it sent."""

    def __init__(self, name, others, rate=10.0):
        self.members = Members(make_member(name))
        for other in others:
            peer = self.members.apply_state(make_member(other), 0.0, True, 0.0)
            peer.request_rate = rate
        self.directory = Directory(TOPOLOGY)
        entry = EndpointEntry("e1", "model", "10.0.0.1:80", "d1", 64)
        idle = EndpointEntry("e2", "model", "10.0.0.2:80", "d1", 64)
        self.directory.apply([EndpointPublished(e.id, e) for e in (entry, idle)], 0.0)
        self.sent = []
        self.exchange = EndpointLoadExchange(self.members, self.directory, self._send)

    def _send(self, name, data):
        self.sent.append((name, CODEC.decode(data)))

    def load(self, name="e1"):
        return self.directory.endpoints[name].load

    def broadcast(self, is_refresh=False):
        self.exchange._broadcast(self.exchange._list_recipients(), is_refresh)
        sent, self.sent = self.sent, []
        return sent


def test_a_host_learns_the_load_of_another_host_at_an_endpoint():
    here, there = Side("a", ["b"]), Side("b", ["a"])
    here.load().begin(1, Work(9_000, 9_050), PROMPT, 0.0)
    [(name, message)] = here.broadcast()
    assert name == "b"
    there.exchange.receive(message, 0.0)
    assert there.load().sum_region_load(0.1).running == 1
    assert there.load().estimate_backlog(0.0) == 9_000
    assert there.load().count_uncached(PROMPT) == 0
    assert there.load("e2").estimate_backlog(0.0) == 0


def test_only_changes_are_broadcast_and_everything_periodically():
    """With complete lists, 28 hosts of a region used more traffic for them than for requests."""
    here = Side("a", ["b"])
    here.load().begin(1, Work(9_000, 9_050), PROMPT, 0.0)
    assert len(here.broadcast()) == 1
    assert here.broadcast() == []
    [(_, refresh)] = here.broadcast(is_refresh=True)
    assert refresh.uses[0].running == 1
    assert refresh.uses[0].read == 0
    here.load().end(1)
    [(_, last)] = here.broadcast()
    assert [use.running for use in last.uses] == [0]
    assert here.broadcast(is_refresh=True) == []


def test_in_a_large_region_only_hosts_that_serve_callers_receive_loads():
    """Callers are directed to the two hosts that rank first, and to others under load."""
    others = [f"h{number}" for number in range(SMALL_REGION_HOSTS + 4)]
    here = Side("a", others, rate=0.5)
    here.members.peers["h3"].request_rate = 40.0
    here.load().begin(1, Work(9_000, 9_050), PROMPT, 0.0)
    assert [name for name, _ in here.broadcast()] == ["h0", "h3"]


def test_the_broadcasts_of_one_prompt_are_bounded():
    """In a burst all hosts of a region serve callers, and each prompt is broadcast at once.

    The traffic then grows with the square of their number, just when they have the least to spare.
    So they all receive it with the next period, together with other prompts.
    """
    here = Side("a", [f"h{number}" for number in range(MAX_IMMEDIATE_RECIPIENTS + 1)])
    here.load().begin(1, Work(9_000, 9_050), PROMPT, 0.0)

    async def broadcast_twice():
        here.exchange.broadcast_at_once()
        here.exchange.broadcast_at_once()
        await asyncio.sleep(0)

    asyncio.run(broadcast_twice())
    assert here.sent == []
    assert len(here.broadcast()) == MAX_IMMEDIATE_RECIPIENTS + 1


def test_messages_of_an_unknown_host_are_dropped():
    here, unknown = Side("a", ["b"]), Side("c", ["a"])
    unknown.load().begin(1, Work(9_000, 9_050), PROMPT, 0.0)
    here.exchange.receive(unknown.broadcast()[0][1], 0.0)
    assert here.load().sum_region_load(0.1).running == 0
