"""A small model of engines, hosts and callers in virtual time, around the real core.

An engine has slots, reads cold prompt bytes one request after the other, honours priorities and
keeps few prefixes. Each host runs its own core and sees reports and summaries late.
"""

from __future__ import annotations

import heapq
import itertools
import math
from collections import OrderedDict
from random import Random
from typing import NamedTuple

from cloverway.config.published import Published
from cloverway.config.settings import Limits, Listen, PlatformSettings, Security, Settings
from cloverway.dispatch.decisions import DispatchCore
from cloverway.membership.view import EndpointState, HostState, Summary, View
from cloverway.messages import Admitted, Outcome, RemoteRoute, Request

TICK_S = 0.02
REPORT_S = 0.5
LAG_S = 0.3
SUMMARY_S = 1.0
FIRST_S = 0.04
READ_BYTE_S = 12.5e-6
PREFIX_BYTES = 10 * 1024
OWN_BYTES = 512
ZIPF = 0.8


class Plan(NamedTuple):
    """One scenario, but for its policy and seed.

    `endpoints` counts them in each region, `rates` gives requests a second and region by profile,
    `objective` weighs tail latency and being sent away.
    """

    endpoints: tuple[int, ...] = (8,)
    hosts: int = 3
    slots: int = 8
    seconds: float = 60.0
    warm_s: float = 10.0
    rates: tuple[tuple[str, float], ...] = (("chat", 40.0),)
    swing: float = 0.0
    period_s: float = 120.0
    prefixes: int = 96
    cached: int = 12
    trip_ms: float = 40.0
    objective: tuple[float, float] = (1.0, 1.0)
    fault: str = ""
    queued: int = 64


PROFILES = {
    "urgent": {"model": "clover", "urgency": "urgent", "deadline_ms": 5_000},
    "chat": {"model": "clover", "urgency": "normal", "deadline_ms": 10_000},
    "dossier": {"model": "clover", "urgency": "batch", "deadline_ms": 40_000},
}
DECODE_S = {"urgent": 0.25, "chat": 0.8, "dossier": 4.0}


class Engine:
    """Model one replica."""

    def __init__(self, plan, clock):
        self.plan, self.clock = plan, clock
        self.cache = OrderedDict()
        self.jobs, self.queue = set(), []
        self.read_until = 0.0
        self.up, self.slow, self.incarnation, self.up_since = True, 1.0, 0, 0.0

    def submit(self, job, rank):
        heapq.heappush(self.queue, (rank, next(self.clock.order), job))
        self.fill()

    def fill(self):
        while self.queue and len(self.jobs) < self.plan.slots:
            job = heapq.heappop(self.queue)[2]
            call = job.call
            self.jobs.add(job)
            call.started_at = self.clock.now
            call.hit = call.prefix in self.cache
            self.cache[call.prefix] = True
            self.cache.move_to_end(call.prefix)
            while len(self.cache) > self.plan.cached:
                self.cache.popitem(last=False)
            cold = OWN_BYTES + (0 if call.hit else PREFIX_BYTES)
            self.read_until = max(self.clock.now, self.read_until) + cold * READ_BYTE_S * self.slow
            first = self.read_until + FIRST_S * self.slow
            self.clock.at(first, job.on_first)
            self.clock.at(first + call.decode_s * self.slow, self.done, job)

    def restart(self, up):
        lost = [*self.jobs, *(job for _, _, job in self.queue)]
        self.up, self.incarnation, self.up_since = up, self.incarnation + 1, self.clock.now
        self.queue, self.read_until = [], 0.0
        self.jobs.clear()
        self.cache.clear()
        for job in lost:
            job.end(Outcome.FAILED)

    def done(self, job):
        if job in self.jobs:
            self.jobs.remove(job)
            job.end(Outcome.DONE)
            self.fill()


class Clock:
    """Run events in order of virtual time."""

    def __init__(self):
        self.now, self.order, self.events = 0.0, itertools.count(), []

    def at(self, when, what, *arguments):
        heapq.heappush(self.events, (when, next(self.order), what, arguments))

    def run(self, until):
        while self.events and self.events[0][0] <= until:
            self.now, _, what, arguments = heapq.heappop(self.events)
            what(*arguments)


class Call:
    """One caller's request, and what became of it."""

    def __init__(self, request, decode_s, prefix):
        self.request, self.decode_s, self.prefix = request, decode_s, prefix
        self.started_at, self.first_at, self.done_at, self.refused = None, None, None, None
        self.attempts, self.away, self.hit = 0, False, False


