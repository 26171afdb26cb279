"""The capacity that a region advertises to other regions."""

from __future__ import annotations

from collections.abc import Callable

from cloverway.core.endpoints import Directory
from cloverway.core.load import EngineState
from cloverway.core.members import AdvertisedCapacity
from cloverway.core.selection import RegionCapacity, compute_region_capacity
from cloverway.serving.hosts.messages import RegionOffer

MAX_FREE_SLOTS = 1000
"""Maximum number of free slots advertised: no host forwards more requests between two
heartbeats."""


def list_region_capacity(
    directory: Directory, get_queued_work_s: Callable[[str], float], now: float
) -> tuple[RegionOffer, ...]:
    """Return the capacity of this region's endpoints by service.

    Endpoints that are cold, have named a limit or asked for a pause have no more capacity than the
    requests of their own region need. `get_queued_work_s` returns the work of the requests queued
    here for a service, in seconds.
    """
    configuration = directory.configuration
    if configuration is None:
        return ()
    offers = []
    for service in configuration.services.values():
        endpoints = [
            endpoint
            for endpoint in directory.list_usable(service.name, now)
            if directory.topology.region == endpoint.region
            and not endpoint.is_cold(now)
            and not directory.is_limited(endpoint)
            and not directory.get_pause_s(endpoint, now)
        ]
        if endpoints:
            capacity = compute_region_capacity(
                service, endpoints, get_queued_work_s(service.name), now
            )
            offers.append(_encode_region_offer(service.name, capacity))
        else:
            # If it were left out, the last advertised capacity would stay valid and grow with its
            # age.
            offers.append(RegionOffer(service.name, 0, 0))
    return tuple(offers)


def decode_region_offer(offer: RegionOffer) -> AdvertisedCapacity:
    """Decode the advertised capacity of another region."""
    wait_s = offer.wait_ms / 1000
    engine = EngineState(wait_s, offer.read_ns / 1e9, offer.token_us / 1e6, offer.running)
    return AdvertisedCapacity(offer.service_name, wait_s, offer.free, offer.room, engine)


def _encode_region_offer(service: str, capacity: RegionCapacity) -> RegionOffer:
    free_slots = min(capacity.free_slots, MAX_FREE_SLOTS)
    offer = RegionOffer(
        service, int(capacity.wait_s * 1000), free_slots, capacity.max_prompt_tokens
    )
    if capacity.engine is None:
        return offer
    return offer._replace(
        read_ns=int(capacity.engine.prefill_s_per_token * 1e9),
        token_us=int(capacity.engine.decode_s_per_token * 1e6),
        running=capacity.engine.running,
    )
