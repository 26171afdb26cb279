"""Heartbeats between hosts: liveness, the state of other hosts and the capacity of regions."""

from __future__ import annotations

import asyncio
import logging
import random
import socket
from collections.abc import Callable
from typing import cast

from cloverway.addresses import format_address, split_address
from cloverway.core.deployment import StorePosition
from cloverway.core.endpoints import Directory
from cloverway.core.known_hosts import HostCounts
from cloverway.core.members import ACTIVE_REQUESTS_PER_S, Member, Members, Peer
from cloverway.errors import PeerError
from cloverway.serving.clock import read_clock, wait_for_tick
from cloverway.serving.documents.catalogue import Catalogue
from cloverway.serving.documents.sync import DocumentSync
from cloverway.serving.early_sockets import SYNC_REQUEST
from cloverway.serving.hosts.broadcast import UpdateBroadcaster
from cloverway.serving.hosts.endpoint_loads import EndpointLoadExchange
from cloverway.serving.hosts.messages import (
    CODEC,
    EndpointUses,
    Heartbeat,
    HostState,
    RegionOffer,
    StreamQuery,
    StreamReply,
    StreamsBegun,
)
from cloverway.serving.hosts.region_capacity import decode_region_offer, list_region_capacity
from cloverway.serving.hosts.stream_origins import StreamOriginExchange
from cloverway.serving.telemetry import Metrics, log_event

log = logging.getLogger(__name__)

TICK_S = 0.2
"""Interval of the send loop, half of the shortest heartbeat period."""
REGION_PERIOD_S = 0.4
"""Period of heartbeats in a small region. A host counts as silent after four missed heartbeats."""
REGION_PERIOD_HOSTS = 8
"""Size of a region up to which REGION_PERIOD_S applies; in larger regions the period grows with the
number of hosts. In a region of up to 20 hosts, a host thus sends at most 20 heartbeats per
second."""
MAX_REGION_PERIOD_S = 1.0
"""Upper bound of that period; here a host counts as silent after fewer than four missed
heartbeats."""
IDLE_HEARTBEATS_RECEIVED_PER_S = 20
"""Heartbeats per second that a host receives from idle hosts of its region, i.e. hosts that neither
serve callers nor read the store. Their period grows with the region to stay within this rate. In a
region of 65 hosts each host received 64 heartbeats per second just to know that the others were
alive; with this rate it receives about 27."""
MAX_IDLE_PERIOD_S = 3.2
"""Upper bound of the period of idle hosts."""
RECENTLY_STARTED_S = 5.0
"""Time after its start during which an idle host keeps the shorter period, so that all hosts of its
region receive it."""
RELAY_FANOUT = 3
"""Hosts of the region that are sent the states of further hosts each second, or with each heartbeat
by hosts with a longer period. All hosts of a region send heartbeats to each other, so this only
repairs lost ones."""
REMOTE_PERIOD_S = 1.0
"""Period of heartbeats to other regions. Traffic between regions is expensive, so they carry only
aggregates."""
HOSTS_PER_REMOTE_REGION = 2
"""Hosts of each other region that receive them; these relay them to the hosts of their region."""
IDLE_REMOTE_HEARTBEATS_PER_S = 4.0
"""Rate of heartbeats to each other region from all hosts of this region that serve no callers,
taken together. They only show that these hosts are alive. When each of 89 hosts sent four per
second, they made up half of the traffic between regions on a calm day."""
MAX_RELAYED_HOSTS = 8
"""Maximum number of hosts described in a heartbeat, besides its sender."""
HOSTS_PER_RELAYED_HOST = 8
"""Hosts of the fleet per relayed host: in a small fleet hosts receive each other directly often
enough."""
SEED_CONTACT_S = 2.0
"""Time after its start during which a host sends to its seeds on every tick. Hosts that start at
the same moment miss each other's first heartbeat. With one per second they discovered each other
only after 0.5 to 1.5 s, and until then each of them used the engines as if it were alone."""
MAX_SYNC_HOSTS = 40
"""Maximum number of hosts described to a joining host at once: 6 KB."""


