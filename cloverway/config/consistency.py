"""Checks between published documents that are each valid by themselves.

Only the documents of one change are checked, so that the cost of a change does not grow with the
number of documents. `Claims` remembers what the others hold.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from typing import Any, NamedTuple

from cloverway.config.schema import Domain, Endpoint, Host, Profile, Tables, Team


class Place(NamedTuple):
    """The table and the name of a document; the name is empty where there is one only."""

    table: str
    name: str = ""

    @property
    def dotted(self) -> str:
        """The place as findings show it."""
        return f"{self.table}.{self.name}" if self.name else self.table


class Fault(NamedTuple):
    """What is wrong at a dotted name, with its remedy."""

    where: str
    what: str


class Claim(NamedTuple):
    """A value that only one document may hold: an address or the hash of a key."""

    value: str
    place: Place
    field: str


class Claims:
    """Which document holds each address and each hash of a key in one valid configuration."""

    def __init__(self) -> None:
        self._holders: dict[str, Place] = {}

    def holder(self, value: str) -> Place | None:
        """Give the document that holds a value, if there is one."""
        return self._holders.get(value)

    def replace(self, place: Place, old: Any, new: Any) -> None:
        """Take over what a document claims now in place of what it claimed before."""
        for claim in list_claims(place, old):
            if self._holders.get(claim.value) == place:
                del self._holders[claim.value]
        self._holders.update((claim.value, place) for claim in list_claims(place, new))


Changed = Mapping[Place, Any]
"""Parsed documents of one change; None for a deleted one."""


def find_faults(published: Tables, changed: Changed, claims: Claims) -> Iterator[Fault]:
    """Yield what is wrong in a configuration that a change leads to.

    All documents but the changed ones must have been valid together, with their claims noted.
    """
    yield from _find_claim_faults(changed, claims)
    deleted: dict[str, set[str]] = {"regions": set(), "domains": set(), "profiles": set()}
    for place, document in changed.items():
        if document is None and place.table in deleted:
            deleted[place.table].add(place.name)
    touched = dict(changed)
    if any(deleted.values()):
        touched |= dict(_find_referrers(published, **deleted))
    for place, document in touched.items():
        yield from _find_own_faults(published, place, document)


def _find_referrers(
    published: Tables, regions: set[str], domains: set[str], profiles: set[str]
) -> Iterator[tuple[Place, Any]]:
    """Yield the documents that refer to deleted ones; only plain look-ups for all the others."""
    for name, domain in published.domains.items():
        if domain.region in regions:
            yield Place("domains", name), domain
    for table in ("hosts", "endpoints"):
        for name, placed in getattr(published, table).items():
            if placed.domain in domains:
                yield Place(table, name), placed
    for name, profile in published.profiles.items():
        if not regions.isdisjoint(profile.regions):
            yield Place("profiles", name), profile
    for name, team in published.teams.items():
        if team.home in regions or not profiles.isdisjoint(team.profiles):
            yield Place("teams", name), team


def list_claims(place: Place, document: Any) -> Iterable[Claim]:
    """List what a document claims for itself."""
    if document is None:
        return
    if place.table == "hosts":
        for field in ("callers", "admin", "peers"):
            yield Claim(getattr(document, field), place, field)
    elif place.table == "teams":
        for key_hash in document.key_hashes:
            yield Claim(key_hash, place, "key_hashes")


def _find_claim_faults(changed: Changed, claims: Claims) -> Iterator[Fault]:
    """Yield claims on what another document holds; those of changed documents are released."""
    taken: dict[str, Claim] = {}
    for place, document in changed.items():
        for claim in list_claims(place, document):
            other = taken.setdefault(claim.value, claim)
            if other[1:] != claim[1:]:
                yield _refuse(claim, other.place)
                continue
            holder = claims.holder(claim.value)
            if holder is not None and holder not in changed:
                yield _refuse(claim, holder)


def _refuse(claim: Claim, holder: Place) -> Fault:
    where = f"{claim.place.dotted}.{claim.field}"
    if claim.place.table == "teams":
        return Fault(where, f"team {holder.name!r} has this key; make a new one")
    return Fault(where, f"{claim.value} is taken by {holder.dotted}; choose another")


def _find_own_faults(published: Tables, place: Place, document: Any) -> Iterator[Fault]:
    """Yield what is wrong in one document, given all others."""
    if document is None:
        return
    where = place.dotted
    if place.table == "domains":
        yield from _find_domain_faults(published, where, document)
    elif place.table == "hosts":
        yield from _find_host_faults(published, where, document)
    elif place.table == "endpoints":
        yield from _find_endpoint_faults(published, where, document)
    elif place.table == "profiles":
        yield from _find_profile_faults(published, where, document)
    elif place.table == "teams":
        yield from _find_team_faults(published, where, document)


def _find_domain_faults(published: Tables, where: str, domain: Domain) -> Iterator[Fault]:
    if domain.region not in published.regions:
        yield Fault(f"{where}.region", f"there is no region {domain.region!r}; publish it")


def _find_host_faults(published: Tables, where: str, host: Host) -> Iterator[Fault]:
    if host.domain not in published.domains:
        yield Fault(f"{where}.domain", f"there is no domain {host.domain!r}; publish it")


def _find_endpoint_faults(published: Tables, where: str, endpoint: Endpoint) -> Iterator[Fault]:
    if endpoint.domain not in published.domains:
        yield Fault(f"{where}.domain", f"there is no domain {endpoint.domain!r}; publish it")
    if endpoint.kind == "engine" and endpoint.services:
        yield Fault(f"{where}.services", 'an engine has models; set kind = "service"')
    if endpoint.kind == "service" and endpoint.models:
        yield Fault(f"{where}.models", 'a service has services; set kind = "engine"')


def _find_profile_faults(published: Tables, where: str, profile: Profile) -> Iterator[Fault]:
    if (profile.model is None) == (profile.service is None):
        yield Fault(where, "name either a model or a service, and not both")
    for region in profile.regions:
        if region not in published.regions:
            yield Fault(f"{where}.regions", f"there is no region {region!r}; publish it")


def _find_team_faults(published: Tables, where: str, team: Team) -> Iterator[Fault]:
    if team.home not in published.regions:
        yield Fault(f"{where}.home", f"there is no region {team.home!r}; publish it")
    for profile in team.profiles:
        if profile not in published.profiles:
            yield Fault(f"{where}.profiles", f"there is no profile {profile!r}; publish it")
