"""Asks endpoints whether they are cold, while the store that says so can't be read."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Iterator

from cloverway.core.endpoint import Endpoint
from cloverway.serving.clock import read_clock, wait_for_tick
from cloverway.serving.documents.catalogue import (
    FORGET_PERIOD_S,
    MAX_FOLLOWER_AGE_S,
    Catalogue,
)
from cloverway.serving.http.client import (
    ConnectError,
    ConnectionPool,
    ResponseError,
    fetch,
    make_request,
)
from cloverway.serving.ports import Dialect
from cloverway.serving.telemetry import Metrics, log_event

CHECK_PERIOD_S = 0.2
"""Interval between two checks of an endpoint: one that turned cold is overrun within a second."""
CHECK_TIMEOUT_S = 0.4
IN_USE_S = 5.0
"""An endpoint is checked while this host has sent it a request within this time. The next request
goes there without a check, so it must be longer than the usual time between two."""
MAX_CHECKS = 32
"""Endpoints checked at a time, those used last; 160 checks a second take 4% of a core."""
MAX_RESPONSE_BYTES = 64 * 1024
REQUEST_PATH = re.compile(r"/[!-~]*")


class ColdCheck:
    """Keeps this host from overrunning endpoints that turn cold while the store is away.

    A cold endpoint crashes with all that it runs when it gets its usual requests. Its entry says
    that it is cold, and so do its health responses. Each host asks for itself. Checks are billed,
    so none is made while the store is read.
    """

    def __init__(
        self,
        catalogue: Catalogue,
        pool: ConnectionPool,
        dialect: Dialect,
        metrics: Metrics,
        *,
        region: str,
    ) -> None:
        self._catalogue = catalogue
        self._pool = pool
        self._dialect = dialect
        self._metrics = metrics
        self._region = region
        self._checks: dict[str, asyncio.Task[None]] = {}
        """The checks in progress, by the incarnation of the endpoint."""

    async def run(self) -> None:
        """Check the endpoints in use whenever the documents are out of date, forever."""
        while True:
            now = read_clock()
            is_outdated = now - self._catalogue.read_at > MAX_FOLLOWER_AGE_S
            if is_outdated:
                due = sorted(self._list_due(now), key=lambda item: -item[0].last_attempt_at)
                for endpoint, path in due[:MAX_CHECKS]:
                    self._begin_check(endpoint, path)
            await wait_for_tick(CHECK_PERIOD_S if is_outdated else FORGET_PERIOD_S)

    def _list_due(self, now: float) -> Iterator[tuple[Endpoint, str]]:
        """Iterate over the endpoints to check, with the paths of their health checks."""
        configuration = self._catalogue.directory.configuration
        services = configuration.services if configuration is not None else {}
        for endpoint in self._catalogue.directory.endpoints.values():
            service = services.get(endpoint.entry.service)
            if service is None or not service.cold_requests_per_s:
                continue
            if not REQUEST_PATH.fullmatch(service.health_path):
                continue
            is_in_use = now - endpoint.last_attempt_at <= IN_USE_S and not endpoint.is_cold(now)
            if is_in_use and endpoint.region == self._region:
                yield endpoint, service.health_path

    def _begin_check(self, endpoint: Endpoint, path: str) -> None:
        incarnation = endpoint.entry.incarnation
        if incarnation in self._checks:
            return
        task = asyncio.create_task(self._check(endpoint, path))
        self._checks[incarnation] = task
        task.add_done_callback(lambda _: self._checks.pop(incarnation))

    async def _check(self, endpoint: Endpoint, path: str) -> None:
        entry = endpoint.entry
        headers = [(b"Host", entry.address.encode()), *self._dialect.encode_health_query(entry.id)]
        request = make_request("GET", path, headers, b"")
        try:
            head, _ = await fetch(
                *(self._pool, entry.address, request, b""),
                timeout_s=CHECK_TIMEOUT_S,
                limit=MAX_RESPONSE_BYTES,
                is_own_connection=True,
            )
        except (ConnectError, ResponseError) as error:
            log_event("cold_not_checked", life=entry.incarnation, why=str(error))
            return
        cold_s = self._dialect.decode_cold_time(head)
        self._metrics.record_event("cold_checked" if cold_s is None else "cold_said")
        if cold_s is not None:
            self._record_cold(endpoint, cold_s)

    def _record_cold(self, endpoint: Endpoint, cold_s: float) -> None:
        now = read_clock()
        endpoint.cold_until = max(endpoint.cold_until, now + cold_s)
        log_event(
            "cold_said",
            life=endpoint.entry.incarnation,
            cold_s=cold_s,
            documents_age_s=round(now - self._catalogue.read_at, 3),
        )
