"""What hosts of a fleet know of the store and of each other, and where they direct callers."""

from __future__ import annotations

import asyncio
import json

import pytest

from cloverway.core.lookup import MIN_LOOKUP_AGE_S
from cloverway.platform.store import StoreResponse
from cloverway.serving.clock import read_clock
from cloverway.serving.documents.catalogue import MAX_FOLLOWER_AGE_S
from cloverway.serving.http.client import ClientExchange, fetch, make_request
from cloverway.tests.fleet.deployment import read_reply, run_fleet, run_scenario, wait_for
from cloverway.tests.fleet.standins import make_route, make_service, take_ports


def test_a_host_without_a_configuration_refuses_and_is_not_ready():
    """A host starts while the store is unavailable and no other host is running.

    It cannot know whether a route exists. A 404 would make the caller give up for good, so it
    answers 503 with a time to retry.
    """

    async def scenario():
        async with run_fleet(hosts=0, endpoints=1) as fleet:
            fleet.store.status = 503
            host = await fleet.add_host()
            reply = await fleet.call("/safe/a")
            assert reply.status == 503
            assert float(reply.headers[b"retry-after"]) > 0
            assert not host.members.own.ready

    run_scenario(scenario)


def test_a_request_before_the_first_configuration_waits_for_it_briefly():
    """All hosts restart; one with a slow path to the store knows its routes 0.3 s later.

    Its callers reconnect at once. Refused, they would retry after half a second or more, and most
    of them only once.
    """

    async def scenario():
        async with run_fleet(hosts=0, endpoints=1) as fleet:
            fleet.store.delay_s = 0.25
            host = await fleet.add_host()
            reply = await fleet.call("/safe/a", host)
            assert reply.status == 200

    run_scenario(scenario)


def test_a_host_that_cannot_read_the_store_gets_its_documents_from_a_peer():
    async def scenario():
        async with run_fleet(hosts=1, endpoints=1) as fleet:
            cut_off = await fleet.add_host(store="127.0.0.1:9")
            await wait_for(lambda: cut_off.members.own.ready)
            fleet.publish([make_route("new", "idempotent", "desk")], [make_service("desk")])
            await wait_for(lambda: cut_off.directory.configuration.version == fleet.version, 4.0)
            reply = await fleet.call("/new/a", cut_off)
            assert reply.status == 200

    run_scenario(scenario)


def test_two_hosts_of_a_domain_read_the_store_and_the_others_follow_them():
    """Each read is billed, so the 90 hosts of a fleet must not all read each second.

    A change must still be in force everywhere at once, as if all of them had read.
    """

    async def scenario():
        async with run_fleet(hosts=5) as fleet:
            await wait_for(
                lambda: sum(h.catalogue.is_reader(read_clock()) for h in fleet.hosts) == 2
            )
            await asyncio.sleep(0.5)
            before = len(fleet.store.calls)
            await asyncio.sleep(3.0)
            assert len(fleet.store.calls) - before <= 2 * 4
            assert all(
                read_clock() - host.catalogue.read_at < MAX_FOLLOWER_AGE_S for host in fleet.hosts
            )
            fleet.store.put("op/evacuate/d1", {})
            await wait_for(lambda: all(h.directory.evacuated for h in fleet.hosts), 1.5)
            fleet.store.delete("op/evacuate/d1")
            await wait_for(lambda: not any(h.directory.evacuated for h in fleet.hosts), 1.5)

    run_scenario(scenario)


def test_followers_read_the_store_when_no_reader_can():
    """Both readers of a failure domain lose the connection to the store, and nothing else does.

    Their documents become outdated, and so do those of the hosts that follow them. The followers
    notice that by the age alone, read the store and update the readers.
    """

    async def scenario():
        async with run_fleet(hosts=4) as fleet:
            await wait_for(
                lambda: sum(h.catalogue.is_reader(read_clock()) for h in fleet.hosts) == 2
            )
            for host in fleet.hosts:
                if host.catalogue.is_reader(read_clock()):
                    host.catalogue._store._address = "127.0.0.1:9"
            await asyncio.sleep(0.1)
            fleet.store.put("op/evacuate/d1", {})
            await wait_for(lambda: all(h.directory.evacuated for h in fleet.hosts), 3.9)

    run_scenario(scenario)


def test_a_leaving_host_is_not_ready_keeps_answering_and_later_refuses_as_not_run():
    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            host = fleet.hosts[0]
            endpoint = fleet.endpoints["model-0"]
            endpoint.answer = endpoint.stream(1, 20, gap_s=0.2)
            client_exchange = await fleet.begin_call("/cut/a", deadline_ms=8000)
            await wait_for(lambda: endpoint.requests)
            leaving = asyncio.create_task(host.leave())
            await asyncio.sleep(0.1)
            assert not host.members.own.ready
            early_reply = await fleet.call("/once/a")
            assert early_reply.status == 200
            assert early_reply.headers[b"connection"] == b"close"
            await asyncio.sleep(2.8)
            late = await fleet.call("/once/a")
            assert late.status == 503
            reply = await read_reply(client_exchange)
            assert reply.body.count(b"data:") == 20 or not reply.complete
            await leaving

    run_scenario(scenario)


