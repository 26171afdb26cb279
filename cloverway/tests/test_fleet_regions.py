"""Requests that run in another region than that of the host they came to."""

from __future__ import annotations

from cloverway.serving.http.client import fetch, make_request
from cloverway.tests.fleet.deployment import count_runs, play, run_fleet, wait_for
from cloverway.tests.fleet.standins import make_route, make_service


def test_a_request_is_passed_on_to_the_region_that_may_run_it():
    """The route is bound to the south; the caller is connected to a host in the north.

    Endpoints answer only hosts of their own region, so a host in the south runs it, in one hop.
    """

    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            south = await fleet.add_host("d2")
            endpoint = await fleet.add_endpoint("far-0", "desk", "d2")
            fleet.publish(
                [make_route("once", "non_idempotent", "desk", homeRegions=["south"])],
                [make_service("desk")],
            )
            north = fleet.hosts[0]
            await wait_for(
                lambda: all(h.directory.configuration.version == fleet.version for h in fleet.hosts)
                and "far-0" in south.directory.endpoints
                and any("desk" in p.offers for p in north.members.peers.values())
            )
            reply = await fleet.call("/once/a", north)
            assert reply.body == b"ran at far-0"
            assert len(endpoint.requests) == 1
            assert count_runs(fleet, "desk") == 0

    play(scenario)


def test_a_failure_of_the_only_endpoint_of_a_region_is_made_good_in_another():
    """An endpoint answers one request in seven with a failure of its own, and may be asked again.

    A region with several endpoints asks the next one; the only one of a region has no next, and its
    callers got seven times as many failures as others.
    """

    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            await fleet.add_host("d2")
            await fleet.add_endpoint("far-0", "desk", "d2")
            north = fleet.hosts[0]
            await wait_for(lambda: any("desk" in p.offers for p in north.members.peers.values()))
            endpoint = fleet.endpoints["desk-0"]

            async def fail(exchange):
                await exchange.answer(500, endpoint.head(exchange), b"")

            endpoint.answer = fail
            reply = await fleet.call("/safe/a", north)
            assert (reply.status, reply.body) == (200, b"ran at far-0")
            assert len(endpoint.requests) == 1

    play(scenario)


def test_places_that_another_region_has_lent_are_free_again_after_each_request():
    """The endpoint of one region is away, and the one of another region has two places.

    It is told of them once a second. Twenty short requests come then, one after the other, and
    after the second of them all were refused.
    """

    async def scenario():
        async with run_fleet(endpoints=0) as fleet:
            await fleet.add_host("d2")
            await fleet.add_endpoint("far-0", "desk", "d2", slots=2)
            north = fleet.hosts[0]
            await wait_for(lambda: any("desk" in p.offers for p in north.members.peers.values()))
            replies = [await fleet.call("/once/a", north) for _ in range(20)]
            assert [reply.status for reply in replies] == [200] * 20

    play(scenario)


def test_what_a_region_has_offered_since_a_request_left_outlives_its_refusal():
    """A region has room again; whoever had a request declined there believes it has none.

    The request waited in the line there before it was declined, and the region's hosts have said
    meanwhile what is free. That was forgotten with what they had said before.
    """

    async def scenario():
        async with run_fleet(endpoints=0) as fleet:
            await fleet.add_host("d2")
            await fleet.add_endpoint("far-0", "desk", "d2")
            north = fleet.hosts[0]
            await wait_for(lambda: any("desk" in p.offers for p in north.members.peers.values()))
            (peer,) = (p for p in north.members.peers.values() if "desk" in p.offers)
            target_selector = north.context.target_selector
            target_selector.discard_offers("south", "desk", peer.offers_at - 0.2)
            assert "desk" in peer.offers
            target_selector.discard_offers("south", "desk", peer.offers_at)
            assert "desk" not in peer.offers

    play(scenario)


def test_a_host_with_an_older_configuration_does_not_run_what_is_passed_on_to_it():
    """A host passes a request on by a configuration that the other host has not read yet.

    That one would run it by a route of before, after callers saw the effect of the new one. It
    declines, and says "not run".
    """

    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            host = fleet.hosts[0]
            newer = host.directory.configuration.version + 1
            passed = b"%d;desk;south" % newer
            fields = [
                (b"Host", b"shop.example"),
                (b"X-Cloverway-Request-Id", b"passed"),
                (b"X-Cloverway-Deadline-Ms", b"2000"),
                (b"cloverway-passed-on", passed),
            ]
            request = make_request("POST", "/once/a", fields, b"x")
            head, _ = await fetch(
                fleet.pool, host.members.own.inner, request, b"x", timeout_s=2.0, limit=10_000
            )
            assert head.status == 503
            assert head.get(b"cloverway-ran") == b"no"
            assert count_runs(fleet, "desk") == 0

    play(scenario)


def test_a_region_that_has_nothing_left_to_offer_gets_nothing_passed_on():
    """Guards against requests that are passed on to a region by what it offered when it had room.

    Its only endpoint leaves. Heartbeats without offers changed nothing, so what it had offered held
    on and grew with its age: each request was passed on in vain, three times.
    """

    async def scenario():
        async with run_fleet(endpoints=0) as fleet:
            await fleet.add_host("d2")
            far = await fleet.add_endpoint("far-0", "desk", "d2")
            north = fleet.hosts[0]

            def offers_room():
                offers = [p.offers.get("desk") for p in north.members.peers.values()]
                return any(offer is not None and offer.free > 0 for offer in offers)

            await wait_for(offers_room)
            assert (await fleet.call("/safe/a", north)).body == b"ran at far-0"
            fleet.store.put("servers/far-0", far.describe(state="draining"))
            await wait_for(lambda: not offers_room(), 3.0)

    play(scenario)
