"""A small fleet of real processes: daemons, engines, services and optionally the platform."""

from __future__ import annotations

import itertools
import json
import signal
import tempfile
from pathlib import Path
from typing import Any, Literal

import urllib3

from cloverway.tests.standins.links import TO_CALLER, TO_TARGET, Link
from cloverway.tests.standins.owners import find_owner
from cloverway.tests.standins.processes import Ports, Process
from cloverway.tests.standins.topology import (
    MODEL,
    PEER_SECRET,
    SERVICE,
    HostAddresses,
    Topology,
    make_settings,
    make_tables,
    merge,
    to_toml,
)

READY_S = 30.0


class RemoteStandIn:
    """Controls a stand-in in another process through its HTTP address."""

    def __init__(self, url: str) -> None:
        self.url = url
        self._http = urllib3.PoolManager(retries=False, timeout=5.0)

    def set_faults(self, **switches: Any) -> None:
        self._post("/test/faults", switches)

    def clear_faults(self) -> None:
        self._post("/test/faults", {"clear": True})

    def set_state(self, **state: Any) -> dict[str, Any]:
        return self._post("/test/state", state)

    def counts(self) -> dict[str, Any]:
        return self._http.request("GET", f"{self.url}/test/runs").json()

    def _post(self, path: str, value: Any) -> dict[str, Any]:
        answer = self._http.request("POST", self.url + path, json=value)
        assert answer.status == 200, answer.data
        return answer.json()

    def post(self, path: str, **value: Any) -> dict[str, Any]:
        return self._post(path, value)