def test_a_leaving_host_reads_the_request_on_a_connection_that_was_just_opened(monkeypatch):
    """A caller with an old host list connects to a leaving host and sends a request a moment later.

    Closed as idle, the connection would be reset by the incoming bytes, and the caller could not
    know that nothing ran. The request is read and refused as not run.
    """
    monkeypatch.setattr("cloverway.serving.host.LEAVE_NOTICE_S", 0.0)

    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            host = fleet.hosts[0]
            leaving = asyncio.create_task(host.leave())
            await asyncio.sleep(0.02)
            listen = host.settings.listen.callers
            connection = await fleet.pool.open_new(listen, 1.0)
            await asyncio.sleep(0.12)
            fields = [(b"Host", b"shop.example"), (b"X-Cloverway-Request-Id", b"late")]
            client_exchange = ClientExchange(
                connection, make_request("POST", "/once/a", fields, b"x"), b"x"
            )
            client_exchange.write()
            reply = await read_reply(client_exchange)
            assert reply.status == 503
            await leaving

    run_scenario(scenario)


def test_lookup_names_the_hosts_of_the_callers_domain():
    async def scenario():
        async with run_fleet(hosts=2, endpoints=1) as fleet:
            north = {host.settings.listen.callers for host in fleet.hosts}
            south = await fleet.add_host("d2")
            await wait_for(
                lambda: sum(peer.member.ready for peer in south.members.peers.values()) == 2
            )
            south.started_at -= MIN_LOOKUP_AGE_S
            status, addresses = await look_up(fleet, south)
            assert status == 200
            assert set(addresses) == north

    run_scenario(scenario)


async def look_up(fleet, host):
    request = make_request(
        "GET",
        "/resolve?name=shop.example&region=north&zone=d1",
        [(b"Host", b"directory")],
        b"",
    )
    address = host.settings.listen.lookup
    head, body = await fetch(fleet.pool, address, request, b"", timeout_s=1.0, limit=10_000)
    return head.status, json.loads(body)["addresses"] if body else []


def test_a_recently_started_host_answers_lookups_only_once_it_knows_the_others(caplog):
    """All hosts restart; a weak one answers first, knows no other host, and would name itself.

    Callers that get no answer keep their old host list. A host without seeds is alone and answers.
    """

    async def scenario():
        async with run_fleet(hosts=2, endpoints=1) as fleet:
            alone, other = fleet.hosts
            assert (await look_up(fleet, alone))[0] == 200
            other.started_at = read_clock()
            with caplog.at_level("INFO"):
                assert (await look_up(fleet, other))[0] == 503
            assert "lookup_refused" in caplog.messages
            await asyncio.sleep(MIN_LOOKUP_AGE_S)
            status, addresses = await look_up(fleet, other)
            assert (status, len(addresses)) == (200, 2)

    run_scenario(scenario)


@pytest.mark.parametrize("how", ["compact", "silent", "busy"])
def test_a_change_is_in_force_within_four_seconds_after_a_broken_watch(how):
    """The watch breaks, goes silent or is refused while an operator changes the configuration."""

    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            store = fleet.store
            if how == "busy":
                store.status = 429
                await asyncio.sleep(1.5)
                store.status = 200
            if how == "silent":
                store.silent = True
                await asyncio.sleep(1.2)
                store.silent = False
            fleet.publish([make_route("new", "idempotent", "desk")], [make_service("desk")])
            if how == "compact":
                store.compact()
            await wait_for(
                lambda: fleet.hosts[0].directory.configuration.version == fleet.version, 4.0
            )

    run_scenario(scenario)


def test_a_long_prompt_is_broadcast_to_the_region_at_once(monkeypatch):
    """Two callers send long prompts through two hosts, 50 ms apart, and one stream stalls.

    The second host treats the engine as idle until the first one broadcasts its load, which is due
    every 200 ms. So the first one broadcasts at once; the test disables the period.
    """

    async def scenario():
        async with run_fleet(hosts=2) as fleet:
            first, second = fleet.hosts
            await wait_for(lambda: first.members.peers and second.members.peers)
            monkeypatch.setattr("cloverway.serving.hosts.endpoint_loads.BROADCAST_PERIOD_S", 60.0)
            await asyncio.sleep(0.3)
            for host in fleet.hosts:
                for peer in host.members.peers.values():
                    peer.request_rate = 10.0
            for endpoint in fleet.endpoints.values():
                endpoint.answer = endpoint.never_answer
            tokens = (b"X-Cloverway-Token-Usage", b"9000,50")
            client_exchange = await fleet.begin_call("/stream/", first, headers=(tokens,))
            endpoints = second.directory.endpoints.values()
            await wait_for(
                lambda: any(e.load.estimate_backlog(read_clock()) for e in endpoints), 1.0
            )
            client_exchange.connection.abort()

    run_scenario(scenario)


