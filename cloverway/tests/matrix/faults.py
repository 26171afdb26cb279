"""Inject a fault while a call is held at a step.

The subject of a fault names the processes that it affects: "host" is the host that the caller uses,
"endpoint" all endpoints of the call's region that can run it, "one endpoint" the first of these,
"far" the hosts of the remote region, "one far" the first of these, "peers" all other hosts,
"second" the other host of the entry host's failure domain.
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
    """Return the processes that a subject names."""
    endpoints = testbed.list_endpoints(pending.call)
    others = [host for host in testbed.fleet.hosts if host != ENTRY]
    return {
        "host": [ENTRY],
        "endpoint": endpoints,
        "one endpoint": endpoints[:1],
        "far": testbed.list_hosts(REMOTE),
        "one far": testbed.list_hosts(REMOTE)[:1],
        "peers": others,
        "second": [SECOND_ENTRY],
    }[subject]


def kill(testbed: FaultTestbed, pending: PendingCall, subject: str) -> None:
    for name in list_subjects(testbed, pending, subject):
        testbed.kill(name, pending.tag)


def pause(testbed: FaultTestbed, pending: PendingCall, subject: str) -> None:
    """Pause a process; the runner resumes it when the call's deadline has passed."""
    for name in list_subjects(testbed, pending, subject):
        testbed.pause(name)


def cut(testbed: FaultTestbed, pending: PendingCall, subject: str) -> None:
    """Reset open connections and refuse new ones; a cut between hosts affects only that pair."""
    if "endpoint" in subject:
        for name in list_subjects(testbed, pending, subject):
            testbed.fleet.links[name].cut()
        return
    if subject == "host":
        subject = "peers"
    for name in list_subjects(testbed, pending, subject):
        testbed.fleet.cut([ENTRY], [name])


def drop_requests(testbed: FaultTestbed, pending: PendingCall, subject: str) -> None:
    """Drop everything that the host sends; data in the other direction still arrives."""
    if subject == "host":
        subject = "peers"
    testbed.fleet.blackhole([ENTRY], list_subjects(testbed, pending, subject), one_way=True)


def drop_answers(testbed: FaultTestbed, pending: PendingCall, subject: str) -> None:
    """Drop everything that is sent to the host; its own data still arrives."""
    if subject == "host":
        subject = "peers"
    testbed.fleet.blackhole(list_subjects(testbed, pending, subject), [ENTRY], one_way=True)


def blackhole_open(testbed: FaultTestbed, pending: PendingCall, subject: str) -> None:
    """Drop all further data on the open connections; new connections work."""
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
    """Publish a change, then let the platform serve the revision before it."""
    testbed.publish_deadline(4500)
    revision = testbed.fleet.revision
    wait_until(lambda: testbed.has_revision(revision), 5, "all hosts to apply the change")
    testbed.fleet.remotes["platform"].post("/test/freeze", revision=revision - 1)


def list_leaving_endpoint(testbed: FaultTestbed, pending: PendingCall, subject: str) -> None:
    """Make an endpoint leave while the platform's list shows it as live."""
    first = testbed.list_endpoints(pending.call)[0]
    testbed.fleet.remotes["platform"].post("/test/list", endpoints={first: "live"})
    testbed.mark_leaving(first)


def answer_late(testbed: FaultTestbed, pending: PendingCall, subject: str) -> None:
    """Do nothing: the call is held, and the runner releases it after the deadline."""


def answer_twice(testbed: FaultTestbed, pending: PendingCall, subject: str) -> None:
    testbed.set_faults(testbed.list_endpoints(pending.call), duplicate=True)


def delay_settlement(testbed: FaultTestbed, pending: PendingCall, subject: str) -> None:
    """Delay the traffic between the hosts of the home region."""
    for name in testbed.list_hosts(HOME):
        testbed.fleet.links[name].slow(0.3)


def fill_host(testbed: FaultTestbed, pending: PendingCall, subject: str) -> None:
    """Hold the answers of a region's endpoints and send calls until its hosts refuse them."""
    region = REMOTE if subject == "far" else HOME
    filler = Call("lookup", team=f"bound-{region}", deadline_ms=9000)
    testbed.set_faults(testbed.list_endpoints(filler), hold=True)
    for name in testbed.list_hosts(region) if subject == "far" else [ENTRY]:
        testbed.fill_queue(name, filler)


def publish_concurrently(testbed: FaultTestbed, pending: PendingCall, subject: str) -> None:
    """Publish two versions of a document concurrently and wait until all hosts apply the last."""
    values = (4200, 4700)
    list(testbed.pool.map(testbed.publish_deadline, values))
    wait_until(
        lambda: testbed.has_revision(testbed.get_platform_revision()), 5, "all hosts to agree"
    )


def withdraw_profile(testbed: FaultTestbed, pending: PendingCall, subject: str) -> None:
    """Withdraw the profile from the team while another operator changes the profile."""
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
"""Faults that the runner ends after the call's deadline."""
