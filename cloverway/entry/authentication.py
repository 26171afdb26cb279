"""Authentication of callers: maps bearer keys to teams, and checks the profiles they request."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Mapping
from typing import NamedTuple

from cloverway.config.published import Published
from cloverway.config.schema import Profile
from cloverway.errors import Kind, RequestError

SCHEME = "bearer"
MAX_KEY_CHARACTERS = 512
HASH_PREFIX = "sha256:"
UNMATCHED_HASH = HASH_PREFIX + "0" * 64


class Caller(NamedTuple):
    """An authenticated caller and the profile that it requests."""

    team: str
    profile_name: str
    profile: Profile


class KeyIndex(NamedTuple):
    """Teams by the hashes of their keys, for one published configuration."""

    published: Published
    teams: Mapping[str, str]

    @classmethod
    def from_published(cls, published: Published) -> KeyIndex:
        """Build the index from all key hashes of a configuration."""
        teams = {
            key_hash: name for name, team in published.teams.items() for key_hash in team.key_hashes
        }
        return cls(published, teams)

    def find_team(self, bearer: str) -> str:
        """Return the team of a bearer key, or an empty name for an unknown key."""
        key_hash = hash_key(bearer)
        known = key_hash if key_hash in self.teams else UNMATCHED_HASH
        # The look-up is by hash, so its duration does not reveal how many bytes of a key are
        # right. The comparison takes the same time for known and unknown keys.
        if not hmac.compare_digest(known, key_hash):
            return ""
        return self.teams.get(known, "")

    def require_team(self, authorization: str) -> str:
        """Return the team of an Authorization header; raise RequestError UNAUTHENTICATED."""
        team = self.find_team(parse_bearer(authorization))
        if not team:
            raise RequestError(Kind.UNAUTHENTICATED, "unknown bearer key")
        return team


class KeyIndexCache:
    """Caches the key index of the newest configuration."""

    def __init__(self) -> None:
        self._index: KeyIndex | None = None

    def get_index(self, published: Published) -> KeyIndex:
        """Return the index of a configuration, which is built once.

        If two threads build the first index of a configuration, the results are equal.
        """
        index = self._index
        if index is None or index.published is not published:
            index = KeyIndex.from_published(published)
            self._index = index
        return index


def hash_key(bearer: str) -> str:
    """Return the hash of a bearer key in its published form."""
    return HASH_PREFIX + hashlib.sha256(bearer.encode("utf-8", "surrogateescape")).hexdigest()


def authenticate(index: KeyIndex, authorization: str, profile_name: str) -> Caller:
    """Return the caller for an Authorization header and a profile name.

    Raise RequestError UNAUTHENTICATED, MALFORMED without a profile, or FORBIDDEN if the team may
    not use it. An unpublished profile is FORBIDDEN as well, which hides the profiles of others.
    """
    team_name = index.require_team(authorization)
    if not profile_name:
        raise RequestError(Kind.MALFORMED, "the header Cloverway-Profile is missing")
    profile = index.published.profiles.get(profile_name)
    if profile is None or profile_name not in index.published.teams[team_name].profiles:
        raise RequestError(Kind.FORBIDDEN, "the team has no profile of this name")
    return Caller(team_name, profile_name, profile)


def parse_bearer(authorization: str) -> str:
    """Return the bearer key of an Authorization header; raise RequestError UNAUTHENTICATED."""
    scheme, _, bearer = authorization.strip().partition(" ")
    bearer = bearer.strip()
    if scheme.lower() != SCHEME or not bearer:
        raise RequestError(Kind.UNAUTHENTICATED, "send Authorization: Bearer KEY")
    if len(bearer) > MAX_KEY_CHARACTERS:
        raise RequestError(Kind.UNAUTHENTICATED, "unknown bearer key")
    return bearer


def choose_deadline_s(profile: Profile, header: str) -> float:
    """Return the shorter of the profile's and the caller's deadline, in seconds."""
    if not header:
        return profile.deadline_ms / 1000
    if not header.isascii() or not header.isdigit() or len(header) > 9 or int(header) == 0:
        raise RequestError(
            Kind.MALFORMED, "Cloverway-Deadline-Ms must be a positive integer (milliseconds)"
        )
    return min(profile.deadline_ms, int(header)) / 1000
