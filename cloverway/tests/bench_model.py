"""A simulation of engines, hosts and callers in virtual time, around the real dispatch core.

An engine has slots, prefills uncached prompt bytes one request at a time, observes priorities and
caches a few prefixes. Each host runs its own core and receives reports and summaries with a delay.
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
REPORT_LAG_S = 0.3
SUMMARY_S = 1.0
FIRST_DECODE_S = 0.04
PREFILL_S_PER_BYTE = 12.5e-6
PREFIX_BYTES = 10 * 1024
PRIVATE_BYTES = 512
ZIPF_EXPONENT = 0.8


class Scenario(NamedTuple):
    """A scenario without its policy and seed.

    `endpoints` has the number of endpoints in each region, `rates` the requests a second and region
    by profile, and `objective` the weights of tail latency and of requests sent to other regions.
    """

    endpoints: tuple[int, ...] = (8,)
    hosts: int = 3
    slots: int = 8
    seconds: float = 60.0
    warm_up_s: float = 10.0
    rates: tuple[tuple[str, float], ...] = (("chat", 40.0),)
    rate_amplitude: float = 0.0
    period_s: float = 120.0
    prefix_count: int = 96
    cached_prefixes: int = 12
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
    """A replica of the model."""

    def __init__(self, scenario, clock):
        self.scenario, self.clock = scenario, clock
        self.cache = OrderedDict()
        self.jobs, self.queue = set(), []
        self.prefill_until = 0.0
        self.up, self.slow, self.incarnation, self.up_since = True, 1.0, 0, 0.0

    def submit(self, job, rank):
        heapq.heappush(self.queue, (rank, next(self.clock.order), job))
        self.fill()

    def fill(self):
        while self.queue and len(self.jobs) < self.scenario.slots:
            job = heapq.heappop(self.queue)[2]
            call = job.call
            self.jobs.add(job)
            call.started_at = self.clock.now
            call.hit = call.prefix in self.cache
            self.cache[call.prefix] = True
            self.cache.move_to_end(call.prefix)
            while len(self.cache) > self.scenario.cached_prefixes:
                self.cache.popitem(last=False)
            uncached_bytes = PRIVATE_BYTES + (0 if call.hit else PREFIX_BYTES)
            self.prefill_until = (
                max(self.clock.now, self.prefill_until)
                + uncached_bytes * PREFILL_S_PER_BYTE * self.slow
            )
            first = self.prefill_until + FIRST_DECODE_S * self.slow
            self.clock.at(first, job.on_first)
            self.clock.at(first + call.decode_s * self.slow, self.done, job)

    def restart(self, up):
        lost = [*self.jobs, *(job for _, _, job in self.queue)]
        self.up, self.incarnation, self.up_since = up, self.incarnation + 1, self.clock.now
        self.queue, self.prefill_until = [], 0.0
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
    """A virtual clock that runs events in order of time."""

    def __init__(self):
        self.now, self.order, self.events = 0.0, itertools.count(), []

    def at(self, when, what, *arguments):
        heapq.heappush(self.events, (when, next(self.order), what, arguments))

    def run(self, until):
        while self.events and self.events[0][0] <= until:
            self.now, _, what, arguments = heapq.heappop(self.events)
            what(*arguments)


class Call:
    """A caller's request and its outcome."""

    def __init__(self, request, decode_s, prefix):
        self.request, self.decode_s, self.prefix = request, decode_s, prefix
        self.started_at, self.first_at, self.done_at, self.refused = None, None, None, None
        self.attempts, self.away, self.hit = 0, False, False


