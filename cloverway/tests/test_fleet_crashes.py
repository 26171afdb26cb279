"""Requests that end each endpoint which runs them, over real hosts and sockets."""

from __future__ import annotations

import asyncio
import itertools
from contextlib import asynccontextmanager

from cloverway.core.quarantine import Crash
from cloverway.serving.clock import read_clock
from cloverway.tests.fleet.deployment import play, run_fleet, wait_for
from cloverway.tests.fleet.standins import make_route, make_service

ALLOWED_ENDS = 3
"""Endpoints that one request may end before it is known for what it is."""
ALLOWED_LATE = 3
"""Sends of it that may cross the news of the last of these ends."""
MOST_ROUNDS = 20
"""Tries until connections have been reset at enough engines: each meets the two that cost least."""
DEADLY = b"crash"
HARMLESS = b"fine"


class DeadlyFleet:
    """Endpoints that end when they run one request; each is replaced by one with a new id."""

    def __init__(self, fleet) -> None:
        self.fleet = fleet
        self.ended = []
        """The names of the engines that ended."""
        self._numbers = itertools.count()
        self._replacing = set()

    async def add(self, domain):
        name = f"engine-{next(self._numbers)}"
        endpoint = await self.fleet.add_endpoint(name, "model", domain)

        async def answer(exchange):
            if exchange.body == DEADLY:
                await asyncio.sleep(0.01)
                self._end(endpoint)
            else:
                await endpoint.stream(1, 3)(exchange)

        endpoint.answer = answer

    def _end(self, endpoint):
        if endpoint.is_gone:
            return
        self.ended.append(endpoint.name)
        endpoint.crash()
        self.fleet.store.delete(f"servers/{endpoint.name}")
        task = asyncio.create_task(self.add(endpoint.domain))
        self._replacing.add(task)

    def count_usable(self, host):
        """Count the engines of a host's region that it knows and that are there."""
        usable = host.directory.list_usable("model", read_clock())
        near = [endpoint for endpoint in usable if endpoint.region == host.settings.region]
        return sum(endpoint.entry.id not in self.ended for endpoint in near)


@asynccontextmanager
async def run_deadly_fleet(domains=("d1", "d1"), engines=("d1", "d1")):
    """Run a fleet with a host and with an engine in each of some domains."""
    async with run_fleet(hosts=0, endpoints=0) as fleet:
        for domain in domains:
            await fleet.add_host(domain)
        deadly = DeadlyFleet(fleet)
        for domain in engines:
            await deadly.add(domain)
        count = len(engines)
        await wait_for(lambda: all(len(h.directory.endpoints) == count for h in fleet.hosts))
        others = len(domains) - 1
        await wait_for(lambda: all(len(h.members.peers) == others for h in fleet.hosts))
        yield deadly


def test_a_request_that_ends_each_endpoint_that_runs_it_is_not_sent_for_ever():
    """A caller sends one request again and again, at any host, each time with another id.

    The endpoint that begins to run it ends, and with it all that it was answering; the request is
    run elsewhere, and ends the next one. Each try was judged by itself, and no host knew that it
    was the same request: thirteen engines ended under one, and regions stood without any.
    """

    async def scenario():
        async with run_deadly_fleet() as deadly:
            fleet = deadly.fleet
            replies, ended = [], []
            for host in itertools.islice(itertools.cycle(fleet.hosts), 14):
                await wait_for(lambda: deadly.count_usable(fleet.hosts[0]) >= 2)
                await wait_for(lambda: deadly.count_usable(fleet.hosts[1]) >= 2)
                replies.append(await fleet.call("/stream/a", host, body=DEADLY))
                ended.append(len(deadly.ended))
                await asyncio.sleep(0.3)
            assert len(deadly.ended) <= ALLOWED_ENDS + ALLOWED_LATE
            assert ended[-1] == ended[6]
            assert {reply.status for reply in replies[7:]} == {503}
            assert float(replies[-1].headers[b"retry-after"]) > 0
            assert (await fleet.call("/stream/a", body=HARMLESS)).status == 200

    play(scenario)


