"""Generate a caller key and the hash of it that is published."""

from __future__ import annotations

import hashlib
import secrets
from typing import NamedTuple

PREFIX = "cw_"
KEY_BYTES = 32


class CallerKey(NamedTuple):
    """A caller key, and its hash for a team's `key_hashes`."""

    key: str
    key_hash: str


def make_key() -> CallerKey:
    """Generate a caller key with the system's secure random source."""
    key = PREFIX + secrets.token_urlsafe(KEY_BYTES)
    return CallerKey(key, hash_key(key))


def hash_key(key: str) -> str:
    """Return the hash of a key in its published form."""
    return "sha256:" + hashlib.sha256(key.encode()).hexdigest()
