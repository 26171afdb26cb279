"""The configuration store: deltas, invalid changes, and stale or restored platforms."""

from __future__ import annotations

from typing import Any

import pytest

from cloverway.config import documents
from cloverway.config.configuration import (
    Accepted,
    ConfigurationStore,
    Gap,
    ReadinessGate,
    Rejected,
    Source,
    Stale,
    Unchanged,
    choose_readers,
)
from cloverway.sources.port import Changes, Document

PLATFORM, PEER = Source.PLATFORM, Source.PEER


def region(name: str, revision: int, title: str = "") -> Document:
    return Document(f"regions/{name}", revision, {"title": title})


def team(name: str, revision: int, key: str = "1", home: str = "curepipe") -> Document:
    value = {"home": home, "key_hashes": ["sha256:" + key * 64]}
    return Document(f"teams/{name}", revision, value)


def deleted(key: str, revision: int) -> Document:
    return Document(key, revision, None)


BASE = (Document("organisation", 1, {"name": "riviere"}), region("curepipe", 2))


def make_store(*documents: Document, serving: bool = True) -> ConfigurationStore:
    """Return a store that has applied a snapshot of the platform."""
    store = ConfigurationStore()
    all_documents = (*BASE, *documents)
    last = max(document.revision for document in all_documents)
    assert isinstance(store.apply(Changes(last, 0, all_documents), PLATFORM, 0.0), Accepted)
    if serving:
        store.start_serving()
    return store


def test_accepted_change_is_sent_to_peers() -> None:
    """A host that reads the platform sends a peer the changes since the peer's revision."""
    reader, peer = make_store(), make_store()
    change = (region("rodrigues", 3),)
    assert isinstance(reader.apply(Changes(3, 2, change), PLATFORM, 1.0), Accepted)
    after = peer.get_fetch_after(reader.served_revision)
    assert after == 2
    delta = reader.get_changes_after(after)
    assert delta.documents == change
    assert isinstance(peer.apply(delta, PEER, 1.0), Accepted)
    assert peer.digest == reader.digest
    assert isinstance(peer.apply(delta, PEER, 1.0), Unchanged), "a duplicate changes nothing"


def test_deletion_reaches_a_peer() -> None:
    """A withdrawn team must not stay in force on hosts that receive only deltas."""
    reader, peer = make_store(team("a", 3)), make_store(team("a", 3))
    reader.apply(Changes(4, 3, (deleted("teams/a", 4),)), PLATFORM, 1.0)
    peer.apply(reader.get_changes_after(3), PEER, 1.0)
    assert peer.published and not peer.published.teams


def test_peer_behind_the_oldest_tombstone_gets_a_snapshot() -> None:
    """Tombstones are bounded: after a long partition, a peer that got only a delta would keep
    withdrawn documents."""
    reader, peer = make_store(team("a", 3)), make_store(team("a", 3))
    reader._revisions.documents._max_tombstones = 2
    for revision in range(4, 8):
        key = "teams/a" if revision == 4 else f"regions/gone-{revision}"
        reader.apply(Changes(revision, revision - 1, (deleted(key, revision),)), PLATFORM, 1.0)
    changes = reader.get_changes_after(3)
    assert changes.complete
    peer.apply(changes, PEER, 1.0)
    assert peer.published and not peer.published.teams


def test_invalid_revision_is_rejected_as_a_unit_and_corrected_by_a_later_one() -> None:
    """An operator publishes a team without its region, then the region.

    The valid change in the first revision must not come into force by itself. When the region is
    published, the team must come into force too, although the platform sent it only once.
    """
    store = make_store()
    batch = (team("a", 3, home="rodrigues"), region("port-louis", 3))
    result = store.apply(Changes(3, 2, batch), PLATFORM, 1.0)
    assert isinstance(result, Rejected)
    assert "teams.a.home: there is no region 'rodrigues'" in result.findings[0]
    assert store.revision == 2 and store.rejection == result
    assert store.published and "port-louis" not in store.published.regions
    assert store.read_after == 3, "the same change is not read repeatedly"
    assert isinstance(
        store.apply(Changes(4, 3, (region("rodrigues", 4),)), PLATFORM, 1.0), Accepted
    )
    assert store.revision == 4 and store.rejection is None
    assert set(store.published.teams) == {"a"}