class RebornFleet:
    """Engines that end when they run one request, and are soon back under their ids."""

    def __init__(self, fleet, told_after_s=0.5) -> None:
        self.fleet = fleet
        self.told_after_s = told_after_s
        self.ended = 0
        self.lives = {}
        self._telling = set()

    async def add(self, name):
        endpoint = await self.fleet.add_endpoint(name, "model", "d1")
        self.lives[name] = 1

        async def answer(exchange):
            if exchange.body == DEADLY:
                self.ended += 1
                endpoint.crash()
                self._telling.add(asyncio.create_task(self._bring_back(endpoint)))
            else:
                await endpoint.stream(1, 3)(exchange)

        endpoint.answer = answer
        self._put(endpoint)

    async def _bring_back(self, endpoint):
        """Start an engine again, and tell of its new life a moment later."""
        await asyncio.sleep(0.3)
        await endpoint.start_again()
        await asyncio.sleep(self.told_after_s)
        self.lives[endpoint.name] += 1
        self._put(endpoint)

    def _put(self, endpoint):
        entry = endpoint.describe(born=self.lives[endpoint.name])
        self.fleet.store.put(f"servers/{endpoint.name}", entry)

    def is_told(self):
        """Tell whether all hosts know the lives that run."""
        known = [
            (
                host.directory.endpoints[name].entry.started_ms
                if name in host.directory.endpoints
                else 0
            )
            for host in self.fleet.hosts
            for name in self.lives
        ]
        return known == [*self.lives.values()] * len(self.fleet.hosts)


def test_an_engine_that_is_back_before_its_entry_has_still_ended():
    """Engines that a request ends are back under their ids before their entries tell of it.

    For a second hosts take the new life for the old one. It answered other requests, so the old one
    seemed never to have ended, and its end was taken back; the request went on to be sent.
    """

    async def scenario():
        async with run_fleet(hosts=2, endpoints=0) as fleet:
            reborn = RebornFleet(fleet)
            for name in ("engine-0", "engine-1", "engine-2"):
                await reborn.add(name)
            for host in itertools.islice(itertools.cycle(fleet.hosts), 6):
                await wait_for(reborn.is_told)
                await fleet.call("/stream/a", host, body=DEADLY)
                await asyncio.sleep(0.4)
                for asked in itertools.islice(itertools.cycle(fleet.hosts), 16):
                    await asyncio.sleep(0.02)
                    assert (await fleet.call("/stream/a", asked, body=HARMLESS)).status == 200
                await asyncio.sleep(0.2)
            assert reborn.ended <= ALLOWED_ENDS + 1

    play(scenario)


def test_an_engine_that_ends_twice_before_its_entry_tells_has_ended_twice():
    """A request ends an engine, which is back under its id, and ends again under the next try.

    Its entry is late and still names the first life. All ends until then counted as one, since an
    end is counted once for each life, however many hosts tell of it.
    """

    async def scenario():
        async with run_fleet(hosts=2, endpoints=0) as fleet:
            reborn = RebornFleet(fleet, told_after_s=60.0)
            await reborn.add("engine-0")
            await wait_for(reborn.is_told)
            for host in itertools.islice(itertools.cycle(fleet.hosts), 7):
                await fleet.call("/stream/a", host, body=DEADLY)
                await asyncio.sleep(0.9)
            assert reborn.ended == ALLOWED_ENDS
            assert (await fleet.call("/stream/a", body=HARMLESS)).status == 200

    play(scenario)


async def hold(deadly, host):
    """Send the deadly request to one host until that has seen enough of it."""
    for _ in range(2):
        await wait_for(lambda: deadly.count_usable(host) >= 2)
        assert (await deadly.fleet.call("/stream/a", host, body=DEADLY)).status == 502
    assert len(deadly.ended) == ALLOWED_ENDS
    assert host.context.quarantine.count_blocked(read_clock()) == 1


