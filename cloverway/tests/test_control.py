"""Tests of the control loop: several hosts in one process, with real sockets on the loopback."""

from __future__ import annotations

import contextlib
import socket
import threading

import pytest

from cloverway.config.configuration import ConfigurationStore
from cloverway.config.settings import Listen, PlatformSettings, Security, Settings, Timing
from cloverway.errors import PeerError, PlatformError
from cloverway.membership.control import ControlLoop
from cloverway.membership.view import View, ViewHolder
from cloverway.sources.port import Changes, Document, MemberState, MemberStates
from cloverway.tests.standins.service import Service
from cloverway.tests.standins.waiting import wait_until

SECRET = b"a secret of the tests that all hosts share"
TIMING = Timing(heartbeat_s=0.05, suspect_s=0.6, report_s=0.05, summary_s=0.1, list_s=0.05)
REGIONS = {"a-1": "a", "b-1": "b"}


class FakePlatform:
    """A platform with its published documents in memory."""

    def __init__(self) -> None:
        self.documents: dict[str, Document] = {}
        self.revision = 0
        self.down = threading.Event()
        self.states = MemberStates()
        self.reads = 0

    def publish(self, values):
        self.revision += 1
        new = {key: Document(key, self.revision, value) for key, value in values.items()}
        self.documents = {**self.documents, **new}

    def read(self, after, wait_s):
        self.reads += 1
        if self.down.is_set() or not self.revision:
            threading.Event().wait(0.02)
            raise PlatformError("the platform is down")
        if after >= self.revision:
            threading.Event().wait(0.05)
        found = tuple(doc for doc in self.documents.values() if doc.revision > after)
        return Changes(self.revision, after, found)

    def get_member_states(self):
        if self.down.is_set():
            raise PlatformError("the platform is down")
        return self.states


class UnreachablePlatform(FakePlatform):
    """A platform that a host can't reach."""

    def read(self, after, wait_s):
        threading.Event().wait(0.02)
        raise PlatformError("no route to the platform")


class Cluster:
    """Hosts that fetch documents from each other by direct calls."""

    def __init__(self) -> None:
        self.platform = FakePlatform()
        self.loops: dict[str, ControlLoop] = {}
        self.holders: dict[str, ViewHolder] = {}
        self.endpoints: dict[str, dict] = {}
        self.stack = contextlib.ExitStack()

    def add(
        self,
        name,
        domain,
        number,
        *,
        platform=None,
        address="127.0.0.1:0",
        timing=TIMING,
        make_holder=ViewHolder,
    ):
        settings = Settings(
            host=name,
            domain=domain,
            region=REGIONS[domain],
            listen=Listen("127.0.0.1:1", "127.0.0.1:2", address),
            platform=PlatformSettings(directory="none", poll_s=0.05),
            security=Security("none"),
            timing=timing,
        )
        holder = make_holder(View(name, f"{number:016x}", domain, REGIONS[domain]))
        loop = ControlLoop.from_settings(
            settings,
            holder,
            store=ConfigurationStore(),
            fetch_changes=self.fetch,
            secret=SECRET,
            platform=platform or self.platform,
        )
        loop.start()
        self.stack.callback(loop.stop)
        self.loops[name], self.holders[name] = loop, holder
        return loop

    def fetch(self, host, address, after):
        for loop in self.loops.values():
            if loop.address == address:
                return loop.get_changes_after(after)
        raise PeerError("no such host")

    def publish(self, **more):
        port = iter(range(1, 1000))
        self.platform.publish(
            {
                "organisation": {"name": "riviere"},
                **{f"regions/{name}": {} for name in REGIONS.values()},
                **{f"domains/{name}": {"region": reg} for name, reg in REGIONS.items()},
                **{
                    f"hosts/{name}": {
                        "domain": self.holders[name].current.domain,
                        "callers": f"127.0.0.1:{next(port)}",
                        "admin": f"127.0.0.1:{next(port)}",
                        "peers": loop.address,
                    }
                    for name, loop in self.loops.items()
                },
                **self.endpoints,
                **more,
            }
        )

    def serve(self, name, domain):
        service = Service(services=("allocations",))
        self.stack.enter_context(service)
        self.endpoints[f"endpoints/{name}"] = {
            "domain": domain,
            "url": service.url,
            "kind": "service",
            "services": ["allocations"],
        }
        return service

    def view(self, name) -> View:
        return self.holders[name].current


@pytest.fixture
def cluster():
    made = Cluster()
    with made.stack:
        yield made


def start_three(cluster):
    for number in (1, 2, 3):
        cluster.add(f"a-h{number}", "a-1", number)
    cluster.publish()
    wait_until(lambda: all(len(cluster.view(name).hosts) == 2 for name in cluster.loops))


def test_a_change_reaches_a_host_that_is_cut_off_from_the_platform(cluster):
    """Failure: a host that can't reach the platform misses configuration changes.

    It starts without documents. Its siblings know its address from the configuration and send it
    their revision, so it fetches the documents from them, at its start and after each change.
    """
    cluster.add("a-h1", "a-1", 1)
    cluster.add("a-h2", "a-1", 2)
    cluster.add("a-h3", "a-1", 3, platform=UnreachablePlatform())
    cluster.publish()
    wait_until(lambda: all(cluster.view(name).published for name in cluster.loops))
    wait_until(lambda: all(len(cluster.view(name).hosts) == 2 for name in cluster.loops))
    cluster.platform.publish({"profiles/chat": {"service": "allocations"}})
    wait_until(lambda: "chat" in cluster.view("a-h3").published.profiles)