class Fleet:
    """The processes of a fleet; `start` starts all of them and `stop` ends each by its pid."""

    def __init__(
        self,
        topology: Topology | None = None,
        *,
        platform: Literal["file", "http"] = "file",
        links: bool = False,
        publish: dict[str, Any] | None = None,
        daemons: bool = True,
    ) -> None:
        self.topology = topology or Topology()
        self.platform_kind = platform
        self.revision = 0
        self.hosts: dict[str, HostAddresses] = {}
        self.links: dict[str, Link] = {}
        self.remotes: dict[str, RemoteStandIn] = {}
        self.processes: dict[str, Process] = {}
        self.tables: dict[str, Any] = {}
        self._with_links = links
        self._publish_also = publish or {}
        self._with_daemons = daemons
        self._http = urllib3.PoolManager(retries=False, timeout=2.0)

    def __enter__(self) -> Fleet:
        return self.start()

    def __exit__(self, *_: object) -> None:
        self.stop()

    def start(self) -> Fleet:
        self._ports = Ports()
        self._temporary = tempfile.TemporaryDirectory(prefix="cloverway-")
        self.folder = Path(self._temporary.name)
        try:
            self._start_endpoints()
            self._allocate_addresses()
            self._start_platform()
            self._write_settings()
            if self._with_daemons:
                self.start_daemons()
        except BaseException:
            self.stop()
            raise
        return self

    def stop(self) -> None:
        running = [process for process in self.processes.values() if process.running]
        for process in running:
            process.send(signal.SIGCONT)
            process.send(signal.SIGTERM)
        for process in running:
            process.stop()
        for link in self.links.values():
            link.stop()
        self._ports.close()
        self._temporary.cleanup()

    def start_daemons(self) -> None:
        """Start the daemons of all hosts and wait until they are ready."""
        for name in self.hosts:
            self.processes[name].start()
        for name in self.hosts:
            self.wait_ready(name)

    def wait_ready(self, name: str, timeout_s: float = READY_S) -> None:
        self.processes[name].wait_ready(lambda: self.is_ready(name), timeout_s)

    def is_ready(self, name: str) -> bool:
        try:
            answer = self._http.request("GET", f"http://{self.hosts[name].admin}/readyz")
        except urllib3.exceptions.HTTPError:
            return False
        return answer.status == 200

    def url(self, host: str) -> str:
        """Return the URL on which a host accepts callers."""
        return f"http://{self.hosts[host].callers}"

    def kill(self, name: str) -> None:
        self.processes[name].kill()

    def pause(self, name: str) -> None:
        self.processes[name].pause()

    def resume(self, name: str) -> None:
        self.processes[name].send(signal.SIGCONT)

    def terminate(self, name: str) -> None:
        """Send SIGTERM to a process; `processes[name].wait()` returns its exit status."""
        self.processes[name].send(signal.SIGTERM)

    def restart(self, name: str) -> None:
        """Start a process again at its address and wait until it is ready."""
        self.processes[name].kill()
        self.processes[name].start()
        self.wait_serving(name)

    def publish(self, changes: dict[str, Any]) -> int:
        """Publish changes to the tables, nested as in TOML, and return the revision."""
        self.tables = merge(self.tables, changes)
        if self.platform_kind == "file":
            self._write_published()
            return self.revision
        for table, entries in changes.items():
            single = table in ("organisation", "objective")
            keys = [table] if single else [f"{table}/{name}" for name in entries]
            for key in keys:
                value = self.tables[table] if single else self.tables[table][key.split("/")[1]]
                answer = self.remotes["platform"].post("/test/publish", key=key, value=value)
                self.revision = answer["revision"]
        return self.revision

    def cut(self, left: list[str], right: list[str]) -> None:
        """Cut every link between two groups of hosts and endpoints, in both directions."""
        for receiver, sender in (*itertools.product(left, right), *itertools.product(right, left)):
            self.links[receiver].cut(sender)

    def blackhole(self, left: list[str], right: list[str], *, one_way: bool = False) -> None:
        """Drop what `left` sends to `right`, and unless `one_way`, what `right` sends to `left`."""
        for sender, receiver in itertools.product(left, right):
            self.links[receiver].blackhole(TO_TARGET, client=sender)
            self.links[sender].blackhole(TO_CALLER, client=receiver)
        if not one_way:
            self.blackhole(right, left, one_way=True)

    def heal(self) -> None:
        """Restore every link."""
        for link in self.links.values():
            link.restore()

    def _start_endpoints(self) -> None:
        engine = ["--models", MODEL, "--slots", str(self.topology.slots)]
        engine += self.topology.engine_options
        service = ["--services", SERVICE, "--slots", str(self.topology.slots)]
        service += [*self.topology.service_options]
        for name in self.topology.list_names("engines"):
            self._start_standin(name, "engine", engine)
        for name in self.topology.list_names("services"):
            self._start_standin(name, "service", service)
        for name in list(self.remotes):
            self.wait_serving(name)

    def _start_standin(self, name: str, program: str, options: list[str]) -> None:
        port = self._ports.take()
        module = f"cloverway.tests.standins.{program}"
        arguments = ["--port", str(port), *options]
        self.processes[name] = Process(name, module, arguments, self.folder)
        self.processes[name].start()
        self.remotes[name] = RemoteStandIn(f"http://127.0.0.1:{port}")

    def wait_serving(self, name: str) -> None:
        """Wait until a started process accepts requests."""
        if name in self.hosts:
            self.wait_ready(name)
            return
        url = f"{self.remotes[name].url}/test/{'state' if name == 'platform' else 'runs'}"

        def is_open() -> bool:
            try:
                return self._http.request("GET", url).status == 200
            except urllib3.exceptions.HTTPError:
                return False

        self.processes[name].wait_ready(is_open, READY_S)

    def _allocate_addresses(self) -> None:
        for name in self.topology.list_names("hosts"):
            addresses = [f"127.0.0.1:{self._ports.take()}" for _ in range(3)]
            peers = self._link(name, addresses[2], udp=True)
            self.hosts[name] = HostAddresses(*addresses, published_peers=peers)
        urls = {
            name: "http://" + self._link(name, remote.url.removeprefix("http://"))
            for name, remote in self.remotes.items()
        }
        tables = make_tables(self.topology, self.hosts, urls)
        self.tables = merge(tables, self._publish_also)

    def _link(self, name: str, target: str, *, udp: bool = False) -> str:
        """Return the address of a new link to a target, or the target if there are no links."""
        if not self._with_links:
            return target
        link = Link(target, udp=udp, port=self._ports.take(), identify=self._identify)
        self.links[name] = link.start()
        return self.links[name].address

    def _identify(self, kind: str, port: int) -> str:
        running = [self.processes[name] for name in self.hosts if name in self.processes]
        pids = {process.name: process.pid for process in running if process.running}
        return find_owner(kind, port, pids)

    def _start_platform(self) -> None:
        if self.platform_kind == "file":
            (self.folder / "published").mkdir()
            self._write_published()
            return
        documents = self.folder / "documents.json"
        documents.write_text(json.dumps(to_documents(self.tables)))
        self._start_standin("platform", "platform", ["--documents", str(documents)])
        self.wait_serving("platform")

    def _write_published(self) -> None:
        self.revision += 1
        text = to_toml({"revision": self.revision, **self.tables})
        written = self.folder / "published" / "new"
        written.write_text(text)
        written.rename(written.with_name("published.toml"))

    def _write_settings(self) -> None:
        secret = self.folder / "secret"
        secret.write_bytes(PEER_SECRET)
        platform: dict[str, Any] = {"kind": "file", "directory": str(self.folder / "published")}
        if self.platform_kind == "http":
            address = self.remotes["platform"].url.removeprefix("http://")
            platform = {"kind": "http", "url": "http://" + self._link("platform", address)}
        platform["poll_s"] = 0.2
        for name, addresses in self.hosts.items():
            more = self.topology.settings
            settings = make_settings(name, addresses, platform, str(secret), more)
            path = self.folder / f"{name}.toml"
            path.write_text(to_toml(settings))
            arguments = ["--settings", str(path)]
            process = Process(name, "cloverway.daemon", arguments, self.folder)
            self.processes[name] = process


def to_documents(tables: dict[str, Any]) -> dict[str, Any]:
    """Convert published tables to the platform's documents by key."""
    single = {name: tables[name] for name in ("organisation", "objective") if name in tables}
    parts = [name for name in tables if name not in single and name != "revision"]
    return single | {
        f"{part}/{name}": value for part in parts for name, value in tables[part].items()
    }
