"""Requests that crash the endpoints that run them, on real hosts and sockets."""

from __future__ import annotations

import asyncio
import itertools
from contextlib import asynccontextmanager

from cloverway.core.crash_times import MIN_RESTART_S
from cloverway.core.quarantine import Crash
from cloverway.serving.clock import read_clock
from cloverway.tests.fleet.deployment import run_fleet, run_scenario, wait_for
from cloverway.tests.fleet.standins import make_route, make_service

MAX_CRASHES = 3
"""Endpoints that one request may crash before it is quarantined."""
MAX_LATE_SENDS = 3
"""Times that it may be sent before the report of the last of these crashes arrives."""
MAX_ROUNDS = 20
"""Maximum number of requests until enough engines have reset a connection: each request is sent to
the two cheapest engines."""
CRASHING_BODY = b"crash"
HARMLESS_BODY = b"fine"


class CrashingFleet:
    """Endpoints that crash when they run one request; each is replaced by one with a new id."""

    def __init__(self, fleet) -> None:
        self.fleet = fleet
        self.crashed = []
        """The names of the engines that crashed."""
        self._numbers = itertools.count()
        self._replacing = set()

    async def add(self, domain):
        name = f"engine-{next(self._numbers)}"
        endpoint = await self.fleet.add_endpoint(name, "model", domain)

        async def answer(exchange):
            if exchange.body == CRASHING_BODY:
                await asyncio.sleep(0.01)
                self._crash(endpoint)
            else:
                await endpoint.stream(1, 3)(exchange)

        endpoint.answer = answer

    def _crash(self, endpoint):
        if endpoint.is_down:
            return
        self.crashed.append(endpoint.name)
        endpoint.crash()
        self.fleet.store.delete(f"servers/{endpoint.name}")
        task = asyncio.create_task(self.add(endpoint.domain))
        self._replacing.add(task)

    def count_usable(self, host):
        """Count the running engines of a host's region that it knows."""
        usable = host.directory.list_usable("model", read_clock())
        local = [endpoint for endpoint in usable if endpoint.region == host.settings.region]
        return sum(endpoint.entry.id not in self.crashed for endpoint in local)


@asynccontextmanager
async def run_crashing_fleet(domains=("d1", "d1"), engines=("d1", "d1")):
    """Run a fleet with a host and with an engine in each of some domains."""
    async with run_fleet(hosts=0, endpoints=0) as fleet:
        for domain in domains:
            await fleet.add_host(domain)
        crashing = CrashingFleet(fleet)
        for domain in engines:
            await crashing.add(domain)
        count = len(engines)
        await wait_for(lambda: all(len(h.directory.endpoints) == count for h in fleet.hosts))
        others = len(domains) - 1
        await wait_for(lambda: all(len(h.members.peers) == others for h in fleet.hosts))
        yield crashing


def test_a_request_that_crashes_endpoints_is_quarantined():
    """A caller repeats one request at any host, each time with another id.

    An endpoint that begins to run it crashes, with all its other requests; the request is retried
    and crashes the next one. If hosts didn't recognize it as the same request, it would crash
    engine after engine: thirteen under one request, which left regions without any.
    """

    async def scenario():
        async with run_crashing_fleet() as crashing:
            fleet = crashing.fleet
            replies, crashed = [], []
            for host in itertools.islice(itertools.cycle(fleet.hosts), 14):
                await wait_for(lambda: crashing.count_usable(fleet.hosts[0]) >= 2)
                await wait_for(lambda: crashing.count_usable(fleet.hosts[1]) >= 2)
                replies.append(await fleet.call("/stream/a", host, body=CRASHING_BODY))
                crashed.append(len(crashing.crashed))
                await asyncio.sleep(0.3)
            assert len(crashing.crashed) <= MAX_CRASHES + MAX_LATE_SENDS
            assert crashed[-1] == crashed[6]
            assert {reply.status for reply in replies[7:]} == {503}
            assert float(replies[-1].headers[b"retry-after"]) > 0
            assert (await fleet.call("/stream/a", body=HARMLESS_BODY)).status == 200

    run_scenario(scenario)


