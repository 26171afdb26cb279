"""Requests that run in another region than that of the host that received them."""

from __future__ import annotations

from cloverway.core.retry_budget import RetryBudgetSettings
from cloverway.serving.http.client import fetch, make_request
from cloverway.tests.fleet.deployment import count_runs, run_fleet, run_scenario, wait_for
from cloverway.tests.fleet.standins import make_route, make_service
from cloverway.tests.fleet.versions import (
    add_model,
    is_whole,
    make_path,
    publish_stream_route,
    serve_version,
    wait_for_versions,
)


def test_a_request_is_forwarded_to_the_region_that_may_run_it():
    """The route is bound to the south; the caller is connected to a host in the north.

    Endpoints accept only hosts of their own region, so the request is forwarded once, to a host in
    the south.
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
                and any("desk" in p.advertised for p in north.members.peers.values())
            )
            reply = await fleet.call("/once/a", north)
            assert reply.body == b"ran at far-0"
            assert len(endpoint.requests) == 1
            assert count_runs(fleet, "desk") == 0

    run_scenario(scenario)


def test_a_failure_of_the_only_endpoint_of_a_region_is_retried_in_another():
    """An endpoint fails one request in seven, and the request may be retried.

    A region with several endpoints retries on the next one. If a region with one endpoint didn't
    retry elsewhere, its callers would get seven times as many failures as others.
    """

    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            await fleet.add_host("d2")
            await fleet.add_endpoint("far-0", "desk", "d2")
            north = fleet.hosts[0]
            await wait_for(
                lambda: any("desk" in p.advertised for p in north.members.peers.values())
            )
            endpoint = fleet.endpoints["desk-0"]

            async def fail(exchange):
                await exchange.answer(500, endpoint.make_head(exchange), b"")

            endpoint.answer = fail
            reply = await fleet.call("/safe/a", north)
            assert (reply.status, reply.body) == (200, b"ran at far-0")
            assert len(endpoint.requests) == 1

    run_scenario(scenario)


def test_slots_of_another_region_are_free_again_after_each_request():
    """One region has no endpoint, and the endpoint of another region has two slots.

    That capacity is advertised once a second. If a slot stayed taken until the next
    advertisement, all but the first two of twenty short requests would be refused.
    """

    async def scenario():
        async with run_fleet(endpoints=0) as fleet:
            await fleet.add_host("d2")
            await fleet.add_endpoint("far-0", "desk", "d2", slots=2)
            north = fleet.hosts[0]
            await wait_for(
                lambda: any("desk" in p.advertised for p in north.members.peers.values())
            )
            replies = [await fleet.call("/once/a", north) for _ in range(20)]
            assert [reply.status for reply in replies] == [200] * 20

    run_scenario(scenario)


def test_capacity_advertised_after_a_request_was_sent_outlives_its_refusal():
    """A region declines a request, but has advertised capacity since the request was sent.

    The request was queued there before it was declined. Only what the region advertised before it
    was sent may be discarded; the later advertisement already accounts for that queue.
    """

    async def scenario():
        async with run_fleet(endpoints=0) as fleet:
            await fleet.add_host("d2")
            await fleet.add_endpoint("far-0", "desk", "d2")
            north = fleet.hosts[0]
            await wait_for(
                lambda: any("desk" in p.advertised for p in north.members.peers.values())
            )
            (peer,) = (p for p in north.members.peers.values() if "desk" in p.advertised)
            target_selector = north.context.target_selector
            target_selector.discard_advertised("south", "desk", peer.advertised_at - 0.2)
            assert "desk" in peer.advertised
            target_selector.discard_advertised("south", "desk", peer.advertised_at)
            assert "desk" not in peer.advertised

    run_scenario(scenario)


def test_a_host_with_an_older_configuration_declines_a_forwarded_request():
    """A host forwards a request by a configuration that the other host has not read yet.

    The other host would run it by an outdated route after callers saw the effect of the new one. It
    declines the request as not run.
    """

    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            host = fleet.hosts[0]
            newer = host.directory.configuration.version + 1
            forwarding = b"%d;desk;south" % newer
            fields = [
                (b"Host", b"shop.example"),
                (b"X-Cloverway-Request-Id", b"passed"),
                (b"X-Cloverway-Deadline-Ms", b"2000"),
                (b"cloverway-passed-on", forwarding),
            ]
            request = make_request("POST", "/once/a", fields, b"x")
            head, _ = await fetch(
                fleet.pool,
                host.members.own.forwarding_address,
                request,
                b"x",
                timeout_s=2.0,
                limit=10_000,
            )
            assert head.status == 503
            assert head.get(b"cloverway-ran") == b"no"
            assert count_runs(fleet, "desk") == 0

    run_scenario(scenario)


def test_a_region_without_capacity_gets_no_requests():
    """Guards against forwarding requests by capacity that a region no longer advertises.

    The only endpoint of the region leaves. If heartbeats without capacity left the old value in
    place, it would grow with its age, and each request would be forwarded in vain three times.
    """

    async def scenario():
        async with run_fleet(endpoints=0) as fleet:
            await fleet.add_host("d2")
            remote = await fleet.add_endpoint("far-0", "desk", "d2")
            north = fleet.hosts[0]

            def has_capacity():
                capacities = [p.advertised.get("desk") for p in north.members.peers.values()]
                return any(
                    capacity is not None and capacity.free_slots > 0 for capacity in capacities
                )

            await wait_for(has_capacity)
            assert (await fleet.call("/safe/a", north)).body == b"ran at far-0"
            fleet.store.put("servers/far-0", remote.make_entry(state="draining"))
            await wait_for(lambda: not has_capacity(), 3.0)

    run_scenario(scenario)


def test_a_stream_that_breaks_in_another_region_goes_on_there():
    """Guards against blaming the only host of a region for a stream that its endpoint broke off.

    The stream would be cut though other endpoints serve, and the next requests be refused.
    """

    async def scenario():
        async with run_fleet(hosts=0, endpoints=0) as fleet:
            publish_stream_route(fleet)
            for number in range(3):
                endpoint = await add_model(fleet, f"far-{number}", "v1", "d2")
                serve_version(endpoint, "v1", breaks=True)
            for domain in ("d1", "d2"):
                await fleet.add_host(domain, retries=RetryBudgetSettings(ratio=2.0))
            await wait_for_versions(fleet)
            north = fleet.hosts[0]
            await wait_for(
                lambda: any("model" in p.advertised for p in north.members.peers.values())
            )
            replies = [await fleet.call(make_path(), north) for _ in range(16)]
            assert [reply.status for reply in replies] == [200] * 16
            assert all(is_whole(reply.body) and reply.complete for reply in replies)

    run_scenario(scenario)
