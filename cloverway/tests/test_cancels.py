"""Cancels of abandoned requests at endpoints that lose them."""

from __future__ import annotations

import socket
import threading
import time
from collections import Counter
from contextlib import suppress

import pytest

from cloverway.tests.raw_endpoint import EndpointSideConnection
from cloverway.tests.standins.waiting import wait_until
from cloverway.upstream.cancels import RETRY_DELAY_S, TIMEOUT_S, Canceller


class LosingEndpoint:
    """Records the ids of the cancels that arrive; loses those of its first connections."""

    def __init__(self, lost: int, how: str) -> None:
        self.arrivals: Counter[str] = Counter()
        self.connected_at: list[float] = []
        self._lost = lost
        self._how = how
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = self._listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        self._listener.close()

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                sock, _ = self._listener.accept()
                self.connected_at.append(time.monotonic())
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with sock, suppress(OSError):
            if len(self.connected_at) <= self._lost:
                if self._how == "silent":
                    time.sleep(TIMEOUT_S + 0.5)
                return
            connection = EndpointSideConnection(sock, 0)
            connection.answer(b"{}")
            name = connection.requests[0].rpartition(b'"id": "')[2].partition(b'"')[0]
            self.arrivals[name.decode()] += 1


@pytest.fixture
def canceller():
    canceller = Canceller.start()
    yield canceller
    canceller.stop()


@pytest.mark.parametrize("how", ["closed", "silent"])
def test_a_cancel_that_was_lost_is_sent_again(canceller, how):
    """Guards against an endpoint that works on for a caller that has gone."""
    endpoint = LosingEndpoint(1, how)
    canceller.cancel(endpoint.address, "r1")
    wait_until(lambda: endpoint.arrivals["r1"] == 1, 5.0, "the cancel")
    endpoint.close()


def test_cancels_for_an_endpoint_that_answers_are_not_held_up(canceller):
    """Guards against one silent endpoint that delays the cancels of all others."""
    silent, healthy = LosingEndpoint(1_000, "silent"), LosingEndpoint(0, "")
    for number in range(20):
        canceller.cancel(silent.address, f"s{number}")
    canceller.cancel(healthy.address, "r1")
    wait_until(lambda: healthy.arrivals["r1"] == 1, 2 * TIMEOUT_S, "the cancel")
    time.sleep(2 * (TIMEOUT_S + RETRY_DELAY_S))
    assert len(silent.connected_at) <= 4
    silent.close()
    healthy.close()


def test_all_cancels_arrive_once_the_endpoint_answers_again(canceller):
    endpoint = LosingEndpoint(2, "closed")
    for number in range(20):
        canceller.cancel(endpoint.address, f"r{number}")
    wait_until(lambda: len(endpoint.arrivals) == 20, 8.0, "all cancels")
    assert set(endpoint.arrivals.values()) == {1}
    endpoint.close()
