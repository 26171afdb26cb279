"""Registry of exchanges that wait for an answer, so that a caller's disconnect aborts them."""

from __future__ import annotations

import threading
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from socket import SHUT_RDWR

from cloverway.upstream.connections import EndpointConnection


class PendingExchange:
    """One request that waits for its answer, and its connection to the endpoint."""

    def __init__(self) -> None:
        self.connection: EndpointConnection | None = None
        self.aborted = False


class PendingExchanges:
    """Pending exchanges by request id."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._by_id: dict[str, PendingExchange] = {}

    @contextmanager
    def track(self, request_id: str) -> Iterator[PendingExchange]:
        """Register a request, which can be aborted until the block ends."""
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
        """Detach the connection before it is pooled.

        The next request may use it at once, and aborting this request must not abort that one.
        """
        with self._lock:
            pending.connection = None

    def abort(self, request_id: str) -> bool:
        """Abort a pending request; return whether it was pending.

        Its thread blocks in a read. Shutting down the socket wakes it; `aborted` is the reason.
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
