"""Interface to the platform, from which hosts only read."""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from typing import Any, NamedTuple, Protocol


class Document(NamedTuple):
    """A published document, with the revision that wrote it."""

    key: str
    """Table and name, such as "profiles/lookup"; singletons such as "objective" have no name."""
    revision: int
    value: Mapping[str, Any] | None
    """None if the revision deleted the document."""


class Changes(NamedTuple):
    """Documents that were written after a revision: a delta, or a snapshot with all documents."""

    revision: int
    """The revision of the configuration after the changes."""
    after: int
    """The revision that the delta starts from; 0 for a snapshot.

    A document that a snapshot lacks was deleted at or before `revision`.
    """
    documents: tuple[Document, ...] = ()
    digest: str = ""
    """Digest of all documents at `revision`; empty if the source doesn't send one."""

    @property
    def complete(self) -> bool:
        """Whether this is a snapshot with all documents."""
        return self.after == 0


class MemberState(StrEnum):
    """The state of a host or an endpoint in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class MemberStates(NamedTuple):
    """States of hosts and endpoints as listed by the platform, which may be outdated."""

    hosts: Mapping[str, MemberState] = {}
    endpoints: Mapping[str, MemberState] = {}


class Platform(Protocol):
    """Reads the platform. Both methods block, and raise PlatformError if it can't be read."""

    def read(self, after: int, wait_s: float) -> Changes:
        """Return the documents after a revision; wait up to `wait_s` seconds for one.

        Return a snapshot if `after` is 0. If the returned revision is lower than `after`, the
        platform is stale.
        """
        ...

    def get_member_states(self) -> MemberStates:
        """Return the states of hosts and endpoints."""
        ...
