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

HEADER = struct.Struct("!BI")
OVERHEAD_BYTES = HEADER.size + MAC_BYTES


class VerifiedDatagram(NamedTuple):
    """A datagram whose seal is good."""

    recipient_tag: int
    """Tag of the incarnation it was meant for; 0 when the sender did not know it."""
    body: bytes


class DatagramAuthenticator:
    """Makes and checks the seal of datagrams."""

    def __init__(self, key: bytes) -> None:
        self._state = hmac.new(key, digestmod=hashlib.sha256)

    @classmethod
    def from_secret(cls, secret: bytes) -> DatagramAuthenticator:
        """Derive the key from the hosts' shared secret; raise ValueError when it is short."""
        if len(secret) < MIN_SECRET_BYTES:
            raise ValueError(f"the shared secret has less than {MIN_SECRET_BYTES} bytes")
        return cls(hmac.digest(secret, PURPOSE, "sha256"))

    def sign(self, body: bytes, recipient_tag: int) -> bytes:
        """Give the datagram for a body that is meant for one incarnation."""
        header = HEADER.pack(VERSION, recipient_tag)
        return header + self._compute_mac(header, body) + body

    def verify(self, datagram: bytes) -> VerifiedDatagram:
        """Check the seal; raise PeerError for every datagram that no host of ours made."""
        if not OVERHEAD_BYTES <= len(datagram) <= MAX_DATAGRAM_BYTES:
            raise PeerError("a datagram has an impossible length")
        header = datagram[: HEADER.size]
        mac = datagram[HEADER.size : OVERHEAD_BYTES]
        body = datagram[OVERHEAD_BYTES:]
        if not hmac.compare_digest(mac, self._compute_mac(header, body)):
            raise PeerError("a datagram has a wrong seal")
        version, recipient_tag = HEADER.unpack(header)
        if version != VERSION:
            raise PeerError(f"a datagram has the unknown version {version}")
        return VerifiedDatagram(recipient_tag, body)

    def _compute_mac(self, header: bytes, body: bytes) -> bytes:
        mac = self._state.copy()
        mac.update(header)
        mac.update(body)
        return mac.digest()[:MAC_BYTES]
