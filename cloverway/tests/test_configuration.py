"""Failures that the configuration in force must survive, one by one."""

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
    """Give a store that has read the platform's whole."""
    store = ConfigurationStore()
    everything = (*BASE, *documents)
    last = max(document.revision for document in everything)
    assert isinstance(store.apply(Changes(last, 0, everything), PLATFORM, 0.0), Accepted)
    if serving:
        store.start_serving()
    return store


def test_a_change_is_in_force_and_handed_to_peers() -> None:
    """A host that reads the platform tells a peer what changed since the peer's revision."""
    reader, peer = make_store(), make_store()
    change = (region("rodrigues", 3),)
    assert isinstance(reader.apply(Changes(3, 2, change), PLATFORM, 1.0), Accepted)
    after = peer.fetch_after(reader.served_revision)
    assert after == 2
    told = reader.changes_after(after)
    assert told.documents == change
    assert isinstance(peer.apply(told, PEER, 1.0), Accepted)
    assert peer.digest == reader.digest
    assert isinstance(peer.apply(told, PEER, 1.0), Unchanged), "a duplicate does no harm"


def test_deletion_reaches_a_peer() -> None:
    """A withdrawn team must not go on at hosts that are told deltas only."""
    reader, peer = make_store(team("a", 3)), make_store(team("a", 3))
    reader.apply(Changes(4, 3, (deleted("teams/a", 4),)), PLATFORM, 1.0)
    peer.apply(reader.changes_after(3), PEER, 1.0)
    assert peer.published and not peer.published.teams


def test_peer_behind_the_kept_tombstones_is_given_the_whole() -> None:
    """Tombstones are bounded: a peer that was cut off for long would keep withdrawn documents."""
    reader, peer = make_store(team("a", 3)), make_store(team("a", 3))
    reader._revisions.documents._max_tombstones = 2
    for revision in range(4, 8):
        key = "teams/a" if revision == 4 else f"regions/gone-{revision}"
        reader.apply(Changes(revision, revision - 1, (deleted(key, revision),)), PLATFORM, 1.0)
    told = reader.changes_after(3)
    assert told.complete
    peer.apply(told, PEER, 1.0)
    assert peer.published and not peer.published.teams


def test_invalid_revision_is_refused_whole_and_mended_by_a_later_one() -> None:
    """An operator publishes a team without its region, then the region.

    The good change of the same revision must not come in force by itself; the team must not be
    lost when the region comes, though the platform tells of it only once.
    """
    store = make_store()
    batch = (team("a", 3, home="rodrigues"), region("port-louis", 3))
    refusal = store.apply(Changes(3, 2, batch), PLATFORM, 1.0)
    assert isinstance(refusal, Rejected)
    assert "teams.a.home: there is no region 'rodrigues'" in refusal.findings[0]
    assert store.revision == 2 and store.rejection == refusal
    assert store.published and "port-louis" not in store.published.regions
    assert store.read_after == 3, "the same change is not read again and again"
    assert isinstance(
        store.apply(Changes(4, 3, (region("rodrigues", 4),)), PLATFORM, 1.0), Accepted
    )
    assert store.revision == 4 and store.rejection is None
    assert set(store.published.teams) == {"a"}


def test_refused_revision_is_not_asked_of_peers_again() -> None:
    """A peer of another release has in force what is refused here; each heartbeat tells of it."""
    store = make_store()
    bad = Changes(3, 2, (team("a", 3, home="nowhere"),))
    assert isinstance(store.apply(bad, PEER, 1.0), Rejected)
    assert store.fetch_after(3) is None
    assert store.fetch_after(4) == 2


def test_key_of_another_team_is_refused_in_a_delta() -> None:
    """Two teams with one key: a caller would be taken for the other team, with its residency."""
    store = make_store(team("a", 3))
    assert isinstance(store.apply(Changes(4, 3, (team("b", 4),)), PLATFORM, 1.0), Rejected)
    moved = (team("a", 5, key="2"),)
    assert isinstance(store.apply(Changes(5, 4, moved), PLATFORM, 1.0), Accepted)
    assert isinstance(store.apply(Changes(6, 5, (team("c", 6),)), PLATFORM, 1.0), Rejected)


