"""A fleet in virtual time that restarts and is cut into parts, and what its hosts know of it."""

from __future__ import annotations

from cloverway.core.known_hosts import KnownHosts

STEP_S = 0.02
HEARTBEAT_STEPS = 20
ALIVE_TIMEOUT_S = 1.5
REMOTE_ALIVE_TIMEOUT_S = 4.0
START_S = 0.3
DOMAINS_PER_REGION = 2


class SimulatedHost:
    """The process of a host; a restart makes a new one."""

    def __init__(self, address, domain, seeds, started_at):
        self.address = address
        self.domain = domain
        self.region = domain // DOMAINS_PER_REGION
        self.started_at = started_at
        self.known = KnownHosts(
            str(address), str(domain), str(self.region), map(str, seeds), started_at=started_at
        )
        self._heard_at = {}

    def hear(self, other, now):
        self._heard_at[other.address] = (other, now)
        name = str(other.address)
        self.known.record(name, str(other.domain), str(other.region), now)
        if other.region == self.region:
            self.known.record_stated(str(other.domain), other.known.state_counts(), now)

    def update(self, now):
        self.known.update([str(a) for a in self._heard_at if self._is_alive(a, now)], now)

    def _is_alive(self, address, now):
        other, heard_at = self._heard_at[address]
        is_near = other.region == self.region
        return now - heard_at <= (ALIVE_TIMEOUT_S if is_near else REMOTE_ALIVE_TIMEOUT_S)


class CutFleet:
    """Hosts that hear each other unless a cut is between them; some are killed in series."""

    def __init__(self, rng, seconds=90.0):
        self.rng = rng
        self.seconds = seconds
        self.domains = rng.randint(1, 6)
        count = rng.randint(self.domains, 5 * self.domains)
        self.addresses = {n: n % self.domains for n in range(count)}
        self.seeds = rng.sample(range(count), k=min(3, count))
        self.cut = self._draw_cut()
        self.kills = self._draw_kills()
        self.hosts = {}
        for address in self.addresses:
            self.start(address, -100.0)

    def _draw_cut(self):
        """Return the start, the end and the part of each host, for the one cut of a history."""
        start = self.rng.uniform(5, 40)
        end = start + self.rng.uniform(2, 80)
        parts = self.rng.choice([1, 2, 2, 3])
        draws = {
            "domains": lambda address: self.addresses[address],
            "parts": lambda address: self.rng.randrange(parts),
            "alone": lambda address: address,
        }
        draw = draws[self.rng.choice(list(draws))]
        return start, end, {address: draw(address) for address in self.addresses}

    def _draw_kills(self):
        """Return the hosts killed at each time: in series, all of them or some at once."""
        start, interval_s = self.rng.uniform(5, 60), self.rng.uniform(0.6, 12)
        part = self.rng.choice(list({*self.cut[2].values()}))
        share = self.rng.choice([0.0, 0.3, 0.9, 1.0, part])
        return [
            (start + n * interval_s, [a for a in self.addresses if self._is_killed(a, share, part)])
            for n in range(self.rng.randint(1, 6))
        ]

    def _is_killed(self, address, share, part):
        is_in_part = self.cut[2][address] == part
        return is_in_part if share == part else self.rng.random() < share

    def start(self, address, now):
        """Start a process of a host, in place of the one that was there."""
        self.hosts[address] = SimulatedHost(address, self.addresses[address], self.seeds, now)
        return self.hosts[address]

    def play(self):
        """Play the history; call `step_host` for each running host at each time."""
        kills = iter([*self.kills, (float("inf"), [])])
        kill_at, killed = next(kills)
        for step in range(-1000, int(self.seconds / STEP_S)):
            now = step * STEP_S
            if now >= kill_at:
                for address in killed:
                    self.start(address, now + START_S)
                kill_at, killed = next(kills)
            running = [host for host in self.hosts.values() if now >= host.started_at]
            if step % HEARTBEAT_STEPS == 0:
                self._exchange_heartbeats(running, now)
            if step >= 0:
                for host in running:
                    self.step_host(host, now)

    def step_host(self, host, now):
        raise NotImplementedError

    def _exchange_heartbeats(self, running, now):
        for host in running:
            for other in running:
                if other is not host and self._can_reach(host, other, now):
                    host.hear(other, now)
        for host in running:
            host.update(now)

    def _can_reach(self, host, other, now):
        start, end, parts = self.cut
        return not start <= now < end or parts[host.address] == parts[other.address]
