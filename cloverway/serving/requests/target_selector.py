"""Where the requests of this host go: endpoints of its region, or hosts of another one."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import NamedTuple

from cloverway.core.choice import (
    choose_endpoint,
    choose_region,
    estimate_start,
    estimate_wait,
    update_offer,
)
from cloverway.core.deployment import Service
from cloverway.core.endpoints import Directory, Endpoint
from cloverway.core.fetch import Source, find_source
from cloverway.core.isolation import Isolation, keep_apart
from cloverway.core.members import Members, Offer, Peer
from cloverway.core.pacing import compute_cold_spacing
from cloverway.core.prediction import (
    Candidate,
    Far,
    RegionOffer,
    Sender,
    Wanted,
    estimate_far_work,
    predict,
    predict_region,
)
from cloverway.serving.clock import read_clock
from cloverway.serving.hosts.suspects import SuspectWatch
from cloverway.serving.http.client import Place
from cloverway.serving.requests.limit_shares import LimitShares
from cloverway.serving.requests.request_queue import RequestQueue
from cloverway.serving.settings import FleetSettings
from cloverway.serving.telemetry import log_event

LOAD_SYNC_S = 1.5
"""Age up to which a host may not have heard yet what the others have at endpoints: its own start,
their heartbeats, and one period in which uses are told again."""
INTER_REGION_RTT_S = 0.2
"""Time that the way to another region and back takes, as far as it isn't measured."""
REMOTE_REGION_MARGIN_S = 0.3
"""By how much another region must be better before a request leaves its own: its prompt parts lie
here, and bytes between regions cost."""
MIN_BROADCAST_TOKENS = 1_000
"""Prompt tokens from which other hosts are told of a send at once: 26 ms of an engine. Smaller ones
are told with the next heartbeat."""
MAX_REGION_DECLINES = 3
"""Times that a request is passed on to a region that declines it: the bytes of each are dear."""


class Target(NamedTuple):
    """A place that was taken for a request."""

    address: str
    name: str
    """The life of the endpoint, or the name of the host it is passed on to."""
    region: str
    number: int
    """Names the request in the load of the endpoint."""
    candidate: Candidate | None = None
    peer: Peer | None = None
    reserved_service: str = ""
    """The service of which another region has lent a place for as long as the request runs."""

    @property
    def fetch_from(self) -> str:
        """The address of the endpoint that parts of the prompt are fetched from, or nothing."""
        source = self.candidate.source if self.candidate is not None else None
        return source.entry.address if source is not None else ""

    @property
    def place(self) -> Place:
        """Whom a connection for the request leads to."""
        return Place(self.address, self.name if self.candidate is not None else "")


