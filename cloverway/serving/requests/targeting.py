"""Where the requests of this host go: endpoints of its region, or hosts of another one."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import NamedTuple

from cloverway.core.cold_start import compute_cold_send_interval
from cloverway.core.deployment import Service
from cloverway.core.endpoints import Directory, Endpoint
from cloverway.core.isolation import LargePromptIsolation, apply_isolation
from cloverway.core.kv_fetch import FetchSource, find_source
from cloverway.core.members import AdvertisedCapacity, Members, Peer
from cloverway.core.prediction import (
    Candidate,
    RegionCandidate,
    RemoteRegion,
    RoutedCall,
    Sender,
    estimate_remote_work,
    predict,
    predict_region,
)
from cloverway.core.selection import (
    choose_endpoint,
    choose_region,
    estimate_start,
    estimate_wait,
    extrapolate_offer,
)
from cloverway.serving.clock import read_clock
from cloverway.serving.hosts.suspects import SuspectTracker
from cloverway.serving.http.client import Destination
from cloverway.serving.requests.shares import LimitShares
from cloverway.serving.requests.waiting import WaitingLine
from cloverway.serving.settings import FleetSettings
from cloverway.serving.telemetry import tell

LOADS_HEARD_S = 1.5
"""Age up to which a host may not have heard yet what the others have at endpoints: its own start,
their heartbeats, and one period in which uses are told again."""
FAR_S = 0.2
"""Time that the way to another region and back takes, as far as it isn't measured."""
FAR_MARGIN_S = 0.3
"""By how much another region must be better before a request leaves its own: its prompt parts lie
here, and bytes between regions cost."""
TOLD_TOKENS = 1_000
"""Prompt tokens from which other hosts are told of a send at once: 26 ms of an engine. Smaller ones
are told with the next heartbeat."""
FAR_TRIES = 3
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
    lent_by: str = ""
    """The service of which another region has lent a place for as long as the request runs."""

    @property
    def fetch_from(self) -> str:
        """The address of the endpoint that parts of the prompt are fetched from, or nothing."""
        source = self.candidate.fetch_source if self.candidate is not None else None
        return source.entry.address if source is not None else ""

    @property
    def place(self) -> Destination:
        """Whom a connection for the request leads to."""
        return Destination(self.address, self.name if self.candidate is not None else "")


