"""A platform adapter that reads and watches a service over HTTP."""

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
"""Maximum size of a response with documents: several times that of all documents of the largest
planned deployment."""

MAX_LIST_BYTES = 4 * 1024 * 1024
"""Maximum size of the list of hosts and endpoints."""

CHUNK_BYTES = 64 * 1024
CONNECT_TIMEOUT_S = 2.0

RESPONSE_TIMEOUT_S = 3.0
"""Timeout of each read of a response, in addition to the requested wait, in seconds."""

BODY_TIMEOUT_S = 30.0
"""Timeout of the complete response, in addition to the above, even if data keeps arriving."""

MIN_READ_INTERVAL_S = 0.25
MIN_LIST_INTERVAL_S = 0.5
"""Minimum intervals between two calls, so that 216 readers make fewer than 1,300 calls/s."""


class LimitedPool(NamedTuple):
    """A pool of one connection with its rate limiter."""

    pool: urllib3.PoolManager
    limiter: RateLimiter


class HttpPlatform:
    """Reads the service over two connections, so that the watch does not delay the list."""

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
        self._watch_pool = LimitedPool(
            urllib3.PoolManager(num_pools=1), RateLimiter(MIN_READ_INTERVAL_S, rng)
        )
        self._list_pool = LimitedPool(
            urllib3.PoolManager(num_pools=1), RateLimiter(MIN_LIST_INTERVAL_S, rng)
        )

    @classmethod
    def from_settings(cls, settings: PlatformSettings) -> HttpPlatform:
        """Read the service given in the settings."""
        return cls(settings.url)

    def read(self, after: int, wait_s: float) -> Changes:
        """Watch for documents after a revision; see `Platform`.

        A snapshot is read over a new connection. On a reused one, a late response to an earlier
        call could be read instead. If it is a delta, all documents that it lacks would count as
        deleted.
        """
        if after == 0:
            self._watch_pool.pool.clear()
        path = f"/v1/config?after={after}&wait_s={wait_s:.3f}"
        data = self._get(
            path, self._watch_pool, wait_s + RESPONSE_TIMEOUT_S, MAX_CONFIGURATION_BYTES
        )
        return decode_changes(data, after)

    def get_member_states(self) -> MemberStates:
        """Return the states of hosts and endpoints."""
        return decode_member_states(
            self._get("/v1/hosts", self._list_pool, RESPONSE_TIMEOUT_S, MAX_LIST_BYTES)
        )

    def _get(self, path: str, limited_pool: LimitedPool, timeout_s: float, limit: int) -> bytes:
        """Wait for the rate limiter and return the body of a response; raise PlatformError."""
        self._sleep(limited_pool.limiter.get_delay(self._clock()))
        started_at = self._clock()
        retry_after_s = 0.0
        try:
            response = self._open(limited_pool, path, timeout_s)
            try:
                retry_after_s = _read_retry_after(response)
                data = self._read(response, limit, started_at + timeout_s + BODY_TIMEOUT_S)
            finally:
                response.release_conn()
        except (urllib3.exceptions.HTTPError, OSError, PlatformError) as error:
            limited_pool.limiter.record_failure(self._clock(), retry_after_s)
            raise PlatformError(f"the platform at {self._url} can't be read: {error}") from error
        limited_pool.limiter.record_success(started_at)
        return data

    def _open(
        self, limited_pool: LimitedPool, path: str, timeout_s: float
    ) -> urllib3.BaseHTTPResponse:
        return limited_pool.pool.request(
            "GET",
            self._url + path,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s),
            redirect=False,
            retries=False,
            preload_content=False,
            decode_content=False,
        )

    def _read(self, response: urllib3.BaseHTTPResponse, limit: int, deadline: float) -> bytes:
        """Read the body; on failure close the connection, so that no unread data remains in it."""
        data = bytearray()
        try:
            if response.status != 200:
                raise PlatformError(f"it answered {response.status}")
            if response.headers.get("Content-Encoding", "identity") != "identity":
                raise PlatformError("the response is compressed")
            for chunk in response.stream(CHUNK_BYTES):
                data += chunk
                if len(data) > limit:
                    raise PlatformError(f"the response is longer than {limit} bytes")
                if self._clock() > deadline:
                    raise PlatformError("the response was not complete before the timeout")
        except BaseException:
            response.close()
            raise
        return bytes(data)


def _read_retry_after(response: urllib3.BaseHTTPResponse) -> float:
    value = response.headers.get("Retry-After", "")
    return float(value) if value.isdecimal() and len(value) < 6 else 0.0
