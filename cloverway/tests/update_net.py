"""Hosts of some regions that exchange one kind of update, without a network."""

from __future__ import annotations

import itertools
from collections.abc import Callable

from cloverway.core.members import Member, Members
from cloverway.serving.hosts import broadcast
from cloverway.serving.hosts.broadcast import UpdateBroadcaster, UpdateSource
from cloverway.serving.hosts.messages import CODEC

PACKET_BYTES = 1_472
"""Payload of one datagram over Ethernet without fragmentation."""


class NetHost:
    """One host: what it knows of the others, its updates and their broadcast."""

    def __init__(self, net: UpdateNet, name: str) -> None:
        region = name[0]
        self.members = Members(Member(name, 1, region, region, name, name, True))
        self.exchange = net.make_exchange(self.members)
        self.broadcaster = UpdateBroadcaster(self.members, [self.exchange])
        self.broadcaster.send = lambda to, data: net.send(name, to, data)


class UpdateNet:
    """Hosts that know each other, with datagrams that may be lost between them.

    The first letter of a host's name is its region.
    """

    def __init__(self, make_exchange: Callable[[Members], UpdateSource], *names: str) -> None:
        self.make_exchange = make_exchange
        self.lost: Callable[[str, str], bool] = lambda sender, receiver: False
        self.sent: list[tuple[str, str, bytes]] = []
        self.hosts = {name: NetHost(self, name) for name in names}
        for host, other in itertools.permutations(self.hosts.values(), 2):
            host.members.apply_state(other.members.own, 0.0, True, broadcast.read_clock())

    def send(self, sender: str, receiver: str, data: bytes) -> None:
        self.sent.append((sender, receiver, data))
        if not self.lost(sender, receiver):
            is_remote = sender[0] != receiver[0]
            exchange = self.hosts[receiver].exchange
            exchange.receive(CODEC.decode(data), is_remote, broadcast.read_clock())