class Targeting:
    """Finds and takes places; owns the counts of what is under way."""

    def __init__(
        self,
        settings: FleetSettings,
        directory: Directory,
        members: Members,
        suspects: SuspectTracker,
    ) -> None:
        self._settings = settings
        self._directory = directory
        self._members = members
        self._suspects = suspects
        self._started_at = read_clock()
        self._numbers = itertools.count(1)
        self._lines: dict[str, WaitingLine[Target]] = {}
        self._isolations: dict[str, LargePromptIsolation] = {}
        self._shares = LimitShares(members, directory, self._started_at)
        self._apart: dict[str, frozenset[str]] = {}
        """The engines that large prompts of each service were last kept to."""
        self.on_prompt: Callable[[], None] = lambda: None
        """Called when a prompt was sent that other hosts should hear of at once."""

    def get_line(self, service: str) -> WaitingLine[Target]:
        """Give the line of requests that wait for a place at a service."""
        return self._lines.setdefault(service, WaitingLine())

    def sum_waiting(self, service: str) -> float:
        """Give the seconds of work of the requests that wait here for a service."""
        return self.get_line(service).sum_work()

    def take(self, routed: RoutedCall, ahead_s: float, now: float) -> Target | None:
        """Take a place for a request, or give None when there is none now.

        `ahead_s` is the work of the requests that wait before it.
        """
        candidates = self.list_candidates(routed, now)
        here = choose_endpoint(candidates)
        if routed.call.passed_on is None:
            offers = self._list_offers(routed, now)
            stay_s = here.cost_s if here is not None else estimate_wait(candidates, ahead_s)
            away = choose_region(stay_s, offers, FAR_MARGIN_S)
            peer = self._choose_peer(routed, away.region, now) if away is not None else None
            if peer is not None:
                return self._pass_to(peer, routed.service)
        return self._take_here(routed, here, now) if here is not None else None

    def estimate_start(self, routed: RoutedCall, ahead_s: float, now: float) -> float | None:
        """Estimate when a request would have a place here, behind others; None where unknown."""
        return estimate_start(self.list_candidates(routed, now), ahead_s)

    def release(self, target: Target) -> None:
        """Give a place back."""
        if target.candidate is not None:
            target.candidate.endpoint.load.end(target.number)
            self._suspects.end(target.number)
        if target.lent_by:
            self._change_free(target.region, target.lent_by, 1)

    def withdraw_offer(self, region: str, service: str, sent_at: float) -> None:
        """Forget what a region had offered before a request was sent there that it declined.

        It declines what waited in its line in vain. What its hosts have said since then, they have
        said knowing of that line.
        """
        for peer in self._members.peers.values():
            if peer.member.region == region and peer.advertised_at <= sent_at:
                peer.advertised.pop(service, None)

    def explain(self, routed: RoutedCall, now: float) -> str:
        """Say why a request has no place."""
        if not self._directory.list_usable(routed.service.name, now):
            return "no endpoint is known that may be used"
        candidates = self.list_candidates(routed, now)
        if not candidates:
            return "no endpoint that may run it is left in this region"
        full = sum(candidate.is_full for candidate in candidates)
        limited = sum(self._directory.is_limited(candidate.endpoint) for candidate in candidates)
        by_limit = f", {limited} name a limit" if limited else ""
        return f"{full} of {len(candidates)} endpoints here are full{by_limit}"

    def has_place(self, routed: RoutedCall, now: float) -> bool:
        """Tell whether an endpoint here or another region may run a request that has failed once.

        A region with one endpoint of a service would otherwise give up where larger ones try again.
        """
        if self.list_candidates(routed, now):
            return True
        return routed.call.passed_on is None and bool(self._list_offers(routed, now))

    def list_candidates(self, routed: RoutedCall, now: float) -> Sequence[Candidate]:
        """List the endpoints of this region that may run a request."""
        region = self._settings.region
        if routed.route.home_regions and region not in routed.route.home_regions:
            return []
        sender = Sender(
            self._settings.domain,
            len(self._members.list_region()) + 1,
            now - self._started_at < LOADS_HEARD_S,
        )
        near = [
            endpoint
            for endpoint in self._directory.list_usable(routed.service.name, now)
            if endpoint.region == region
        ]
        source = _find_source(routed, near, now)
        predicted = (
            predict(routed, endpoint, sender=sender, now=now, source=source)
            for endpoint in near
            if not routed.tried[endpoint.entry.incarnation]
            and self._may_load(endpoint, routed.service, now)
        )
        wished = list(self._keep_wishes(predicted, routed.service, now))
        candidates = self._suspects.weigh_candidates(routed, wished, now)
        if routed.service.engine is None or routed.call.prompt is None:
            return candidates
        return apply_isolation(
            routed, candidates, self._choose_apart(routed.service.name, near, now)
        )

    def _keep_wishes(
        self, candidates: Iterable[Candidate], service: Service, now: float
    ) -> Iterator[Candidate]:
        """Leave out endpoints whose limit gives this host no share.

        Others wait for their part of it, or for the end of a pause that they asked for.
        """
        waiting = len(self.get_line(service.name))
        for candidate in candidates:
            wait_s = self._shares.estimate_wait(candidate.endpoint, waiting, now)
            if wait_s is not None:
                pause_s = self._directory.get_pause_s(candidate.endpoint, now)
                yield candidate.with_delay(max(wait_s, pause_s))

    def get_isolation(self, service: str) -> LargePromptIsolation:
        """Give what was seen of prompts and pauses at a service."""
        return self._isolations.setdefault(service, LargePromptIsolation(service))

    def _choose_apart(
        self, service: str, endpoints: Sequence[Endpoint], now: float
    ) -> frozenset[str]:
        """Choose the engines that large prompts are kept to, and log when others are chosen."""
        chosen = self.get_isolation(service).select_engines(endpoints, now)
        if chosen != self._apart.get(service, frozenset()):
            self._apart[service] = chosen
            tell("large_prompts_kept", service=service, endpoints=sorted(chosen))
        return chosen

    def _pass_to(self, peer: Peer, service: Service) -> Target:
        """Take a place that another region offers, until it offers anew.

        A place of a plain service is free again when the request has ended: counted as taken until
        the next offer, six places bore six requests a second instead of a hundred. What a prompt
        takes of an engine shows in the next offer only.
        """
        member = peer.member
        self._change_free(member.region, service.name, -1)
        lent_by = service.name if service.engine is None else ""
        number = next(self._numbers)
        return Target(
            member.forwarding_address,
            member.name,
            member.region,
            number,
            peer=peer,
            lent_by=lent_by,
        )

    def _change_free(self, region: str, service: str, by: int) -> None:
        """Change the count of places that a region is taken to have."""
        for peer in self._members.peers.values():
            offer = peer.advertised.get(service)
            if peer.member.region == region and offer is not None:
                peer.advertised[service] = offer._replace(free_slots=offer.free_slots + by)

    def _take_here(self, routed: RoutedCall, here: Candidate, now: float) -> Target:
        endpoint = here.endpoint
        number = next(self._numbers)
        endpoint.load.begin(number, here.work, routed.call.prompt, now)
        if here.work.prefill_tokens:
            self.get_isolation(routed.service.name).note_prompt(routed, here, now)
        if here.work.prefill_tokens >= TOLD_TOKENS:
            self.on_prompt()
        if endpoint.is_cold(now):
            endpoint.last_cold_send_at = now
        self._shares.take(endpoint, now)
        entry = endpoint.entry
        until = min(routed.call.deadline, routed.call.arrived_at + routed.route.timeout_s)
        self._suspects.begin(number, routed, entry.incarnation, until, now)
        return Target(
            entry.address, entry.incarnation, self._settings.region, number, candidate=here
        )

    def _may_load(self, endpoint: Endpoint, service: Service, now: float) -> bool:
        """Tell whether an endpoint may get a request just now, as far as it is cold."""
        if not endpoint.is_cold(now) or not service.cold_requests_per_s:
            return True
        spacing = compute_cold_send_interval(
            service.cold_requests_per_s,
            self._settings.cold,
            endpoint.entry.id,
            self._members.own.name,
            self._members.list_region(),
            age_s=now - self._started_at,
        )
        return spacing is not None and now - endpoint.last_cold_send_at >= spacing

    def _list_offers(self, routed: RoutedCall, now: float) -> list[RegionCandidate]:
        """Predict how a request would fare in the other regions that may run it and have room."""
        predicted = []
        work = estimate_remote_work(routed.call)
        for region, offer in self._find_latest_offers(routed.service.name, now).items():
            is_home = not routed.route.home_regions or region in routed.route.home_regions
            has_room = offer.free_slots > 0 and offer.max_prompt_tokens >= work.prefill_tokens
            if is_home and has_room and routed.tried[region] < FAR_TRIES:
                predicted.append(predict_region(routed, offer, RemoteRegion(region, FAR_S), now))
        return predicted

    def _find_latest_offers(self, service: str, now: float) -> dict[str, AdvertisedCapacity]:
        """Find what each other region has offered last.

        Of offers by several hosts the best one would be the most wrong one.
        """
        latest: dict[str, Peer] = {}
        for peer in self._members.list_alive(now):
            region = peer.member.region
            usable = service in peer.advertised and peer.member.ready and now >= peer.backoff_until
            if region == self._settings.region or not usable:
                continue
            if region not in latest or peer.advertised_at > latest[region].advertised_at:
                latest[region] = peer
        return {
            region: extrapolate_offer(peer.advertised[service], now - peer.advertised_at)
            for region, peer in latest.items()
        }

    def _choose_peer(self, routed: RoutedCall, region: str, now: float) -> Peer | None:
        peers = self._members.list_forwarding_targets(region, now)
        peers = [peer for peer in peers if not routed.tried[peer.member.name]]
        return random.choice(peers) if peers else None


def _find_source(routed: RoutedCall, endpoints: list[Endpoint], now: float) -> FetchSource | None:
    """Find the endpoint that others may fetch parts of a prompt from."""
    prompt, shape = routed.call.prompt, routed.service.engine
    if prompt is None or shape is None or not shape.can_fetch:
        return None
    return find_source(prompt, endpoints, now)