class RestartingFleet:
    """Engines that crash when they run one request, and soon restart under their ids."""

    def __init__(self, fleet, entry_delay_s=0.5) -> None:
        self.fleet = fleet
        self.entry_delay_s = entry_delay_s
        self.crashed = 0
        self.incarnations = {}
        self._restarts = set()

    async def add(self, name):
        endpoint = await self.fleet.add_endpoint(name, "model", "d1")
        self.incarnations[name] = 1

        async def answer(exchange):
            if exchange.body == CRASHING_BODY:
                self.crashed += 1
                endpoint.crash()
                self._restarts.add(asyncio.create_task(self._restart(endpoint)))
            else:
                await endpoint.stream(1, 3)(exchange)

        endpoint.answer = answer
        self._put(endpoint)

    async def _restart(self, endpoint):
        """Restart an engine, and update its entry a moment later."""
        await asyncio.sleep(0.3)
        await endpoint.restart()
        await asyncio.sleep(self.entry_delay_s)
        self.incarnations[endpoint.name] += 1
        self._put(endpoint)

    def _put(self, endpoint):
        entry = endpoint.make_entry(born=self.incarnations[endpoint.name])
        self.fleet.store.put(f"servers/{endpoint.name}", entry)

    def is_up_to_date(self):
        """Return whether all hosts know the running incarnations."""
        known = [
            (
                host.directory.endpoints[name].entry.started_ms
                if name in host.directory.endpoints
                else 0
            )
            for host in self.fleet.hosts
            for name in self.incarnations
        ]
        return known == [*self.incarnations.values()] * len(self.fleet.hosts)


def test_a_crash_counts_if_the_engine_restarts_before_its_entry_is_updated():
    """Engines that a request crashed restart under their ids before their entries are updated.

    For a second hosts can't tell the new incarnation from the old one. A response of the new one
    must not clear the crash of the old one, or the request would be sent again.
    """

    async def scenario():
        async with run_fleet(hosts=2, endpoints=0) as fleet:
            restarting = RestartingFleet(fleet)
            for name in ("engine-0", "engine-1", "engine-2"):
                await restarting.add(name)
            for host in itertools.islice(itertools.cycle(fleet.hosts), 6):
                await wait_for(restarting.is_up_to_date)
                await fleet.call("/stream/a", host, body=CRASHING_BODY)
                await asyncio.sleep(0.4)
                for other in itertools.islice(itertools.cycle(fleet.hosts), 16):
                    await asyncio.sleep(0.02)
                    assert (await fleet.call("/stream/a", other, body=HARMLESS_BODY)).status == 200
                await asyncio.sleep(0.2)
            assert restarting.crashed <= MAX_CRASHES + 1

    run_scenario(scenario)


def test_two_crashes_count_if_the_entry_still_names_the_first_incarnation():
    """A request crashes an engine, which restarts under its id and crashes again on the next try.

    Its entry still names the first incarnation. A crash is counted once for each incarnation,
    however many hosts report it, so both crashes would count as one.
    """

    async def scenario():
        async with run_fleet(hosts=2, endpoints=0) as fleet:
            restarting = RestartingFleet(fleet, entry_delay_s=60.0)
            await restarting.add("engine-0")
            await wait_for(restarting.is_up_to_date)
            for host in itertools.islice(itertools.cycle(fleet.hosts), 7):
                await fleet.call("/stream/a", host, body=CRASHING_BODY)
                await asyncio.sleep(0.9)
            assert restarting.crashed == MAX_CRASHES
            assert (await fleet.call("/stream/a", body=HARMLESS_BODY)).status == 200

    run_scenario(scenario)


async def quarantine_request(crashing, host):
    """Send the crashing request to one host until that quarantines it."""
    for _ in range(2):
        await wait_for(lambda: crashing.count_usable(host) >= 2)
        assert (await crashing.fleet.call("/stream/a", host, body=CRASHING_BODY)).status == 502
    assert len(crashing.crashed) == MAX_CRASHES
    assert host.context.quarantine.count_blocked(read_clock()) == 1


def test_all_regions_and_joining_hosts_refuse_a_quarantined_request():
    """Three engines crashed under a request at one host; its caller tries other hosts.

    A host that didn't receive the crashes would lose its engines to the request too, and so would
    a host that joins later.
    """

    async def scenario():
        async with run_crashing_fleet(("d1", "d2"), ("d1", "d1", "d2", "d2")) as crashing:
            fleet = crashing.fleet
            await quarantine_request(crashing, fleet.hosts[0])
            await asyncio.sleep(0.5)
            joining = await fleet.add_host("d2")
            await wait_for(lambda: crashing.count_usable(joining) >= 2)
            await wait_for(lambda: len(joining.members.peers) == 2)
            await asyncio.sleep(0.5)
            for host in fleet.hosts:
                assert (await fleet.call("/stream/a", host, body=CRASHING_BODY)).status == 503
                assert (await fleet.call("/stream/a", host, body=HARMLESS_BODY)).status == 200
            assert len(crashing.crashed) == MAX_CRASHES

    run_scenario(scenario)