def test_region_that_is_in_use_can_not_be_deleted() -> None:
    """Only the region is in the delta, but it is the team that becomes invalid."""
    store = make_store(team("a", 3))
    refusal = store.apply(Changes(4, 3, (deleted("regions/curepipe", 4),)), PLATFORM, 1.0)
    assert isinstance(refusal, Rejected) and "teams.a.home" in refusal.findings[0]


def test_delta_with_a_gap_is_not_applied() -> None:
    """A lost delta would be missing for good once a later revision is held."""
    store = make_store()
    assert store.apply(Changes(9, 8, (region("rodrigues", 9),)), PEER, 1.0) == Gap(2, 8)
    assert store.apply(Changes(9, 8, (region("rodrigues", 9),)), PLATFORM, 1.0) == Gap(2, 8)


def test_stale_platform_is_marked_and_takes_nothing_back() -> None:
    """The platform serves old data while peers have a later revision, for longer than a change
    takes: it is marked; a moment's lag is not. Later data of one history clears the mark."""
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


def test_restored_platform_that_uses_revisions_again_is_refused() -> None:
    """The platform restarts with older data, and an operator publishes other content under
    revisions that are in force already. The first accepted stays until it is published anew."""
    store = make_store(region("rodrigues", 3, "first"))
    store.apply(Changes(2, 3, ()), PLATFORM, 1.0)
    other = Changes(3, 0, (*BASE, region("rodrigues", 3, "second")))
    store.apply(Changes(3, 3, ()), PLATFORM, 2.0)
    assert store.read_after == 0
    refusal = store.apply(other, PLATFORM, 2.0)
    assert isinstance(refusal, Rejected) and refusal.conflicts
    assert "publish it again with a revision over 3" in refusal.findings[0]
    assert store.published and store.published.regions["rodrigues"].title == "first"
    assert store.platform_stale
    later = Changes(4, 3, (team("a", 4),))
    assert isinstance(store.apply(later, PLATFORM, 3.0), Rejected), "no mixture of two histories"
    again = Changes(5, 4, (region("rodrigues", 5, "second"),))
    assert isinstance(store.apply(again, PLATFORM, 4.0), Accepted)
    assert not store.platform_stale


def test_platform_restored_while_out_of_reach_is_noticed(monkeypatch: pytest.MonkeyPatch) -> None:
    """A cut-off domain reads the platform after an hour. Its revision is higher, but it was
    restored in between: a delta on top of what is in force would mix two histories."""
    monkeypatch.setattr(documents, "RECHECKED_CHANGES", 1)
    store = make_store(region("rodrigues", 3, "first"))
    mixed = Changes(4, 3, (team("a", 4),))
    assert store.apply(mixed, PLATFORM, 3600.0) == Gap(2, 3)
    anchored = Changes(4, 2, (region("port-louis", 3), team("a", 4)))
    refusal = store.apply(anchored, PLATFORM, 3600.1)
    assert isinstance(refusal, Rejected) and refusal.conflicts
    assert store.revision == 3
    assert store.read_after == 0, "what it has in place of the missing one is in the whole only"


def test_deletion_lost_by_a_restored_platform_is_noticed(monkeypatch: pytest.MonkeyPatch) -> None:
    """The latest change was the withdrawal of a team. The restored platform has the team again,
    with a revision that is older than all that it is asked for."""
    monkeypatch.setattr(documents, "RECHECKED_CHANGES", 1)
    store = make_store(team("a", 3))
    store.apply(Changes(4, 3, (deleted("teams/a", 4),)), PLATFORM, 1.0)
    store.apply(Changes(5, 4, ()), PLATFORM, 3600.0)
    assert store.read_after == 3
    other = Changes(5, 3, (region("rodrigues", 4), region("port-louis", 5)))
    assert isinstance(store.apply(other, PLATFORM, 3600.1), Rejected)


