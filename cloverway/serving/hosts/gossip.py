"""Heartbeats between hosts: who is alive, what each has at endpoints, what regions can take."""

from __future__ import annotations

import asyncio
import logging
import random
import socket
from collections.abc import Callable
from typing import cast

from cloverway.addresses import format_address, split_address
from cloverway.core.endpoints import Directory
from cloverway.core.members import ACTIVE_RATE, Member, Members, Peer
from cloverway.errors import PeerError
from cloverway.serving.clock import read_clock, wait_for_tick
from cloverway.serving.documents.catalogue import Catalogue
from cloverway.serving.documents.sync import DocumentSync
from cloverway.serving.early_sockets import SYNC_REQUEST
from cloverway.serving.hosts.news import NewsExchange
from cloverway.serving.hosts.offers import list_offers, read_offer
from cloverway.serving.hosts.peerwire import (
    CODEC,
    EndpointUses,
    Heartbeat,
    HostState,
    RegionOffer,
)
from cloverway.serving.hosts.uses import UseExchange
from cloverway.serving.telemetry import Metrics, log_event

log = logging.getLogger(__name__)

TICK_S = 0.2
"""How often is looked whether a heartbeat is due: half of the shortest period."""
NEAR_S = 0.4
"""Period of heartbeats within a small region: a host is missed after four of them."""
NEAR_HOSTS = 8
"""Hosts of a region up to which that period holds; with more it grows with their number. A host
then sends 20 heartbeats a second at most, whatever the size of its region."""
MOST_NEAR_S = 1.0
"""The longest such period: a host is taken for gone after less than four of them."""
IDLE_HEARD_PER_S = 20
"""Heartbeats a second that a host hears from hosts of its region that neither serve callers nor
read the store: their period grows with the region. In a region of 65 hosts each heard 64 a second
only to know that the others were alive; with this it hears some 27 (worked out)."""
MOST_IDLE_S = 3.2
"""The longest such period."""
SETTLING_S = 5.0
"""Age up to which a host keeps the shorter period, so that all of its region hear of it."""
NEAR_TOLD = 3
"""Hosts of the region that are told of others each second, or with each heartbeat by those that
speak more rarely. All hosts of a region send heartbeats to
each other, so this only mends what a host has missed."""
FAR_S = 1.0
"""Period of heartbeats to other regions, where bytes cost and only sums are told."""
FAR_HOSTS = 2
"""Hosts of each other region that get them; those tell their siblings."""
FAR_IDLE_PER_S = 4.0
"""Heartbeats that the hosts of a region which serve no callers send to each other region in a
second, all together. They only show that these are alive. Before, each of 89 hosts sent four a
second, and took half of the bytes between regions on a calm day."""
OTHERS = 8
"""Hosts that a heartbeat speaks of at most, besides its sender."""
HOSTS_PER_OTHER = 8
"""Hosts of the fleet for each of them: a few hosts hear each other often enough."""
YOUNG_S = 2.0
"""How long a host that has just started knocks at its seeds with every tick. Some of them start at
the same moment and miss the first; with one each second hosts that started together knew of each
other only after 0.5 to 1.5 s, and each took the engines for its own until then."""
MOST_WELCOME = 40
"""Hosts that a newcomer is told of at once: 6 KB."""