class Attempt:
    """An attempt to run a call, sent from a host to an engine or to a host of another domain."""

    def __init__(self, simulation, host, call, request, origin=None):
        self.simulation, self.host, self.call = simulation, host, call
        self.request, self.origin = request, origin
        self.ticket, self.engine, self.finished = None, None, False

    @property
    def latency_s(self):
        return self.simulation.scenario.trip_ms / 1000

    def apply_verdict(self, verdict):
        simulation, clock = self.simulation, self.simulation.clock
        if not isinstance(verdict, Admitted):
            self.call.refused = None if self.origin else verdict
            if self.origin:
                clock.at(clock.now + self.latency_s, self.origin.end, Outcome.REFUSED)
            return
        self.ticket = verdict.ticket
        if isinstance(verdict.route, RemoteRoute):
            self.call.away = True
            other = simulation.hosts[verdict.route.host]
            request = self.request._replace(is_forwarded=True)
            passed = Attempt(simulation, other, self.call, request, self)
            clock.at(clock.now + self.latency_s, other.arrive, passed)
            return
        self.call.attempts += 1
        self.engine = simulation.engines[verdict.route.endpoint]
        if self.engine.up:
            self.engine.submit(self, -PRIORITY[self.request.profile])
        else:
            clock.at(clock.now + 0.002, self.end, Outcome.NOT_SENT)

    def on_first(self):
        if not self.finished:
            self.host.core.start(self.ticket, self.host.view, self.simulation.clock.now)
            self.call.first_at = self.simulation.clock.now + (
                self.latency_s if self.origin else 0.0
            )

    def end(self, outcome):
        if self.finished:
            return
        self.finished = True
        clock = self.simulation.clock
        failed = outcome is not Outcome.DONE
        self.host.finish(self, outcome, retry=failed and not self.origin)
        if self.origin:
            clock.at(clock.now + self.latency_s, self.origin.end, outcome)
        elif not failed:
            self.call.done_at = clock.now


class Host:
    """A host with its dispatch core and its delayed view."""

    def __init__(self, simulation, name, region, settings):
        self.simulation, self.name, self.region = simulation, name, region
        self.core = DispatchCore.from_config(settings)
        self.random = Random(f"{simulation.seed}{name}")
        self.entry_ids, self.attempts = itertools.count(1), {}
        self.view = View(name, "i", region, region, simulation.published)

    def arrive(self, attempt):
        entry_id, now = self.register(attempt), self.simulation.clock.now
        self.apply_decisions(
            self.core.arrive(entry_id, attempt.request, self.view, now, self.random)
        )

    def finish(self, ended, outcome, retry):
        simulation, now = self.simulation, self.simulation.clock.now
        entry_id = None
        if retry:
            entry_id = self.register(Attempt(simulation, self, ended.call, ended.request))
        self.apply_decisions(
            self.core.finish(
                ended.ticket, outcome, self.view, now, self.random, retry_entry_id=entry_id
            )
        )

    def register(self, attempt):
        self.attempts[entry_id := next(self.entry_ids)] = attempt
        return entry_id

    def apply_decisions(self, decisions):
        for entry_id, verdict in decisions:
            self.attempts.pop(entry_id).apply_verdict(verdict)

    def tick(self):
        self.apply_decisions(self.core.advance(self.view, self.simulation.clock.now, self.random))


