"""Put a fault in place for a call that stands at a step.

A subject says where: "host" is the host that the caller asked, "endpoint" every endpoint of the
call's region that could run it, "one endpoint" the first of them, "far" the hosts of the other
region, "peers" every other host.
"""

from __future__ import annotations

from collections.abc import Callable

from cloverway.tests.matrix.testbed import (
    ENTRY,
    HOME,
    REMOTE,
    SECOND_ENTRY,
    TOPOLOGY,
    Call,
    FaultTestbed,
    PendingCall,
)
from cloverway.tests.standins.topology import make_profiles, make_teams
from cloverway.tests.standins.waiting import wait_until

InjectFault = Callable[[FaultTestbed, PendingCall, str], None]


def list_subjects(testbed: FaultTestbed, pending: PendingCall, subject: str) -> list[str]:
    """List the processes that a subject stands for."""
    endpoints = testbed.endpoints(pending.call)
    others = [host for host in testbed.fleet.hosts if host != ENTRY]
    return {
        "host": [ENTRY],
        "endpoint": endpoints,
        "one endpoint": endpoints[:1],
        "far": testbed.hosts(REMOTE),
        "peers": others,
        "second": [SECOND_ENTRY],
    }[subject]


def kill(testbed: FaultTestbed, pending: PendingCall, subject: str) -> None:
    for name in list_subjects(testbed, pending, subject):
        testbed.kill(name, pending.tag)


def pause(testbed: FaultTestbed, pending: PendingCall, subject: str) -> None:
    """Stop a process until the call's deadline has passed; the runner wakes it then."""
    for name in list_subjects(testbed, pending, subject):
        testbed.pause(name)


def cut(testbed: FaultTestbed, pending: PendingCall, subject: str) -> None:
    """Reset what is open and refuse what is new; between two hosts for these two only."""
    if "endpoint" in subject:
        for name in list_subjects(testbed, pending, subject):
            testbed.fleet.links[name].cut()
        return
    if subject == "host":
        subject = "peers"
    for name in list_subjects(testbed, pending, subject):
        testbed.fleet.cut([ENTRY], [name])


def drop_requests(testbed: FaultTestbed, pending: PendingCall, subject: str) -> None:
    """Drop all that the host sends; what comes back still arrives."""
    if subject == "host":
        subject = "peers"
    testbed.fleet.blackhole([ENTRY], list_subjects(testbed, pending, subject), one_way=True)


def drop_answers(testbed: FaultTestbed, pending: PendingCall, subject: str) -> None:
    """Drop all that comes back to the host; what it sends still arrives."""
    if subject == "host":
        subject = "peers"
    testbed.fleet.blackhole(list_subjects(testbed, pending, subject), [ENTRY], one_way=True)


def blackhole_open(testbed: FaultTestbed, pending: PendingCall, subject: str) -> None:
    """Have the open connections pass nothing for good, while new ones work."""
    if subject == "host":
        subject = "peers"
    for name in list_subjects(testbed, pending, subject):
        testbed.fleet.links[name].blackhole_open()


def slow(testbed: FaultTestbed, pending: PendingCall, subject: str) -> None:
    if subject == "host":
        subject = "peers"
    for name in list_subjects(testbed, pending, subject):
        testbed.fleet.links[name].slow(0.05)


def stop_platform(testbed: FaultTestbed, pending: PendingCall, subject: str) -> None:
    testbed.fleet.links["platform"].cut()


def make_platform_stale(testbed: FaultTestbed, pending: PendingCall, subject: str) -> None:
    """Publish a change, and have the platform serve what was before it."""
    testbed.publish_deadline(4500)
    revision = testbed.fleet.revision
    wait_until(lambda: testbed.has_revision(revision), 5, "the change to be in force")
    testbed.fleet.remotes["platform"].post("/test/freeze", revision=revision - 1)


def list_leaving_endpoint(testbed: FaultTestbed, pending: PendingCall, subject: str) -> None:
    """Have an endpoint leave while the platform's list calls it live."""
    first = testbed.endpoints(pending.call)[0]
    testbed.fleet.remotes["platform"].post("/test/list", endpoints={first: "live"})
    testbed.mark_leaving(first)


def answer_late(testbed: FaultTestbed, pending: PendingCall, subject: str) -> None:
    """Have the answer come after the deadline; the runner lets it go then."""


def answer_twice(testbed: FaultTestbed, pending: PendingCall, subject: str) -> None:
    testbed.set_faults(testbed.endpoints(pending.call), duplicate=True)


def delay_settlement(testbed: FaultTestbed, pending: PendingCall, subject: str) -> None:
    """Have all that passes between the hosts of the region come late."""
    for name in testbed.hosts(HOME):
        testbed.fleet.links[name].slow(0.3)


def fill_host(testbed: FaultTestbed, pending: PendingCall, subject: str) -> None:
    """Hold the answers of a region's endpoints, and send calls until its hosts refuse them."""
    region = REMOTE if subject == "far" else HOME
    filler = Call("lookup", team=f"bound-{region}", deadline_ms=9000)
    testbed.set_faults(testbed.endpoints(filler), hold=True)
    for name in testbed.hosts(region) if subject == "far" else [ENTRY]:
        testbed.fill_queue(name, filler)


def publish_concurrently(testbed: FaultTestbed, pending: PendingCall, subject: str) -> None:
    """Have two operators publish the same document at once, and go on when it is in force."""
    values = (4200, 4700)
    list(testbed.pool.map(testbed.publish_deadline, values))
    wait_until(lambda: testbed.has_revision(testbed.platform_revision()), 5, "all to agree")


def withdraw_profile(testbed: FaultTestbed, pending: PendingCall, subject: str) -> None:
    """Take the profile away from the team while another operator changes the profile."""
    team = make_teams(TOPOLOGY)[pending.call.team]
    fewer = {**team, "profiles": [name for name in make_profiles() if name != pending.call.profile]}
    testbed.fleet.publish({"teams": {pending.call.team: fewer}})
    testbed.publish_deadline(4300)
    wait_until(lambda: testbed.has_revision(testbed.fleet.revision), 5, "all to agree")


def restrict_to_other_region(testbed: FaultTestbed, pending: PendingCall, subject: str) -> None:
    """Restrict the profile to the other region."""
    region = REMOTE if pending.call.region == HOME else HOME
    testbed.fleet.publish({"profiles": {pending.call.profile: {"regions": [region]}}})
    wait_until(lambda: testbed.has_revision(testbed.fleet.revision), 5, "all to agree")


FAULTS: dict[str, InjectFault] = {
    "kill": kill,
    "pause and wake": pause,
    "link cut": cut,
    "one-way cut: requests lost": drop_requests,
    "one-way cut: answers lost": drop_answers,
    "silent connection": blackhole_open,
    "slow link": slow,
    "platform down": stop_platform,
    "platform stale": make_platform_stale,
    "list lagging": list_leaving_endpoint,
    "late answer": answer_late,
    "duplicate answer": answer_twice,
    "late settlement": delay_settlement,
    "memory limit: host full": fill_host,
    "memory limit": lambda testbed, pending, subject: None,
    "operator race": publish_concurrently,
    "operator race: team withdrawn": withdraw_profile,
    "operator race: region withdrawn": restrict_to_other_region,
}

ENDED_AFTER_DEADLINE = {"pause and wake", "late answer"}
"""Faults that the runner ends when the call's deadline has passed."""