class Gossip(asyncio.DatagramProtocol):
    """Sends and hears heartbeats."""

    def __init__(
        self,
        members: Members,
        directory: Directory,
        catalogue: Catalogue,
        sync: DocumentSync,
        metrics: Metrics,
        *,
        news: NewsExchange,
        seeds: tuple[str, ...],
    ) -> None:
        self.members = members
        self.directory = directory
        self.catalogue = catalogue
        self.sync = sync
        self.metrics = metrics
        self.seeds = seeds
        self._transport: asyncio.DatagramTransport
        self.uses = UseExchange(members, directory, self._send)
        self.news = news
        news.send = self._send
        self.sum_waiting: Callable[[str], float] = lambda service: 0.0
        """Gives the work of the requests that wait here for a service."""
        self.on_introduced: Callable[[], None] = lambda: None
        """Called when another host was heard for the first time."""
        self._is_introduced = False
        self._alive: set[str] = set()
        self._started_at = read_clock()
        self._idle_far_at = 0.0
        self._period_s = NEAR_S

    async def start(self, address: str, early: socket.socket | None = None) -> None:
        """Bind the address for heartbeats; raise OSError. `early` may be bound there already."""
        loop = asyncio.get_running_loop()
        if early is not None and format_address(early.getsockname()) == address:
            await loop.create_datagram_endpoint(lambda: self, sock=early)
            return
        await loop.create_datagram_endpoint(lambda: self, local_addr=split_address(address))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over the socket."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Hear a heartbeat, or what another host tells of endpoints."""
        if data == SYNC_REQUEST:
            self._answer_knock(format_address(addr), read_clock())
            return
        try:
            message = CODEC.decode(data)
        except PeerError as error:
            log.warning("a datagram can't be read", extra={"why": str(error)})
            return
        now = read_clock()
        if isinstance(message, Heartbeat):
            self._hear(message, format_address(addr), now)
        elif isinstance(message, EndpointUses):
            self.uses.hear(message, now)
        else:
            self.news.hear(message, now)

    def error_received(self, exc: Exception) -> None:
        """Note that a datagram met no listener; the host is missed by its silence."""
        log.debug("a datagram was not delivered", extra={"why": str(exc)})

    async def run(self) -> None:
        """Send heartbeats for ever."""
        near_at = far_at = others_at = 0.0
        while True:
            now = read_clock()
            if now >= near_at:
                self._period_s = self._choose_period(now)
                near_at = now + self._period_s - TICK_S / 2
                self._send_near(now)
                self._note_alive(now)
            if now >= others_at:
                others_at = now + max(FAR_S, self._period_s) - TICK_S / 2
                self._send_others(now)
            if now >= far_at:
                far_at = now + FAR_S
                self._send_far(now)
                self._send_seeds(now)
                self.members.forget(now)
                self._note_alive(now)
                if self._choose_period(now) < self._period_s:
                    # It has begun to serve callers: the others must hear that before their
                    # requests go by what they know.
                    near_at = now
            elif now - self._started_at < YOUNG_S:
                self._send_seeds(now)
            await wait_for_tick(TICK_S)

    def announce(self) -> None:
        """Tell all hosts at once what has changed of this one."""
        now = read_clock()
        self._send_near(now)
        self._send_far(now)

    def announce_news(self) -> None:
        """Tell the hosts of the domain at once that there are new documents to be had here."""
        data = self._encode(read_clock(), (), ())
        for peer in self.members.peers.values():
            if peer.member.domain == self.members.own.domain:
                self._send(peer.member.name, data)

    # Sending

    def _choose_period(self, now: float) -> float:
        """Give the time between two heartbeats to the hosts of the region."""
        hosts = len(self.members.list_region())
        period_s = min(MOST_NEAR_S, NEAR_S * max(1.0, hosts / NEAR_HOSTS))
        if now - self._started_at < SETTLING_S or self._is_needed(now):
            return period_s
        return max(period_s, min(MOST_IDLE_S, hosts / IDLE_HEARD_PER_S))

    def _is_needed(self, now: float) -> bool:
        """Tell whether other hosts depend on hearing this one soon."""
        return self.members.is_serving(now) or self.catalogue.is_reader(now)

    def _send_near(self, now: float) -> None:
        near = self.members.list_region()
        if near:
            data = self._encode(now, (), ())
            for name in near:
                self._send(name, data)

    def _send_others(self, now: float) -> None:
        near = self.members.list_region()
        if near:
            data = self._encode(now, self._list_others(now, None), ())
            for name in random.sample(near, min(NEAR_TOLD, len(near))):
                self._send(name, data)

    def _welcome(self, peer: Peer, known: int, now: float) -> None:
        """Tell a host that knows few others or none of them, those of its region first.

        One in another region is told at once what this one can take. After a restart nobody there
        has an offer yet, and requests that are bound here were refused until the next heartbeat.
        """
        alive = self.members.list_alive(now)
        is_far = not self._is_near(peer.member)
        offers = self._list_offers(now) if is_far else ()
        if known and known + OTHERS >= len(alive) and not offers:
            return
        alive.sort(key=lambda other: other.member.region != peer.member.region)
        others = tuple(_describe_peer(other, now) for other in alive[:MOST_WELCOME])
        self._send(peer.member.name, self._encode(now, others, offers))

    def _answer_knock(self, address: str, now: float) -> None:
        """Tell a host that is being loaded what it must know, and then who is there."""
        self.metrics.note_event("knock_heard")
        self.news.tell_all(address, now)
        others = self.members.list_alive(now)[:MOST_WELCOME]
        described = tuple(_describe_peer(other, now) for other in others)
        self._send(address, self._encode(now, described, self._list_offers(now)))

    def _tell_newcomer(self, peer: Peer, known: int, now: float) -> None:
        """Tell a host of the news that it has missed, when it is first heard itself.

        One that restarts sooner than it is missed was never away for the others. One that knows
        nobody yet has asked few hosts, so each of them tells it.
        """
        if known:
            self.news.welcome(peer.member.name, now)
        else:
            self.news.tell_all(peer.member.name, now)

    def _send_far(self, now: float) -> None:
        """Tell other regions what this one can take, if this host knows, and that it is alive.

        In a large region only hosts that serve callers hear of each other's sends: what the others
        believe of the engines would lead requests of other regions to full ones.
        """
        regions: dict[str, list[Peer]] = {}
        for peer in self.members.peers.values():
            if not self._is_near(peer.member):
                regions.setdefault(peer.member.region, []).append(peer)
        serves = self.members.is_serving(now)
        if not regions or not (serves or now >= self._idle_far_at):
            return
        idle_hosts = len(self.members.list_region()) + 1
        self._idle_far_at = now + idle_hosts / FAR_IDLE_PER_S * random.uniform(0.8, 1.2)
        offers = self._list_offers(now)
        data = self._encode(now, self._list_others(now, True), offers)
        for region, peers in regions.items():
            for peer in self._choose_far(region, peers, FAR_HOSTS if serves else 1):
                self._send(peer.member.name, data)

    def _choose_far(self, region: str, peers: list[Peer], count: int) -> list[Peer]:
        """Choose hosts of another region, those that serve callers first."""
        serving = {peer.member.name for peer in self.members.list_serving(region)}
        mixed = random.sample(peers, len(peers))
        return sorted(mixed, key=lambda peer: peer.member.name not in serving)[:count]

    def _send_seeds(self, now: float) -> None:
        """Reach hosts that are not known: at the start, and after everybody was cut off."""
        unknown = [s for s in self.seeds if s not in self.members.peers and s != self._own_name]
        if unknown:
            data = self._encode(now, self._list_others(now, True), ())
            for seed in unknown:
                self._send(seed, data)

    def _send(self, address: str, data: bytes) -> None:
        self._transport.sendto(data, split_address(address))

    @property
    def _own_name(self) -> str:
        return self.members.own.name

    def _is_near(self, member: Member) -> bool:
        return member.region == self.members.own.region

    def _encode(
        self,
        now: float,
        others: tuple[HostState, ...],
        offers: tuple[RegionOffer, ...],
    ) -> bytes:
        age_ms = min(now - self.catalogue.read_at, 1e6) * 1000
        configuration = self.directory.configuration
        heartbeat = Heartbeat(
            _describe(self.members.own, 0.0, self._period_s),
            configuration.version if configuration is not None else 0,
            self.catalogue.table.revision,
            int(age_ms),
            others,
            offers,
            int(self.members.get_own_rate(now) * 1000),
            self.catalogue.table.digest,
            len(self.members.peers),
        )
        return CODEC.encode(heartbeat)

    def _list_offers(self, now: float) -> tuple[RegionOffer, ...]:
        if not self.members.is_serving(now):
            return ()
        return list_offers(self.directory, self.sum_waiting, now)

    def _list_others(self, now: float, near: bool | None) -> tuple[HostState, ...]:
        """Describe some hosts of this region, or of other ones; of all for None."""
        alive = [
            peer
            for peer in self.members.list_alive(now)
            if near is None or self._is_near(peer.member) == near
        ]
        count = min(OTHERS, self.members.count_fleet() // HOSTS_PER_OTHER)
        chosen = random.sample(alive, min(count, len(alive)))
        return tuple(_describe_peer(peer, now) for peer in chosen)

    # Hearing

    def _hear(self, heartbeat: Heartbeat, address: str, now: float) -> None:
        state = heartbeat.sender
        for other in heartbeat.others:
            self._hear_of(other, now)
        known = self.members.peers.get(state.name)
        was_heard = known is not None and known.direct_at > float("-inf")
        peer = self.members.hear(_read_member(state), 0.0, True, now)
        if peer is None:
            return
        if peer is not known or not was_heard:
            self._tell_newcomer(peer, heartbeat.known, now)
        if peer is not known:
            self._welcome(peer, heartbeat.known, now)
        if address != state.name:
            log.warning(
                "a heartbeat came from elsewhere", extra={"from": address, "is": state.name}
            )
        peer.version = heartbeat.version
        peer.revision = heartbeat.revision
        peer.read_age_s = heartbeat.read_age_ms / 1000
        peer.rate = heartbeat.rate_mhz / 1000
        peer.period_s = state.period_ms / 1000
        peer.digest = heartbeat.digest
        self.sync.note(peer, now)
        if heartbeat.offers:
            peer.offers_at = now
            peer.offers = {offer.service_name: read_offer(offer) for offer in heartbeat.offers}
        self._note_introduced(peer, now)

    def _note_introduced(self, peer: Peer, now: float) -> None:
        """Note the first heartbeat that is heard: what the host knows has come just before it."""
        if self._is_introduced:
            return
        self._is_introduced = True
        age_s = round(now - self._started_at, 3)
        log_event("introduced", peer=peer.member.name, hosts=len(self.members.peers), age_s=age_s)
        self.on_introduced()

    def _hear_of(self, state: HostState, now: float) -> None:
        """Take over what a heartbeat says of another host than its sender."""
        known = self.members.peers.get(state.name)
        heard_at = known.heard_at if known is not None else float("-inf")
        age_s = state.age_ms / 1000
        peer = self.members.hear(_read_member(state), age_s, False, now)
        if peer is not None and now - age_s > heard_at:
            peer.rate = state.rate_mhz / 1000
            peer.period_s = state.period_ms / 1000

    def _note_alive(self, now: float) -> None:
        """Note which hosts came and went: those of the region, and those that serve elsewhere.

        Hosts of other regions that serve nobody speak so rarely that each seems to come and go all
        the time; those were two of three lines in the log of a host of a large fleet.
        """
        alive = {
            peer.member.name
            for peer in self.members.list_alive(now)
            if self._is_near(peer.member) or peer.rate >= ACTIVE_RATE
        }
        for name in alive - self._alive:
            self.metrics.note_event("host_heard")
            log_event("host_heard", peer=name, region=self.members.peers[name].member.region)
            self.news.welcome(name, now)
        for name in self._alive - alive:
            self.metrics.note_event("host_silent")
            log_event("host_silent", peer=name)
        self._alive = alive


def _describe_peer(peer: Peer, now: float) -> HostState:
    state = _describe(peer.member, now - peer.heard_at, peer.period_s)
    return state._replace(rate_mhz=int(peer.rate * 1000))


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
