"""How what one host has learnt reaches the others: at once, again for a while, and at their start.

Kinds of news differ in what they say and how long it is worth telling. Who is told, when and how
often is the same for all of them, and stands here.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable, Sequence
from typing import Any, NamedTuple, Protocol

from cloverway.core.members import Members, rank_host
from cloverway.serving.clock import read_clock, wait_for_tick

BROADCAST_DELAY_S = 0.02
"""How long news waits to be told, so that what is learnt in one moment is told together: all
requests that an endpoint took along break within it."""
REBROADCAST_PERIOD_S = 1.0
"""Period in which news is told again to a few hosts, since datagrams are lost and some hosts can't
reach each other. Each of them does the same, so all know within some periods."""
REGION_REBROADCAST_FANOUT = 3
REMOTE_REBROADCAST_FANOUT = 2
"""Hosts of the region, and of others, that are told again each time."""
REBROADCASTING_HOSTS = 8
"""Hosts of a region, about, that tell again in each period, whatever its size. Together they tell a
host of a region of 24 once a period: one that missed the first word by a lost datagram, as one in
40 does, hears it again for six periods. With each host telling, news went to each of 90 hosts five
times a second."""
REMOTE_REGION_FANOUT = 8
"""Regions that are told at once; more of them hear it from these and by what is told again."""
HOSTS_PER_REMOTE_REGION = 2
"""Hosts of each of these."""
SYNC_SENDERS_PER_REGION = 2
"""Hosts of a region that tell a newcomer: one more than is needed while all datagrams arrive."""
SYNC_SENDER_REGIONS = 2
"""Regions that tell it beside its own, which may have been cut off with it. When each host told
each other one that it heard again, half of all bytes between the regions of 89 hosts were these."""


class UpdateBatch(NamedTuple):
    """Messages that tell what was learnt just now."""

    near: Sequence[bytes] = ()
    """For all hosts of the region."""
    far: Sequence[bytes] = ()
    """For some hosts of other regions."""


class UpdateSource(Protocol):
    """One kind of news."""

    message: type[Any]
    """What it is told with."""
    is_regional: bool
    """Whether it is worth nothing in other regions."""
    schedule_broadcast: Callable[[float], None]
    """Set by the exchange: has what is fresh told after some seconds."""

    def receive(self, message: Any, is_remote: bool, now: float) -> None:
        """Take over what another host tells, one of another region or of this one."""
        ...

    def take_pending(self, now: float) -> UpdateBatch:
        """Give what wasn't told yet."""
        ...

    def list_for_rebroadcast(self, now: float) -> list[bytes]:
        """Give messages of what is still worth telling again."""
        ...

    def list_for_joining_host(self, now: float) -> list[bytes]:
        """Give messages of all that a host must know that was not there until now."""
        ...


class UpdateBroadcaster:
    """Tells the news of several kinds to the hosts that need them."""

    def __init__(self, members: Members, sources: Sequence[UpdateSource]) -> None:
        self._members = members
        self._sources = sources
        self._due_at = float("inf")
        self.send: Callable[[str, bytes], None] = lambda address, data: None
        """Sends a datagram to a host."""
        for source in sources:
            source.schedule_broadcast = self._schedule_broadcast

    def receive(self, message: Any, now: float) -> bool:
        """Take over what another host tells; tell whether it is a kind of news."""
        source = next((s for s in self._sources if isinstance(message, s.message)), None)
        if source is None:
            return False
        source.receive(message, not self._is_same_region(message.host), now)
        return True

    async def run(self) -> None:
        """Tell what was learnt lately again, for ever."""
        while True:
            await wait_for_tick(REBROADCAST_PERIOD_S)
            self.rebroadcast(read_clock())

    def rebroadcast(self, now: float) -> None:
        """Tell a few hosts again, if it is this host's turn."""
        near = self._members.list_region()
        if random.random() >= REBROADCASTING_HOSTS / (len(near) + 1):
            return
        far = [name for name in self._members.peers if name not in set(near)]
        near_chosen, far_chosen = _sample(near, REGION_REBROADCAST_FANOUT), _sample(
            far, REMOTE_REBROADCAST_FANOUT
        )
        for source in self._sources:
            chosen = near_chosen if source.is_regional else [*near_chosen, *far_chosen]
            self._send(chosen, source.list_for_rebroadcast(now))

    def sync_joining_host(self, name: str, now: float) -> None:
        """Tell a host that was not there until now what it may have missed, if that falls to us."""
        if self._is_sync_sender(name, now):
            self.send_full_state(name, now)

    def send_full_state(self, name: str, now: float) -> None:
        """Tell a host all that it must know."""
        is_near = self._is_same_region(name)
        for source in self._sources:
            if is_near or not source.is_regional:
                self._send([name], source.list_for_joining_host(now))

    def _is_sync_sender(self, name: str, now: float) -> bool:
        """Tell whether this host is one of the few that tell another one what it has missed.

        Hosts that see others of them alive may disagree: then one more tells it, or one less.
        """
        own = self._members.own
        members = [other.member for other in self._members.list_alive(now)]
        regions = {own.region, *(member.region for member in members)}
        telling = sorted(regions, key=lambda region: rank_host(name, region))[:SYNC_SENDER_REGIONS]
        if own.region not in telling and not self._is_same_region(name):
            return False
        near = {member.name for member in members if member.region == own.region}
        ranked = sorted({own.name, *near} - {name}, key=lambda host: rank_host(name, host))
        return own.name in ranked[:SYNC_SENDERS_PER_REGION]

    def _is_same_region(self, name: str) -> bool:
        peer = self._members.peers.get(name)
        return peer is not None and peer.member.region == self._members.own.region

    def _schedule_broadcast(self, delay_s: float = BROADCAST_DELAY_S) -> None:
        due_at = read_clock() + delay_s
        if due_at < self._due_at:
            self._due_at = due_at
            asyncio.get_running_loop().call_later(delay_s, self._broadcast_pending)

    def _broadcast_pending(self) -> None:
        self._due_at = float("inf")
        now = read_clock()
        near = self._members.list_region()
        for source in self._sources:
            fresh = source.take_pending(now)
            self._send(near, fresh.near)
            if fresh.far:
                self._send(list(self._choose_remote_hosts()), fresh.far)

    def _choose_remote_hosts(self) -> Iterable[str]:
        """Choose some hosts in each of some other regions."""
        regions: dict[str, list[str]] = {}
        for name, peer in self._members.peers.items():
            if peer.member.region != self._members.own.region:
                regions.setdefault(peer.member.region, []).append(name)
        for region in _sample(list(regions), REMOTE_REGION_FANOUT):
            yield from _sample(regions[region], HOSTS_PER_REMOTE_REGION)

    def _send(self, names: Iterable[str], messages: Iterable[bytes]) -> None:
        messages = list(messages)
        for name in names:
            for message in messages:
                self.send(name, message)


def _sample(names: list[str], most: int) -> list[str]:
    return random.sample(names, min(most, len(names)))
