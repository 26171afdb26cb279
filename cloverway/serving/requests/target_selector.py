"""Selection of targets for requests: endpoints of this region, or hosts of another region."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import NamedTuple

from cloverway.core.cold_start import compute_cold_send_interval
from cloverway.core.deployment import Service
from cloverway.core.endpoint import Endpoint
from cloverway.core.endpoints import Directory
from cloverway.core.isolation import LargePromptIsolation, apply_isolation
from cloverway.core.kv_fetch import FetchSource, find_fetch_source
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
    estimate_queueing_cost,
    estimate_start_delay,
    extrapolate_capacity,
)
from cloverway.serving.clock import read_clock
from cloverway.serving.hosts.suspects import SuspectTracker
from cloverway.serving.http.client import Destination
from cloverway.serving.requests.limit_shares import LimitShares
from cloverway.serving.requests.request_queue import RequestQueue
from cloverway.serving.settings import FleetSettings
from cloverway.serving.telemetry import log_event

LOAD_SYNC_S = 1.5
"""Age up to which a host may not know yet what load the other hosts put on endpoints: the time of
its start, of their heartbeats, and of one period of rebroadcasting that load."""
INTER_REGION_RTT_S = 0.2
"""Assumed round-trip time to another region, which isn't measured."""
REMOTE_REGION_MARGIN_S = 0.3
"""By how many seconds another region must be better before a request is sent there. The KV cache of
its prefix is in this region, and traffic between regions is expensive."""
MIN_BROADCAST_TOKENS = 1_000
"""Uncached prompt tokens from which a request is broadcast to other hosts at once; they take 26 ms
of prefill. Smaller requests are reported with the next periodic broadcast of loads."""
MAX_REGION_DECLINES = 3
"""How often a region may decline one request before it is no longer tried: each try costs traffic
between regions."""


class Target(NamedTuple):
    """The reserved target of a request: an endpoint, or a host of another region."""

    address: str
    name: str
    """The incarnation of the endpoint, or the name of the host that the request is forwarded to."""
    region: str
    number: int
    """Identifies the request in the load of the endpoint."""
    candidate: Candidate | None = None
    peer: Peer | None = None
    reserved_service: str = ""
    """The service of which a slot in another region is reserved while the request runs."""

    @property
    def fetch_from(self) -> str:
        """The address of the endpoint to fetch cached prompt segments from, or an empty string."""
        source = self.candidate.fetch_source if self.candidate is not None else None
        return source.entry.address if source is not None else ""

    @property
    def destination(self) -> Destination:
        """The address and endpoint that a connection for the request leads to."""
        return Destination(self.address, self.name if self.candidate is not None else "")


