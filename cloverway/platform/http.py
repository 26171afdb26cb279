"""The platform as a read-and-watch service over HTTP."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

import urllib3

from cloverway.errors import PlatformError
from cloverway.platform.port import Changes, Document, HostList, Listed

WHOLE_BYTES = 64 * 1024 * 1024
"""The longest answer that is read: all documents at the two-year size several times over."""

LIST_BYTES = 4 * 1024 * 1024
"""The longest list of hosts and endpoints that is read."""

CONNECT_S = 2.0
ANSWER_S = 5.0
"""Seconds that an answer may take beyond the wait that was asked for."""


class HttpPlatform:
    """Reads the service with one connection for the watch and one for the list."""

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/")
        self._pool = urllib3.PoolManager(num_pools=1, maxsize=2, retries=False)

    def read(self, after: int, wait_s: float) -> Changes:
        """Watch for documents after a revision; see `Platform`."""
        query = f"?after={after}&wait_s={wait_s:.3f}"
        body = self._get(f"/v1/config{query}", wait_s + ANSWER_S, WHOLE_BYTES)
        try:
            documents = tuple(_parse_document(item) for item in body["documents"])
            return Changes(_parse_revision(body["revision"]), after, documents)
        except (KeyError, TypeError, ValueError) as error:
            raise PlatformError(f"the platform's documents can't be read: {error!r}") from error

    def list_states(self) -> HostList:
        """Give the list of live and leaving hosts and endpoints."""
        body = self._get("/v1/hosts", ANSWER_S, LIST_BYTES)
        try:
            return HostList(_parse_states(body["hosts"]), _parse_states(body["endpoints"]))
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise PlatformError(f"the platform's list can't be read: {error!r}") from error

    def _get(self, path: str, timeout_s: float, limit: int) -> Mapping[str, Any]:
        try:
            response = self._pool.request(
                "GET",
                self._url + path,
                timeout=urllib3.Timeout(connect=CONNECT_S, read=timeout_s),
                redirect=False,
                retries=False,
                preload_content=False,
            )
            try:
                data = response.read(limit + 1)
            finally:
                response.close()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise PlatformError(f"the platform can't be reached: {error}") from error
        if response.status != 200:
            raise PlatformError(f"the platform answered {response.status}")
        if len(data) > limit:
            raise PlatformError(f"the platform's answer is longer than {limit} bytes")
        try:
            body = json.loads(data)
        except (ValueError, RecursionError) as error:
            raise PlatformError("the platform's answer is not JSON") from error
        if not isinstance(body, dict):
            raise PlatformError("the platform's answer is not an object")
        return body


def _parse_document(item: Mapping[str, Any]) -> Document:
    key, value = item["key"], item["value"]
    if not isinstance(key, str) or not isinstance(value, dict | None):
        raise ValueError(f"a document has the key {key!r} or its value is not a table")
    return Document(key, _parse_revision(item["revision"]), value)


def _parse_revision(value: Any) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value < 2**63:
        raise ValueError(f"{value!r} is not a revision")
    return value


def _parse_states(values: Mapping[str, Any]) -> dict[str, Listed]:
    return {str(name): Listed(entry["state"]) for name, entry in values.items()}