def test_a_newcomer_learns_of_the_other_hosts_at_once(monkeypatch):
    """One of many hosts restarts and knows only its seeds.

    A lookup would name few hosts, and the host would act as a reader of the store, until it had
    gradually discovered all others. The first host that receives its heartbeat describes the others
    to it.
    """

    async def scenario():
        async with run_fleet(hosts=12) as fleet:
            await wait_for(lambda: all(len(h.members.peers) == 11 for h in fleet.hosts))
            monkeypatch.setattr("cloverway.serving.hosts.gossip.MAX_RELAYED_HOSTS", 0)
            joining_host = await fleet.add_host()
            await wait_for(lambda: len(joining_host.members.peers) == 12, 1.0)

    run_scenario(scenario)


def test_a_newcomer_asks_again_when_the_description_of_the_other_hosts_is_lost(monkeypatch):
    """Guards against a host that acts as if it were almost alone, for lack of one datagram.

    Each seed describes the other hosts once, in response to the first heartbeat. If these datagrams
    are lost, the newcomer knows its seeds only.
    """

    async def scenario():
        async with run_fleet(hosts=12) as fleet:
            await wait_for(lambda: all(len(h.members.peers) == 11 for h in fleet.hosts))
            monkeypatch.setattr("cloverway.serving.hosts.gossip.MAX_RELAYED_HOSTS", 0)
            known = {host.members.own.name for host in fleet.hosts}
            lost = []

            def lose_first_response(host):
                send = host.gossip._send

                def send_or_lose(address, data):
                    if address not in known and len(lost) < 3 and host not in lost:
                        lost.append(host)
                    else:
                        send(address, data)

                monkeypatch.setattr(host.gossip, "_send", send_or_lose)

            for host in fleet.hosts:
                lose_first_response(host)
            joining_host = await fleet.add_host()
            await wait_for(lambda: len(joining_host.members.peers) == 12, 1.0)
            assert len(lost) == 3

    run_scenario(scenario)


def test_hosts_that_start_together_discover_each_other_within_half_a_second():
    """All hosts restart; the seed of one of them starts a little later than the host itself.

    Its first heartbeat to the seed is lost. With one heartbeat per second it used the engines as if
    it were alone until the next, and so did the others: together they sent more than a cold
    endpoint sustains.
    """

    async def scenario():
        async with run_fleet(hosts=0) as fleet:
            ports = take_ports(6)
            early_host = await fleet.add_host(seeds=(f"127.0.0.1:{ports[3]}",))
            await asyncio.sleep(0.25)
            late_host = await fleet.add_host(ports=ports, seeds=())
            await wait_for(lambda: late_host.members.peers and early_host.members.peers, 0.5)

    run_scenario(scenario)


def test_a_starting_host_receives_the_capacity_of_other_regions_at_once():
    """A request is bound to another region, and the host that its caller reaches has just started.

    Hosts advertised the capacity of their region once per second; any earlier request was refused.
    """

    async def scenario():
        async with run_fleet(hosts=0, endpoints=0) as fleet:
            await fleet.add_endpoint("far-0", "desk", "d2")
            bound = make_route("bound", "non_idempotent", "desk", homeRegions=["south"])
            fleet.publish([bound], [make_service("desk")])
            south = await fleet.add_host("d2")
            await wait_for(lambda: south.members.own.ready)
            north_hosts = [
                await fleet.add_host("d1", seeds=(south.members.own.name,)) for _ in range(3)
            ]
            peers = [host.members.peers for host in north_hosts]
            await wait_for(
                lambda: all(any(peer.advertised for peer in known.values()) for known in peers),
                0.5,
            )

    run_scenario(scenario)


def test_all_prefixes_of_the_store_are_read_at_the_same_time():
    """A host far from the store restarts; each call takes a round trip of 160 ms.

    With sequential reads it is ready a round trip later, and refuses its callers until then.
    """

    async def scenario():
        async with run_fleet() as fleet:
            requested_prefixes = []
            both_requested = asyncio.Event()

            async def call(path, query, wait_s):
                requested_prefixes.append(query["prefix"])
                if len(requested_prefixes) == 2:
                    both_requested.set()
                await asyncio.wait_for(both_requested.wait(), 1.0)
                return StoreResponse(at=7)

            store = fleet.hosts[0].catalogue._store
            fleet.hosts[0].catalogue._store = None
            store._call = call
            assert (await store.read_all()).revision == 7
            assert len(set(requested_prefixes)) == 2

    run_scenario(scenario)
