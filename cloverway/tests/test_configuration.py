"""Tests of the configuration in force."""

from __future__ import annotations

from cloverway.configuration import (
    Accepted,
    ConfigurationStore,
    Rejected,
    Source,
    Stale,
    choose_readers,
)
from cloverway.platform.port import Changes, Document

BASE = (
    Document("organisation", 1, {"name": "riviere"}),
    Document("regions/curepipe", 1, {}),
    Document("domains/curepipe-a", 1, {"region": "curepipe"}),
)


def test_offer_takes_whole_then_delta() -> None:
    store = ConfigurationStore()
    verdict = store.offer(Changes(1, 0, BASE), Source.PLATFORM, 0.0)
    assert isinstance(verdict, Accepted)
    later = Changes(2, 1, (Document("regions/rodrigues", 2, {}),))
    assert isinstance(store.offer(later, Source.PEER, 1.0), Accepted)
    assert store.revision == 2
    assert set(store.published.regions) == {"curepipe", "rodrigues"}


def test_offer_refuses_an_invalid_change_whole() -> None:
    store = ConfigurationStore()
    store.offer(Changes(1, 0, BASE), Source.PLATFORM, 0.0)
    bad = Changes(2, 1, (Document("domains/curepipe-b", 2, {"region": "nowhere"}),))
    assert isinstance(store.offer(bad, Source.PLATFORM, 0.0), Rejected)
    assert store.revision == 1


def test_offer_never_goes_back() -> None:
    store = ConfigurationStore()
    store.offer(Changes(5, 0, BASE), Source.PEER, 0.0)
    assert store.offer(Changes(4, 0, BASE), Source.PLATFORM, 0.0) == Stale(5, 4)
    assert not store.platform_stale, "a moment's lag is no fault"
    store.offer(Changes(4, 0, BASE), Source.PLATFORM, 4.0)
    assert store.platform_stale


def test_choose_readers_changes_little() -> None:
    hosts = [f"h{i}" for i in range(10)]
    first = choose_readers(hosts, "a")
    assert len(first) == 2
    assert choose_readers([h for h in hosts if h != first[0]], "a")[0] == first[1]