class Attempt:
    """One try to run a call: from a host to an engine, or to a host of another domain."""

    def __init__(self, world, host, call, request, origin=None):
        self.world, self.host, self.call = world, host, call
        self.request, self.origin = request, origin
        self.ticket, self.engine, self.gone = None, None, False

    @property
    def trip(self):
        return self.world.plan.trip_ms / 1000

    def take(self, verdict):
        world, clock = self.world, self.world.clock
        if not isinstance(verdict, Admitted):
            self.call.refused = None if self.origin else verdict
            if self.origin:
                clock.at(clock.now + self.trip, self.origin.end, Outcome.REFUSED)
            return
        self.ticket = verdict.ticket
        if isinstance(verdict.route, RemoteRoute):
            self.call.away = True
            other = world.hosts[verdict.route.host]
            request = self.request._replace(is_forwarded=True)
            passed = Attempt(world, other, self.call, request, self)
            clock.at(clock.now + self.trip, other.arrive, passed)
            return
        self.call.attempts += 1
        self.engine = world.engines[verdict.route.endpoint]
        if self.engine.up:
            self.engine.submit(self, -RANK[self.request.profile])
        else:
            clock.at(clock.now + 0.002, self.end, Outcome.NOT_SENT)

    def on_first(self):
        if not self.gone:
            self.host.core.start(self.ticket, self.host.view, self.world.clock.now)
            self.call.first_at = self.world.clock.now + (self.trip if self.origin else 0.0)

    def end(self, outcome):
        if self.gone:
            return
        self.gone = True
        clock = self.world.clock
        failed = outcome is not Outcome.DONE
        self.host.finish(self, outcome, retry=failed and not self.origin)
        if self.origin:
            clock.at(clock.now + self.trip, self.origin.end, outcome)
        elif not failed:
            self.call.done_at = clock.now


class Host:
    """Run one core, with its late view."""

    def __init__(self, world, name, region, settings):
        self.world, self.name, self.region = world, name, region
        self.core = DispatchCore.from_config(settings)
        self.random = Random(f"{world.seed}{name}")
        self.places, self.attempts = itertools.count(1), {}
        self.view = View(name, "i", region, region, world.published)

    def arrive(self, attempt):
        place, now = self.keep(attempt), self.world.clock.now
        self.answer(self.core.arrive(place, attempt.request, self.view, now, self.random))

    def finish(self, ended, outcome, retry):
        world, now = self.world, self.world.clock.now
        place = None
        if retry:
            place = self.keep(Attempt(world, self, ended.call, ended.request))
        self.answer(
            self.core.finish(ended.ticket, outcome, self.view, now, self.random, retry=place)
        )

    def keep(self, attempt):
        self.attempts[place := next(self.places)] = attempt
        return place

    def answer(self, decided):
        for place, verdict in decided:
            self.attempts.pop(place).take(verdict)

    def tick(self):
        self.answer(self.core.advance(self.view, self.world.clock.now, self.random))


