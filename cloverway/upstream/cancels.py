"""Cancels abandoned requests at engines in a background thread, so that no caller waits."""

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
RETRY_DELAY_S = 1.0
"""Time until a cancel that was not answered is sent again. A repeat has no effect: the id of a
request runs at an endpoint once at most."""
MAX_DELAY_S = 10.0
"""Cancels that could not be delivered for this many seconds are dropped, to bound the queue.

The connection is closed at once, so a cancel matters only to engines that ignore a disconnect.
"""


class CancelRequest(NamedTuple):
    """A request to cancel, its endpoint, and the monotonic time at which the cancel was queued."""

    address: tuple[str, int]
    request_id: str
    requested_at: float


class Canceller:
    """Task that sends cancels one at a time, again if the endpoint does not answer."""

    def __init__(self) -> None:
        self._task = Task("cancels", self._handle, self._retry)
        self._undelivered: dict[tuple[str, int], list[CancelRequest]] = {}
        """Cancels to send again, by the address that does not answer."""
        self._retry_at: dict[tuple[str, int], float] = {}

    @classmethod
    def start(cls) -> Canceller:
        """Create a canceller and start its thread."""
        canceller = cls()
        canceller._task.start()
        return canceller

    def stop(self) -> None:
        """Stop the thread."""
        self._task.stop()

    def cancel(self, address: tuple[str, int], request_id: str) -> None:
        """Queue a cancel and return at once."""
        self._task.send(CancelRequest(address, request_id, time.monotonic()))

    def _handle(self, cancel: CancelRequest, answer: Future[None]) -> None:
        if time.monotonic() - cancel.requested_at >= MAX_DELAY_S:
            log.warning("cancel dropped as too old", extra={"request_id": cancel.request_id})
        elif cancel.address in self._retry_at:
            self._undelivered[cancel.address].append(cancel)
        elif not _post(cancel):
            # The others for this address wait too, so that it delays nobody else's.
            self._undelivered[cancel.address] = [cancel]
            self._retry_at[cancel.address] = time.monotonic() + RETRY_DELAY_S
        answer.set_result(None)

    def _retry(self) -> None:
        """Queue the cancels again whose addresses are due."""
        now = time.monotonic()
        for address in [address for address, at in self._retry_at.items() if now >= at]:
            del self._retry_at[address]
            for cancel in self._undelivered.pop(address):
                self._task.send(cancel)


def _post(cancel: CancelRequest) -> bool:
    """Send a cancel; return whether the endpoint has answered it."""
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
        log.info(
            "cancel could not be delivered to the endpoint", extra={"request_id": cancel.request_id}
        )
        return False
    finally:
        connection.close()
    return True
