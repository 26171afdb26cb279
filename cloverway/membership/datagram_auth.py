"""Authentication of datagrams by a MAC under the secret that all hosts share.

A sender without the secret can neither forge nor change a datagram. A replay passes this check;
it is detected by the tag of the recipient's incarnation and the sequence number.
"""

from __future__ import annotations

import hashlib
import hmac
import struct
from typing import NamedTuple

from cloverway.errors import PeerError

VERSION = 1
MAC_BYTES = 16
"""HMAC-SHA256, truncated to its first 128 bits."""
MIN_SECRET_BYTES = 32
MAX_DATAGRAM_BYTES = 1400
"""Fits one Ethernet frame: a fragmented datagram would be lost with any of its fragments."""
PURPOSE = b"cloverway heartbeat 1"

HEADER = struct.Struct("!BI")
OVERHEAD_BYTES = HEADER.size + MAC_BYTES


class VerifiedDatagram(NamedTuple):
    """A datagram whose MAC is valid."""

    recipient_tag: int
    """Tag of the incarnation that it is addressed to; 0 when the sender did not know it."""
    body: bytes


class DatagramAuthenticator:
    """Signs and verifies datagrams."""

    def __init__(self, key: bytes) -> None:
        self._state = hmac.new(key, digestmod=hashlib.sha256)

    @classmethod
    def from_secret(cls, secret: bytes) -> DatagramAuthenticator:
        """Derive the key from the shared secret; raise ValueError when the secret is too short."""
        if len(secret) < MIN_SECRET_BYTES:
            raise ValueError(f"the shared secret is shorter than {MIN_SECRET_BYTES} bytes")
        return cls(hmac.digest(secret, PURPOSE, "sha256"))

    def sign(self, body: bytes, recipient_tag: int) -> bytes:
        """Return the datagram for a body that is addressed to one incarnation."""
        header = HEADER.pack(VERSION, recipient_tag)
        return header + self._compute_mac(header, body) + body

    def verify(self, datagram: bytes) -> VerifiedDatagram:
        """Check the MAC of a datagram; raise PeerError when it was not made with the secret."""
        if not OVERHEAD_BYTES <= len(datagram) <= MAX_DATAGRAM_BYTES:
            raise PeerError("a datagram is too short or too long")
        header = datagram[: HEADER.size]
        mac = datagram[HEADER.size : OVERHEAD_BYTES]
        body = datagram[OVERHEAD_BYTES:]
        if not hmac.compare_digest(mac, self._compute_mac(header, body)):
            raise PeerError("a datagram has an invalid MAC")
        version, recipient_tag = HEADER.unpack(header)
        if version != VERSION:
            raise PeerError(f"a datagram has the unsupported version {version}")
        return VerifiedDatagram(recipient_tag, body)

    def _compute_mac(self, header: bytes, body: bytes) -> bytes:
        mac = self._state.copy()
        mac.update(header)
        mac.update(body)
        return mac.digest()[:MAC_BYTES]
