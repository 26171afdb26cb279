"""The text format of idempotency keys."""

from __future__ import annotations

from typing import NamedTuple

VERSION = "k1"
SEPARATOR = "_"
MAC_BYTES = 16
MAX_KEY_LENGTH = 256


class ParsedKey(NamedTuple):
    """The fields of a key whose MAC has not been verified."""

    host: str
    incarnation: str
    issued_ms: int
    """Milliseconds since the issuer started, by its own clock."""
    nonce: bytes
    mac: bytes

    @classmethod
    def parse(cls, text: str) -> ParsedKey | None:
        """Parse a key; return None if it does not have the format of issued keys."""
        parts = text.split(SEPARATOR) if len(text) <= MAX_KEY_LENGTH and text.isascii() else []
        if len(parts) != 6 or parts[0] != VERSION or not parts[3].isdigit():
            return None
        try:
            nonce, mac = bytes.fromhex(parts[4]), bytes.fromhex(parts[5])
        except ValueError:
            return None
        parsed = cls(parts[1], parts[2], int(parts[3]), nonce, mac)
        # Only the canonical spelling is valid, so that one key can't appear as two.
        return parsed if parsed.text == text and len(mac) == MAC_BYTES else None

    @property
    def signed(self) -> str:
        """The part of the text covered by the MAC."""
        parts = (VERSION, self.host, self.incarnation, str(self.issued_ms), self.nonce.hex())
        return SEPARATOR.join(parts)

    @property
    def text(self) -> str:
        """The key as callers send it."""
        return self.signed + SEPARATOR + self.mac.hex()