def test_a_starting_host_has_no_configuration_before_it_fetched_one(cluster):
    loop = cluster.add("a-h1", "a-1", 1, platform=UnreachablePlatform())
    assert cluster.view("a-h1").published is None
    assert not cluster.view("a-h1").ready
    assert loop.status()["revision"] == 0


def test_a_starting_host_is_not_ready_before_the_first_load_reports(cluster):
    """Failure: a host that just started refuses its first requests, though endpoints are free.

    It has its configuration and is ready, but the first load report arrives a moment later. Until
    then no endpoint counts as ready, and each request gets `no_capacity`.
    """
    cluster.serve("a-s1", "a-1")
    cluster.publish()
    seen = []

    class Watched(ViewHolder):
        def __setattr__(self, name, view):
            seen.append(view)
            super().__setattr__(name, view)

    cluster.add("a-h1", "a-1", 1, make_holder=Watched)
    wait_until(lambda: cluster.view("a-h1").ready)
    first = next(view for view in seen if view.ready)
    assert first.endpoints["a-s1"].ready


def test_an_endpoint_that_never_answers_does_not_prevent_a_host_from_starting(cluster):
    cluster.serve("a-s1", "a-1").stop()
    cluster.publish()
    cluster.add("a-h1", "a-1", 1)
    wait_until(lambda: cluster.view("a-h1").ready)


def test_a_leaving_host_is_known_to_all_hosts(cluster):
    start_three(cluster)
    cluster.loops["a-h1"].begin_leaving()
    assert cluster.view("a-h1").leaving
    wait_until(lambda: cluster.view("a-h2").hosts["a-h1"].leaving)
    wait_until(lambda: cluster.view("a-h3").hosts["a-h1"].leaving)


def test_a_dead_host_is_removed_from_the_view_and_its_replacement_added(cluster):
    """Failure: callers are sent to a dead host, or never to its replacement.

    The process ends without notice; another one starts with the same name and address, and a new
    incarnation.
    """
    start_three(cluster)
    address = cluster.loops["a-h1"].address
    cluster.loops["a-h1"].stop()
    wait_until(lambda: "a-h1" not in cluster.view("a-h2").hosts)
    cluster.add("a-h1", "a-1", 99, address=address)
    wait_until(lambda: "a-h1" in cluster.view("a-h2").hosts)
    assert cluster.view("a-h2").hosts["a-h1"].incarnation == f"{99:016x}"


def test_two_failure_domains_exchange_their_capacity(cluster):
    cluster.serve("a-s1", "a-1")
    cluster.add("a-h1", "a-1", 1)
    cluster.add("b-h1", "b-1", 2)
    cluster.add("b-h2", "b-1", 3)
    cluster.publish()
    key = ("a-1", "allocations")
    wait_until(lambda: all(key in cluster.view(name).summaries for name in ("b-h1", "b-h2")))
    assert cluster.view("b-h2").summaries[key].ready == 1
    wait_until(lambda: "a-h1" in cluster.view("b-h2").hosts)
    assert cluster.view("b-h2").endpoints == {}


def test_a_leaving_endpoint_is_known_to_every_host(cluster):
    """Failure: a leaving endpoint gets new requests from the hosts that do not read its load.

    Two of the three hosts read it; the third one learns its state only from them.
    """
    service = cluster.serve("a-s1", "a-1")
    start_three(cluster)
    wait_until(lambda: all(cluster.view(name).endpoints["a-s1"].ready for name in cluster.loops))
    service.set_state(leaving=True)
    wait_until(lambda: all(cluster.view(name).endpoints["a-s1"].leaving for name in cluster.loops))
    service.set_state(leaving=False)
    wait_until(lambda: cluster.loops["a-h1"].status()["reports"] > 0)
    assert all(cluster.view(name).endpoints["a-s1"].leaving for name in cluster.loops)


def test_a_stale_member_list_does_not_reset_leaving(cluster):
    """Failure: a leaving endpoint gets new requests because a stale list names it as live.

    The list says once that it is leaving, then an older copy of the list is served.
    """
    cluster.serve("a-s1", "a-1")
    start_three(cluster)
    wait_until(lambda: all(cluster.view(name).endpoints["a-s1"].ready for name in cluster.loops))
    wait_until(
        lambda: any(loop.gossip.endpoint_table._listed_leaving for loop in cluster.loops.values())
    )
    cluster.platform.states = MemberStates(endpoints={"a-s1": MemberState.LEAVING})
    wait_until(lambda: all(cluster.view(name).endpoints["a-s1"].leaving for name in cluster.loops))
    cluster.platform.states = MemberStates(endpoints={"a-s1": MemberState.LIVE})
    reads = cluster.platform.reads
    wait_until(lambda: cluster.platform.reads > reads + 6)
    assert all(cluster.view(name).endpoints["a-s1"].leaving for name in cluster.loops)


def test_datagrams_of_unknown_senders_do_not_stop_the_loop(cluster):
    start_three(cluster)
    loop = cluster.loops["a-h1"]
    host, port = loop.address.split(":")
    before = loop.status()["refused"]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for data in (b"", b"x", b"\1" * 100, b"\0" * 1400, b"y" * 3000):
            sender.sendto(data, (host, int(port)))
    wait_until(lambda: loop.status()["refused"] >= before + 5)
    sequence = loop.gossip._sequence
    wait_until(lambda: loop.gossip._sequence > sequence)
    assert len(cluster.view("a-h1").hosts) == 2