def test_a_partitioned_host_receives_the_crashes_it_missed():
    """A host receives nothing from the others while three engines crash, as in a partition.

    The broadcast after each crash doesn't reach it. When the others receive its heartbeats again,
    they send it everything it may have missed.
    """

    async def scenario():
        async with run_crashing_fleet() as crashing:
            local, partitioned = crashing.fleet.hosts
            local.gossip.broadcaster.rebroadcast = lambda now: None
            receive = partitioned.gossip.broadcaster.receive
            partitioned.gossip.broadcaster.receive = lambda message, now: True
            await quarantine_request(crashing, local)
            await asyncio.sleep(0.5)
            partitioned.gossip.broadcaster.receive = receive
            del local.members.peers[partitioned.members.own.name]
            await wait_for(
                lambda: partitioned.context.quarantine.count_blocked(read_clock()) == 1, 2.0
            )
            assert (
                await crashing.fleet.call("/stream/a", partitioned, body=CRASHING_BODY)
            ).status == 503

    run_scenario(scenario)


def test_a_region_that_refuses_a_quarantined_request_still_gets_others():
    """A host without engines forwards the request to a region that has quarantined it.

    If the refusal were treated as a lack of capacity, all other requests would be kept away from
    that region until it advertises its engines again.
    """

    async def scenario():
        async with run_crashing_fleet(("d1", "d2"), ("d1", "d1")) as crashing:
            local, remote = crashing.fleet.hosts
            local.gossip.broadcaster.send = lambda address, data: None
            await quarantine_request(crashing, local)
            (peer,) = remote.members.peers.values()
            await wait_for(lambda: "model" in peer.advertised)
            discarded = []
            remote.context.target_selector.discard_advertised = lambda *names: discarded.append(
                names
            )
            reply = await crashing.fleet.call("/stream/a", remote, body=CRASHING_BODY)
            assert reply.status == 503
            assert b"quarantined" in reply.body
            assert not discarded
            assert len(crashing.crashed) == MAX_CRASHES

    run_scenario(scenario)


def test_a_quarantined_request_is_refused_without_being_queued():
    """No engine is left, and other requests are queued for new ones.

    If the request were queued too, it would be refused after a fifth of its route's timeout for
    lack of capacity, with a short Retry-After.
    """

    async def scenario():
        async with run_crashing_fleet(("d1",)) as crashing:
            (host,) = crashing.fleet.hosts
            await quarantine_request(crashing, host)
            host.context.target_selector.take = lambda routed, ahead_s, now: None
            host.context.target_selector.estimate_start_delay = lambda routed, ahead_s, now: None
            began = read_clock()
            reply = await crashing.fleet.call("/stream/a", body=CRASHING_BODY)
            assert read_clock() - began < 0.3
            assert b"quarantined" in reply.body
            assert float(reply.headers[b"retry-after"]) > 1_000

    run_scenario(scenario)


def test_a_request_served_before_is_not_quarantined_after_simultaneous_crashes():
    """Three of four engines lose power at once, each while it runs the same request.

    Several callers sent it, and it was served a moment before, so it isn't the cause. If it were
    quarantined, all of these callers would be refused.
    """

    async def scenario():
        async with run_fleet(endpoints=4) as fleet:
            assert (await fleet.call("/cut/a", body=HARMLESS_BODY)).status == 200
            engines = [fleet.endpoints[f"model-{number}"] for number in range(4)]
            for engine in engines[:3]:
                engine.requests.clear()
                engine.answer = engine.never_answer
            calls = [
                asyncio.create_task(fleet.call("/cut/a", body=HARMLESS_BODY)) for _ in range(12)
            ]
            await wait_for(lambda: all(engine.requests for engine in engines[:3]))
            for engine in engines[:3]:
                engine.crash()
            replies = await asyncio.gather(*calls)
            assert 502 in {reply.status for reply in replies}
            assert (await fleet.call("/cut/a", body=HARMLESS_BODY)).status == 200

    run_scenario(scenario)


