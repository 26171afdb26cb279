"""The fleet that the matrix runs on, what a call did there, and how it comes to rest again."""

from __future__ import annotations

import itertools
import threading
from collections import Counter
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any, NamedTuple

import urllib3

from cloverway.tests.standins.clients import Caller, Result
from cloverway.tests.standins.fleet import Fleet
from cloverway.tests.standins.topology import Topology, make_profiles, make_teams
from cloverway.tests.standins.waiting import wait_until

HOME, FAR = "pl", "cu"
ENTRY, SECOND = "pl-a-host-1", "pl-a-host-2"
TOKENS = 12
ADMITTED, QUEUED = 8, 4
PROBE_PERIOD_S = 0.1
FILL_PERIOD_S = 0.05
WARM_CALLS = 5
SETTINGS = {
    "limits": {
        "threads": 64,
        "admitted": ADMITTED,
        "queued": QUEUED,
        "body_bytes": 512 * 1024,
        "answer_bytes": 1024 * 1024,
        "recorded_answer_bytes": 64 * 1024,
        "body_timeout_s": 3.0,
    }
}
TOPOLOGY = Topology(regions=(HOME, FAR), engines=2, services=2, slots=2, settings=SETTINGS)
UNBOUND = {"profiles": {name: {"regions": []} for name in make_profiles()}}
PROFILES_OF_ENGINES = ("chat", "dossier")


class Call(NamedTuple):
    """What a caller asks for."""

    profile: str = "allocate"
    team: str = f"bound-{HOME}"
    deadline_ms: int = 4000
    stream: bool = False
    size: int = 0
    """Length to which the body is filled up."""

    @property
    def once(self) -> bool:
        """Whether it may run once only."""
        return self.profile in ("allocate", "dossier")

    @property
    def region(self) -> str:
        return self.team.removeprefix("bound-") if self.team != "open" else HOME

    @property
    def endpoint_kind(self) -> str:
        return "engines" if self.profile in PROFILES_OF_ENGINES else "services"


class Flight:
    """A call on its way; `release` lets it go on."""

    def __init__(self, call: Call, mark: str, key: str) -> None:
        self.call = call
        self.mark = mark
        self.key = key
        self.pieces: list[bytes] = []
        self.result: Future[Result] = Future()

    def release(self) -> None:
        """Let the call go on; the step replaces this."""


