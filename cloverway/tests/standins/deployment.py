"""Runs all daemons of a published directory on this machine, with stand-ins for its endpoints."""

from __future__ import annotations

import contextlib
import re
import shutil
import signal
import socket
import subprocess
import tempfile
from pathlib import Path
from typing import Any

import urllib3

from cloverway.config.directory import load_directory
from cloverway.config.published import Published
from cloverway.config.schema import Endpoint, EndpointKind
from cloverway.tests.standins.processes import Ports, Process
from cloverway.tests.standins.topology import PEER_SECRET, to_toml

ADDRESS = re.compile(r"\b(127\.\d+\.\d+\.\d+):(\d+)\b")
CLAIM_ADDRESS = ("127.0.0.10", 8000)
"""Address on which the run that uses the published addresses listens."""
START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 15.0
TOKEN_S = "0.005"
LIMITS = {"threads": 32, "admin_threads": 4, "admitted": 16, "queued": 8}


class Deployment:
    """The processes of a published directory, each of which is stopped by its process id."""

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self._http = urllib3.PoolManager(retries=False, timeout=2.0)
        self.processes: dict[str, Process] = {}
        self._hosts: list[str] = []
        self.relocated: dict[str, str] = {}
        """Replacement addresses by the published ones that were in use."""

    def __enter__(self) -> Deployment:
        self._folder = Path(tempfile.mkdtemp(prefix="cloverway-"))
        self._ports = Ports()
        self._claim = claim_addresses()
        try:
            self._copy_published()
            self.published: Published = load_directory(self._folder / "published")
            self._start_endpoints()
            self._start_hosts()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def stop(self) -> dict[str, int]:
        """Stop all processes, hosts first; return the exit status of each that was running."""
        others = [name for name in self.processes if name not in self._hosts]
        statuses = {**self._end(self._hosts), **self._end(others)}
        shutil.rmtree(self._folder, ignore_errors=True)
        self._ports.close()
        if self._claim is not None:
            self._claim.close()
        return statuses

    def list_caller_addresses(self, region: str) -> list[str]:
        """Return the addresses on which a region's hosts accept callers."""
        return [
            host.callers
            for host in self.published.hosts.values()
            if self.published.region_of(host.domain) == region
        ]

    def count_runs(self, body: bytes) -> int:
        """Return how often the services together have run a call with this body."""
        return sum(
            self._get_json(f"{endpoint.url}/test/runs")["bodies"].get(body.decode(), 0)
            for endpoint in self.published.endpoints.values()
            if endpoint.kind is EndpointKind.SERVICE
        )

    def _copy_published(self) -> None:
        """Copy the files and replace ports that are in use."""
        target = self._folder / "published"
        target.mkdir()
        for file in sorted(self._directory.glob("*.toml")):
            text = ADDRESS.sub(self._relocate, file.read_text())
            (target / file.name).write_text(text)

    def _relocate(self, found: re.Match[str]) -> str:
        host, port = found[1], int(found[2])
        if self._claim is not None and is_free(host, port):
            return found[0]
        self.relocated[found[0]] = f"{host}:{self._ports.take()}"
        return self.relocated[found[0]]

    def _start_endpoints(self) -> None:
        for name, endpoint in self.published.endpoints.items():
            self._start(name, *_make_command(endpoint))
        for name, endpoint in self.published.endpoints.items():
            self._wait(name, f"{endpoint.url}/test/runs")

    def _start_hosts(self) -> None:
        secret = self._folder / "peer-secret"
        secret.write_bytes(PEER_SECRET)
        for name in self.published.hosts:
            path = self._folder / f"{name}.toml"
            path.write_text(to_toml(self._make_settings(name, secret)))
            self._hosts.append(name)
            self._start(name, "cloverway.daemon", ["--settings", str(path)])
        for name, host in self.published.hosts.items():
            self._wait(name, f"http://{host.admin}/readyz")

    def _make_settings(self, name: str, secret: Path) -> dict[str, Any]:
        host = self.published.hosts[name]
        return {
            "host": name,
            "domain": host.domain,
            "region": self.published.region_of(host.domain),
            "listen": {"callers": host.callers, "admin": host.admin, "peers": host.peers},
            "platform": {"kind": "file", "directory": str(self._folder / "published")},
            "security": {"peer_secret_file": str(secret)},
            "limits": LIMITS,
        }

    def _start(self, name: str, module: str, arguments: list[str]) -> None:
        self.processes[name] = Process(name, module, arguments, self._folder)
        self.processes[name].start()

    def _wait(self, name: str, url: str) -> None:
        self.processes[name].wait_ready(lambda: self._answers(url), START_TIMEOUT_S)

    def _answers(self, url: str) -> bool:
        try:
            return self._http.request("GET", url).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def _get_json(self, url: str) -> Any:
        return self._http.request("GET", url).json()

    def _end(self, names: list[str]) -> dict[str, int]:
        running = {name: self.processes[name] for name in names if self.processes[name].running}
        for process in running.values():
            process.send(signal.SIGTERM)
        for process in running.values():
            # Send only one signal: a second one would abort requests in progress at the host.
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(STOP_TIMEOUT_S)
            process.kill()
        return {name: process.wait() for name, process in running.items()}


def claim_addresses() -> socket.socket | None:
    """Reserve the published addresses for this run; return None if another run has them.

    Without the reservation, two runs that probe at the same time both find an address free, and
    one of them then uses the other's hosts as its own.
    """
    claim = socket.socket()
    claim.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        claim.bind(CLAIM_ADDRESS)
        claim.listen(1)
    except OSError:
        claim.close()
        return None
    return claim


def is_free(host: str, port: int) -> bool:
    """Return whether an address can be bound for TCP and UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            if kind == socket.SOCK_STREAM:
                # Ignore closed connections of an earlier run in TIME_WAIT.
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


def _make_command(endpoint: Endpoint) -> tuple[str, list[str]]:
    host, _, port = endpoint.url.removeprefix("http://").rpartition(":")
    options = ["--host", host, "--port", port, "--slots", str(endpoint.slots)]
    if endpoint.kind is EndpointKind.SERVICE:
        return "cloverway.tests.standins.service", [
            *options,
            "--services",
            ",".join(endpoint.services),
        ]
    models = ",".join(endpoint.models)
    engine = [*options, "--models", models, "--token-s", TOKEN_S]
    return "cloverway.tests.standins.engine", engine