class TargetSelector:
    """Finds and takes places; owns the counts of what is under way."""

    def __init__(
        self,
        settings: FleetSettings,
        directory: Directory,
        members: Members,
        suspects: SuspectWatch,
    ) -> None:
        self._settings = settings
        self._directory = directory
        self._members = members
        self._suspects = suspects
        self._started_at = read_clock()
        self._numbers = itertools.count(1)
        self._queues: dict[str, RequestQueue[Target]] = {}
        self._isolations: dict[str, Isolation] = {}
        self._shares = LimitShares(members, directory, self._started_at)
        self._isolated: dict[str, frozenset[str]] = {}
        """The engines that large prompts of each service were last kept to."""
        self.on_large_prompt: Callable[[], None] = lambda: None
        """Called when a prompt was sent that other hosts should hear of at once."""

    def get_queue(self, service: str) -> RequestQueue[Target]:
        """Give the line of requests that wait for a place at a service."""
        return self._queues.setdefault(service, RequestQueue())

    def sum_waiting(self, service: str) -> float:
        """Give the seconds of work of the requests that wait here for a service."""
        return self.get_queue(service).sum_work()

    def take(self, wanted: Wanted, ahead_s: float, now: float) -> Target | None:
        """Take a place for a request, or give None when there is none now.

        `ahead_s` is the work of the requests that wait before it.
        """
        candidates = self.list_candidates(wanted, now)
        local = choose_endpoint(candidates)
        if wanted.call.passed_on is None:
            offers = self._list_offers(wanted, now)
            local_cost_s = local.cost_s if local is not None else estimate_wait(candidates, ahead_s)
            remote = choose_region(local_cost_s, offers, REMOTE_REGION_MARGIN_S)
            peer = self._choose_peer(wanted, remote.region, now) if remote is not None else None
            if peer is not None:
                return self._take_remote(peer, wanted.service)
        return self._take_local(wanted, local, now) if local is not None else None

    def estimate_start(self, wanted: Wanted, ahead_s: float, now: float) -> float | None:
        """Estimate when a request would have a place here, behind others; None where unknown."""
        return estimate_start(self.list_candidates(wanted, now), ahead_s)

    def release(self, target: Target) -> None:
        """Give a place back."""
        if target.candidate is not None:
            target.candidate.endpoint.load.end(target.number)
            self._suspects.end(target.number)
        if target.reserved_service:
            self._adjust_free(target.region, target.reserved_service, 1)

    def discard_offers(self, region: str, service: str, sent_at: float) -> None:
        """Forget what a region had offered before a request was sent there that it declined.

        It declines what waited in its line in vain. What its hosts have said since then, they have
        said knowing of that line.
        """
        for peer in self._members.peers.values():
            if peer.member.region == region and peer.offers_at <= sent_at:
                peer.offers.pop(service, None)

    def explain(self, wanted: Wanted, now: float) -> str:
        """Say why a request has no place."""
        if not self._directory.list_usable(wanted.service.name, now):
            return "no endpoint is known that may be used"
        candidates = self.list_candidates(wanted, now)
        if not candidates:
            return "no endpoint that may run it is left in this region"
        full = sum(candidate.full for candidate in candidates)
        limited = sum(self._directory.is_limited(candidate.endpoint) for candidate in candidates)
        by_limit = f", {limited} name a limit" if limited else ""
        return f"{full} of {len(candidates)} endpoints here are full{by_limit}"

    def has_alternative(self, wanted: Wanted, now: float) -> bool:
        """Tell whether an endpoint here or another region may run a request that has failed once.

        A region with one endpoint of a service would otherwise give up where larger ones try again.
        """
        if self.list_candidates(wanted, now):
            return True
        return wanted.call.passed_on is None and bool(self._list_offers(wanted, now))

    def list_candidates(self, wanted: Wanted, now: float) -> Sequence[Candidate]:
        """List the endpoints of this region that may run a request."""
        region = self._settings.region
        if wanted.route.homes and region not in wanted.route.homes:
            return []
        sender = Sender(
            self._settings.domain,
            len(self._members.list_region()) + 1,
            now - self._started_at < LOAD_SYNC_S,
        )
        local_endpoints = [
            endpoint
            for endpoint in self._directory.list_usable(wanted.service.name, now)
            if endpoint.region == region
        ]
        source = _find_source(wanted, local_endpoints, now)
        predicted = (
            predict(wanted, endpoint, sender=sender, now=now, source=source)
            for endpoint in local_endpoints
            if not wanted.tried[endpoint.entry.life]
            and self._allows_cold_send(endpoint, wanted.service, now)
        )
        allowed = list(self._filter_by_limit(predicted, wanted.service, now))
        candidates = self._suspects.keep_apart(wanted, allowed, now)
        if wanted.service.engine is None or wanted.call.prompt is None:
            return candidates
        return keep_apart(
            wanted, candidates, self._choose_isolated(wanted.service.name, local_endpoints, now)
        )

    def _filter_by_limit(
        self, candidates: Iterable[Candidate], service: Service, now: float
    ) -> Iterator[Candidate]:
        """Leave out endpoints whose limit gives this host no share.

        Others wait for their part of it, or for the end of a pause that they asked for.
        """
        waiting = len(self.get_queue(service.name))
        for candidate in candidates:
            wait_s = self._shares.estimate_wait(candidate.endpoint, waiting, now)
            if wait_s is not None:
                pause_s = self._directory.get_pause_s(candidate.endpoint, now)
                yield candidate.delay(max(wait_s, pause_s))

    def get_isolation(self, service: str) -> Isolation:
        """Give what was seen of prompts and pauses at a service."""
        return self._isolations.setdefault(service, Isolation(service))

    def _choose_isolated(
        self, service: str, endpoints: Sequence[Endpoint], now: float
    ) -> frozenset[str]:
        """Choose the engines that large prompts are kept to, and log when others are chosen."""
        chosen = self.get_isolation(service).choose(endpoints, now)
        if chosen != self._isolated.get(service, frozenset()):
            self._isolated[service] = chosen
            log_event("large_prompts_kept", service=service, endpoints=sorted(chosen))
        return chosen

    def _take_remote(self, peer: Peer, service: Service) -> Target:
        """Take a place that another region offers, until it offers anew.

        A place of a plain service is free again when the request has ended: counted as taken until
        the next offer, six places bore six requests a second instead of a hundred. What a prompt
        takes of an engine shows in the next offer only.
        """
        member = peer.member
        self._adjust_free(member.region, service.name, -1)
        reserved_service = service.name if service.engine is None else ""
        number = next(self._numbers)
        return Target(
            member.inner,
            member.name,
            member.region,
            number,
            peer=peer,
            reserved_service=reserved_service,
        )

    def _adjust_free(self, region: str, service: str, by: int) -> None:
        """Change the count of places that a region is taken to have."""
        for peer in self._members.peers.values():
            offer = peer.offers.get(service)
            if peer.member.region == region and offer is not None:
                peer.offers[service] = offer._replace(free=offer.free + by)

    def _take_local(self, wanted: Wanted, local: Candidate, now: float) -> Target:
        endpoint = local.endpoint
        number = next(self._numbers)
        endpoint.load.begin(number, local.work, wanted.call.prompt, now)
        if local.work.unread:
            self.get_isolation(wanted.service.name).note_prompt(wanted, local, now)
        if local.work.unread >= MIN_BROADCAST_TOKENS:
            self.on_large_prompt()
        if endpoint.is_cold(now):
            endpoint.last_cold_send = now
        self._shares.take(endpoint, now)
        entry = endpoint.entry
        until = min(wanted.call.deadline, wanted.call.arrived_at + wanted.route.timeout_s)
        self._suspects.begin(number, wanted, entry.life, until, now)
        return Target(entry.address, entry.life, self._settings.region, number, candidate=local)

    def _allows_cold_send(self, endpoint: Endpoint, service: Service, now: float) -> bool:
        """Tell whether an endpoint may get a request just now, as far as it is cold."""
        if not endpoint.is_cold(now) or not service.cold_per_s:
            return True
        spacing = compute_cold_spacing(
            service.cold_per_s,
            self._settings.cold,
            endpoint.entry.id,
            self._members.own.name,
            self._members.list_region(),
            age_s=now - self._started_at,
        )
        return spacing is not None and now - endpoint.last_cold_send >= spacing

    def _list_offers(self, wanted: Wanted, now: float) -> list[RegionOffer]:
        """Predict how a request would fare in the other regions that may run it and have room."""
        predicted = []
        work = estimate_far_work(wanted.call)
        for region, offer in self._find_latest_offers(wanted.service.name, now).items():
            is_home = not wanted.route.homes or region in wanted.route.homes
            has_room = offer.free > 0 and offer.room >= work.unread
            if is_home and has_room and wanted.tried[region] < MAX_REGION_DECLINES:
                predicted.append(
                    predict_region(wanted, offer, Far(region, INTER_REGION_RTT_S), now)
                )
        return predicted

    def _find_latest_offers(self, service: str, now: float) -> dict[str, Offer]:
        """Find what each other region has offered last.

        Of offers by several hosts the best one would be the most wrong one.
        """
        latest: dict[str, Peer] = {}
        for peer in self._members.list_alive(now):
            region = peer.member.region
            usable = service in peer.offers and peer.member.ready and now >= peer.failed_until
            if region == self._settings.region or not usable:
                continue
            if region not in latest or peer.offers_at > latest[region].offers_at:
                latest[region] = peer
        return {
            region: update_offer(peer.offers[service], now - peer.offers_at)
            for region, peer in latest.items()
        }

    def _choose_peer(self, wanted: Wanted, region: str, now: float) -> Peer | None:
        peers = self._members.list_for_passing(region, now)
        peers = [peer for peer in peers if not wanted.tried[peer.member.name]]
        return random.choice(peers) if peers else None


def _find_source(wanted: Wanted, endpoints: list[Endpoint], now: float) -> Source | None:
    """Find the endpoint that others may fetch parts of a prompt from."""
    prompt, shape = wanted.call.prompt, wanted.service.engine
    if prompt is None or shape is None or not shape.can_fetch:
        return None
    return find_source(prompt, endpoints, now)
