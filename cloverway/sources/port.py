"""The port to the platform: what the system reads from it, and nothing that it writes."""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from typing import Any, NamedTuple, Protocol


class Document(NamedTuple):
    """One published document with the revision that wrote it."""

    key: str
    """Table and name, such as "profiles/lookup"; "organisation" and "objective" have no name."""
    revision: int
    value: Mapping[str, Any] | None
    """None when the revision deleted the document."""


class Changes(NamedTuple):
    """Documents that were written after some revision."""

    revision: int
    """The revision of the whole configuration that the documents lead to."""
    after: int
    """The revision that they start from; 0 when these are all documents.

    Of a whole, a document that is missing was deleted at or before `revision`.
    """
    documents: tuple[Document, ...] = ()
    digest: str = ""
    """Digest of all documents at `revision`, where the source tells it."""

    @property
    def complete(self) -> bool:
        """Whether these are all documents."""
        return self.after == 0


class Listed(StrEnum):
    """The state of a host or an endpoint in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class MemberStates(NamedTuple):
    """The platform's list of live and leaving members, which lags behind the truth."""

    hosts: Mapping[str, Listed] = {}
    endpoints: Mapping[str, Listed] = {}


class Platform(Protocol):
    """Reads the platform; both calls block and raise PlatformError when it can't be read."""

    def read(self, after: int, wait_s: float) -> Changes:
        """Give the documents after a revision; wait up to some seconds until there are any.

        Gives all documents when `after` is 0. The revision of the answer may be lower than
        `after`: the platform is then stale.
        """
        ...

    def get_member_states(self) -> MemberStates:
        """Give the list of live and leaving hosts and endpoints."""
        ...