def test_rejected_revision_is_not_fetched_from_peers_again() -> None:
    """A peer with another release has a revision in force that is rejected here, and announces it
    with each heartbeat."""
    store = make_store()
    invalid = Changes(3, 2, (team("a", 3, home="nowhere"),))
    assert isinstance(store.apply(invalid, PEER, 1.0), Rejected)
    assert store.get_fetch_after(3) is None
    assert store.get_fetch_after(4) == 2


def test_key_of_another_team_is_rejected_in_a_delta() -> None:
    """With one key for two teams, a caller could get the other team's data residency."""
    store = make_store(team("a", 3))
    assert isinstance(store.apply(Changes(4, 3, (team("b", 4),)), PLATFORM, 1.0), Rejected)
    moved = (team("a", 5, key="2"),)
    assert isinstance(store.apply(Changes(5, 4, moved), PLATFORM, 1.0), Accepted)
    assert isinstance(store.apply(Changes(6, 5, (team("c", 6),)), PLATFORM, 1.0), Rejected)


def test_region_that_is_in_use_can_not_be_deleted() -> None:
    """The delta contains only the region, but a team that refers to it would become invalid."""
    store = make_store(team("a", 3))
    rejection = store.apply(Changes(4, 3, (deleted("regions/curepipe", 4),)), PLATFORM, 1.0)
    assert isinstance(rejection, Rejected) and "teams.a.home" in rejection.findings[0]


def test_delta_with_a_gap_is_not_applied() -> None:
    """A lost delta would never be fetched again if a later revision came into force."""
    store = make_store()
    assert store.apply(Changes(9, 8, (region("rodrigues", 9),)), PEER, 1.0) == Gap(2, 8)
    assert store.apply(Changes(9, 8, (region("rodrigues", 9),)), PLATFORM, 1.0) == Gap(2, 8)


def test_stale_platform_is_marked_and_reverts_nothing() -> None:
    """A platform is marked as stale when it is behind the peers for longer than a change takes to
    be in force, but not after a short lag. Later data without a conflict clears the mark."""
    store = make_store(region("rodrigues", 3))
    old = Changes(2, 3, ())
    assert store.apply(old, PLATFORM, 1.0) == Stale(3, 2)
    store = make_store(region("rodrigues", 3))
    store.apply(Changes(5, 3, (team("a", 5),)), PEER, 1.0)
    behind = Changes(4, 5, ())
    assert store.apply(behind, PLATFORM, 1.0) == Stale(5, 4)
    assert not store.platform_stale
    assert store.apply(behind, PLATFORM, 6.0) == Stale(5, 4)
    assert store.platform_stale and store.revision == 5
    assert store.apply(Changes(5, 5, ()), PLATFORM, 7.0) == Gap(0, 5)
    assert store.read_after == 0
    snapshot = Changes(5, 0, (*BASE, region("rodrigues", 3), team("a", 5)))
    assert isinstance(store.apply(snapshot, PLATFORM, 7.0), Unchanged)
    assert not store.platform_stale and store.read_after == 5


def test_restored_platform_that_reuses_revisions_is_rejected() -> None:
    """The platform is restored from older data, and an operator publishes other content under
    revisions that are already in force. The content that was accepted first stays in force until
    the other one is published with a later revision."""
    store = make_store(region("rodrigues", 3, "first"))
    store.apply(Changes(2, 3, ()), PLATFORM, 1.0)
    other = Changes(3, 0, (*BASE, region("rodrigues", 3, "second")))
    store.apply(Changes(3, 3, ()), PLATFORM, 2.0)
    assert store.read_after == 0
    rejection = store.apply(other, PLATFORM, 2.0)
    assert isinstance(rejection, Rejected) and rejection.conflicts
    assert "publish it again with a revision over 3" in rejection.findings[0]
    assert store.published and store.published.regions["rodrigues"].title == "first"
    assert store.platform_stale
    later = Changes(4, 3, (team("a", 4),))
    assert isinstance(store.apply(later, PLATFORM, 3.0), Rejected), "two histories are not mixed"
    again = Changes(5, 4, (region("rodrigues", 5, "second"),))
    assert isinstance(store.apply(again, PLATFORM, 4.0), Accepted)
    assert not store.platform_stale


def test_platform_restored_while_unreachable_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """A domain reads the platform after a partition of an hour. The platform has a higher revision
    but was restored in the meantime: applying a delta would mix two histories."""
    monkeypatch.setattr(documents, "RECHECKED_CHANGES", 1)
    store = make_store(region("rodrigues", 3, "first"))
    mixed = Changes(4, 3, (team("a", 4),))
    assert store.apply(mixed, PLATFORM, 3600.0) == Gap(2, 3)
    anchored = Changes(4, 2, (region("port-louis", 3), team("a", 4)))
    rejection = store.apply(anchored, PLATFORM, 3600.1)
    assert isinstance(rejection, Rejected) and rejection.conflicts
    assert store.revision == 3
    assert store.read_after == 0, "only a snapshot shows what replaced the missing document"