def test_platform_must_show_what_peers_told_already() -> None:
    """A host in contact with a restored platform hears of lost revisions by a peer. The platform
    then passes them with others: asked from the revision in force, its delta would seem to fit."""
    store = make_store()
    store.apply(Changes(4, 2, (region("rodrigues", 3), team("a", 4))), PEER, 1.0)
    assert store.read_after == 2, "the last one that the platform has shown"
    other = Changes(5, 2, (region("port-louis", 3), region("port-louis", 5)))
    refusal = store.apply(other, PLATFORM, 2.0)
    assert isinstance(refusal, Rejected) and refusal.conflicts
    assert store.read_after == 0


def test_platform_that_only_was_out_of_reach_goes_on(monkeypatch: pytest.MonkeyPatch) -> None:
    """The same outage without a restoration: the next read tells the latest document again."""
    monkeypatch.setattr(documents, "RECHECKED_CHANGES", 1)
    store = make_store(region("rodrigues", 3))
    assert store.apply(Changes(3, 3, ()), PLATFORM, 3600.0) == Gap(2, 3)
    assert store.read_after == 2
    again = Changes(4, 2, (region("rodrigues", 3), team("a", 4)))
    assert isinstance(store.apply(again, PLATFORM, 3600.1), Accepted)
    assert store.read_after == 4


def test_racing_operators_the_first_accepted_stays() -> None:
    """Two operators publish revision 3 with different content; two hosts saw one each. Neither
    takes the other's; revision 4 mends both."""
    left, right = make_store(region("rodrigues", 3, "left")), make_store(
        region("rodrigues", 3, "right")
    )
    assert left.conflicts(right.revision, right.digest)
    refusal = left.apply(right.changes_after(0), PEER, 1.0)
    assert isinstance(refusal, Rejected) and refusal.conflicts
    right.apply(Changes(4, 3, (region("rodrigues", 4, "both"),)), PLATFORM, 1.0)
    assert isinstance(left.apply(right.changes_after(3), PEER, 1.0), Accepted)
    assert left.digest == right.digest


def test_peer_of_another_history_is_not_mixed_in() -> None:
    """A peer went on from another revision 3. Its delta alone fits, so the digest has to tell:
    the whole is asked for, and refused."""
    left, right = make_store(region("rodrigues", 3, "left")), make_store(
        region("rodrigues", 3, "right")
    )
    right.apply(Changes(4, 3, (team("a", 4),)), PLATFORM, 1.0)
    assert left.apply(right.changes_after(3), PEER, 1.0) == Gap(0, 3)
    assert left.fetch_after(4) == 0
    refusal = left.apply(right.changes_after(0), PEER, 1.0)
    assert isinstance(refusal, Rejected) and left.revision == 3
    assert left.fetch_after(4) is None


def test_document_lost_by_a_restored_platform_can_be_withdrawn() -> None:
    """The restored platform does not know a team that is in force. Once it has published past
    the revision in force, a whole without the team withdraws it."""
    store = make_store(team("a", 3))
    store.apply(Changes(2, 3, ()), PLATFORM, 1.0)
    store.apply(Changes(3, 3, ()), PLATFORM, 2.0)
    snapshot = Changes(3, 0, (*BASE, region("rodrigues", 3)))
    assert isinstance(store.apply(snapshot, PLATFORM, 2.0), Rejected)
    again = Changes(4, 3, (region("rodrigues", 4),))
    assert isinstance(store.apply(again, PLATFORM, 3.0), Accepted)
    assert store.published and not store.published.teams


