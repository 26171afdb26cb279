"""The UDP socket of a host."""

from __future__ import annotations

import logging
import socket
from collections.abc import Iterable, Iterator

from cloverway.addresses import format_address, split_address
from cloverway.membership.datagram_auth import MAX_DATAGRAM_BYTES
from cloverway.membership.gossip import Outgoing

log = logging.getLogger(__name__)

MAX_DATAGRAMS_PER_TURN = 256
"""Datagrams that are read before timers get their turn."""
RECEIVE_BUFFER_BYTES = 256 * 1024


class DatagramSocket:
    """Sends and receives without ever waiting; one task owns it."""

    def __init__(self, address: str) -> None:
        self._listen_address = address
        family = socket.AF_INET6 if ":" in split_address(address)[0] else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.counts = {"sent": 0, "sent_bytes": 0, "received": 0, "received_bytes": 0}

    def bind(self) -> None:
        """Listen at the address; raise OSError when it can't be bound."""
        self._socket.bind(split_address(self._listen_address))

    def fileno(self) -> int:
        """Give the descriptor, to be watched by a loop."""
        return self._socket.fileno()

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    @property
    def address(self) -> str:
        """The address that the socket is bound to."""
        return format_address(self._socket.getsockname())

    def receive(self) -> Iterator[tuple[bytes, str]]:
        """Give the datagrams that are there, each with the address it came from."""
        for _ in range(MAX_DATAGRAMS_PER_TURN):
            try:
                datagram, source = self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except OSError:
                # Empty, or an error that an earlier datagram met on its way: nothing to read.
                return
            self.counts["received"] += 1
            self.counts["received_bytes"] += len(datagram)
            yield datagram, format_address(source)

    def send(self, outgoing: Iterable[Outgoing]) -> None:
        """Send datagrams; one that can't be sent is the same as one that is lost on its way."""
        for address, datagram in outgoing:
            try:
                self._socket.sendto(datagram, split_address(address))
            except OSError as error:
                log.debug("a datagram was not sent", extra={"to": address, "why": str(error)})
                continue
            self.counts["sent"] += 1
            self.counts["sent_bytes"] += len(datagram)
