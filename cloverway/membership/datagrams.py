"""The UDP socket on which hosts exchange heartbeats."""

from __future__ import annotations

import logging
import socket
from collections.abc import Iterable, Iterator

from cloverway.addresses import format_address, split_address
from cloverway.membership.datagram_auth import MAX_DATAGRAM_BYTES
from cloverway.membership.gossip import Outgoing

log = logging.getLogger(__name__)

MAX_DATAGRAMS_PER_TURN = 256
"""Datagrams read in one call, so that a flood of them can't delay the timers of the loop."""
RECEIVE_BUFFER_BYTES = 256 * 1024


class DatagramSocket:
    """A non-blocking UDP socket; it must be used from one thread only."""

    def __init__(self, address: str) -> None:
        self._listen_address = address
        family = socket.AF_INET6 if ":" in split_address(address)[0] else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.counts = {"sent": 0, "sent_bytes": 0, "received": 0, "received_bytes": 0}

    def bind(self) -> None:
        """Bind the socket to its address; raise OSError when that fails."""
        self._socket.bind(split_address(self._listen_address))

    def fileno(self) -> int:
        """Return the file descriptor, for an event loop to watch."""
        return self._socket.fileno()

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    @property
    def address(self) -> str:
        """Address that the socket is bound to."""
        return format_address(self._socket.getsockname())

    def receive(self) -> Iterator[tuple[bytes, str]]:
        """Yield the datagrams in the receive buffer, each with the address of its sender."""
        for _ in range(MAX_DATAGRAMS_PER_TURN):
            try:
                datagram, source = self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except OSError:
                # The buffer is empty, or the network reported an error for a datagram sent before.
                return
            self.counts["received"] += 1
            self.counts["received_bytes"] += len(datagram)
            yield datagram, format_address(source)

    def send(self, outgoing: Iterable[Outgoing]) -> None:
        """Send datagrams; one that can't be sent counts as lost by the network."""
        for address, datagram in outgoing:
            try:
                self._socket.sendto(datagram, split_address(address))
            except OSError as error:
                log.debug("can't send a datagram", extra={"to": address, "why": str(error)})
                continue
            self.counts["sent"] += 1
            self.counts["sent_bytes"] += len(datagram)
