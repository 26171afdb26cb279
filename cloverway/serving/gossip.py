"""Heartbeats between hosts: who is alive, what each has at endpoints, what regions can take."""

from __future__ import annotations

import asyncio
import logging
import random
from typing import cast

from cloverway.addresses import format_address, split_address
from cloverway.core.calls import PromptPart
from cloverway.core.choice import offer_region
from cloverway.core.endpoints import Directory
from cloverway.core.load import SiblingLoad
from cloverway.core.members import Member, Members, Offer, Peer
from cloverway.errors import PeerError
from cloverway.serving.catalogue import Catalogue
from cloverway.serving.clock import read_clock
from cloverway.serving.peerwire import (
    CODEC,
    EndpointUse,
    Heartbeat,
    HostState,
    RegionOffer,
)
from cloverway.serving.sync import DocumentSync
from cloverway.serving.telemetry import Figures, tell

log = logging.getLogger(__name__)

NEAR_S = 0.2
"""Period of heartbeats within the region, and in large ones of what hosts that serve callers tell
each other: loads of endpoints change as fast as a prompt is read."""
NEAR_HOSTS = 8
"""Hosts of a region up to which that period holds; with more it grows with their number. A host
then sends 40 heartbeats a second at most, whatever the size of its region."""
MOST_NEAR_S = 1.0
"""The longest such period: a host is taken for gone after less than four of them."""
ACTIVE_RATE = 1.5
"""Requests per second from which a host is told at once what others send to endpoints. Hosts that
callers are not led to get fewer: those that try which configuration is in force."""
FAR_S = 1.0
"""Period of heartbeats to other regions, where bytes cost and only sums are told."""
FAR_HOSTS = 2
"""Hosts of each other region that get them; those tell their siblings."""
OTHERS = 8
"""Hosts that a heartbeat speaks of, besides its sender."""
MOST_PARTS = 32
MAX_DATAGRAM_BYTES = 8 * 1024
FREE_MOST = 1000


