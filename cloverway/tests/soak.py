"""A long randomized run with real processes: python -m cloverway.tests.soak SECONDS SEED.

Callers in all regions send lookups, chats and allocations, with repeats at other hosts, while
faults are injected. At the end the history of all calls is compared with the endpoints' run counts.
"""

from __future__ import annotations

import sys
import threading
import time
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from random import Random
from typing import NamedTuple

from cloverway.tests.standins.clients import Caller, Result
from cloverway.tests.standins.fleet import Fleet
from cloverway.tests.standins.links import TO_CALLER, TO_TARGET, Link
from cloverway.tests.standins.topology import Topology, domain_of, region_of

CALLERS = 8
WEIGHTS = (5, 2, 3)
WARM_UP_S = 1.0
FAULT_DURATION_S = (0.3, 2.5)
FAULT_INTERVAL_S = (0.1, 0.8)
RECOVERY_S = 12.0
TEAMS = ("open", "bound-pl", "bound-cu", "bound-ro")


class CallRecord(NamedTuple):
    """One attempt of a call, and what its caller saw."""

    work_id: str
    kind: str
    team: str
    host: str
    result: Result


class Soak:
    """One run: its fleet, the histories of its callers and its faults."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.fleet = fleet
        self.seed = seed
        self.histories: list[list[CallRecord]] = []
        self.faults: Counter[str] = Counter()
        self.stopping = threading.Event()
        self.timer = threading.Event()

    def run(self, seconds: float) -> list[str]:
        """Run for some seconds and return the violations."""
        threads = [self._start_caller(number) for number in range(CALLERS)]
        self.timer.wait(WARM_UP_S)
        self._make_faults(time.monotonic() + seconds, Random(self.seed))
        self.stopping.set()
        for thread in threads:
            thread.join(60.0)
        assert not any(thread.is_alive() for thread in threads), "a caller got no answer"
        return list(self._find_violations())

    def _start_caller(self, number: int) -> threading.Thread:
        history: list[CallRecord] = []
        self.histories.append(history)
        random = Random(f"{self.seed}/{number}")
        thread = threading.Thread(target=self._call, args=(number, history, random), daemon=True)
        thread.start()
        return thread

    def _call(self, number: int, history: list[CallRecord], random: Random) -> None:
        hosts = list(self.fleet.hosts)
        callers = {
            (host, team): Caller(self.fleet.url(host), team) for host in hosts for team in TEAMS
        }
        operations = (self._look_up, self._chat, self._allocate)
        turn = 0
        while not self.stopping.is_set():
            turn += 1
            work_id, team = f"w-{number}-{turn}", random.choice(TEAMS)
            operation = random.choices(operations, WEIGHTS)[0]
            order = random.sample(hosts, len(hosts))
            history += operation(work_id, team, order, callers, random)

    def _look_up(self, work_id, team, order, callers, random) -> Iterator[CallRecord]:
        result = callers[order[0], team].call_service(work_id, profile="lookup")
        yield CallRecord(work_id, "lookup", team, order[0], result)

    def _chat(self, work_id, team, order, callers, random) -> Iterator[CallRecord]:
        stream = random.random() < 0.7
        result = callers[order[0], team].chat(work_id, tokens=random.randint(1, 30), stream=stream)
        yield CallRecord(work_id, "chat", team, order[0], result)

    def _allocate(self, work_id, team, order, callers, random) -> Iterator[CallRecord]:
        """Send an allocation one to three times, to one or several hosts."""
        issued = callers[order[0], team].request("POST", "/v1/idempotency-keys", json={})
        if issued.status not in (200, 201) or issued.error:
            return
        key = issued.body.decode().partition('"key": "')[2].partition('"')[0]
        for host in random.choices(order[:3], k=random.randint(1, 3)):
            result = callers[host, team].call_service(work_id, profile="allocate", key=key)
            yield CallRecord(work_id, "allocate", team, host, result)

    def _make_faults(self, until: float, random: Random) -> None:
        faults = (
            *(self._kill, self._pause, self._replace, self._cut, self._silence),
            *(self._break_endpoint, self._drain_endpoint, self._lose_platform),
        )
        while time.monotonic() < until:
            fault = random.choice(faults)
            self.faults[fault.__name__.lstrip("_")] += 1
            undo = fault(random)
            self.timer.wait(random.uniform(*FAULT_DURATION_S))
            undo()
            self.timer.wait(random.uniform(*FAULT_INTERVAL_S))

    def _choose_host(self, random: Random) -> str:
        return random.choice(list(self.fleet.hosts))

    def _kill(self, random: Random) -> Callable[[], None]:
        host = self._choose_host(random)
        self.fleet.kill(host)
        return lambda: self.fleet.restart(host)

    def _pause(self, random: Random) -> Callable[[], None]:
        host = self._choose_host(random)
        self.fleet.pause(host)
        return lambda: self.fleet.resume(host)

    def _replace(self, random: Random) -> Callable[[], None]:
        """Stop a host in a planned way, and start a new one with its address."""
        host = self._choose_host(random)
        self.fleet.terminate(host)

        def start_again() -> None:
            status = self.fleet.processes[host].wait(30.0)
            assert status == 0, f"a planned stop of {host} exited with status {status}"
            self.fleet.restart(host)

        return start_again

    def _cut(self, random: Random) -> Callable[[], None]:
        """Cut the links of a region's hosts."""
        for link in self._find_links(random):
            link.cut()
        return self.fleet.heal

    def _silence(self, random: Random) -> Callable[[], None]:
        """Keep connections to a region's hosts open, but drop data in one or both directions."""
        directions = random.choice([(), (TO_TARGET,), (TO_CALLER,)])
        for link in self._find_links(random):
            link.blackhole(*directions)
        return self.fleet.heal

    def _find_links(self, random: Random) -> list[Link]:
        isolated = random.choice(self.fleet.topology.regions)
        return [self.fleet.links[host] for host in self.fleet.hosts if region_of(host) == isolated]

    def _break_endpoint(self, random: Random) -> Callable[[], None]:
        topology = self.fleet.topology
        name = random.choice([*topology.list_names("engines"), *topology.list_names("services")])
        switches = random.choice(
            [
                *({"refuse": True}, {"error": 500}, {"silent": True}, {"cut_after": 3}),
                *({"short_body": True}, {"close_at_once": True}, {"duplicate": True}),
                {"first_byte_s": 0.5},
            ]
        )
        self.fleet.remotes[name].set_faults(**switches)
        return self.fleet.remotes[name].clear_faults

    def _drain_endpoint(self, random: Random) -> Callable[[], None]:
        """Let a service leave and return as a new incarnation."""
        name = random.choice(self.fleet.topology.list_names("services"))
        self.fleet.remotes[name].set_state(leaving=True)

        def come_back() -> None:
            self.fleet.remotes[name].set_state(leaving=False, renew=True)

        return come_back

    def _lose_platform(self, random: Random) -> Callable[[], None]:
        self.fleet.pause("platform")
        return lambda: self.fleet.resume("platform")

    def _find_violations(self) -> Iterator[str]:
        records = [record for history in self.histories for record in history]
        runs, regions = self._count_runs()
        attempts: dict[str, list[CallRecord]] = defaultdict(list)
        for record in records:
            attempts[record.work_id].append(record)
            result = record.result
            if result.status == 200 and not result.error and not result.complete:
                yield f"{record}: a truncated answer or another call's answer was taken as complete"
            if result.status not in (200, 0) and not result.problem and not result.error:
                yield f"{record}: no problem document"
        for work_id, tries in attempts.items():
            yield from self._check_work(work_id, tries, runs[work_id], regions[work_id])

    def _check_work(self, work_id: str, tries: list[CallRecord], runs: int, regions: set[str]):
        first = tries[0]
        if first.kind == "allocate" and runs > 1:
            yield f"{work_id}: ran {runs} times: {tries}"
        if runs and all(record.result.ran == "no" for record in tries):
            yield f"{work_id}: ran although each caller was told that it did not: {tries}"
        if not runs and any(record.result.complete for record in tries):
            yield f"{work_id}: answered although it never ran: {tries}"
        if first.team.startswith("bound-") and regions - {first.team.removeprefix("bound-")}:
            yield f"{work_id}: data of {first.team} was served in {regions}"
        bodies = {record.result.body for record in tries if record.result.complete}
        if first.kind == "allocate" and len(bodies) > 1:
            yield f"{work_id}: different answers to one allocation: {bodies}"

    def _count_runs(self) -> tuple[Counter[str], dict[str, set[str]]]:
        runs: Counter[str] = Counter()
        regions: dict[str, set[str]] = defaultdict(set)
        topology = self.fleet.topology
        for name in [*topology.list_names("engines"), *topology.list_names("services")]:
            counts = self.fleet.remotes[name].counts()
            for work_id, count in counts.get("bodies", counts.get("users", {})).items():
                runs[work_id] += count
                regions[work_id].add(region_of(domain_of(name)))
        return runs, regions