def test_hosts_of_all_regions_refuse_it_and_those_that_start_later():
    """Three engines have ended under a request at one host; its caller goes on at others.

    A host that has not heard of it would lose its engines to the request in turn, and so would one
    that starts afterwards and has no memory of its own.
    """

    async def scenario():
        async with run_deadly_fleet(("d1", "d2"), ("d1", "d1", "d2", "d2")) as deadly:
            fleet = deadly.fleet
            await hold(deadly, fleet.hosts[0])
            await asyncio.sleep(0.5)
            newcomer = await fleet.add_host("d2")
            await wait_for(lambda: deadly.count_usable(newcomer) >= 2)
            await wait_for(lambda: len(newcomer.members.peers) == 2)
            await asyncio.sleep(0.5)
            for host in fleet.hosts:
                assert (await fleet.call("/stream/a", host, body=DEADLY)).status == 503
                assert (await fleet.call("/stream/a", host, body=HARMLESS)).status == 200
            assert len(deadly.ended) == ALLOWED_ENDS

    play(scenario)


def test_a_host_that_was_away_hears_what_it_has_missed():
    """A host hears nothing of the others while three engines end, as behind a cut link.

    What is told just after each end doesn't reach it. When the others hear it again they tell it
    all that it may have missed.
    """

    async def scenario():
        async with run_deadly_fleet() as deadly:
            near, away = deadly.fleet.hosts
            near.gossip.broadcaster.rebroadcast = lambda now: None
            hear = away.gossip.broadcaster.receive
            away.gossip.broadcaster.receive = lambda message, now: True
            await hold(deadly, near)
            await asyncio.sleep(0.5)
            away.gossip.broadcaster.receive = hear
            del near.members.peers[away.members.own.name]
            await wait_for(lambda: away.context.quarantine.count_blocked(read_clock()) == 1, 2.0)
            assert (await deadly.fleet.call("/stream/a", away, body=DEADLY)).status == 503

    play(scenario)


def test_another_region_refuses_it_and_stays_open_to_other_requests():
    """A host without engines passes requests on to another region, whose hosts know this one.

    Taken for a lack of room, the refusal kept all other requests away from that region until it
    offered its engines again.
    """

    async def scenario():
        async with run_deadly_fleet(("d1", "d2"), ("d1", "d1")) as deadly:
            near, far = deadly.fleet.hosts
            near.gossip.broadcaster.send = lambda address, data: None
            await hold(deadly, near)
            (peer,) = far.members.peers.values()
            await wait_for(lambda: "model" in peer.advertised)
            withdrawn = []
            far.context.targeting.withdraw_offer = lambda *names: withdrawn.append(names)
            reply = await deadly.fleet.call("/stream/a", far, body=DEADLY)
            assert reply.status == 503
            assert b"quarantined" in reply.body
            assert not withdrawn
            assert len(deadly.ended) == ALLOWED_ENDS

    play(scenario)


def test_it_is_refused_at_once_and_not_after_a_wait_for_a_place():
    """All engines are gone, and other requests wait for new ones.

    Waiting with them, the request would be told after a fifth of its route's time that there is no
    capacity, and to come back soon.
    """

    async def scenario():
        async with run_deadly_fleet(("d1",)) as deadly:
            (host,) = deadly.fleet.hosts
            await hold(deadly, host)
            host.context.targeting.take = lambda routed, ahead_s, now: None
            host.context.targeting.estimate_start = lambda routed, ahead_s, now: None
            began = read_clock()
            reply = await deadly.fleet.call("/stream/a", body=DEADLY)
            assert read_clock() - began < 0.3
            assert b"quarantined" in reply.body
            assert float(reply.headers[b"retry-after"]) > 1_000

    play(scenario)


