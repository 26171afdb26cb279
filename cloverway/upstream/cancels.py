"""Tell engines that nobody waits for a request any more, off the path of every caller."""

from __future__ import annotations

import json
import logging
import time
from concurrent.futures import Future
from typing import NamedTuple

from cloverway.task import Task
from cloverway.upstream.connections import EXCHANGE_ERRORS, EndpointConnection

log = logging.getLogger(__name__)

CANCEL_PATH = "/v1/cancel"
TIMEOUT_S = 1.0
MAX_DELAY_S = 10.0
"""Cancels that waited longer than this are dropped, which bounds the inbox.

The connection was closed at once, so this only matters for an engine that does not notice.
"""


class CancelRequest(NamedTuple):
    """A request that was given up, when, and at which endpoint."""

    address: tuple[str, int]
    request_id: str
    requested_at: float


class Canceller:
    """A task that posts cancels one after the other."""

    def __init__(self) -> None:
        self._task = Task("cancels", self._handle)

    @classmethod
    def start(cls) -> Canceller:
        """Make a canceller and start its thread."""
        canceller = cls()
        canceller._task.start()
        return canceller

    def stop(self) -> None:
        """End the thread."""
        self._task.stop()

    def cancel(self, address: tuple[str, int], request_id: str) -> None:
        """Ask for a cancel and return at once."""
        self._task.send(CancelRequest(address, request_id, time.monotonic()))

    def _handle(self, cancel: CancelRequest, answer: Future[None]) -> None:
        if time.monotonic() - cancel.requested_at < MAX_DELAY_S:
            _post(cancel)
        answer.set_result(None)


def _post(cancel: CancelRequest) -> None:
    connection = EndpointConnection.from_address(cancel.address, TIMEOUT_S)
    try:
        connection.connect()
        connection.timed_socket.begin(time.monotonic() + TIMEOUT_S)
        connection.request(
            "POST",
            CANCEL_PATH,
            body=json.dumps({"id": cancel.request_id}).encode(),
            headers={"Content-Type": "application/json", "X-Request-Id": cancel.request_id},
        )
        connection.read_head()
    except EXCHANGE_ERRORS:
        log.info("a cancel did not arrive", extra={"request_id": cancel.request_id})
    finally:
        connection.close()
