"""The platform as a read-and-watch service over HTTP."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from typing import NamedTuple

import urllib3

from cloverway.config.settings import PlatformSettings
from cloverway.errors import PlatformError
from cloverway.sources.codec import decode_changes, decode_list
from cloverway.sources.port import Changes, HostList
from cloverway.sources.rate_limiter import Pace

WHOLE_BYTES = 64 * 1024 * 1024
"""The longest answer that is read: all documents at the two-year size several times over."""

LIST_BYTES = 4 * 1024 * 1024
"""The longest list of hosts and endpoints that is read."""

PIECE_BYTES = 64 * 1024
CONNECT_S = 2.0

ANSWER_S = 3.0
"""Seconds for an answer beyond the wait that was asked for: then the connection is given up."""

WHOLE_S = 30.0
"""Seconds for the whole of an answer, however steadily it comes."""

READ_INTERVAL_S = 0.25
LIST_INTERVAL_S = 0.5
"""Least time between two calls: 216 readers then stay below 1,300 calls/s, whatever happens."""


class PacedPool(NamedTuple):
    """A connection and its rate limit; the watch and the list have one each, so that none waits."""

    pool: urllib3.PoolManager
    pace: Pace


class HttpPlatform:
    """Reads the service over one connection for the watch and one for the list."""

    def __init__(
        self,
        url: str,
        rng: random.Random | None = None,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._url = url.rstrip("/")
        self._clock = clock
        self._sleep = sleep
        rng = rng or random.Random()
        self._watch = PacedPool(urllib3.PoolManager(num_pools=1), Pace(READ_INTERVAL_S, rng))
        self._list = PacedPool(urllib3.PoolManager(num_pools=1), Pace(LIST_INTERVAL_S, rng))

    @classmethod
    def from_settings(cls, settings: PlatformSettings) -> HttpPlatform:
        """Read the service that the settings name."""
        return cls(settings.url)

    def read(self, after: int, wait_s: float) -> Changes:
        """Watch for documents after a revision; see `Platform`.

        A whole is read over a connection of its own: a late answer that was left in another one
        would be taken for it, and every document that a delta lacks would count as deleted.
        """
        if after == 0:
            self._watch.pool.clear()
        path = f"/v1/config?after={after}&wait_s={wait_s:.3f}"
        data = self._get(path, self._watch, wait_s + ANSWER_S, WHOLE_BYTES)
        return decode_changes(data, after)

    def list_states(self) -> HostList:
        """Give the list of live and leaving hosts and endpoints."""
        return decode_list(self._get("/v1/hosts", self._list, ANSWER_S, LIST_BYTES))

    def _get(self, path: str, paced: PacedPool, timeout_s: float, limit: int) -> bytes:
        """Give the body of an answer, within the pace; raise PlatformError for any other end."""
        self._sleep(paced.pace.delay(self._clock()))
        started_at = self._clock()
        retry_after_s = 0.0
        try:
            response = self._open(paced, path, timeout_s)
            try:
                retry_after_s = _read_retry_after(response)
                data = self._read(response, limit, started_at + timeout_s + WHOLE_S)
            finally:
                response.release_conn()
        except (urllib3.exceptions.HTTPError, OSError, PlatformError) as error:
            paced.pace.note_failure(self._clock(), retry_after_s)
            raise PlatformError(f"the platform at {self._url} can't be read: {error}") from error
        paced.pace.note_success(started_at)
        return data

    def _open(self, paced: PacedPool, path: str, timeout_s: float) -> urllib3.BaseHTTPResponse:
        return paced.pool.request(
            "GET",
            self._url + path,
            timeout=urllib3.Timeout(connect=CONNECT_S, read=timeout_s),
            redirect=False,
            retries=False,
            preload_content=False,
            decode_content=False,
        )

    def _read(self, response: urllib3.BaseHTTPResponse, limit: int, until: float) -> bytes:
        """Read the body; close the connection when it is refused, so that none is left in it."""
        data = bytearray()
        try:
            if response.status != 200:
                raise PlatformError(f"it answered {response.status}")
            if response.headers.get("Content-Encoding", "identity") != "identity":
                raise PlatformError("its answer is compressed")
            for piece in response.stream(PIECE_BYTES):
                data += piece
                if len(data) > limit:
                    raise PlatformError(f"its answer is longer than {limit} bytes")
                if self._clock() > until:
                    raise PlatformError("its answer does not end")
        except BaseException:
            response.close()
            raise
        return bytes(data)


def _read_retry_after(response: urllib3.BaseHTTPResponse) -> float:
    value = response.headers.get("Retry-After", "")
    return float(value) if value.isdecimal() and len(value) < 6 else 0.0