class Gossip(asyncio.DatagramProtocol):
    """Sends and receives heartbeats, and passes other datagrams to their receivers."""

    def __init__(
        self,
        members: Members,
        directory: Directory,
        catalogue: Catalogue,
        sync: DocumentSync,
        metrics: Metrics,
        *,
        broadcaster: UpdateBroadcaster,
        stream_origins: StreamOriginExchange,
        seeds: tuple[str, ...],
    ) -> None:
        self.members = members
        self.directory = directory
        self.catalogue = catalogue
        self.sync = sync
        self.metrics = metrics
        self.seeds = seeds
        self._transport: asyncio.DatagramTransport
        self.endpoint_loads = EndpointLoadExchange(members, directory, self._send)
        self.broadcaster = broadcaster
        broadcaster.send = self._send
        self.stream_origins = stream_origins
        stream_origins.send = self._send
        self.get_queued_work_s: Callable[[str], float] = lambda service: 0.0
        """Returns the work of the requests queued here for a service, in seconds."""
        self.on_first_contact: Callable[[], None] = lambda: None
        """Called when the first heartbeat of another host arrives."""
        self._had_first_contact = False
        self._alive_names: set[str] = set()
        self._started_at = read_clock()
        self._requested_state_at = 0.0
        self._idle_remote_at = 0.0
        self._period_s = REGION_PERIOD_S

    async def start(self, address: str, bound_socket: socket.socket | None = None) -> None:
        """Bind the address for heartbeats; raise OSError.

        `bound_socket` is used if it is bound to the address already.
        """
        loop = asyncio.get_running_loop()
        if bound_socket is not None and format_address(bound_socket.getsockname()) == address:
            await loop.create_datagram_endpoint(lambda: self, sock=bound_socket)
            return
        await loop.create_datagram_endpoint(lambda: self, local_addr=split_address(address))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a heartbeat, a join request or an update of another host."""
        if data == SYNC_REQUEST:
            self._answer_join_request(format_address(addr), read_clock())
            return
        try:
            message = CODEC.decode(data)
        except PeerError as error:
            log.warning("a datagram could not be decoded", extra={"why": str(error)})
            return
        now = read_clock()
        if isinstance(message, Heartbeat):
            self._receive_heartbeat(message, format_address(addr), now)
        elif isinstance(message, EndpointUses):
            self.endpoint_loads.receive(message, now)
        elif isinstance(message, StreamsBegun | StreamQuery | StreamReply):
            self.stream_origins.receive(message, format_address(addr), now)
        else:
            self.broadcaster.receive(message, now)

    def error_received(self, exc: Exception) -> None:
        """Log an undelivered datagram; missing heartbeats show which hosts are down."""
        log.debug("a datagram was not delivered", extra={"why": str(exc)})

    async def run(self) -> None:
        """Send heartbeats forever."""
        region_due_at = remote_due_at = relay_due_at = 0.0
        while True:
            now = read_clock()
            if now >= region_due_at:
                self._period_s = self._choose_period(now)
                region_due_at = now + self._period_s - TICK_S / 2
                self._send_to_region(now)
                self._update_alive_hosts(now)
            if now >= relay_due_at:
                relay_due_at = now + max(REMOTE_PERIOD_S, self._period_s) - TICK_S / 2
                self._relay_host_states(now)
            if now >= remote_due_at:
                remote_due_at = now + REMOTE_PERIOD_S
                self._send_to_remote_regions(now)
                self._send_seeds(now)
                self.members.forget(now)
                self._update_alive_hosts(now)
                if self._choose_period(now) < self._period_s:
                    # This host has begun to serve callers. Until the others know, they don't send
                    # it their loads, and it would place requests by outdated ones.
                    region_due_at = now
            elif now - self._started_at < SEED_CONTACT_S:
                self._send_seeds(now)
            await wait_for_tick(TICK_S)

    def announce(self) -> None:
        """Send the changed state of this host to all hosts at once."""
        now = read_clock()
        self._send_to_region(now)
        self._send_to_remote_regions(now)

    def announce_documents(self) -> None:
        """Tell the hosts of the failure domain at once that this host has newer documents."""
        data = self._encode(read_clock(), (), ())
        for peer in self.members.peers.values():
            if peer.member.domain == self.members.own.domain:
                self._send(peer.member.name, data)

    # Sending

    def _choose_period(self, now: float) -> float:
        """Return the time between two heartbeats to the hosts of the region."""
        hosts = len(self.members.list_region())
        period_s = min(MAX_REGION_PERIOD_S, REGION_PERIOD_S * max(1.0, hosts / REGION_PERIOD_HOSTS))
        if now - self._started_at < RECENTLY_STARTED_S or self._is_depended_on(now):
            return period_s
        return max(period_s, min(MAX_IDLE_PERIOD_S, hosts / IDLE_HEARTBEATS_RECEIVED_PER_S))

    def _is_depended_on(self, now: float) -> bool:
        """Return whether other hosts depend on a recent heartbeat of this one."""
        return self.members.is_serving(now) or self.catalogue.is_reader(now)

    def _send_to_region(self, now: float) -> None:
        region_hosts = self.members.list_region()
        if region_hosts:
            data = self._encode(now, (), ())
            for name in region_hosts:
                self._send(name, data)

    def _relay_host_states(self, now: float) -> None:
        region_hosts = self.members.list_region()
        if region_hosts:
            data = self._encode(now, self._list_relayed_hosts(now, None), ())
            for name in random.sample(region_hosts, min(RELAY_FANOUT, len(region_hosts))):
                self._send(name, data)

    def _send_member_list(self, peer: Peer, known_hosts: int, now: float) -> None:
        """Describe the known hosts to a joining host, those of its region first.

        Nothing is sent to a host that knows most of them already. A host of another region also
        receives the capacity of this region: after a restart no host there knew it, and requests
        bound to this region were refused until the next heartbeat.
        """
        alive = self.members.list_alive(now)
        is_remote = not self._is_same_region(peer.member)
        capacity = self._list_region_capacity(now) if is_remote else ()
        if known_hosts and known_hosts + MAX_RELAYED_HOSTS >= len(alive) and not capacity:
            return
        alive.sort(key=lambda other: other.member.region != peer.member.region)
        others = tuple(_describe_peer(other, now) for other in alive[:MAX_SYNC_HOSTS])
        self._send(peer.member.name, self._encode(now, others, capacity))

    def _answer_join_request(self, address: str, now: float) -> None:
        """Send all current updates and then the known hosts to a host that is still loading."""
        self.metrics.record_event("knock_heard")
        self.broadcaster.send_full_state(address, now)
        others = self.members.list_alive(now)[:MAX_SYNC_HOSTS]
        states = tuple(_describe_peer(other, now) for other in others)
        self._send(address, self._encode(now, states, self._list_region_capacity(now)))

    def _sync_joining_host(self, peer: Peer, known_hosts: int, now: float) -> None:
        """Send a host the updates that it has missed, on its first direct heartbeat.

        A host that restarts before it counts as silent was never away for the others. One that
        knows no other host yet has contacted few hosts, so each of these sends it everything.
        """
        if known_hosts:
            self.broadcaster.sync_joining_host(peer.member.name, now)
        else:
            self.broadcaster.send_full_state(peer.member.name, now)

    def _send_to_remote_regions(self, now: float) -> None:
        """Send other regions a heartbeat, with the capacity of this region if this host knows it.

        In a large region only hosts that serve callers receive each other's loads. The other hosts
        would advertise capacity of engines that are full.
        """
        regions: dict[str, list[Peer]] = {}
        for peer in self.members.peers.values():
            if not self._is_same_region(peer.member):
                regions.setdefault(peer.member.region, []).append(peer)
        is_serving_callers = self.members.is_serving(now)
        if not regions or not (is_serving_callers or now >= self._idle_remote_at):
            return
        idle_hosts = len(self.members.list_region()) + 1
        self._idle_remote_at = now + idle_hosts / IDLE_REMOTE_HEARTBEATS_PER_S * random.uniform(
            0.8, 1.2
        )
        capacity = self._list_region_capacity(now)
        data = self._encode(now, self._list_relayed_hosts(now, True), capacity)
        for region, peers in regions.items():
            for peer in self._choose_remote_hosts(
                region, peers, HOSTS_PER_REMOTE_REGION if is_serving_callers else 1
            ):
                self._send(peer.member.name, data)

    def _choose_remote_hosts(self, region: str, peers: list[Peer], count: int) -> list[Peer]:
        """Choose hosts of another region, preferring those that serve callers."""
        serving = {peer.member.name for peer in self.members.list_serving(region)}
        shuffled = random.sample(peers, len(peers))
        return sorted(shuffled, key=lambda peer: peer.member.name not in serving)[:count]

    def _send_seeds(self, now: float) -> None:
        """Send a heartbeat to seeds that are not among the known hosts.

        That is the case at the start, and after all other hosts were unreachable.
        """
        unknown = [s for s in self.seeds if s not in self.members.peers and s != self._own_name]
        if unknown:
            data = self._encode(now, self._list_relayed_hosts(now, True), ())
            for seed in unknown:
                self._send(seed, data)

    def _send(self, address: str, data: bytes) -> None:
        self._transport.sendto(data, split_address(address))

    @property
    def _own_name(self) -> str:
        return self.members.own.name

    def _is_same_region(self, member: Member) -> bool:
        return member.region == self.members.own.region

    def _encode(
        self,
        now: float,
        others: tuple[HostState, ...],
        capacity: tuple[RegionOffer, ...],
    ) -> bytes:
        age_ms = min(now - self.catalogue.read_at, 1e6) * 1000
        configuration = self.directory.configuration
        position = self.catalogue.table.position
        heartbeat = Heartbeat(
            _describe(self.members.own, 0.0, self._period_s),
            configuration.version if configuration is not None else 0,
            position.revision,
            int(age_ms),
            others,
            capacity,
            int(self.members.get_own_request_rate(now) * 1000),
            self.catalogue.table.digest,
            len(self.members.peers),
            position.epoch,
            *self.members.known_hosts.state_counts(),
        )
        return CODEC.encode(heartbeat)

    def _list_region_capacity(self, now: float) -> tuple[RegionOffer, ...]:
        if not self.members.is_serving(now):
            return ()
        return list_region_capacity(self.directory, self.get_queued_work_s, now)

    def _list_relayed_hosts(self, now: float, own_region: bool | None) -> tuple[HostState, ...]:
        """Describe a sample of the hosts that are alive.

        `own_region` selects the hosts of this region or those of others; None selects all.
        """
        alive = [
            peer
            for peer in self.members.list_alive(now)
            if own_region is None or self._is_same_region(peer.member) == own_region
        ]
        count = min(MAX_RELAYED_HOSTS, self.members.count_hosts() // HOSTS_PER_RELAYED_HOST)
        chosen = random.sample(alive, min(count, len(alive)))
        return tuple(_describe_peer(peer, now) for peer in chosen)

    # Receiving

    def _receive_heartbeat(self, heartbeat: Heartbeat, address: str, now: float) -> None:
        state = heartbeat.sender
        for other in heartbeat.others:
            self._apply_relayed_state(other, now)
        known = self.members.peers.get(state.name)
        was_direct = known is not None and known.heard_directly_at > float("-inf")
        peer = self.members.apply_state(_read_member(state), 0.0, True, now)
        if peer is None:
            return
        if peer is not known or not was_direct:
            self._sync_joining_host(peer, heartbeat.known, now)
        if peer is not known:
            self._send_member_list(peer, heartbeat.known, now)
        if address != state.name:
            log.warning(
                "the address of a heartbeat's sender is not its name",
                extra={"from": address, "is": state.name},
            )
        peer.configuration_version = heartbeat.version
        peer.position = StorePosition(heartbeat.epoch, heartbeat.revision)
        peer.store_read_age_s = heartbeat.read_age_ms / 1000
        peer.request_rate = heartbeat.rate_mhz / 1000
        peer.heartbeat_period_s = state.period_ms / 1000
        peer.digest = heartbeat.digest
        if self._is_same_region(peer.member):
            counts = HostCounts(heartbeat.domain_hosts, heartbeat.region_hosts)
            self.members.known_hosts.record_stated(state.domain, counts, now)
        self.sync.record_peer(peer, now)
        if heartbeat.offers:
            peer.advertised_at = now
            peer.advertised = {
                offer.service_name: decode_region_offer(offer) for offer in heartbeat.offers
            }
        self._record_first_contact(peer, now)
        self._request_missed_state(peer, heartbeat.known, now)

    def _request_missed_state(self, peer: Peer, known_hosts: int, now: float) -> None:
        """Ask a host to describe the others if its first description was lost.

        It sends that once, in response to the first heartbeat. Without it, a host that has just
        started would act as if it were almost alone until it had gradually discovered the others.
        """
        is_starting = now - self._started_at < RECENTLY_STARTED_S
        knows_few = 2 * len(self.members.peers) < min(known_hosts, MAX_SYNC_HOSTS)
        if is_starting and knows_few and now - self._requested_state_at >= TICK_S:
            self._requested_state_at = now
            self.metrics.record_event("state_requested")
            self._send(peer.member.name, SYNC_REQUEST)

    def _record_first_contact(self, peer: Peer, now: float) -> None:
        """Report the first heartbeat of another host, which sends its updates just before it."""
        if self._had_first_contact:
            return
        self._had_first_contact = True
        age_s = round(now - self._started_at, 3)
        log_event("introduced", peer=peer.member.name, hosts=len(self.members.peers), age_s=age_s)
        self.on_first_contact()

    def _apply_relayed_state(self, state: HostState, now: float) -> None:
        """Apply what a heartbeat says about a host other than its sender."""
        known = self.members.peers.get(state.name)
        heard_at = known.heard_at if known is not None else float("-inf")
        age_s = state.age_ms / 1000
        peer = self.members.apply_state(_read_member(state), age_s, False, now)
        if peer is not None and now - age_s > heard_at:
            peer.request_rate = state.rate_mhz / 1000
            peer.heartbeat_period_s = state.period_ms / 1000

    def _update_alive_hosts(self, now: float) -> None:
        """Log hosts of this region, and hosts elsewhere that serve callers, that came or went.

        Idle hosts of other regions send so rarely that each seems to come and go all the time. They
        made up two thirds of the log lines of a host in a large fleet.
        """
        alive = {
            peer.member.name
            for peer in self.members.list_alive(now)
            if self._is_same_region(peer.member) or peer.request_rate >= ACTIVE_REQUESTS_PER_S
        }
        for name in alive - self._alive_names:
            self.metrics.record_event("host_heard")
            log_event("host_heard", peer=name, region=self.members.peers[name].member.region)
            self.broadcaster.sync_joining_host(name, now)
        for name in self._alive_names - alive:
            self.metrics.record_event("host_silent")
            log_event("host_silent", peer=name)
        self._alive_names = alive
        self.members.update_known_hosts(now)


def _describe_peer(peer: Peer, now: float) -> HostState:
    state = _describe(peer.member, now - peer.heard_at, peer.heartbeat_period_s)
    return state._replace(rate_mhz=int(peer.request_rate * 1000))


def _describe(member: Member, age_s: float, period_s: float) -> HostState:
    return HostState(
        *member[:6],
        ready=member.ready,
        leaving=member.leaving,
        age_ms=int(age_s * 1000),
        capacity=member.capacity,
        period_ms=int(period_s * 1000),
    )


def _read_member(state: HostState) -> Member:
    return Member(*state[:6], state.ready, state.leaving, state.capacity)
