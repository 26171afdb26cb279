"""The platform as a read-and-watch service over HTTP."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from typing import NamedTuple

import urllib3

from cloverway.config.settings import PlatformSettings
from cloverway.errors import PlatformError
from cloverway.sources.codec import decode_changes, decode_member_states
from cloverway.sources.port import Changes, MemberStates
from cloverway.sources.rate_limiter import RateLimiter

MAX_CONFIGURATION_BYTES = 64 * 1024 * 1024
"""The longest answer that is read: all documents at the two-year size several times over."""

MAX_LIST_BYTES = 4 * 1024 * 1024
"""The longest list of hosts and endpoints that is read."""

CHUNK_BYTES = 64 * 1024
CONNECT_TIMEOUT_S = 2.0

RESPONSE_TIMEOUT_S = 3.0
"""Seconds for an answer beyond the wait that was asked for: then the connection is given up."""

BODY_TIMEOUT_S = 30.0
"""Seconds for the whole of an answer, however steadily it comes."""

MIN_READ_INTERVAL_S = 0.25
MIN_LIST_INTERVAL_S = 0.5
"""Least time between two calls: 216 readers then stay below 1,300 calls/s, whatever happens."""


class LimitedPool(NamedTuple):
    """A connection and its rate limit; the watch and the list have one each, so that none waits."""

    pool: urllib3.PoolManager
    limiter: RateLimiter


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
        self._watch = LimitedPool(
            urllib3.PoolManager(num_pools=1), RateLimiter(MIN_READ_INTERVAL_S, rng)
        )
        self._list = LimitedPool(
            urllib3.PoolManager(num_pools=1), RateLimiter(MIN_LIST_INTERVAL_S, rng)
        )

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
        data = self._get(path, self._watch, wait_s + RESPONSE_TIMEOUT_S, MAX_CONFIGURATION_BYTES)
        return decode_changes(data, after)

    def get_member_states(self) -> MemberStates:
        """Give the list of live and leaving hosts and endpoints."""
        return decode_member_states(
            self._get("/v1/hosts", self._list, RESPONSE_TIMEOUT_S, MAX_LIST_BYTES)
        )

    def _get(self, path: str, limited: LimitedPool, timeout_s: float, limit: int) -> bytes:
        """Give the body of an answer, within the pace; raise PlatformError for any other end."""
        self._sleep(limited.limiter.get_delay(self._clock()))
        started_at = self._clock()
        retry_after_s = 0.0
        try:
            response = self._open(limited, path, timeout_s)
            try:
                retry_after_s = _read_retry_after(response)
                data = self._read(response, limit, started_at + timeout_s + BODY_TIMEOUT_S)
            finally:
                response.release_conn()
        except (urllib3.exceptions.HTTPError, OSError, PlatformError) as error:
            limited.limiter.record_failure(self._clock(), retry_after_s)
            raise PlatformError(f"the platform at {self._url} can't be read: {error}") from error
        limited.limiter.record_success(started_at)
        return data

    def _open(self, limited: LimitedPool, path: str, timeout_s: float) -> urllib3.BaseHTTPResponse:
        return limited.pool.request(
            "GET",
            self._url + path,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s),
            redirect=False,
            retries=False,
            preload_content=False,
            decode_content=False,
        )

    def _read(self, response: urllib3.BaseHTTPResponse, limit: int, deadline: float) -> bytes:
        """Read the body; close the connection when it is refused, so that none is left in it."""
        data = bytearray()
        try:
            if response.status != 200:
                raise PlatformError(f"it answered {response.status}")
            if response.headers.get("Content-Encoding", "identity") != "identity":
                raise PlatformError("its answer is compressed")
            for chunk in response.stream(CHUNK_BYTES):
                data += chunk
                if len(data) > limit:
                    raise PlatformError(f"its answer is longer than {limit} bytes")
                if self._clock() > deadline:
                    raise PlatformError("its answer does not end")
        except BaseException:
            response.close()
            raise
        return bytes(data)


def _read_retry_after(response: urllib3.BaseHTTPResponse) -> float:
    value = response.headers.get("Retry-After", "")
    return float(value) if value.isdecimal() and len(value) < 6 else 0.0
