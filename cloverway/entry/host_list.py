"""Selection of the hosts that a caller should use now."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import chain
from typing import NamedTuple, TypedDict

from cloverway.membership.view import HostState, View

LIST_LIFETIME_S = 5.0
"""Seconds for which a caller may use a list; short, so that callers soon avoid a leaving host."""
MAX_HOSTS = 32
MAX_SUMMARY_AGE_S = 10.0


class HostEntry(TypedDict):
    """Entry of the list of hosts."""

    name: str
    address: str
    domain: str
    region: str


class HostList(TypedDict):
    """Answer of `GET /v1/hosts`, best host first."""

    hosts: list[HostEntry]
    lifetime_s: float
    revision: int


class MaxAges(NamedTuple):
    """Maximum age in seconds of the last heartbeat of a host and of the summary of a domain."""

    host_s: float
    domain_s: float = MAX_SUMMARY_AGE_S


def list_hosts(
    view: View, now: float, max_ages: MaxAges, rotation: int, overloaded: bool = False
) -> HostList:
    """Return the usable hosts: own failure domain first, then own region, then the others.

    Hosts that are leaving or overloaded, or were not heard from recently, are omitted. `rotation`
    rotates the order within each rank, which spreads callers over the hosts of a rank.
    """
    published = view.published
    if published is None:
        return HostList(hosts=[], lifetime_s=LIST_LIFETIME_S, revision=0)
    usable = [
        name
        for name in sorted(published.hosts)
        if _is_usable(view, name, now, max_ages, overloaded)
    ]
    ranks: tuple[list[str], ...] = ([], [], [])
    for name in usable:
        ranks[_rank(view, name)].append(name)
    ordered = chain.from_iterable(_rotate(rank, rotation) for rank in ranks)
    entries = [_make_entry(view, name) for name in ordered][:MAX_HOSTS]
    return HostList(hosts=entries, lifetime_s=LIST_LIFETIME_S, revision=published.revision)


def _is_usable(view: View, name: str, now: float, max_ages: MaxAges, overloaded: bool) -> bool:
    if name == view.host:
        return not view.leaving and not overloaded
    state = view.hosts.get(name)
    if state is not None and (state.leaving or state.overloaded):
        return False
    if state is not None and state.is_alive(view.get_known_until(now), max_ages.host_s):
        return True
    return _is_in_fresh_domain(view, name, state, now, max_ages)


def _is_in_fresh_domain(
    view: View, name: str, state: HostState | None, now: float, max_ages: MaxAges
) -> bool:
    """Return whether a host of another failure domain may be alive according to its domain.

    This host does not receive heartbeats from every host of another domain, only summaries.
    """
    assert view.published is not None
    domain = view.published.hosts[name].domain
    if domain == view.domain:
        return False
    if state is not None and state.heard_at > float("-inf"):
        return False
    return any(
        summary.domain == domain and view.get_known_until(now) - summary.at <= max_ages.domain_s
        for summary in view.summaries.values()
    )


def _rank(view: View, name: str) -> int:
    assert view.published is not None
    domain = view.published.hosts[name].domain
    if domain == view.domain:
        return 0
    return 1 if view.published.region_of(domain) == view.region else 2


def _rotate(names: list[str], rotation: int) -> Iterator[str]:
    start = rotation % len(names) if names else 0
    yield from names[start:]
    yield from names[:start]


def _make_entry(view: View, name: str) -> HostEntry:
    assert view.published is not None
    host = view.published.hosts[name]
    return HostEntry(
        name=name,
        address=host.callers,
        domain=host.domain,
        region=view.published.region_of(host.domain),
    )
