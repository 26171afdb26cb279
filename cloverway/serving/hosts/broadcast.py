"""Broadcast of updates between hosts, with rebroadcast and state transfer to joining hosts.

Kinds of updates differ in their content and in how long they are rebroadcast. Recipients, delays
and periods are the same for all of them and are defined here.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Any, NamedTuple, Protocol, TypeVar

from cloverway.core.members import Members, rank_host
from cloverway.serving.clock import read_clock, wait_for_tick

BROADCAST_DELAY_S = 0.02
"""Delay before updates are sent, so that updates of the same moment share a message: all requests
that a crashed endpoint was running fail within it."""
REBROADCAST_PERIOD_S = 1.0
"""Period in which current updates are rebroadcast to a few hosts, since datagrams are lost and some
hosts cannot reach each other. Every host takes part, so all receive an update within a few
periods."""
REGION_FANOUT = 3
REMOTE_FANOUT = 2
"""Hosts of the region, and of other regions, that are sent each rebroadcast."""
REBROADCASTING_HOSTS = 8
"""Approximate number of hosts of a region that rebroadcast in each period, whatever its size.
Together they reach each host of a region of 24 once per period. One host in 40 misses the first
broadcast by a lost datagram; it is sent the update again for six periods. When every host
rebroadcast, each of 90 hosts received updates five times per second."""
REPLYING_HOSTS = 8
"""Approximate number of hosts of a region that say what they know better than a report, whatever
its size."""
BROADCAST_REGIONS = 8
"""Regions that are sent a broadcast directly; any others receive it from these and by
rebroadcast."""
HOSTS_PER_REMOTE_REGION = 2
"""Hosts of each of these regions that a broadcast is sent to."""
SYNC_SENDERS_PER_REGION = 2
"""Hosts of a region that send the state to a joining host: one more than needed without datagram
loss."""
SYNC_SENDER_REGIONS = 2
"""Regions whose hosts send the state besides those of the joining host's own region, which may have
been cut off together with it. When every host sent its state to each host that it heard again, this
was half of the traffic between the regions of 89 hosts."""

Item = TypeVar("Item")


class UpdateBatch(NamedTuple):
    """Encoded updates that were not broadcast yet."""

    region: Sequence[bytes] = ()
    """For all hosts of the region."""
    remote: Sequence[bytes] = ()
    """For some hosts of other regions."""


class UpdateSource(Protocol):
    """One kind of update."""

    message: type[Any]
    """The message type that carries it."""
    is_regional: bool
    """Whether it has no use in other regions."""
    schedule_broadcast: Callable[[float], None]
    """Set by the broadcaster: schedules a broadcast of the pending updates after a delay in
    seconds."""

    def receive(self, message: Any, is_remote: bool, now: float) -> None:
        """Apply a message of another host; `is_remote` tells whether that is in another region."""
        ...

    def take_pending(self, now: float) -> UpdateBatch:
        """Return the pending updates and clear them."""
        ...

    def list_for_rebroadcast(self, now: float) -> list[bytes]:
        """Return messages with the updates that are still rebroadcast."""
        ...

    def list_for_joining_host(self, now: float) -> list[bytes]:
        """Return messages with everything that a joining host must know."""
        ...


class UpdateBroadcaster:
    """Broadcasts updates of several kinds to the hosts that need them."""

    def __init__(self, members: Members, sources: Sequence[UpdateSource]) -> None:
        self._members = members
        self._sources = sources
        self._due_at = float("inf")
        self.send: Callable[[str, bytes], None] = lambda address, data: None
        """Sends a datagram to a host."""
        for source in sources:
            source.schedule_broadcast = self._schedule_broadcast

    def receive(self, message: Any, now: float) -> bool:
        """Apply a message of another host; return whether it is an update of a known kind."""
        source = next((s for s in self._sources if isinstance(message, s.message)), None)
        if source is None:
            return False
        source.receive(message, not self._is_same_region(message.host), now)
        return True

    async def run(self) -> None:
        """Rebroadcast current updates forever."""
        while True:
            await wait_for_tick(REBROADCAST_PERIOD_S)
            self.rebroadcast(read_clock())

    def rebroadcast(self, now: float) -> None:
        """Rebroadcast to a few hosts, if this host is among the rebroadcasting ones this time."""
        region_hosts = self._members.list_region()
        if not _is_among(REBROADCASTING_HOSTS, self._members):
            return
        other_hosts = [name for name in self._members.peers if name not in set(region_hosts)]
        local, remote = _sample(region_hosts, REGION_FANOUT), _sample(other_hosts, REMOTE_FANOUT)
        for source in self._sources:
            chosen = local if source.is_regional else [*local, *remote]
            self._send(chosen, source.list_for_rebroadcast(now))

    def sync_joining_host(self, name: str, now: float) -> None:
        """Send the state to a joining host, if this host is one of those that send it."""
        if self._is_sync_sender(name, now):
            self.send_full_state(name, now)

    def send_full_state(self, name: str, now: float) -> None:
        """Send a host all updates that it must know."""
        is_same_region = self._is_same_region(name)
        for source in self._sources:
            if is_same_region or not source.is_regional:
                self._send([name], source.list_for_joining_host(now))

    def _is_sync_sender(self, name: str, now: float) -> bool:
        """Return whether this host is one of the few that send their state to a joining host.

        Hosts may disagree on which of them are alive; then one sender more or fewer takes part.
        """
        own = self._members.own
        members = [other.member for other in self._members.list_alive(now)]
        regions = {own.region, *(member.region for member in members)}
        senders = sorted(regions, key=lambda region: rank_host(name, region))[:SYNC_SENDER_REGIONS]
        if own.region not in senders and not self._is_same_region(name):
            return False
        region_hosts = {member.name for member in members if member.region == own.region}
        ranked = sorted({own.name, *region_hosts} - {name}, key=lambda host: rank_host(name, host))
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
        region_hosts = self._members.list_region()
        for source in self._sources:
            batch = source.take_pending(now)
            self._send(region_hosts, batch.region)
            if batch.remote:
                self._send(list(self._choose_remote_hosts()), batch.remote)

    def _choose_remote_hosts(self) -> Iterable[str]:
        """Choose some hosts in each of some other regions."""
        regions: dict[str, list[str]] = {}
        for name, peer in self._members.peers.items():
            if peer.member.region != self._members.own.region:
                regions.setdefault(peer.member.region, []).append(name)
        for region in _sample(list(regions), BROADCAST_REGIONS):
            yield from _sample(regions[region], HOSTS_PER_REMOTE_REGION)

    def _send(self, names: Iterable[str], messages: Iterable[bytes]) -> None:
        messages = list(messages)
        for name in names:
            for message in messages:
                self.send(name, message)


def _sample(names: list[str], max_count: int) -> list[str]:
    return random.sample(names, min(max_count, len(names)))


def split_into_batches(items: Sequence[Item], size: int) -> Iterator[tuple[Item, ...]]:
    """Yield the items in order, at most `size` at a time: those of one message."""
    return (tuple(items[first : first + size]) for first in range(0, len(items), size))


def is_replying(members: Members) -> bool:
    """Return whether this host is among the few that reply to a report, chosen at random."""
    return _is_among(REPLYING_HOSTS, members)


def _is_among(count: int, members: Members) -> bool:
    """Return whether this host is among some number of hosts of its region, chosen at random."""
    return random.random() < count / (len(members.list_region()) + 1)