def test_deletion_lost_by_a_restored_platform_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """The latest change withdrew a team. The restored platform has the team again, under a revision
    lower than those that are read from it."""
    monkeypatch.setattr(documents, "RECHECKED_CHANGES", 1)
    store = make_store(team("a", 3))
    store.apply(Changes(4, 3, (deleted("teams/a", 4),)), PLATFORM, 1.0)
    store.apply(Changes(5, 4, ()), PLATFORM, 3600.0)
    assert store.read_after == 3
    other = Changes(5, 3, (region("rodrigues", 4), region("port-louis", 5)))
    assert isinstance(store.apply(other, PLATFORM, 3600.1), Rejected)


def test_platform_must_deliver_what_peers_delivered_already() -> None:
    """A host that reads a restored platform gets the lost revisions from a peer. The platform then
    reuses these revisions: a delta after the revision in force would appear to fit."""
    store = make_store()
    store.apply(Changes(4, 2, (region("rodrigues", 3), team("a", 4))), PEER, 1.0)
    assert store.read_after == 2, "the last revision that the platform delivered"
    other = Changes(5, 2, (region("port-louis", 3), region("port-louis", 5)))
    rejection = store.apply(other, PLATFORM, 2.0)
    assert isinstance(rejection, Rejected) and rejection.conflicts
    assert store.read_after == 0


def test_platform_that_was_only_unreachable_is_accepted(monkeypatch: pytest.MonkeyPatch) -> None:
    """After an outage without a restore, the next read returns the latest change again."""
    monkeypatch.setattr(documents, "RECHECKED_CHANGES", 1)
    store = make_store(region("rodrigues", 3))
    assert store.apply(Changes(3, 3, ()), PLATFORM, 3600.0) == Gap(2, 3)
    assert store.read_after == 2
    again = Changes(4, 2, (region("rodrigues", 3), team("a", 4)))
    assert isinstance(store.apply(again, PLATFORM, 3600.1), Accepted)
    assert store.read_after == 4


def test_first_accepted_content_stays_when_operators_race() -> None:
    """Two operators publish different content as revision 3, and each of two hosts accepted one.
    Neither accepts the other one; revision 4 makes both equal."""
    left, right = make_store(region("rodrigues", 3, "left")), make_store(
        region("rodrigues", 3, "right")
    )
    assert left.conflicts_with(right.revision, right.digest)
    rejection = left.apply(right.get_changes_after(0), PEER, 1.0)
    assert isinstance(rejection, Rejected) and rejection.conflicts
    right.apply(Changes(4, 3, (region("rodrigues", 4, "both"),)), PLATFORM, 1.0)
    assert isinstance(left.apply(right.get_changes_after(3), PEER, 1.0), Accepted)
    assert left.digest == right.digest


def test_peer_with_another_history_is_rejected() -> None:
    """A peer has another revision 3 and a later one. Its delta fits by revision; only the digest
    shows the difference. Then a snapshot is fetched and rejected."""
    left, right = make_store(region("rodrigues", 3, "left")), make_store(
        region("rodrigues", 3, "right")
    )
    right.apply(Changes(4, 3, (team("a", 4),)), PLATFORM, 1.0)
    assert left.apply(right.get_changes_after(3), PEER, 1.0) == Gap(0, 3)
    assert left.get_fetch_after(4) == 0
    rejection = left.apply(right.get_changes_after(0), PEER, 1.0)
    assert isinstance(rejection, Rejected) and left.revision == 3
    assert left.get_fetch_after(4) is None


def test_document_lost_by_a_restored_platform_can_be_withdrawn() -> None:
    """The restored platform lacks a team that is in force. Once its revision is higher than the one
    in force, a snapshot without the team withdraws it."""
    store = make_store(team("a", 3))
    store.apply(Changes(2, 3, ()), PLATFORM, 1.0)
    store.apply(Changes(3, 3, ()), PLATFORM, 2.0)
    snapshot = Changes(3, 0, (*BASE, region("rodrigues", 3)))
    assert isinstance(store.apply(snapshot, PLATFORM, 2.0), Rejected)
    again = Changes(4, 3, (region("rodrigues", 4),))
    assert isinstance(store.apply(again, PLATFORM, 3.0), Accepted)
    assert store.published and not store.published.teams