def test_what_many_callers_ask_is_served_after_engines_have_ended_together():
    """Three of four engines lose power at once, each while it runs one and the same request.

    Different callers sent it, and it was served a moment before. It isn't the cause, and refused it
    would be to all of them.
    """

    async def scenario():
        async with run_fleet(endpoints=4) as fleet:
            assert (await fleet.call("/cut/a", body=HARMLESS)).status == 200
            engines = [fleet.endpoints[f"model-{number}"] for number in range(4)]
            for engine in engines[:3]:
                engine.requests.clear()
                engine.answer = engine.answer_never
            calls = [asyncio.create_task(fleet.call("/cut/a", body=HARMLESS)) for _ in range(12)]
            await wait_for(lambda: all(engine.requests for engine in engines[:3]))
            for engine in engines[:3]:
                engine.crash()
            replies = await asyncio.gather(*calls)
            assert 502 in {reply.status for reply in replies}
            assert (await fleet.call("/cut/a", body=HARMLESS)).status == 200

    play(scenario)


def test_a_request_that_was_waiting_when_the_news_came_is_not_sent():
    """It waits for a place while another host's word comes that three engines ended under it."""

    async def scenario():
        async with run_deadly_fleet(("d1",)) as deadly:
            (host,) = deadly.fleet.hosts
            choose, go_on = host.context.targeting.take, asyncio.Event()
            waits = []

            def wait(routed, ahead_s, now):
                waits.append(routed.call.compute_digest())
                return choose(routed, ahead_s, now) if go_on.is_set() else None

            host.context.targeting.take = wait
            host.context.targeting.estimate_start = lambda routed, ahead_s, now: None
            sending = await deadly.fleet.begin_call("/stream/a", body=DEADLY)
            await wait_for(lambda: waits)
            for number in range(ALLOWED_ENDS):
                crash = Crash(f"gone-{number}", (waits[0],), read_clock())
                host.context.quarantine.note_crash(crash)
            go_on.set()
            head = await sending.read_head(lambda head: True)
            assert head.status == 503
            assert not deadly.ended
            engines = host.directory.endpoints.values()
            assert not any(engine.load.get_own_load().running for engine in engines)

    play(scenario)


def test_connections_that_are_reset_at_engines_that_live_on_shut_nothing_out():
    """One request is unlucky: its connection is reset at each of four engines, which go on serving.

    To its host each reset looks like the end of the engine. Their next answers tell otherwise.
    """

    async def scenario():
        async with run_fleet(endpoints=4) as fleet:
            unlucky = []

            for endpoint in fleet.endpoints.values():

                async def answer(exchange, endpoint=endpoint):
                    if exchange.body == DEADLY and len(set(unlucky)) < ALLOWED_ENDS + 1:
                        unlucky.append(endpoint.name)
                        exchange.connection.abort()
                    else:
                        await asyncio.sleep(0.05)
                        await endpoint.answer_plainly(exchange)

                endpoint.answer = answer
            for _ in range(MOST_ROUNDS):
                await fleet.call("/safe/a", body=DEADLY)
                calls = [fleet.call("/safe/a", body=HARMLESS) for _ in range(30)]
                assert {reply.status for reply in await asyncio.gather(*calls)} == {200}
                if len(set(unlucky)) == ALLOWED_ENDS + 1:
                    break
            assert len(set(unlucky)) == ALLOWED_ENDS + 1
            assert (await fleet.call("/safe/a", body=DEADLY)).status == 200

    play(scenario)


def test_an_engine_that_falls_silent_under_a_request_counts_as_ended():
    """The request takes the power of each engine that runs it: no connection breaks, all is silent.

    Its callers give up, or the time of the route is over; nothing else would ever be noted.
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
                endpoint.answer = endpoint.answer_never
            first = await fleet.call("/stream/a", body=DEADLY, deadline_ms=9000)
            second = await fleet.call("/stream/a", body=DEADLY, deadline_ms=9000)
            assert (first.status, second.status) == (504, 502)
            third = await fleet.call("/stream/a", body=DEADLY, deadline_ms=9000)
            assert third.status == 503

    play(scenario)
