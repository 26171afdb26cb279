"""Simulation of hosts that gossip, in virtual time over a network with loss, cuts and latency."""

from __future__ import annotations

import heapq
import itertools
from random import Random
from typing import NamedTuple

from cloverway.config.published import Published
from cloverway.config.settings import Timing
from cloverway.core.quarantine import QuarantineSettings
from cloverway.dispatch.ends import CrashTracker
from cloverway.membership.datagram_auth import DatagramAuthenticator
from cloverway.membership.endpoint_table import LoadReport
from cloverway.membership.gossip import Gossip, LocalState
from cloverway.membership.heartbeats import parse_incarnation
from cloverway.membership.reports import ReadSchedule

AUTHENTICATOR = DatagramAuthenticator.from_secret(b"a secret of the tests that all hosts share")
LATENCY_S = 0.001
HEADER_BYTES = 28
"""IP and UDP headers of one datagram."""
TICK_S = 0.05
TIMING = Timing()


class Shape(NamedTuple):
    """Size of the published configuration."""

    domains: int = 1
    hosts: int = 3
    endpoints: int = 4
    targets: int = 2
    regions: int = 1


def publish(shape: Shape) -> Published:
    address = (f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:7000" for n in itertools.count(1))
    names = [f"region-{n % shape.regions:02}-domain-{n:03}" for n in range(shape.domains)]
    return Published.from_documents(
        {
            "revision": 1,
            "organisation": {"name": "tests"},
            "regions": {f"region-{n:02}": {} for n in range(shape.regions)},
            "domains": {name: {"region": name[:9]} for name in names},
            "hosts": {
                f"{name}-host-{n:02}": {
                    "domain": name,
                    **{field: next(address) for field in ("callers", "admin", "peers")},
                }
                for name in names
                for n in range(shape.hosts)
            },
            "endpoints": {
                f"{name}-engine-{n:03}": {
                    "domain": name,
                    "url": f"http://{next(address)}",
                    "models": [f"model-{n % shape.targets:02}"],
                }
                for name in names
                for n in range(shape.endpoints)
            },
        }
    )


class Host:
    """One host with its socket buffer and counters."""

    def __init__(self, gossip: Gossip, random: Random) -> None:
        self.gossip = gossip
        self.read_schedule = ReadSchedule(random.random)
        self.alive = True
        self.paused_at: float | None = None
        self.buffer: list[bytes] = []
        self.urgent = self.replaced = False
        self.sent = self.received = self.sent_bytes = self.received_bytes = self.reads = 0

    def get_visible_hosts(self, now):
        return set(self.gossip.get_domain_hosts(now))


class GossipSimulation:
    """All hosts of a published configuration. Times are virtual seconds."""

    def __init__(self, shape: Shape, seed: int = 1, loss: float = 0.0, timing=TIMING) -> None:
        self.published = publish(shape)
        self.timing = timing
        self.random = Random(seed)
        self.loss = loss
        self.cuts: set[tuple[str, str]] = set()
        self.now = 1000.0
        self.queue: list = []
        self.event_numbers = itertools.count()
        self.names = {host.peers: name for name, host in self.published.hosts.items()}
        self.reports = {
            name: LoadReport(f"start-{name}", True, False, 0, 0, 8, endpoint.models)
            for name, endpoint in self.published.endpoints.items()
        }
        self.unreadable: set[str] = set()
        self.churn = False
        self.on_send = None
        self.hosts: dict[str, Host] = {}
        for name in self.published.hosts:
            self.start(name)

    def start(self, name, incarnation: str | None = None):
        """Start a host, or its replacement, without any state."""
        gossip = Gossip(
            name,
            self.published.hosts[name].domain,
            incarnation=parse_incarnation(incarnation or f"{self.random.getrandbits(64):016x}"),
            timing=self.timing,
            authenticator=AUTHENTICATOR,
            random=self.random,
            crash_tracker=CrashTracker(QuarantineSettings()),
        )
        gossip.local_state = LocalState(revision=1)
        gossip.adopt(self.published)
        host = self.hosts[name] = Host(gossip, self.random)
        for step, period in (
            (self._send_heartbeats, self.timing.heartbeat_s),
            (self._send_summaries, self.timing.summary_s),
            (self._tick, TICK_S),
        ):
            self._schedule(self.now + self.random.random() * period, step, name, host, period)
        return host

    def kill(self, name):
        self.hosts[name].alive = False

    def pause(self, name):
        self.hosts[name].paused_at = self.now

    def resume(self, name):
        host = self.hosts[name]
        host.gossip.resume(host.paused_at, self.now)
        paused_at, host.paused_at = host.paused_at, None
        for datagram in host.buffer:
            self._receive(name, host, datagram, paused_at)
        host.buffer.clear()

    def run(self, seconds):
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            self.now, _, step, arguments = heapq.heappop(self.queue)
            step(*arguments)
        self.now = end

    def run_until(self, condition, limit_s=30.0):
        """Run until a condition holds and return the seconds that it took."""
        start = self.now
        while not condition():
            assert self.now - start < limit_s, f"not within {limit_s} virtual seconds"
            self.run(0.01)
        return self.now - start

    def live(self):
        return {n: h for n, h in self.hosts.items() if h.alive and h.paused_at is None}

    def sees_all(self):
        return all(
            len(host.get_visible_hosts(self.now))
            == len(self.published.hosts_of(host.gossip.domain)) - 1
            for host in self.live().values()
        )

    def endpoint(self, host, name):
        return self.hosts[host].gossip.get_endpoints(self.now)[name]

    def _schedule(self, when, step, *arguments):
        heapq.heappush(self.queue, (when, next(self.event_numbers), step, arguments))

    def _is_running(self, name, host):
        return self.hosts[name] is host and host.alive

    def _send_heartbeats(self, name, host, period):
        if self._is_running(name, host):
            self._schedule(self.now + period, self._send_heartbeats, name, host, period)
            if host.paused_at is None:
                self._send(name, host, host.gossip.make_heartbeats(self.now))

    def _send_summaries(self, name, host, period):
        if self._is_running(name, host):
            self._schedule(self.now + period, self._send_summaries, name, host, period)
            if host.paused_at is None:
                self._send(name, host, host.gossip.make_summaries(self.now))

    def _tick(self, name, host, period):
        if not self._is_running(name, host):
            return
        self._schedule(self.now + period, self._tick, name, host, period)
        if host.paused_at is not None:
            return
        self._read(host)
        if host.gossip.crash_tracker.take_urgent() or host.urgent:
            host.urgent = False
            self._send(name, host, host.gossip.make_broadcast(self.now))

    def _read(self, host):
        names = host.gossip.list_endpoints_to_read(self.now)
        interval = host.gossip.update_read_interval(self.now)
        for endpoint in host.read_schedule.take_due(names, interval, self.now):
            host.read_schedule.finish(endpoint)
            host.reads += 1
            if endpoint in self.unreadable:
                continue
            report = self.reports[endpoint]
            if self.churn:
                report = report._replace(
                    running=_random_step(report.running, 8, self.random),
                    waiting=_random_step(report.waiting, 4, self.random),
                )
                self.reports[endpoint] = report
            if host.gossip.endpoint_table.apply_report(endpoint, report, self.now):
                host.urgent = True

    def _send(self, name, host, outgoing):
        for address, datagram in outgoing:
            host.sent += 1
            host.sent_bytes += len(datagram) + HEADER_BYTES
            to = self.names[address]
            if self.on_send:
                self.on_send(name, to, datagram)
            if (name, to) in self.cuts or self.random.random() < self.loss:
                continue
            self._schedule(self.now + LATENCY_S, self.deliver, to, datagram)

    def deliver(self, name, datagram):
        host = self.hosts[name]
        if not host.alive:
            return
        if host.paused_at is not None:
            host.buffer.append(datagram)
            return
        self._receive(name, host, datagram, self.now)

    def _receive(self, name, host, datagram, at):
        host.received += 1
        host.received_bytes += len(datagram) + HEADER_BYTES
        received = host.gossip.receive(datagram, at, self.now)
        self._send(name, host, received.replies)
        host.replaced = host.replaced or received.replaced


def _random_step(count, maximum, random):
    return min(maximum, max(0, count + random.choice((-1, 0, 1))))
