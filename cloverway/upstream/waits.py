"""Exchanges that wait for an answer, so that they can be given up when their caller leaves."""

from __future__ import annotations

import threading
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from socket import SHUT_RDWR

from cloverway.upstream.connections import Connection


class Wait:
    """One request whose answer is waited for, and the connection it is waited on."""

    def __init__(self) -> None:
        self.connection: Connection | None = None
        self.given_up = False


class Waits:
    """The requests that wait, by their ids."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._by_id: dict[str, Wait] = {}

    @contextmanager
    def watch(self, request_id: str) -> Iterator[Wait]:
        """Let a request be given up for the time of the block."""
        wait = Wait()
        with self._lock:
            self._by_id[request_id] = wait
        try:
            yield wait
        finally:
            self.release(wait)
            with self._lock:
                if self._by_id.get(request_id) is wait:
                    del self._by_id[request_id]

    def release(self, wait: Wait) -> None:
        """Let go of a connection before it is pooled.

        The next request may use it at once, and giving up this one must not hit that one.
        """
        with self._lock:
            wait.connection = None

    def give_up(self, request_id: str) -> bool:
        """End the wait of a request; tell whether it waited.

        Its thread sleeps in a read. Shutting the socket down wakes it, and the mark tells it why.
        """
        with self._lock:
            wait = self._by_id.get(request_id)
            if wait is None:
                return False
            wait.given_up = True
            if wait.connection is not None and wait.connection.sock is not None:
                with suppress(OSError):
                    wait.connection.sock.shutdown(SHUT_RDWR)
            return True
