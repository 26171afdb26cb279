"""The fleet on which the fault matrix runs: sends calls, counts their runs and resets faults."""

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

HOME, REMOTE = "pl", "cu"
ENTRY, SECOND_ENTRY = "pl-a-host-1", "pl-a-host-2"
TOKENS = 12
ADMITTED, QUEUED = 8, 4
PROBE_PERIOD_S = 0.1
FILL_PERIOD_S = 0.05
WARM_UP_CALLS = 5
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
TOPOLOGY = Topology(regions=(HOME, REMOTE), engines=2, services=2, slots=2, settings=SETTINGS)
UNRESTRICTED_PROFILES = {"profiles": {name: {"regions": []} for name in make_profiles()}}
ENGINE_PROFILES = ("chat", "dossier")


class Call(NamedTuple):
    """The call of a cell."""

    profile: str = "allocate"
    team: str = f"bound-{HOME}"
    deadline_ms: int = 4000
    stream: bool = False
    body_size: int = 0
    """Length to which the body is padded."""

    @property
    def at_most_once(self) -> bool:
        """Return whether the call may run at most once."""
        return self.profile in ("allocate", "dossier")

    @property
    def region(self) -> str:
        return self.team.removeprefix("bound-") if self.team != "open" else HOME

    @property
    def endpoint_kind(self) -> str:
        return "engines" if self.profile in ENGINE_PROFILES else "services"


class PendingCall:
    """A call that is held at a step until `release`."""

    def __init__(self, call: Call, tag: str, key: str) -> None:
        self.call = call
        self.tag = tag
        self.key = key
        self.chunks: list[bytes] = []
        self.result: Future[Result] = Future()

    def release(self) -> None:
        """Let the call continue; each step replaces this method."""