class Simulation:
    """One run with all regions."""

    def __init__(self, scenario, policy, seed):
        self.scenario, self.seed, self.clock = scenario, seed, Clock()
        self.random = Random(seed)
        self.regions = [f"region-{number}" for number in range(len(scenario.endpoints))]
        self.published = publish(scenario, self.regions)
        self.engines = {name: Engine(scenario, self.clock) for name in self.published.endpoints}
        self.hosts = {
            name: Host(self, name, host.domain, make_settings(scenario, policy, name, host.domain))
            for name, host in self.published.hosts.items()
        }
        ranks = range(1, scenario.prefix_count + 1)
        self.weights = list(itertools.accumulate(rank**-ZIPF_EXPONENT for rank in ranks))
        self.calls = []

    def run(self):
        for at, what, *arguments in FAULTS.get(self.scenario.fault, ()):
            self.clock.at(at, what, self, *arguments)
        for region, profile in itertools.product(range(len(self.regions)), self.scenario.rates):
            self.arrive(region, *profile, first=True)
        for number, host in enumerate(self.hosts.values()):
            self.schedule_every(TICK_S, host.tick, TICK_S * number / len(self.hosts))
        self.schedule_every(REPORT_S, self.collect_reports, 0.0)
        self.schedule_every(SUMMARY_S, self.summarize_regions, 0.0)
        self.clock.run(self.scenario.seconds)
        return self.calls

    def schedule_every(self, period, what, offset):
        def repeat():
            what()
            self.clock.at(self.clock.now + period, repeat)

        self.clock.at(offset, repeat)

    def arrive(self, region, profile, rate, first=False):
        now, scenario = self.clock.now, self.scenario
        if not first:
            home = [host for host in self.hosts.values() if host.region == self.regions[region]]
            call = self.make_call(region, profile, now)
            self.calls.append(call)
            host = self.random.choice(home)
            host.arrive(Attempt(self, host, call, call.request))
        phase = 2 * math.pi * (now / scenario.period_s - region / len(self.regions))
        current_rate = (
            rate
            * scenario.endpoints[region]
            / max(scenario.endpoints)
            * (1 + scenario.rate_amplitude * math.sin(phase))
        )
        if now < scenario.seconds - 15:
            self.clock.at(
                now + self.random.expovariate(max(current_rate, 0.01)),
                self.arrive,
                region,
                profile,
                rate,
            )

    def make_call(self, region, profile, now):
        prefix = self.random.choices(range(self.scenario.prefix_count), cum_weights=self.weights)[0]
        head = (f"region-{region} prefix-{prefix} " * 400).encode()[:PREFIX_BYTES]
        body = head + (f"{len(self.calls)} " * 200).encode()[:PRIVATE_BYTES]
        deadline = now + PROFILES[profile]["deadline_ms"] / 1000
        team = f"team-{self.random.randrange(4)}"
        request = Request(
            f"r{len(self.calls)}", team, profile, "/", "POST", body, "", now, deadline, True
        )
        decode_s = DECODE_S[profile] * min(4.0, 0.4 + self.random.expovariate(1 / 0.6))
        return Call(request, decode_s, (region, prefix))

    def collect_reports(self):
        now = self.clock.now
        states = {
            name: EndpointState(
                name,
                str(engine.incarnation),
                engine.up,
                running=len(engine.jobs),
                waiting=len(engine.queue),
                slots=self.scenario.slots,
                models=("clover",),
                reported_at=now,
                started_at=engine.up_since,
            )
            for name, engine in self.engines.items()
        }
        self.clock.at(now + REPORT_LAG_S, self.deliver_reports, states, now)

    def deliver_reports(self, states, now):
        loads = {
            name: HostState(name, host.region, "i", load=host.core.get_stats().load, heard_at=now)
            for name, host in self.hosts.items()
        }
        for host in self.hosts.values():
            own = {name: states[name] for name in self.published.endpoints_of(host.region)}
            host.view = host.view._replace(endpoints=own, hosts=loads)

    def summarize_regions(self):
        now, summaries = self.clock.now, {}
        for region in self.regions:
            engines = [self.engines[name] for name in self.published.endpoints_of(region)]
            up = [engine for engine in engines if engine.up]
            free = sum(self.scenario.slots - len(engine.jobs) for engine in up)
            waiting = sum(len(engine.queue) for engine in up)
            queued = sum(
                host.core.get_stats().queued
                for host in self.hosts.values()
                if host.region == region
            )
            summaries[region, "clover"] = Summary(
                region, "clover", len(up), free, waiting + queued, now
            )
        self.clock.at(now + REPORT_LAG_S, self.deliver_summaries, summaries)

    def deliver_summaries(self, summaries):
        for host in self.hosts.values():
            host.view = host.view._replace(summaries=summaries)


PRIORITY = {"urgent": 2, "chat": 1, "dossier": 0}


def publish(scenario, regions):
    ports = itertools.count(10_000)
    return Published.from_documents(
        {
            "revision": 1,
            "organisation": {"name": "bench"},
            "objective": {
                "tail_latency": scenario.objective[0],
                "sent_away": scenario.objective[1],
            },
            "regions": {region: {"trip_ms": scenario.trip_ms} for region in regions},
            "domains": {region: {"region": region} for region in regions},
            "hosts": {
                f"{region}-h{number}": {"domain": region}
                | {name: f"127.0.0.1:{next(ports)}" for name in ("callers", "admin", "peers")}
                for region in regions
                for number in range(scenario.hosts)
            },
            "endpoints": {
                f"{region}-e{number}": {
                    "domain": region,
                    "url": f"http://127.0.0.1:{next(ports)}",
                    "models": ["clover"],
                    "slots": scenario.slots,
                }
                for region, count in zip(regions, scenario.endpoints, strict=True)
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


def make_settings(scenario, policy, name, region):
    return Settings(
        name,
        region,
        region,
        Listen("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"),
        PlatformSettings(directory="none"),
        Security("none"),
        Limits(admitted=10_000, queued=scenario.queued),
        policy=policy,
    )


def restart(simulation, prefix, up):
    for name, engine in simulation.engines.items():
        if name.startswith(prefix):
            engine.restart(up)


def slow_down(simulation, factor):
    simulation.engines["region-0-e0"].slow = factor


FAULTS = {
    "loss": [(30.0, restart, "region-0", False), (50.0, restart, "region-0", True)],
    "slow": [(30.0, slow_down, 10.0), (60.0, slow_down, 1.0)],
    "flap": [(30.0 + 2 * turn, restart, "region-0-e0", bool(turn % 2)) for turn in range(16)],
}
