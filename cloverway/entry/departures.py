"""Detect callers that disconnect while their request is pending and no thread reads the socket."""

from __future__ import annotations

import contextlib
import logging
import os
import select
import socket
import threading
from collections.abc import Callable, Iterator
from typing import NamedTuple

log = logging.getLogger(__name__)

DISCONNECT_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL


class _Watched(NamedTuple):
    sock: socket.socket
    request_id: str


class DisconnectWatcher:
    """Thread that watches the sockets of callers with pending requests.

    A caller that closes only its sending half counts as disconnected. Seen from here, this is the
    same as a full close, and a caller that waits for an answer has no reason for a half-close.
    """

    def __init__(self, on_disconnect: Callable[[str], None]) -> None:
        self._on_disconnect = on_disconnect
        self._lock = threading.Lock()
        self._watched: dict[int, _Watched] = {}
        self._epoll = select.epoll()
        self._wake = os.eventfd(0)
        self._epoll.register(self._wake, select.EPOLLIN)
        self._thread = threading.Thread(target=self._run, name="departures", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread."""
        os.eventfd_write(self._wake, 1)
        if self._thread.is_alive():
            self._thread.join()
        self._epoll.close()
        os.close(self._wake)

    @contextlib.contextmanager
    def watch(self, sock: socket.socket, request_id: str) -> Iterator[None]:
        """Watch a caller's socket until the block ends; call `on_disconnect` at most once."""
        descriptor = sock.fileno()
        with self._lock:
            self._watched[descriptor] = _Watched(sock, request_id)
            self._epoll.register(descriptor, select.EPOLLRDHUP | select.EPOLLONESHOT)
        try:
            yield
        finally:
            with self._lock:
                self._watched.pop(descriptor, None)
                self._epoll.unregister(descriptor)

    def _run(self) -> None:
        while True:
            for descriptor, _ in self._epoll.poll():
                if descriptor == self._wake:
                    return
                self._check(descriptor)

    def _check(self, descriptor: int) -> None:
        # Since the event was returned, the request may have ended and another one may use the same
        # descriptor. The socket is polled again under the lock, so that the wrong request is never
        # cancelled. `watch` needs the lock to end, so the socket can't be closed meanwhile.
        with self._lock:
            watched = self._watched.get(descriptor)
            is_disconnected = watched is not None and _is_disconnected(watched.sock)
        if watched is not None and is_disconnected:
            log.info(
                "caller disconnected while its request was pending",
                extra={"request_id": watched.request_id},
            )
            self._on_disconnect(watched.request_id)


def _is_disconnected(sock: socket.socket) -> bool:
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return any(event & DISCONNECT_EVENTS for _, event in poll.poll(0))