class FaultTestbed:
    """A fleet that keeps the run counts of its endpoints, also of those that were killed."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.pool = ThreadPoolExecutor(64)
        self._numbers = itertools.count(1)
        self._runs_of_killed: Counter[str] = Counter()
        self._killed: set[str] = set()
        self._paused: set[str] = set()
        self._leaving: set[str] = set()

    @classmethod
    def start(cls) -> FaultTestbed:
        """Start the fleet of the matrix."""
        return cls(
            Fleet(TOPOLOGY, platform="http", links=True, publish=UNRESTRICTED_PROFILES).start()
        )

    def close(self) -> None:
        self.fleet.stop()
        self.pool.shutdown(wait=False, cancel_futures=True)

    def make_tag(self, name: str) -> str:
        """Return a unique tag under which the runs of one call are counted."""
        return f"{name}-{next(self._numbers)}"

    def list_endpoints(self, call: Call) -> list[str]:
        """Return the endpoints that may run a call in its own region."""
        names = self.fleet.topology.list_names(call.endpoint_kind)
        return [name for name in names if name.startswith(f"{call.region}-")]

    def list_hosts(self, region: str) -> list[str]:
        return [name for name in self.fleet.hosts if name.startswith(f"{region}-")]

    def send(self, host: str, pending: PendingCall, timeout_s: float = 9.0) -> Result:
        """Send a call to a host and wait for its answer."""
        call = pending.call
        caller = Caller(self.fleet.url(host), call.team, timeout_s)
        options: dict[str, Any] = {"key": pending.key, "deadline_ms": call.deadline_ms}
        options["chunks"] = pending.chunks
        if call.profile in ENGINE_PROFILES:
            options |= {"tokens": TOKENS, "stream": call.stream}
            return caller.chat(pending.tag, profile=call.profile, **options)
        body = pending.tag.ljust(call.body_size, ".")
        return caller.call_service(body, profile=call.profile, path=pending.tag, **options)

    def request_key(self, call: Call, host: str = ENTRY) -> str:
        return Caller(self.fleet.url(host), call.team).request_key() if call.at_most_once else ""

    def count_runs(self, tag: str) -> int:
        """Return how often calls with a tag ran at all endpoints together."""
        return self._runs_of_killed[tag] + sum(self.count_runs_by_endpoint(tag).values())

    def count_runs_by_endpoint(self, tag: str) -> dict[str, int]:
        """Return the number of runs with a tag at each reachable endpoint that ran any."""
        reachable = [name for name in self.fleet.remotes if name != "platform"]
        reachable = [name for name in reachable if name not in self._killed | self._paused]
        counts = {name: self._count_at(name, tag) for name in reachable}
        return {name: count for name, count in counts.items() if count}

    def _count_at(self, name: str, tag: str) -> int:
        counts = self.fleet.remotes[name].counts()
        if "users" in counts:
            return int(counts["users"].get(tag, 0))
        paths = counts["paths"].items()
        return sum(count for path, count in paths if path.endswith(f"/{tag}"))

    def kill(self, name: str, tag: str) -> None:
        """Kill a process; keep the run count of an endpoint."""
        if name in self.fleet.remotes:
            self._runs_of_killed[tag] += self._count_at(name, tag)
        # A link accepts a connection before it connects to its target. A process that ends refuses
        # new connections at the moment at which its open ones are reset, and so must its link: a
        # host connects again at once.
        self.fleet.links[name].refuse()
        self.fleet.kill(name)
        self._killed.add(name)
        self.fleet.links[name].cut()

    def pause(self, name: str) -> None:
        self.fleet.pause(name)
        self._paused.add(name)

    def resume(self) -> None:
        for name in self._paused:
            self.fleet.resume(name)
        self._paused.clear()

    def is_alive(self, host: str) -> bool:
        return host not in self._killed | self._paused

    def mark_leaving(self, name: str) -> None:
        """Make an endpoint report that it is leaving."""
        self.fleet.remotes[name].set_state(leaving=True)
        self._leaving.add(name)

    def set_faults(self, names: list[str], **switches: Any) -> None:
        for name in names:
            self.fleet.remotes[name].set_faults(**switches)

    def clear_faults(self) -> None:
        for name, remote in self.fleet.remotes.items():
            if name not in self._killed | self._paused:
                remote.clear_faults()

    def reset(self) -> None:
        """Undo all faults and wait until every host serves calls again."""
        self.resume()
        self.fleet.heal()
        for name in sorted(self._killed):
            self.fleet.processes[name].start()
        for name in sorted(self._killed):
            self.fleet.wait_serving(name)
        self._killed.clear()
        self.clear_faults()
        for name in sorted(self._leaving):
            # Hosts treat an endpoint as leaving until its incarnation changes.
            self.fleet.remotes[name].set_state(leaving=False, forget=True)
        self._leaving.clear()
        self.fleet.remotes["platform"].post("/test/thaw")
        self._restore_published()
        wait_until(self._is_serving, 20, "every host to serve again")

    def _restore_published(self) -> None:
        """Publish the initial tables again where a fault changed them."""
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

    def _is_serving(self) -> bool:
        probes = [
            Call(profile=profile, team=f"bound-{region}", deadline_ms=1000)
            for profile in ("lookup", "chat")
            for region in (HOME, REMOTE)
        ]
        pairs = itertools.product(self.fleet.hosts, probes)
        pending_calls = [
            (host, PendingCall(call, self.make_tag("probe"), "")) for host, call in pairs
        ]
        results = self.pool.map(lambda pending: self.send(*pending, timeout_s=3.0), pending_calls)
        serves = (
            all(result.complete for result in list(results)) and self._accepts_keys_of_both_hosts()
        )
        if not serves:
            pause_for(PROBE_PERIOD_S)
        return serves

    def warm_up(self, host: str, call: Call, times: int = WARM_UP_CALLS) -> None:
        """Send calls so that a host learns their duration.

        A host refuses calls that it expects to take too long.
        """
        for _ in range(times):
            pending = PendingCall(call, self.make_tag("warm"), self.request_key(call, host))
            assert self.send(host, pending).complete

    def fill_slots(self, host: str, call: Call) -> None:
        """Send calls, whose answers are held, until every slot of the region is taken."""
        endpoints = self.list_endpoints(call)
        waiting: list[Future[Result]] = []

        def send_filler_and_check() -> bool:
            waiting[:] = [sent for sent in waiting if not sent.done()]
            if len(waiting) < len(endpoints) * TOPOLOGY.slots:
                waiting.append(self._send_filler(host, call))
            pause_for(FILL_PERIOD_S)
            return self.are_slots_taken(endpoints)

        wait_until(send_filler_and_check, 8, "all slots to be taken")

    def fill_queue(self, host: str, call: Call) -> None:
        """Send calls, whose answers are held, until the slots and the queue are full."""
        self.fill_slots(host, call)

        def send_filler_and_check() -> bool:
            sent = self._send_filler(host, call)
            pause_for(FILL_PERIOD_S)
            return sent.done() and sent.result().status == 429

        wait_until(send_filler_and_check, 8, "a call to be refused")

    def _send_filler(self, host: str, call: Call) -> Future[Result]:
        return self.pool.submit(self.send, host, PendingCall(call, self.make_tag("filler"), ""))

    def _accepts_keys_of_both_hosts(self) -> bool:
        """Return whether both hosts run a call with a key that the other one issued."""
        call = Call(deadline_ms=1000)
        return all(
            self.send(
                runner, PendingCall(call, self.make_tag("probe"), self.request_key(call, issuer))
            ).complete
            for runner, issuer in ((ENTRY, SECOND_ENTRY), (SECOND_ENTRY, ENTRY))
        )

    def are_slots_taken(self, names: list[str]) -> bool:
        """Return whether all slots of the endpoints are taken."""
        return all(self._load(name) >= TOPOLOGY.slots for name in names)

    def _load(self, name: str) -> int:
        path = "/load" if "service" in name else "/v1/load"
        answer = urllib3.request("GET", self.fleet.remotes[name].url + path, retries=False)
        return int(answer.json()["running"])

    def count_in_progress(self, host: str) -> int:
        """Return how many requests a host has accepted and not answered yet."""
        return self._read_count(host, "in_progress")

    def count_queued(self, host: str) -> int:
        """Return how many requests are queued at a host."""
        return self._read_count(host, "queued")

    def _read_count(self, host: str, name: str) -> int:
        url = f"http://{self.fleet.hosts[host].admin}/v1/status"
        return int(urllib3.request("GET", url, retries=False).json()[name])

    def list_available_endpoints(self, host: str, call: Call) -> set[str]:
        """Return the endpoints and regions with free capacity that a host would use for a call."""
        url = f"http://{self.fleet.hosts[host].admin}/v1/explain"
        question = {"team": call.team, "profile": call.profile}
        answer = urllib3.request("POST", url, json=question, retries=False).json()
        return {place["place"] for place in answer["candidates"] if place["free"]}

    def get_platform_revision(self) -> int:
        return int(self.fleet.remotes["platform"].set_state()["revision"])

    def has_revision(self, revision: int) -> bool:
        """Return whether every reachable host has applied a revision."""
        hosts = [host for host in self.fleet.hosts if self.is_alive(host)]
        urls = [f"http://{self.fleet.hosts[host].admin}/v1/status" for host in hosts]
        answers = [urllib3.request("GET", url, retries=False).json() for url in urls]
        return all(answer["revision"] >= revision for answer in answers)

    def publish_deadline(self, deadline_ms: int, profile: str = "allocate") -> None:
        document = {**make_profiles()[profile], "deadline_ms": deadline_ms}
        self.fleet.publish({"profiles": {profile: document}})


def pause_for(seconds: float) -> None:
    """Wait, for faults that depend on elapsed time."""
    threading.Event().wait(seconds)