def test_a_queued_request_is_not_sent_once_crashes_are_reported():
    """It is queued while another host reports that three engines crashed under it."""

    async def scenario():
        async with run_crashing_fleet(("d1",)) as crashing:
            (host,) = crashing.fleet.hosts
            choose, go_on = host.context.target_selector.take, asyncio.Event()
            waits = []

            def wait(routed, ahead_s, now):
                waits.append(routed.call.compute_digest())
                return choose(routed, ahead_s, now) if go_on.is_set() else None

            host.context.target_selector.take = wait
            host.context.target_selector.estimate_start_delay = lambda routed, ahead_s, now: None
            client_exchange = await crashing.fleet.begin_call("/stream/a", body=CRASHING_BODY)
            await wait_for(lambda: waits)
            for number in range(MAX_CRASHES):
                crash = Crash(f"gone-{number}", (waits[0],), read_clock())
                host.context.quarantine.record_crash(crash)
            go_on.set()
            head = await client_exchange.read_head(lambda head: True)
            assert head.status == 503
            assert not crashing.crashed
            engines = host.directory.endpoints.values()
            assert not any(engine.load.get_own_load().running for engine in engines)

    run_scenario(scenario)


async def reset_connections(fleet, wait_s):
    """Let each of four engines reset a connection of the same request, and answer all others.

    The others follow `wait_s` after each reset. Return how many engines have reset one.
    """
    reset_engines = set()
    for endpoint in fleet.endpoints.values():

        async def answer(exchange, endpoint=endpoint):
            if exchange.body == CRASHING_BODY and len(reset_engines) < MAX_CRASHES + 1:
                reset_engines.add(endpoint.name)
                exchange.connection.abort()
            else:
                # Those that have reset a connection are slower, so that the request goes to the
                # others: by chance it went to the same two in all rounds.
                await asyncio.sleep(0.15 if endpoint.name in reset_engines else 0.05)
                await endpoint.answer_ok(exchange)

        endpoint.answer = answer
    for _ in range(MAX_ROUNDS):
        await fleet.call("/safe/a", body=CRASHING_BODY)
        await asyncio.sleep(wait_s)
        calls = [fleet.call("/safe/a", body=HARMLESS_BODY) for _ in range(30)]
        assert {reply.status for reply in await asyncio.gather(*calls)} == {200}
        if len(reset_engines) == MAX_CRASHES + 1:
            break
    return len(reset_engines)


def test_connection_resets_by_running_engines_do_not_quarantine_a_request():
    """The connection of one request is reset by each of four engines, which keep running.

    To the host each reset looks like a crash. Later responses of the engines show that they run.
    """

    async def scenario():
        async with run_fleet(endpoints=4) as fleet:
            assert await reset_connections(fleet, 0.0) == MAX_CRASHES + 1
            assert (await fleet.call("/safe/a", body=CRASHING_BODY)).status == 200

    run_scenario(scenario)


def test_resets_by_running_engines_do_not_quarantine_a_request_at_a_busy_host():
    """Guards against half an hour of refusals: a busy host opens its next connections late.

    A connection that is opened long after a reset may lead to a restarted process. But an endpoint
    that states no start time has a new id at each start, so an answer under its id proves that it
    did not crash.
    """

    async def scenario():
        async with run_fleet(endpoints=4) as fleet:
            assert await reset_connections(fleet, MIN_RESTART_S + 0.1) == MAX_CRASHES + 1
            assert (await fleet.call("/safe/a", body=CRASHING_BODY)).status == 200

    run_scenario(scenario)


def test_an_engine_that_stops_responding_counts_as_crashed():
    """Each engine that runs the request loses power, so that no connection is closed.

    The only sign is that the caller gives up or the route's timeout expires.
    """

    async def scenario():
        async with run_fleet(endpoints=4) as fleet:
            route = make_route(
                *("stream", "streaming", "model"),
                **{"attempts": 2, "resumable": True, "targetLatencyMs": 640, "timeoutMs": 3300},
            )
            fleet.publish([route], [make_service("model")])
            host = fleet.hosts[0]
            await wait_for(lambda: host.directory.configuration.version == fleet.version)
            for endpoint in fleet.endpoints.values():
                endpoint.answer = endpoint.never_answer
            first = await fleet.call("/stream/a", body=CRASHING_BODY, deadline_ms=9000)
            second = await fleet.call("/stream/a", body=CRASHING_BODY, deadline_ms=9000)
            assert (first.status, second.status) == (504, 502)
            third = await fleet.call("/stream/a", body=CRASHING_BODY, deadline_ms=9000)
            assert third.status == 503

    run_scenario(scenario)
