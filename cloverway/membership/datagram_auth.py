"""Seals for datagrams: who does not hold the shared secret can neither make nor change one."""

from __future__ import annotations

import hashlib
import hmac
import struct
from typing import NamedTuple

from cloverway.errors import PeerError

VERSION = 1
MAC_BYTES = 16
"""HMAC-SHA256 cut to its first 128 bits."""
MIN_SECRET_BYTES = 32
MAX_DATAGRAM_BYTES = 1400
"""Fits one Ethernet frame: a datagram is not lost for the loss of one of its fragments."""
PURPOSE = b"cloverway heartbeat 1"

HEAD = struct.Struct("!BI")
OVERHEAD_BYTES = HEAD.size + MAC_BYTES


class Opened(NamedTuple):
    """A datagram whose seal is good."""

    to: int
    """Tag of the incarnation it was meant for; 0 when the sender did not know it."""
    body: bytes


class Seal:
    """Makes and checks the seal of datagrams."""

    def __init__(self, key: bytes) -> None:
        self._state = hmac.new(key, digestmod=hashlib.sha256)

    @classmethod
    def from_secret(cls, secret: bytes) -> Seal:
        """Derive the key from the hosts' shared secret; raise ValueError when it is short."""
        if len(secret) < MIN_SECRET_BYTES:
            raise ValueError(f"the shared secret has less than {MIN_SECRET_BYTES} bytes")
        return cls(hmac.digest(secret, PURPOSE, "sha256"))

    def close(self, body: bytes, to: int) -> bytes:
        """Give the datagram for a body that is meant for one incarnation."""
        head = HEAD.pack(VERSION, to)
        return head + self._mac(head, body) + body

    def open(self, datagram: bytes) -> Opened:
        """Check the seal; raise PeerError for every datagram that no host of ours made."""
        if not OVERHEAD_BYTES <= len(datagram) <= MAX_DATAGRAM_BYTES:
            raise PeerError("a datagram has an impossible length")
        head = datagram[: HEAD.size]
        mac = datagram[HEAD.size : OVERHEAD_BYTES]
        body = datagram[OVERHEAD_BYTES:]
        if not hmac.compare_digest(mac, self._mac(head, body)):
            raise PeerError("a datagram has a wrong seal")
        version, to = HEAD.unpack(head)
        if version != VERSION:
            raise PeerError(f"a datagram has the unknown version {version}")
        return Opened(to, body)

    def _mac(self, head: bytes, body: bytes) -> bytes:
        mac = self._state.copy()
        mac.update(head)
        mac.update(body)
        return mac.digest()[:MAC_BYTES]