def check_recovered(fleet: Fleet) -> list[str]:
    """Return the hosts that don't serve callers some time after the last fault."""
    unserved = set(fleet.hosts)
    give_up_at = time.monotonic() + RECOVERY_S
    while unserved and time.monotonic() < give_up_at:
        unserved = {host for host in unserved if not Caller(fleet.url(host)).chat("after").complete}
    return [f"{host}: does not serve callers after the faults" for host in sorted(unserved)]


def main(seconds: float, seed: int) -> int:
    with Fleet(Topology(), platform="http", links=True) as fleet:
        soak = Soak(fleet, seed)
        violations = soak.run(seconds) + check_recovered(fleet)
    records = [record for history in soak.histories for record in history]
    outcomes = Counter(
        (
            record.kind,
            record.result.kind or ("whole" if record.result.complete else "no whole answer"),
        )
        for record in records
    )
    print(f"seed {seed}: {len(records)} requests, {sum(soak.faults.values())} faults")
    print("faults: " + ", ".join(f"{count} {name}" for name, count in sorted(soak.faults.items())))
    for (kind, outcome), count in sorted(outcomes.items()):
        print(f"  {kind}: {outcome}: {count}")
    for violation in violations[:20]:
        print(f"VIOLATION {violation}")
    print(f"{len(violations)} violations")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main(float(sys.argv[1]), int(sys.argv[2])))