def test_start_with_nothing_while_the_platform_is_stale() -> None:
    """A new host reads a stale platform first and hears from a peer later. It must not serve the
    old configuration in the meantime, and then serves that of the peer."""
    peer = make_store(region("rodrigues", 3))
    store = make_store(serving=False)
    gate = ReadinessGate(0.0, timeout_s=3.0)
    gate.record_platform(2)
    assert not gate.check(store.revision, ["peer"], 1.0).ready
    gate.record_peer("peer", peer.served_revision)
    assert not gate.check(store.revision, ["peer"], 3.5).ready, "a later revision is known"
    store.apply(peer.get_changes_after(store.get_fetch_after(3) or 0), PEER, 1.0)
    ready = gate.check(store.revision, ["peer"], 3.6)
    assert ready.ready and ready.confirmed


def test_start_with_a_restored_platform_follows_the_peers() -> None:
    """The restored platform has a higher revision of a history that no host has in force. A new
    host that accepted it would differ from all others."""
    peer = make_store(region("rodrigues", 3, "first"))
    other = Changes(4, 0, (*BASE, region("rodrigues", 3, "second"), team("a", 4)))
    store = ConfigurationStore()
    store.apply(other, PLATFORM, 0.0)
    assert store.get_fetch_after(peer.served_revision) == 0
    store.apply(peer.get_changes_after(0), PEER, 0.1)
    assert store.read_after == 0
    assert isinstance(store.apply(other, PLATFORM, 0.2), Rejected)
    assert store.digest == peer.digest and store.platform_stale


def test_readiness_gate_times_out() -> None:
    """Peers that crashed or are cut off must not keep a host from serving its callers."""
    gate = ReadinessGate(0.0, timeout_s=3.0)
    assert not gate.check(0, [], 99.0).ready, "without a configuration, there is nothing to serve"
    gate.record_platform(5)
    assert not gate.check(5, ["dead"], 2.9).ready
    late = gate.check(5, ["dead"], 3.0)
    assert late.ready and not late.confirmed


def test_readiness_gate_drops_a_peer_that_crashed() -> None:
    """A peer announces a revision that no other host has, and crashes before sending it."""
    gate = ReadinessGate(0.0, timeout_s=3.0)
    gate.record_platform(5)
    gate.record_peer("lost", 7)
    for tenth in range(30, 70):
        assert not gate.check(5, ["lost"], tenth / 10).ready
    assert gate.check(5, ["lost"], 7.1).ready


def test_first_hosts_of_a_fleet_start_together() -> None:
    """No host has a configuration in force: all announce revision 0 and rely on the platform."""
    gate = ReadinessGate(0.0)
    gate.record_platform(2)
    gate.record_peer("other", 0)
    assert gate.check(2, ["other"], 0.1).confirmed


def test_malformed_changes_are_rejected() -> None:
    store = make_store()
    invalid: Any
    for invalid in (2**70, -1, 0, True):
        assert isinstance(store.apply(Changes(invalid, 0, ()), PLATFORM, 1.0), Rejected)
    too_late = Changes(3, 2, (region("rodrigues", 4),))
    assert isinstance(store.apply(too_late, PLATFORM, 1.0), Rejected)
    for value in ({"title": float("nan")}, {"title": {1, 2}}, {"title": "x" * 2**20}):
        change = Changes(3, 2, (Document("regions/rodrigues", 3, value),))
        assert isinstance(store.apply(change, PEER, 1.0), Rejected)
    assert store.revision == 2


def test_table_of_a_later_release_is_forwarded() -> None:
    """During an upgrade, hosts with the old release send on documents of tables unknown to them."""
    store = make_store()
    change = Changes(3, 2, (Document("adapters/legal", 3, {"rank": 8}),))
    accepted = store.apply(change, PLATFORM, 1.0)
    assert isinstance(accepted, Accepted) and "adapters" in accepted.warnings[0]
    assert store.get_changes_after(2).documents == change.documents


def test_other_reader_stays_when_one_fails() -> None:
    """When a reader crashes, the next host replaces it and the other reader stays."""
    hosts = [f"h{i}" for i in range(10)]
    first = choose_readers(hosts, "a")
    assert len(first) == 2
    assert choose_readers([h for h in hosts if h != first[0]], "a")[0] == first[1]
    assert choose_readers(reversed(hosts), "a") == first
    assert choose_readers(["only"], "a") == ("only",)