class Bench:
    """A fleet, with the counts of what ran, also at endpoints that were killed since."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.pool = ThreadPoolExecutor(64)
        self._numbers = itertools.count(1)
        self._lost: Counter[str] = Counter()
        self._killed: set[str] = set()
        self._paused: set[str] = set()
        self._left: set[str] = set()

    @classmethod
    def from_scratch(cls) -> Bench:
        """Start the fleet of the matrix."""
        return cls(Fleet(TOPOLOGY, platform="http", links=True, publish=UNBOUND).start())

    def close(self) -> None:
        self.fleet.stop()
        self.pool.shutdown(wait=False, cancel_futures=True)

    def mark(self, name: str) -> str:
        """Give a name under which one call is counted."""
        return f"{name}-{next(self._numbers)}"

    def endpoints(self, call: Call) -> list[str]:
        """List the endpoints that may run a call in its own region."""
        names = self.fleet.topology.names(call.endpoint_kind)
        return [name for name in names if name.startswith(f"{call.region}-")]

    def hosts(self, region: str) -> list[str]:
        return [name for name in self.fleet.hosts if name.startswith(f"{region}-")]

    def send(self, host: str, flight: Flight, timeout_s: float = 9.0) -> Result:
        """Send a flight's call to a host and wait for its answer."""
        call = flight.call
        caller = Caller(self.fleet.url(host), call.team, timeout_s)
        options: dict[str, Any] = {"key": flight.key, "deadline_ms": call.deadline_ms}
        options["pieces"] = flight.pieces
        if call.profile in PROFILES_OF_ENGINES:
            options |= {"tokens": TOKENS, "stream": call.stream}
            return caller.chat(flight.mark, profile=call.profile, **options)
        body = flight.mark.ljust(call.size, ".")
        return caller.serve(body, profile=call.profile, path=flight.mark, **options)

    def take_key(self, call: Call, host: str = ENTRY) -> str:
        return Caller(self.fleet.url(host), call.team).take_key() if call.once else ""

    def runs(self, mark: str) -> int:
        """Count how often calls with a mark ran, at any endpoint."""
        return self._lost[mark] + sum(self.runs_at(mark).values())

    def runs_at(self, mark: str) -> dict[str, int]:
        """Give the count of each endpoint that can be asked and has run a mark."""
        asked = [name for name in self.fleet.remotes if name != "platform"]
        asked = [name for name in asked if name not in self._killed | self._paused]
        counts = {name: self._count_at(name, mark) for name in asked}
        return {name: count for name, count in counts.items() if count}

    def _count_at(self, name: str, mark: str) -> int:
        counts = self.fleet.remotes[name].counts()
        if "users" in counts:
            return int(counts["users"].get(mark, 0))
        paths = counts["paths"].items()
        return sum(count for path, count in paths if path.endswith(f"/{mark}"))

    def kill(self, name: str, mark: str) -> None:
        """Kill a process; what an endpoint had counted is kept."""
        if name in self.fleet.remotes:
            self._lost[mark] += self._count_at(name, mark)
        self.fleet.kill(name)
        self._killed.add(name)
        # A link accepts before it connects; without this a dead process would seem to answer.
        self.fleet.links[name].cut()

    def pause(self, name: str) -> None:
        self.fleet.pause(name)
        self._paused.add(name)

    def wake(self) -> None:
        for name in self._paused:
            self.fleet.wake(name)
        self._paused.clear()

    def is_alive(self, host: str) -> bool:
        return host not in self._killed | self._paused

    def leave(self, name: str) -> None:
        """Have an endpoint report that it leaves."""
        self.fleet.remotes[name].set_state(leaving=True)
        self._left.add(name)

    def set_faults(self, names: list[str], **switches: Any) -> None:
        for name in names:
            self.fleet.remotes[name].set_faults(**switches)

    def clear_faults(self) -> None:
        for name, remote in self.fleet.remotes.items():
            if name not in self._killed | self._paused:
                remote.clear_faults()

    def reset(self) -> None:
        """Bring everything back and wait until all of it serves again."""
        self.wake()
        self.fleet.heal()
        for name in sorted(self._killed):
            self.fleet.processes[name].start()
        for name in sorted(self._killed):
            self.fleet.wait_open(name)
        self._killed.clear()
        self.clear_faults()
        for name in sorted(self._left):
            # Hosts hold an endpoint to be leaving for as long as it is the same incarnation.
            self.fleet.remotes[name].set_state(leaving=False, forget=True)
        self._left.clear()
        self.fleet.remotes["platform"].post("/test/thaw")
        self._restore_published()
        wait_until(self._serves, 20, "every host to serve again")

    def _restore_published(self) -> None:
        """Publish again what a fault changed."""
        first = {
            "profiles": {name: {**value, "regions": []} for name, value in make_profiles().items()},
            "teams": make_teams(TOPOLOGY),
        }
        changes = {
            table: {name: value for name, value in entries.items() if now[name] != value}
            for table, entries in first.items()
            if (now := self.fleet.tables[table])
        }
        if any(changes.values()):
            self.fleet.publish(changes)
            wait_until(lambda: self.has_revision(self.fleet.revision), 10, "the first tables")

    def _serves(self) -> bool:
        probes = [
            Call(profile=profile, team=f"bound-{region}", deadline_ms=1000)
            for profile in ("lookup", "chat")
            for region in (HOME, FAR)
        ]
        pairs = itertools.product(self.fleet.hosts, probes)
        flights = [(host, Flight(call, self.mark("probe"), "")) for host, call in pairs]
        results = self.pool.map(lambda flight: self.send(*flight, timeout_s=3.0), flights)
        serves = all(result.whole for result in list(results)) and self._shares_keys()
        if not serves:
            pause_for(PROBE_PERIOD_S)
        return serves

    def warm(self, host: str, call: Call, times: int = WARM_CALLS) -> None:
        """Have a host learn how long calls of a profile take; it refuses what may take too long."""
        for _ in range(times):
            flight = Flight(call, self.mark("warm"), self.take_key(call, host))
            assert self.send(host, flight).whole

    def occupy(self, host: str, call: Call) -> None:
        """Send calls, whose answers are held, until every slot of their region is taken."""
        endpoints = self.endpoints(call)
        waiting: list[Future[Result]] = []

        def send_and_look() -> bool:
            waiting[:] = [sent for sent in waiting if not sent.done()]
            if len(waiting) < len(endpoints) * TOPOLOGY.slots:
                waiting.append(self._send_filler(host, call))
            pause_for(FILL_PERIOD_S)
            return self.busy(endpoints)

        wait_until(send_and_look, 8, "the slots to be taken")

    def fill(self, host: str, call: Call) -> None:
        """Send calls, whose answers are held, until the slots are taken and a call is refused."""
        self.occupy(host, call)

        def send_and_look() -> bool:
            sent = self._send_filler(host, call)
            pause_for(FILL_PERIOD_S)
            return sent.done() and sent.result().status == 429

        wait_until(send_and_look, 8, "a call to be refused")

    def _send_filler(self, host: str, call: Call) -> Future[Result]:
        return self.pool.submit(self.send, host, Flight(call, self.mark("filler"), ""))

    def _shares_keys(self) -> bool:
        """Tell whether each of the two hosts runs a call with the other one's key."""
        call = Call(deadline_ms=1000)
        return all(
            self.send(asked, Flight(call, self.mark("probe"), self.take_key(call, issuer))).whole
            for asked, issuer in ((ENTRY, SECOND), (SECOND, ENTRY))
        )

    def busy(self, names: list[str]) -> bool:
        """Tell whether endpoints run as many requests as they have slots."""
        return all(self._load(name) >= TOPOLOGY.slots for name in names)

    def _load(self, name: str) -> int:
        path = "/load" if "service" in name else "/v1/load"
        answer = urllib3.request("GET", self.fleet.remotes[name].url + path, retries=False)
        return int(answer.json()["running"])

    def in_progress(self, host: str) -> int:
        """Give how many callers' requests a host has taken in and not answered."""
        return self._read_count(host, "in_progress")

    def queued(self, host: str) -> int:
        """Give how many requests wait at a host for an endpoint."""
        return self._read_count(host, "queued")

    def _read_count(self, host: str, name: str) -> int:
        url = f"http://{self.fleet.hosts[host].admin}/v1/status"
        return int(urllib3.request("GET", url, retries=False).json()[name])

    def find_free(self, host: str, call: Call) -> set[str]:
        """Give the places that a host would use for a call now."""
        url = f"http://{self.fleet.hosts[host].admin}/v1/explain"
        question = {"team": call.team, "profile": call.profile}
        answer = urllib3.request("POST", url, json=question, retries=False).json()
        return {place["place"] for place in answer["candidates"] if place["free"]}

    def platform_revision(self) -> int:
        return int(self.fleet.remotes["platform"].set_state()["revision"])

    def has_revision(self, revision: int) -> bool:
        """Tell whether a revision is in force on every host that can be asked."""
        hosts = [host for host in self.fleet.hosts if self.is_alive(host)]
        urls = [f"http://{self.fleet.hosts[host].admin}/v1/status" for host in hosts]
        answers = [urllib3.request("GET", url, retries=False).json() for url in urls]
        return all(answer["revision"] >= revision for answer in answers)

    def publish_deadline(self, deadline_ms: int, profile: str = "allocate") -> None:
        whole = {**make_profiles()[profile], "deadline_ms": deadline_ms}
        self.fleet.publish({"profiles": {profile: whole}})


def pause_for(seconds: float) -> None:
    """Let time pass for a fault that is one of time."""
    threading.Event().wait(seconds)
