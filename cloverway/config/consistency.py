"""Consistency checks across published documents that are each valid by themselves.

Only the documents of a change and those that refer to deleted ones are checked, so that the cost
hardly grows with the number of documents. `UniqueIndex` holds the unique values of the others.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from typing import Any, NamedTuple

from cloverway.config.schema import Domain, Endpoint, Host, Profile, Tables, Team


class DocumentId(NamedTuple):
    """Table and name of a document; the name is empty for a singleton."""

    table: str
    name: str = ""

    @property
    def dotted(self) -> str:
        """The dotted name of the document, as it appears in findings."""
        return f"{self.table}.{self.name}" if self.name else self.table


class Inconsistency(NamedTuple):
    """An error at a dotted name, with its remedy."""

    field_path: str
    message: str


class UniqueValue(NamedTuple):
    """A value that only one document may have: an address or the hash of a key."""

    value: str
    document_id: DocumentId
    field: str


class UniqueIndex:
    """Documents of a valid configuration by their unique values: addresses and key hashes."""

    def __init__(self) -> None:
        self._owners: dict[str, DocumentId] = {}

    def get_owner(self, value: str) -> DocumentId | None:
        """Return the document that has a value, or None."""
        return self._owners.get(value)

    def replace(self, document_id: DocumentId, old: Any, new: Any) -> None:
        """Replace the unique values of a document's old version by those of its new version."""
        for unique in list_unique_values(document_id, old):
            if self._owners.get(unique.value) == document_id:
                del self._owners[unique.value]
        self._owners.update(
            (unique.value, document_id) for unique in list_unique_values(document_id, new)
        )


ChangedDocuments = Mapping[DocumentId, Any]
"""Parsed documents of one change; None for a deleted document."""


def find_inconsistencies(
    published: Tables, changed: ChangedDocuments, unique_index: UniqueIndex
) -> Iterator[Inconsistency]:
    """Yield the inconsistencies that a change introduces into a configuration.

    The documents that are not changed must be consistent, and `unique_index` must hold their
    unique values.
    """
    yield from _check_unique_values(changed, unique_index)
    deleted: dict[str, set[str]] = {"regions": set(), "domains": set(), "profiles": set()}
    for document_id, document in changed.items():
        if document is None and document_id.table in deleted:
            deleted[document_id.table].add(document_id.name)
    affected = dict(changed)
    if any(deleted.values()):
        affected |= dict(_find_referrers(published, **deleted))
    for document_id, document in affected.items():
        yield from _check_document(published, document_id, document)


def _find_referrers(
    published: Tables, regions: set[str], domains: set[str], profiles: set[str]
) -> Iterator[tuple[DocumentId, Any]]:
    """Yield the documents that refer to deleted ones; each other document costs a set look-up."""
    for name, domain in published.domains.items():
        if domain.region in regions:
            yield DocumentId("domains", name), domain
    for table in ("hosts", "endpoints"):
        for name, document in getattr(published, table).items():
            if document.domain in domains:
                yield DocumentId(table, name), document
    for name, profile in published.profiles.items():
        if not regions.isdisjoint(profile.regions):
            yield DocumentId("profiles", name), profile
    for name, team in published.teams.items():
        if team.home in regions or not profiles.isdisjoint(team.profiles):
            yield DocumentId("teams", name), team


def list_unique_values(document_id: DocumentId, document: Any) -> Iterable[UniqueValue]:
    """Yield the unique values of a document."""
    if document is None:
        return
    if document_id.table == "hosts":
        for field in ("callers", "admin", "peers"):
            yield UniqueValue(getattr(document, field), document_id, field)
    elif document_id.table == "teams":
        for key_hash in document.key_hashes:
            yield UniqueValue(key_hash, document_id, "key_hashes")


def _check_unique_values(
    changed: ChangedDocuments, unique_index: UniqueIndex
) -> Iterator[Inconsistency]:
    """Yield conflicts of unique values, with other changed documents or with unchanged ones."""
    taken: dict[str, UniqueValue] = {}
    for document_id, document in changed.items():
        for unique in list_unique_values(document_id, document):
            other = taken.setdefault(unique.value, unique)
            if other[1:] != unique[1:]:
                yield _describe_conflict(unique, other.document_id)
                continue
            owner = unique_index.get_owner(unique.value)
            if owner is not None and owner not in changed:
                yield _describe_conflict(unique, owner)


def _describe_conflict(unique: UniqueValue, owner: DocumentId) -> Inconsistency:
    field_path = f"{unique.document_id.dotted}.{unique.field}"
    if unique.document_id.table == "teams":
        return Inconsistency(
            field_path, f"team {owner.name!r} already has this key; create a new one"
        )
    return Inconsistency(field_path, f"{unique.value} is taken by {owner.dotted}; choose another")


def _check_document(
    published: Tables, document_id: DocumentId, document: Any
) -> Iterator[Inconsistency]:
    """Yield the inconsistencies of one document with all others."""
    if document is None:
        return
    field_path = document_id.dotted
    if document_id.table == "domains":
        yield from _check_domain(published, field_path, document)
    elif document_id.table == "hosts":
        yield from _check_host(published, field_path, document)
    elif document_id.table == "endpoints":
        yield from _check_endpoint(published, field_path, document)
    elif document_id.table == "profiles":
        yield from _check_profile(published, field_path, document)
    elif document_id.table == "teams":
        yield from _check_team(published, field_path, document)


def _check_domain(published: Tables, field_path: str, domain: Domain) -> Iterator[Inconsistency]:
    if domain.region not in published.regions:
        yield Inconsistency(
            f"{field_path}.region", f"there is no region {domain.region!r}; publish it"
        )


def _check_host(published: Tables, field_path: str, host: Host) -> Iterator[Inconsistency]:
    if host.domain not in published.domains:
        yield Inconsistency(
            f"{field_path}.domain", f"there is no domain {host.domain!r}; publish it"
        )


def _check_endpoint(
    published: Tables, field_path: str, endpoint: Endpoint
) -> Iterator[Inconsistency]:
    if endpoint.domain not in published.domains:
        yield Inconsistency(
            f"{field_path}.domain", f"there is no domain {endpoint.domain!r}; publish it"
        )
    if endpoint.kind == "engine" and endpoint.services:
        yield Inconsistency(
            f"{field_path}.services", 'an engine serves models only; set kind = "service"'
        )
    if endpoint.kind == "service" and endpoint.models:
        yield Inconsistency(
            f"{field_path}.models", 'a service serves no models; set kind = "engine"'
        )


def _check_profile(published: Tables, field_path: str, profile: Profile) -> Iterator[Inconsistency]:
    if (profile.model is None) == (profile.service is None):
        yield Inconsistency(field_path, "name either a model or a service, and not both")
    for region in profile.regions:
        if region not in published.regions:
            yield Inconsistency(
                f"{field_path}.regions", f"there is no region {region!r}; publish it"
            )


def _check_team(published: Tables, field_path: str, team: Team) -> Iterator[Inconsistency]:
    if team.home not in published.regions:
        yield Inconsistency(f"{field_path}.home", f"there is no region {team.home!r}; publish it")
    for profile in team.profiles:
        if profile not in published.profiles:
            yield Inconsistency(
                f"{field_path}.profiles", f"there is no profile {profile!r}; publish it"
            )
