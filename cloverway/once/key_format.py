"""The text of an idempotency key: what it says and how it is spelled."""

from __future__ import annotations

from typing import NamedTuple

VERSION = "k1"
SEPARATOR = "_"
MAC_BYTES = 16
MAX_KEY_LENGTH = 256


class ParsedKey(NamedTuple):
    """What the text of a key says, before its MAC was checked."""

    host: str
    incarnation: str
    issued_ms: int
    """By the issuer's own clock, since the issuer started."""
    nonce: bytes
    mac: bytes

    @classmethod
    def parse(cls, text: str) -> ParsedKey | None:
        """Read a key; None when it does not have the form that hosts issue."""
        parts = text.split(SEPARATOR) if len(text) <= MAX_KEY_LENGTH and text.isascii() else []
        if len(parts) != 6 or parts[0] != VERSION or not parts[3].isdigit():
            return None
        try:
            nonce, mac = bytes.fromhex(parts[4]), bytes.fromhex(parts[5])
        except ValueError:
            return None
        name = cls(parts[1], parts[2], int(parts[3]), nonce, mac)
        # Each key has one spelling only: another one must not pass for another key.
        return name if name.text == text and len(mac) == MAC_BYTES else None

    @property
    def signed(self) -> str:
        """The part of the text that the MAC covers."""
        parts = (VERSION, self.host, self.incarnation, str(self.issued_ms), self.nonce.hex())
        return SEPARATOR.join(parts)

    @property
    def text(self) -> str:
        """The key as callers hold it."""
        return self.signed + SEPARATOR + self.mac.hex()
