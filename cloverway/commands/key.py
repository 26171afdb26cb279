"""Make a caller key and the hash of it that is published."""

from __future__ import annotations

import hashlib
import secrets
from typing import NamedTuple

PREFIX = "cw_"
KEY_BYTES = 32


class CallerKey(NamedTuple):
    """A caller key, and its hash as it stands in a team's `key_hashes`."""

    key: str
    key_hash: str


def make_key() -> CallerKey:
    """Make a new caller key from the system's source of secrets."""
    key = PREFIX + secrets.token_urlsafe(KEY_BYTES)
    return CallerKey(key, hash_key(key))


def hash_key(key: str) -> str:
    """Give the hash by which a key is published."""
    return "sha256:" + hashlib.sha256(key.encode()).hexdigest()
