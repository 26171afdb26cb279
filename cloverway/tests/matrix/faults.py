"""Put a fault in place for a call that stands at a step.

A subject says where: "host" is the host that the caller asked, "endpoint" every endpoint of the
call's region that could run it, "one endpoint" the first of them, "far" the hosts of the other
region, "peers" every other host.
"""

from __future__ import annotations

from collections.abc import Callable

from cloverway.tests.matrix.testbed import (
    ENTRY,
    FAR,
    HOME,
    SECOND,
    TOPOLOGY,
    Bench,
    Call,
    Flight,
)
from cloverway.tests.standins.topology import make_profiles, make_teams
from cloverway.tests.standins.waiting import wait_until

Apply = Callable[[Bench, Flight, str], None]


def find_subjects(bench: Bench, flight: Flight, subject: str) -> list[str]:
    """List the processes that a subject stands for."""
    endpoints = bench.endpoints(flight.call)
    others = [host for host in bench.fleet.hosts if host != ENTRY]
    return {
        "host": [ENTRY],
        "endpoint": endpoints,
        "one endpoint": endpoints[:1],
        "far": bench.hosts(FAR),
        "peers": others,
        "second": [SECOND],
    }[subject]


def kill(bench: Bench, flight: Flight, subject: str) -> None:
    for name in find_subjects(bench, flight, subject):
        bench.kill(name, flight.mark)


def pause(bench: Bench, flight: Flight, subject: str) -> None:
    """Stop a process until the call's deadline has passed; the runner wakes it then."""
    for name in find_subjects(bench, flight, subject):
        bench.pause(name)


def cut(bench: Bench, flight: Flight, subject: str) -> None:
    """Reset what is open and refuse what is new; between two hosts for these two only."""
    if "endpoint" in subject:
        for name in find_subjects(bench, flight, subject):
            bench.fleet.links[name].cut()
        return
    if subject == "host":
        subject = "peers"
    for name in find_subjects(bench, flight, subject):
        bench.fleet.cut([ENTRY], [name])


def drop_requests(bench: Bench, flight: Flight, subject: str) -> None:
    """Drop all that the host sends; what comes back still arrives."""
    if subject == "host":
        subject = "peers"
    bench.fleet.silence([ENTRY], find_subjects(bench, flight, subject), one_way=True)


def drop_answers(bench: Bench, flight: Flight, subject: str) -> None:
    """Drop all that comes back to the host; what it sends still arrives."""
    if subject == "host":
        subject = "peers"
    bench.fleet.silence(find_subjects(bench, flight, subject), [ENTRY], one_way=True)


def silence_open(bench: Bench, flight: Flight, subject: str) -> None:
    """Have the open connections pass nothing for good, while new ones work."""
    if subject == "host":
        subject = "peers"
    for name in find_subjects(bench, flight, subject):
        bench.fleet.links[name].silence_open()


def slow(bench: Bench, flight: Flight, subject: str) -> None:
    if subject == "host":
        subject = "peers"
    for name in find_subjects(bench, flight, subject):
        bench.fleet.links[name].slow(0.05)


def stop_platform(bench: Bench, flight: Flight, subject: str) -> None:
    bench.fleet.links["platform"].cut()


def make_platform_stale(bench: Bench, flight: Flight, subject: str) -> None:
    """Publish a change, and have the platform serve what was before it."""
    bench.publish_deadline(4500)
    revision = bench.fleet.revision
    wait_until(lambda: bench.has_revision(revision), 5, "the change to be in force")
    bench.fleet.remotes["platform"].post("/test/freeze", revision=revision - 1)


def list_wrongly(bench: Bench, flight: Flight, subject: str) -> None:
    """Have an endpoint leave while the platform's list calls it live."""
    first = bench.endpoints(flight.call)[0]
    bench.fleet.remotes["platform"].post("/test/list", endpoints={first: "live"})
    bench.leave(first)


def answer_late(bench: Bench, flight: Flight, subject: str) -> None:
    """Have the answer come after the deadline; the runner lets it go then."""


def answer_twice(bench: Bench, flight: Flight, subject: str) -> None:
    bench.set_faults(bench.endpoints(flight.call), duplicate=True)


def settle_late(bench: Bench, flight: Flight, subject: str) -> None:
    """Have all that passes between the hosts of the region come late."""
    for name in bench.hosts(HOME):
        bench.fleet.links[name].slow(0.3)


def fill_host(bench: Bench, flight: Flight, subject: str) -> None:
    """Hold the answers of a region's endpoints, and send calls until its hosts refuse them."""
    region = FAR if subject == "far" else HOME
    filler = Call("lookup", team=f"bound-{region}", deadline_ms=9000)
    bench.set_faults(bench.endpoints(filler), hold=True)
    for name in bench.hosts(region) if subject == "far" else [ENTRY]:
        bench.fill(name, filler)


def race(bench: Bench, flight: Flight, subject: str) -> None:
    """Have two operators publish the same document at once, and go on when it is in force."""
    values = (4200, 4700)
    list(bench.pool.map(bench.publish_deadline, values))
    wait_until(lambda: bench.has_revision(bench.platform_revision()), 5, "all to agree")


def withdraw(bench: Bench, flight: Flight, subject: str) -> None:
    """Take the profile away from the team while another operator changes the profile."""
    team = make_teams(TOPOLOGY)[flight.call.team]
    fewer = {**team, "profiles": [name for name in make_profiles() if name != flight.call.profile]}
    bench.fleet.publish({"teams": {flight.call.team: fewer}})
    bench.publish_deadline(4300)
    wait_until(lambda: bench.has_revision(bench.fleet.revision), 5, "all to agree")


def bind_elsewhere(bench: Bench, flight: Flight, subject: str) -> None:
    """Restrict the profile to the other region."""
    region = FAR if flight.call.region == HOME else HOME
    bench.fleet.publish({"profiles": {flight.call.profile: {"regions": [region]}}})
    wait_until(lambda: bench.has_revision(bench.fleet.revision), 5, "all to agree")


FAULTS: dict[str, Apply] = {
    "kill": kill,
    "pause and wake": pause,
    "link cut": cut,
    "one-way cut: requests lost": drop_requests,
    "one-way cut: answers lost": drop_answers,
    "silent connection": silence_open,
    "slow link": slow,
    "platform down": stop_platform,
    "platform stale": make_platform_stale,
    "list lagging": list_wrongly,
    "late answer": answer_late,
    "duplicate answer": answer_twice,
    "late settlement": settle_late,
    "memory limit: host full": fill_host,
    "memory limit": lambda bench, flight, subject: None,
    "operator race": race,
    "operator race: team withdrawn": withdraw,
    "operator race: region withdrawn": bind_elsewhere,
}

LASTING = {"pause and wake", "late answer"}
"""Faults that the runner ends when the call's deadline has passed."""