class World:
    """All regions of one run."""

    def __init__(self, plan, policy, seed):
        self.plan, self.seed, self.clock = plan, seed, Clock()
        self.random = Random(seed)
        self.regions = [f"region-{number}" for number in range(len(plan.endpoints))]
        self.published = publish(plan, self.regions)
        self.engines = {name: Engine(plan, self.clock) for name in self.published.endpoints}
        self.hosts = {
            name: Host(self, name, host.domain, make_settings(plan, policy, name, host.domain))
            for name, host in self.published.hosts.items()
        }
        ranks = range(1, plan.prefixes + 1)
        self.weights = list(itertools.accumulate(rank**-ZIPF for rank in ranks))
        self.calls = []

    def run(self):
        for at, what, *arguments in FAULTS.get(self.plan.fault, ()):
            self.clock.at(at, what, self, *arguments)
        for region, profile in itertools.product(range(len(self.regions)), self.plan.rates):
            self.arrive(region, *profile, first=True)
        for number, host in enumerate(self.hosts.values()):
            self.every(TICK_S, host.tick, TICK_S * number / len(self.hosts))
        self.every(REPORT_S, self.report, 0.0)
        self.every(SUMMARY_S, self.summarise, 0.0)
        self.clock.run(self.plan.seconds)
        return self.calls

    def every(self, period, what, offset):
        def again():
            what()
            self.clock.at(self.clock.now + period, again)

        self.clock.at(offset, again)

    def arrive(self, region, profile, rate, first=False):
        now, plan = self.clock.now, self.plan
        if not first:
            home = [host for host in self.hosts.values() if host.region == self.regions[region]]
            call = self.make_call(region, profile, now)
            self.calls.append(call)
            host = self.random.choice(home)
            host.arrive(Attempt(self, host, call, call.request))
        phase = 2 * math.pi * (now / plan.period_s - region / len(self.regions))
        swung = (
            rate * plan.endpoints[region] / max(plan.endpoints) * (1 + plan.swing * math.sin(phase))
        )
        if now < plan.seconds - 15:
            self.clock.at(
                now + self.random.expovariate(max(swung, 0.01)), self.arrive, region, profile, rate
            )

    def make_call(self, region, profile, now):
        prefix = self.random.choices(range(self.plan.prefixes), cum_weights=self.weights)[0]
        head = (f"region-{region} prefix-{prefix} " * 400).encode()[:PREFIX_BYTES]
        body = head + (f"{len(self.calls)} " * 200).encode()[:OWN_BYTES]
        deadline = now + PROFILES[profile]["deadline_ms"] / 1000
        team = f"team-{self.random.randrange(4)}"
        request = Request(
            f"r{len(self.calls)}", team, profile, "/", "POST", body, "", now, deadline, True
        )
        decode_s = DECODE_S[profile] * min(4.0, 0.4 + self.random.expovariate(1 / 0.6))
        return Call(request, decode_s, (region, prefix))

    def report(self):
        now = self.clock.now
        states = {
            name: EndpointState(
                name,
                str(engine.incarnation),
                engine.up,
                running=len(engine.jobs),
                waiting=len(engine.queue),
                slots=self.plan.slots,
                models=("clover",),
                reported_at=now,
                started_at=engine.up_since,
            )
            for name, engine in self.engines.items()
        }
        self.clock.at(now + LAG_S, self.spread, states, now)

    def spread(self, states, now):
        loads = {
            name: HostState(name, host.region, "i", load=host.core.get_stats().load, heard_at=now)
            for name, host in self.hosts.items()
        }
        for host in self.hosts.values():
            own = {name: states[name] for name in self.published.endpoints_of(host.region)}
            host.view = host.view._replace(endpoints=own, hosts=loads)

    def summarise(self):
        now, summaries = self.clock.now, {}
        for region in self.regions:
            engines = [self.engines[name] for name in self.published.endpoints_of(region)]
            up = [engine for engine in engines if engine.up]
            free = sum(self.plan.slots - len(engine.jobs) for engine in up)
            waiting = sum(len(engine.queue) for engine in up)
            queued = sum(
                host.core.get_stats().queued
                for host in self.hosts.values()
                if host.region == region
            )
            summaries[region, "clover"] = Summary(
                region, "clover", len(up), free, waiting + queued, now
            )
        self.clock.at(now + LAG_S, self.learn, summaries)

    def learn(self, summaries):
        for host in self.hosts.values():
            host.view = host.view._replace(summaries=summaries)


RANK = {"urgent": 2, "chat": 1, "dossier": 0}


def publish(plan, regions):
    ports = itertools.count(10_000)
    return Published.from_documents(
        {
            "revision": 1,
            "organisation": {"name": "bench"},
            "objective": {"tail_latency": plan.objective[0], "sent_away": plan.objective[1]},
            "regions": {region: {"trip_ms": plan.trip_ms} for region in regions},
            "domains": {region: {"region": region} for region in regions},
            "hosts": {
                f"{region}-h{number}": {"domain": region}
                | {name: f"127.0.0.1:{next(ports)}" for name in ("callers", "admin", "peers")}
                for region in regions
                for number in range(plan.hosts)
            },
            "endpoints": {
                f"{region}-e{number}": {
                    "domain": region,
                    "url": f"http://127.0.0.1:{next(ports)}",
                    "models": ["clover"],
                    "slots": plan.slots,
                }
                for region, count in zip(regions, plan.endpoints, strict=True)
                for number in range(count)
            },
            "profiles": {
                name: {**profile, "idempotent": True} for name, profile in PROFILES.items()
            },
            "teams": {
                f"team-{number}": {"home": regions[0], "profiles": list(PROFILES)}
                for number in range(4)
            },
        }
    )


def make_settings(plan, policy, name, region):
    return Settings(
        name,
        region,
        region,
        Listen("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"),
        PlatformSettings(directory="none"),
        Security("none"),
        Limits(admitted=10_000, queued=plan.queued),
        policy=policy,
    )


def restart(world, prefix, up):
    for name, engine in world.engines.items():
        if name.startswith(prefix):
            engine.restart(up)


def slow_down(world, factor):
    world.engines["region-0-e0"].slow = factor


FAULTS = {
    "loss": [(30.0, restart, "region-0", False), (50.0, restart, "region-0", True)],
    "slow": [(30.0, slow_down, 10.0), (60.0, slow_down, 1.0)],
    "flap": [(30.0 + 2 * turn, restart, "region-0-e0", bool(turn % 2)) for turn in range(16)],
}