class Gossip(asyncio.DatagramProtocol):
    """Sends and hears heartbeats."""

    def __init__(
        self,
        members: Members,
        directory: Directory,
        catalogue: Catalogue,
        sync: DocumentSync,
        figures: Figures,
        *,
        seeds: tuple[str, ...],
    ) -> None:
        self.members = members
        self.directory = directory
        self.catalogue = catalogue
        self.sync = sync
        self.figures = figures
        self.seeds = seeds
        self._transport: asyncio.DatagramTransport
        self._alive: set[str] = set()
        self._is_telling = False

    async def start(self, address: str) -> None:
        """Bind the address for heartbeats; raise OSError."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=split_address(address))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over the socket."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Hear a heartbeat."""
        try:
            message = CODEC.decode(data)
        except PeerError as error:
            log.warning("a datagram can't be read", extra={"why": str(error)})
            return
        if isinstance(message, Heartbeat):
            self._hear(message, format_address(addr), read_clock())

    def error_received(self, exc: Exception) -> None:
        """Note that a datagram met no listener; the host is missed by its silence."""
        log.debug("a datagram was not delivered", extra={"why": str(exc)})

    async def run(self) -> None:
        """Send heartbeats for ever."""
        near_at = far_at = 0.0
        while True:
            now = read_clock()
            speaks_of_others = now >= far_at
            if speaks_of_others or now >= near_at:
                near_at = now + self._choose_period()
                self._send_near(now, speaks_of_others)
            else:
                self._send_uses()
            if speaks_of_others:
                far_at = now + FAR_S
                self._send_far(now)
                self._send_seeds(now)
                self.members.forget(now)
            self._note_alive(now)
            await asyncio.sleep(NEAR_S)

    def announce(self) -> None:
        """Tell all hosts at once what has changed of this one."""
        now = read_clock()
        self._send_near(now, True)
        self._send_far(now)

    def announce_news(self) -> None:
        """Tell the hosts of the domain at once that there are new documents to be had here."""
        data = self._encode(read_clock(), (), (), ())
        for peer in self.members.peers.values():
            if peer.member.domain == self.members.own.domain:
                self._send(peer.member.name, data)

    def tell_uses(self) -> None:
        """Tell the hosts that send to the same endpoints, at once, what this one has there.

        Until the next heartbeat they would take an engine for idle that has just got a long prompt.
        What is sent within one turn of the event loop goes in one datagram.
        """
        if not self._is_telling:
            self._is_telling = True
            asyncio.get_running_loop().call_soon(self._send_uses)

    # Sending

    def _send_uses(self) -> None:
        self._is_telling = False
        active = [
            peer
            for peer in self.members.peers.values()
            if self._is_near(peer.member) and peer.rate >= ACTIVE_RATE
        ]
        if active:
            data = self._encode(read_clock(), (), self._list_uses(), ())
            for peer in active:
                self._send(peer.member.name, data)

    def _choose_period(self) -> float:
        hosts = len(self.members.list_region())
        if hosts <= NEAR_HOSTS:
            return 0.0
        return min(MOST_NEAR_S, NEAR_S * hosts / NEAR_HOSTS)

    def _send_near(self, now: float, speaks_of_others: bool) -> None:
        near = [p for p in self.members.peers.values() if self._is_near(p.member)]
        if not near:
            return
        others = self._list_others(now) if speaks_of_others else ()
        data = self._encode(now, others, self._list_uses(), ())
        for peer in near:
            self._send(peer.member.name, data)

    def _send_far(self, now: float) -> None:
        regions: dict[str, list[Peer]] = {}
        for peer in self.members.peers.values():
            if not self._is_near(peer.member):
                regions.setdefault(peer.member.region, []).append(peer)
        if not regions:
            return
        data = self._encode(now, self._list_others(now), (), self._list_offers(now))
        for peers in regions.values():
            for peer in random.sample(peers, min(FAR_HOSTS, len(peers))):
                self._send(peer.member.name, data)

    def _send_seeds(self, now: float) -> None:
        """Reach hosts that are not known: at the start, and after everybody was cut off."""
        unknown = [s for s in self.seeds if s not in self.members.peers and s != self._own_name]
        if unknown:
            data = self._encode(now, self._list_others(now), (), ())
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
        uses: tuple[EndpointUse, ...],
        offers: tuple[RegionOffer, ...],
    ) -> bytes:
        age_ms = min(now - self.catalogue.read_at, 1e6) * 1000
        configuration = self.directory.configuration
        heartbeat = Heartbeat(
            _describe(self.members.own, 0.0),
            configuration.version if configuration is not None else 0,
            self.catalogue.table.revision,
            int(age_ms),
            others,
            uses,
            offers,
            int(self.members.get_own_rate(now) * 1000),
            self.catalogue.table.digest,
        )
        return CODEC.encode(heartbeat)

    def _list_others(self, now: float) -> tuple[HostState, ...]:
        alive = self.members.list_alive(now)
        chosen = random.sample(alive, min(OTHERS, len(alive)))
        return tuple(_describe(peer.member, now - peer.heard_at) for peer in chosen)

    def _list_uses(self) -> tuple[EndpointUse, ...]:
        uses = []
        for endpoint in self.directory.endpoints.values():
            load = endpoint.load
            fresh = [
                load.fresh_parts.popleft() for _ in range(min(MOST_PARTS, len(load.fresh_parts)))
            ]
            own = load.sum_own()
            if own.running or fresh or load.was_told:
                load.was_told = bool(own.running)
                parts = tuple(part.id for part in fresh)
                tokens = tuple(part.tokens for part in fresh)
                name = endpoint.entry.id
                read = load.take_fresh_read()
                uses.append(
                    EndpointUse(name, own.running, own.unread, own.held, parts, tokens, read)
                )
        return tuple(uses)

    def _list_offers(self, now: float) -> tuple[RegionOffer, ...]:
        """Sum up what this region's endpoints can take, by service."""
        configuration = self.directory.configuration
        if configuration is None:
            return ()
        offers = []
        for service in configuration.services.values():
            endpoints = [
                endpoint
                for endpoint in self.directory.list_usable(service.name, now)
                if self.directory.topology.region == endpoint.region and not endpoint.is_cold(now)
            ]
            if not endpoints:
                continue
            room = offer_region(service, endpoints, now)
            free = min(room.free, FREE_MOST)
            offers.append(RegionOffer(service.name, int(room.wait_s * 1000), free, room.tokens))
        return tuple(offers)

    # Hearing

    def _hear(self, heartbeat: Heartbeat, address: str, now: float) -> None:
        state = heartbeat.sender
        for other in heartbeat.others:
            self.members.hear(_read_member(other), other.age_ms / 1000, False, now)
        peer = self.members.hear(_read_member(state), 0.0, True, now)
        if peer is None:
            return
        if address != state.name:
            log.warning(
                "a heartbeat came from elsewhere", extra={"from": address, "is": state.name}
            )
        peer.version = heartbeat.version
        peer.revision = heartbeat.revision
        peer.read_age_s = heartbeat.read_age_ms / 1000
        peer.rate = heartbeat.rate_mhz / 1000
        peer.digest = heartbeat.digest
        self.sync.note(peer, now)
        if heartbeat.offers:
            peer.offers = {
                offer.service_name: Offer(
                    offer.service_name, offer.wait_ms / 1000, offer.free, offer.room
                )
                for offer in heartbeat.offers
            }
        for use in heartbeat.uses:
            self._hear_use(state.name, use, now)

    def _hear_use(self, host: str, use: EndpointUse, now: float) -> None:
        endpoint = self.directory.endpoints.get(use.endpoint)
        if endpoint is None:
            return
        parts = [PromptPart(*pair) for pair in zip(use.parts, use.tokens, strict=False)]
        load = SiblingLoad(use.running, use.unread, use.held, now)
        endpoint.load.note_sibling(host, load, parts)
        endpoint.load.note_read(use.read, now)

    def _note_alive(self, now: float) -> None:
        alive = {peer.member.name for peer in self.members.list_alive(now)}
        for name in alive - self._alive:
            self.figures.note_event("host_heard")
            tell("host_heard", peer=name, region=self.members.peers[name].member.region)
        for name in self._alive - alive:
            self.figures.note_event("host_silent")
            tell("host_silent", peer=name)
        self._alive = alive


def _describe(member: Member, age_s: float) -> HostState:
    return HostState(*member[:6], member.ready, member.leaving, int(age_s * 1000), member.capacity)


def _read_member(state: HostState) -> Member:
    return Member(*state[:6], state.ready, state.leaving, state.capacity)
