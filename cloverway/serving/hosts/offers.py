"""What a region tells others of the requests that its endpoints can take."""

from __future__ import annotations

from collections.abc import Callable

from cloverway.core.endpoints import Directory
from cloverway.core.load import EngineState
from cloverway.core.members import Offer
from cloverway.core.selection import RegionCapacity, compute_region_capacity
from cloverway.serving.hosts.peerwire import RegionOffer

MOST_FREE = 1000
"""Free places that an offer names at most: no host passes on more between two offers."""


def list_offers(
    directory: Directory, sum_waiting: Callable[[str], float], now: float
) -> tuple[RegionOffer, ...]:
    """Sum up what this region's endpoints can take, by service.

    Those that are cold, name a limit or asked for a pause have no more than their own region's
    requests need.
    `sum_waiting` gives the work of the requests that wait here for a service.
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
            room = compute_region_capacity(service, endpoints, sum_waiting(service.name), now)
            offers.append(_encode_room(service.name, room))
        else:
            # Left out, what was offered last would hold on, and grow with its age.
            offers.append(RegionOffer(service.name, 0, 0))
    return tuple(offers)


def read_offer(offer: RegionOffer) -> Offer:
    """Decode what another region offers."""
    wait_s = offer.wait_ms / 1000
    engine = EngineState(wait_s, offer.read_ns / 1e9, offer.token_us / 1e6, offer.running)
    return Offer(offer.service_name, wait_s, offer.free, offer.room, engine)


def _encode_room(service: str, room: RegionCapacity) -> RegionOffer:
    free = min(room.free, MOST_FREE)
    offer = RegionOffer(service, int(room.wait_s * 1000), free, room.tokens)
    if room.engine is None:
        return offer
    return offer._replace(
        read_ns=int(room.engine.prefill_s_per_token * 1e9),
        token_us=int(room.engine.decode_s_per_token * 1e6),
        running=room.engine.running,
    )
