"""The control loop: reads the platform and the endpoints' reports, and publishes the view."""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Callable
from typing import Any

import urllib3

from cloverway.config.published import EndpointKind
from cloverway.config.settings import Settings
from cloverway.configuration import ConfigurationStore, Source, log_result
from cloverway.errors import PlatformError
from cloverway.platform.file import FilePlatform
from cloverway.platform.http import HttpPlatform
from cloverway.platform.port import Changes, Platform
from cloverway.view import EndpointState, HostState, ViewHolder

log = logging.getLogger(__name__)

REPORT_TIMEOUT_S = 1.0


class ControlLoop:
    """Owns the configuration store and the picture of the endpoints."""

    def __init__(
        self, settings: Settings, holder: ViewHolder, store: ConfigurationStore, platform: Platform
    ) -> None:
        self._settings = settings
        self._holder = holder
        self._store = store
        self._platform = platform
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._leaving = False
        self._http = urllib3.PoolManager(retries=False, timeout=REPORT_TIMEOUT_S)
        self._thread = threading.Thread(target=self._run, name="control", daemon=True)

    @classmethod
    def from_settings(
        cls,
        settings: Settings,
        holder: ViewHolder,
        *,
        store: ConfigurationStore,
        secret: bytes,
        fetch_changes: Callable[[str, str, int], Changes],
        load: Callable[[], float],
    ) -> ControlLoop:
        """Make a loop with the platform that the settings name."""
        adapter = FilePlatform if settings.platform.kind == "file" else HttpPlatform
        return cls(settings, holder, store, adapter.from_settings(settings.platform))

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread."""
        self._stopping.set()
        self._thread.join(5.0)

    def begin_leaving(self) -> None:
        """Show in the view that this host leaves."""
        with self._lock:
            self._leaving = True
            self._holder.current = self._holder.current._replace(leaving=True)

    def changes_after(self, revision: int) -> Changes:
        """Give a peer the documents after a revision."""
        with self._lock:
            return self._store.changes_after(revision)

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                self._read_platform()
            except PlatformError as error:
                log.warning("the platform can't be read", extra={"why": str(error)})
            self._publish(time.monotonic())
            self._stopping.wait(self._settings.timing.report_s)

    def _read_platform(self) -> None:
        changes = self._platform.read(self._store.read_after, 0.0)
        with self._lock:
            result = self._store.offer(changes, Source.PLATFORM, time.monotonic())
            log_result(result, Source.PLATFORM)
            self._store.settle()

    def _publish(self, now: float) -> None:
        published = self._store.published
        if published is None:
            return
        names = published.endpoints_of(self._settings.domain)
        endpoints = {name: self._read_endpoint(name, now) for name in names}
        hosts = {
            name: HostState(name, host.domain, heard_at=now)
            for name, host in published.hosts.items()
            if name != self._settings.host
        }
        with self._lock:
            self._holder.current = self._holder.current._replace(
                published=published, endpoints=endpoints, hosts=hosts, leaving=self._leaving
            )

    def _read_endpoint(self, name: str, now: float) -> EndpointState:
        published = self._store.published
        assert published is not None
        endpoint = published.endpoints[name]
        engine = endpoint.kind is EndpointKind.ENGINE
        try:
            path = "/v1/load" if engine else "/load"
            report: dict[str, Any] = self._http.request("GET", endpoint.url + path).json()
        except (urllib3.exceptions.HTTPError, ValueError):
            return EndpointState(name)
        return EndpointState(
            name,
            str(report.get("incarnation", "")),
            ready=bool(report.get("ready")),
            leaving=bool(report.get("leaving")),
            running=int(report.get("running", 0)),
            waiting=int(report.get("waiting", 0)),
            slots=int(report.get("slots", endpoint.slots)),
            models=tuple(report.get("models" if engine else "services", ())),
            reported_at=now,
        )