class TargetSelector:
    """Selects and reserves targets; owns the counts of requests in progress."""

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
        self._queues: dict[str, RequestQueue[Target]] = {}
        self._isolations: dict[str, LargePromptIsolation] = {}
        self._shares = LimitShares(members, directory)
        self._isolated: dict[str, frozenset[str]] = {}
        """The engines that large prompts of each service were last restricted to."""
        self.on_large_prompt: Callable[[], None] = lambda: None
        """Called when a prompt was sent that must be broadcast to other hosts at once."""

    def get_queue(self, service: str) -> RequestQueue[Target]:
        """Return the queue of the requests for a service."""
        return self._queues.setdefault(service, RequestQueue())

    def sum_queued_work(self, service: str) -> float:
        """Return the seconds of work of the requests that are queued here for a service."""
        return self.get_queue(service).sum_work()

    def take(self, routed: RoutedCall, ahead_s: float, now: float) -> Target | None:
        """Reserve a target for a request; return None when there is none now.

        `ahead_s` is the work of the requests queued before it.
        """
        candidates = self.list_candidates(routed, now)
        local = choose_endpoint(candidates)
        if routed.call.forwarding is None:
            remote_regions = self._list_remote_regions(routed, now)
            local_cost_s = (
                local.cost_s if local is not None else estimate_queueing_cost(candidates, ahead_s)
            )
            remote = choose_region(local_cost_s, remote_regions, REMOTE_REGION_MARGIN_S)
            peer = self._choose_peer(routed, remote.region, now) if remote is not None else None
            if peer is not None:
                return self._take_remote(peer, routed.service)
        return self._take_local(routed, local, now) if local is not None else None

    def estimate_start_delay(self, routed: RoutedCall, ahead_s: float, now: float) -> float | None:
        """Estimate the seconds until a request behind others can start here; None if unknown."""
        return estimate_start_delay(self.list_candidates(routed, now), ahead_s)

    def release(self, target: Target) -> None:
        """Release a reserved target."""
        if target.candidate is not None:
            target.candidate.endpoint.load.end(target.number)
            self._suspects.end(target.number)
        if target.reserved_service:
            self._adjust_free(target.region, target.reserved_service, 1)

    def discard_advertised(self, region: str, service: str, sent_at: float) -> None:
        """Discard the capacity a region advertised before it was sent a request that it declined.

        A region declines requests that timed out in its queue. What its hosts advertised after
        `sent_at` already accounts for that queue and is kept.
        """
        for peer in self._members.peers.values():
            if peer.member.region == region and peer.advertised_at <= sent_at:
                peer.advertised.pop(service, None)

    def explain(self, routed: RoutedCall, now: float) -> str:
        """Return why no target can be selected for a request."""
        if not self._directory.list_usable(routed.service.name, now):
            return "no usable endpoint of the service is known"
        candidates = self.list_candidates(routed, now)
        if not candidates:
            return "no endpoint that may run it is left in this region"
        full = sum(candidate.is_full for candidate in candidates)
        limited = sum(self._directory.is_limited(candidate.endpoint) for candidate in candidates)
        by_limit = f", {limited} name a limit" if limited else ""
        return f"{full} of {len(candidates)} endpoints here are full{by_limit}"

    def has_alternative(self, routed: RoutedCall, now: float) -> bool:
        """Return whether an endpoint here or another region may run a request that failed once.

        If other regions were ignored, a region with a single endpoint of the service would never
        retry.
        """
        if self.list_candidates(routed, now):
            return True
        return routed.call.forwarding is None and bool(self._list_remote_regions(routed, now))

    def is_origin_served(self, routed: RoutedCall, now: float) -> bool:
        """Return whether an endpoint may continue the stream of a request, now or soon."""
        return routed.origin is not None and any(
            endpoint.region == self._settings.region or routed.call.forwarding is None
            for endpoint in self._directory.list_by_origin(routed.origin, now)
        )

    def _list_usable(self, routed: RoutedCall, now: float) -> list[Endpoint]:
        """Return the usable endpoints of the service that may run or continue a request."""
        usable = self._directory.list_usable(routed.service.name, now)
        if routed.origin is None:
            return usable
        return [item for item in usable if item.entry.version == routed.origin.version]

    def list_candidates(self, routed: RoutedCall, now: float) -> Sequence[Candidate]:
        """List the endpoints of this region that may run a request, with their predictions."""
        region = self._settings.region
        if routed.route.home_regions and region not in routed.route.home_regions:
            return []
        sender = Sender(
            self._settings.domain,
            len(self._members.list_region()) + 1,
            now - self._started_at < LOAD_SYNC_S,
        )
        local_endpoints = [
            endpoint for endpoint in self._list_usable(routed, now) if endpoint.region == region
        ]
        if routed.binding is not None and not routed.binding.has_events:
            local_endpoints = _prefer_known_versions(local_endpoints, now)
        sources = _find_fetch_sources(routed, local_endpoints, now)
        predicted = (
            predict(
                routed, endpoint, sender=sender, now=now, source=sources[endpoint.entry.version]
            )
            for endpoint in local_endpoints
            if not routed.tried[endpoint.entry.incarnation]
            and self._allows_cold_send(endpoint, routed.service, now)
        )
        allowed = list(self._filter_by_limit(predicted, routed.service, now))
        candidates = self._suspects.weigh_candidates(routed, allowed, now)
        if routed.service.engine is None or routed.call.prompt is None:
            return candidates
        return apply_isolation(
            routed, candidates, self._choose_isolated(routed.service.name, local_endpoints, now)
        )

    def _filter_by_limit(
        self, candidates: Iterable[Candidate], service: Service, now: float
    ) -> Iterator[Candidate]:
        """Leave out endpoints whose rate limit gives this host no share.

        Delay the others until the share allows a request, and until a pause that they asked for is
        over.
        """
        waiting = len(self.get_queue(service.name))
        for candidate in candidates:
            wait_s = self._shares.estimate_wait(candidate.endpoint, waiting, now)
            if wait_s is not None:
                pause_s = self._directory.get_pause_s(candidate.endpoint, now)
                yield candidate.with_delay(max(wait_s, pause_s))

    def get_isolation(self, service: str) -> LargePromptIsolation:
        """Return the recorded prefills and inter-token gaps of a service."""
        return self._isolations.setdefault(service, LargePromptIsolation(service))

    def _choose_isolated(
        self, service: str, endpoints: Sequence[Endpoint], now: float
    ) -> frozenset[str]:
        """Choose the engines that large prompts are restricted to, and log each change."""
        chosen = self.get_isolation(service).select_engines(endpoints, now)
        if chosen != self._isolated.get(service, frozenset()):
            self._isolated[service] = chosen
            log_event("large_prompts_kept", service=service, endpoints=sorted(chosen))
        return chosen

    def _take_remote(self, peer: Peer, service: Service) -> Target:
        """Reserve a free slot that another region advertises.

        For a plain service the slot is free again when the request has ended. If it counted as
        taken until the region advertises again, six slots would sustain six requests a second
        instead of a hundred. For an engine the slot stays taken, since only the next advertised
        capacity shows how much of it the prompt used.
        """
        member = peer.member
        self._adjust_free(member.region, service.name, -1)
        reserved_service = service.name if service.engine is None else ""
        number = next(self._numbers)
        return Target(
            member.forwarding_address,
            member.name,
            member.region,
            number,
            peer=peer,
            reserved_service=reserved_service,
        )

    def _adjust_free(self, region: str, service: str, by: int) -> None:
        """Change the number of free slots that a region is assumed to have."""
        for peer in self._members.peers.values():
            capacity = peer.advertised.get(service)
            if peer.member.region == region and capacity is not None:
                peer.advertised[service] = capacity._replace(free_slots=capacity.free_slots + by)

    def _take_local(self, routed: RoutedCall, local: Candidate, now: float) -> Target:
        endpoint = local.endpoint
        number = next(self._numbers)
        endpoint.load.begin(number, local.work, routed.call.prompt, now)
        if local.work.prefill_tokens:
            self.get_isolation(routed.service.name).record_prompt(routed, local, now)
        if local.work.prefill_tokens >= MIN_BROADCAST_TOKENS:
            self.on_large_prompt()
        endpoint.begin_attempt(now)
        self._shares.take(endpoint, now)
        entry = endpoint.entry
        until = min(routed.call.deadline, routed.call.arrived_at + routed.route.timeout_s)
        self._suspects.begin(number, routed, entry.incarnation, until, now)
        return Target(
            entry.address, entry.incarnation, self._settings.region, number, candidate=local
        )

    def _allows_cold_send(self, endpoint: Endpoint, service: Service, now: float) -> bool:
        """Return whether a cold endpoint may get a request now; always true for a warm one."""
        if not endpoint.is_cold(now) or not service.cold_requests_per_s:
            return True
        interval_s = compute_cold_send_interval(
            service.cold_requests_per_s,
            self._settings.cold,
            endpoint.entry.id,
            self._members.own.name,
            self._members.known_hosts.list_region(),
            count=self._members.known_hosts.count_region(),
            may_share=self._members.known_hosts.may_share_region(now),
        )
        return interval_s is not None and now - endpoint.last_attempt_at >= interval_s

    def _list_remote_regions(self, routed: RoutedCall, now: float) -> list[RegionCandidate]:
        """Predict the cost of a request in each other region that may run it and has capacity."""
        predicted = []
        work = estimate_remote_work(routed.call)
        served = self._list_serving_regions(routed, now)
        for region, capacity in self._find_latest_capacity(routed.service.name, now).items():
            is_home = not routed.route.home_regions or region in routed.route.home_regions
            has_capacity = (
                capacity.free_slots > 0 and capacity.max_prompt_tokens >= work.prefill_tokens
            )
            if served is not None and region not in served:
                continue
            if is_home and has_capacity and routed.tried[region] < MAX_REGION_DECLINES:
                predicted.append(
                    predict_region(routed, capacity, RemoteRegion(region, INTER_REGION_RTT_S), now)
                )
        return predicted

    def _list_serving_regions(self, routed: RoutedCall, now: float) -> set[str] | None:
        """Return the regions that may continue a stream; None for any other request."""
        if routed.origin is None:
            return None
        return {endpoint.region for endpoint in self._list_usable(routed, now)}

    def _find_latest_capacity(self, service: str, now: float) -> dict[str, AdvertisedCapacity]:
        """Return the capacity that each other region advertised last.

        If several hosts of a region advertise, the most favourable value would be the least
        accurate one, so the latest is used.
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
            region: extrapolate_capacity(peer.advertised[service], now - peer.advertised_at)
            for region, peer in latest.items()
        }

    def _choose_peer(self, routed: RoutedCall, region: str, now: float) -> Peer | None:
        peers = self._members.list_forwarding_targets(region, now)
        peers = [peer for peer in peers if not routed.tried[peer.member.name]]
        return random.choice(peers) if peers else None


def _prefer_known_versions(endpoints: list[Endpoint], now: float) -> list[Endpoint]:
    """Return the endpoints for a new stream that others can go on with, if there are any."""
    return [endpoint for endpoint in endpoints if endpoint.has_known_version(now)] or endpoints


def _find_fetch_sources(
    routed: RoutedCall, endpoints: list[Endpoint], now: float
) -> dict[str, FetchSource | None]:
    """Find, for each version, the endpoint that others of it may fetch a prompt's prefix from.

    What one version has computed is of no use to another.
    """
    prompt, spec = routed.call.prompt, routed.service.engine
    versions = {endpoint.entry.version for endpoint in endpoints}
    if prompt is None or spec is None or not spec.can_fetch:
        return dict.fromkeys(versions)
    return {
        version: find_fetch_source(
            prompt, [e for e in endpoints if e.entry.version == version], now
        )
        for version in versions
    }
