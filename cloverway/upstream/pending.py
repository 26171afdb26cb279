"""Exchanges that wait for an answer, so that they can be given up when their caller leaves."""

from __future__ import annotations

import threading
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from socket import SHUT_RDWR

from cloverway.upstream.connections import EndpointConnection


class PendingExchange:
    """One request whose answer is waited for, and the connection it is waited on."""

    def __init__(self) -> None:
        self.connection: EndpointConnection | None = None
        self.aborted = False


class PendingExchanges:
    """The requests that wait, by their ids."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._by_id: dict[str, PendingExchange] = {}

    @contextmanager
    def track(self, request_id: str) -> Iterator[PendingExchange]:
        """Let a request be given up for the time of the block."""
        pending = PendingExchange()
        with self._lock:
            self._by_id[request_id] = pending
        try:
            yield pending
        finally:
            self.detach_connection(pending)
            with self._lock:
                if self._by_id.get(request_id) is pending:
                    del self._by_id[request_id]

    def detach_connection(self, pending: PendingExchange) -> None:
        """Let go of a connection before it is pooled.

        The next request may use it at once, and giving up this one must not hit that one.
        """
        with self._lock:
            pending.connection = None

    def abort(self, request_id: str) -> bool:
        """End the wait of a request; tell whether it waited.

        Its thread sleeps in a read. Shutting the socket down wakes it, and the mark tells it why.
        """
        with self._lock:
            pending = self._by_id.get(request_id)
            if pending is None:
                return False
            pending.aborted = True
            if pending.connection is not None and pending.connection.sock is not None:
                with suppress(OSError):
                    pending.connection.sock.shutdown(SHUT_RDWR)
            return True