def test_start_with_nothing_while_the_platform_is_stale() -> None:
    """A new host hears a stale platform first and a peer later. It must not serve the old
    configuration in between, and ends with the peer's."""
    peer = make_store(region("rodrigues", 3))
    store = make_store(serving=False)
    gate = ReadinessGate(0.0, timeout_s=3.0)
    gate.record_platform(2)
    assert not gate.check(store.revision, ["peer"], 1.0).ready
    gate.record_peer("peer", peer.served_revision)
    assert not gate.check(store.revision, ["peer"], 3.5).ready, "a later one is known"
    store.apply(peer.changes_after(store.fetch_after(3) or 0), PEER, 1.0)
    ready = gate.check(store.revision, ["peer"], 3.6)
    assert ready.ready and ready.confirmed


def test_start_with_a_restored_platform_follows_the_peers() -> None:
    """The restored platform is at a higher revision of another history, which nobody has in
    force. A new host that took it would differ from all others."""
    peer = make_store(region("rodrigues", 3, "first"))
    other = Changes(4, 0, (*BASE, region("rodrigues", 3, "second"), team("a", 4)))
    store = ConfigurationStore()
    store.apply(other, PLATFORM, 0.0)
    assert store.fetch_after(peer.served_revision) == 0
    store.apply(peer.changes_after(0), PEER, 0.1)
    assert store.read_after == 0
    assert isinstance(store.apply(other, PLATFORM, 0.2), Rejected)
    assert store.digest == peer.digest and store.platform_stale


def test_start_gate_is_bounded() -> None:
    """Peers that are dead or cut off must not keep a host from its own callers."""
    gate = ReadinessGate(0.0, timeout_s=3.0)
    assert not gate.check(0, [], 99.0).ready, "nothing answered: there is nothing to serve"
    gate.record_platform(5)
    assert not gate.check(5, ["dead"], 2.9).ready
    late = gate.check(5, ["dead"], 3.0)
    assert late.ready and not late.confirmed


def test_start_gate_forgets_a_peer_that_died() -> None:
    """A peer tells of a revision that it alone has, and dies before it has handed it on."""
    gate = ReadinessGate(0.0, timeout_s=3.0)
    gate.record_platform(5)
    gate.record_peer("lost", 7)
    for tenth in range(30, 70):
        assert not gate.check(5, ["lost"], tenth / 10).ready
    assert gate.check(5, ["lost"], 7.1).ready


def test_first_hosts_of_a_fleet_start_together() -> None:
    """Nobody has a configuration in force; each hears the others' 0 and goes by the platform."""
    gate = ReadinessGate(0.0)
    gate.record_platform(2)
    gate.record_peer("other", 0)
    assert gate.check(2, ["other"], 0.1).confirmed


def test_unreadable_changes_are_refused() -> None:
    store = make_store()
    bad: Any
    for bad in (2**70, -1, 0, True):
        assert isinstance(store.apply(Changes(bad, 0, ()), PLATFORM, 1.0), Rejected)
    beyond = Changes(3, 2, (region("rodrigues", 4),))
    assert isinstance(store.apply(beyond, PLATFORM, 1.0), Rejected)
    for value in ({"title": float("nan")}, {"title": {1, 2}}, {"title": "x" * 2**20}):
        change = Changes(3, 2, (Document("regions/rodrigues", 3, value),))
        assert isinstance(store.apply(change, PEER, 1.0), Rejected)
    assert store.revision == 2


def test_table_of_a_later_release_is_carried_along() -> None:
    """During an upgrade old hosts pass on documents that they don't know yet."""
    store = make_store()
    change = Changes(3, 2, (Document("adapters/legal", 3, {"rank": 8}),))
    accepted = store.apply(change, PLATFORM, 1.0)
    assert isinstance(accepted, Accepted) and "adapters" in accepted.warnings[0]
    assert store.changes_after(2).documents == change.documents


def test_choose_readers_changes_little() -> None:
    """When a reader dies the next takes its place and the other goes on."""
    hosts = [f"h{i}" for i in range(10)]
    first = choose_readers(hosts, "a")
    assert len(first) == 2
    assert choose_readers([h for h in hosts if h != first[0]], "a")[0] == first[1]
    assert choose_readers(reversed(hosts), "a") == first
    assert choose_readers(["only"], "a") == ("only",)
