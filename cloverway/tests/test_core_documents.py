"""Synchronization of published documents between hosts; no network."""

from __future__ import annotations

import json

from hypothesis import given, settings
from hypothesis import strategies as st

from cloverway.core import documents as documents_module
from cloverway.core.deployment import Document, Snapshot
from cloverway.core.documents import DocumentTable
from cloverway.platform.documents import decode_documents


def make_entry(state="ready", sequence=1, **fields):
    entry = {"service": "s", "address": "10.0.0.1:1", "zone": "d1", "slots": 3, "state": state}
    entry |= {"version": "v1", "coldRemainingMs": 0, "sequence": sequence}
    return json.dumps(entry | fields).encode()


def make_table(*documents, revision=10):
    table = DocumentTable(decode_documents)
    table.apply(Snapshot(revision, documents, True))
    return table


def apply_changes(table, revision, *documents):
    return table.apply(Snapshot(revision, documents, False))


def test_entry_with_unchanged_content_is_not_a_change():
    """70 endpoints write each second; if each write were a change, all hosts would fetch it."""
    table = make_table(Document("servers/a", 5, make_entry()))
    digest = table.digest
    assert apply_changes(table, 11, Document("servers/a", 11, make_entry(sequence=2))) == []
    assert table.digest == digest
    assert len(apply_changes(table, 12, Document("servers/a", 12, make_entry("draining", 3)))) == 1
    assert table.digest != digest


def test_host_with_same_digest_adopts_later_revision():
    reader = make_table(Document("servers/a", 5, make_entry()))
    follower = make_table(Document("servers/a", 4, make_entry()), revision=9)
    apply_changes(reader, 20, Document("servers/a", 20, make_entry(sequence=9)))
    assert follower.adopt_revision(reader.revision, reader.digest)
    assert follower.revision == 20
    assert not follower.adopt_revision(19, reader.digest)


def test_host_that_missed_a_change_does_not_adopt_the_revision():
    """Otherwise it would treat itself as up to date and keep sending to a draining endpoint."""
    reader = make_table(Document("servers/a", 5, make_entry()))
    follower = make_table(Document("servers/a", 5, make_entry()))
    apply_changes(reader, 12, Document("servers/a", 12, make_entry("draining")))
    assert not follower.adopt_revision(reader.revision, reader.digest)
    assert follower.revision == 10


def test_export_includes_deletions():
    reader = make_table(Document("servers/a", 5, make_entry()), Document("servers/b", 6, b"{}"))
    follower = make_table(Document("servers/a", 5, make_entry()), Document("servers/b", 6, b"{}"))
    apply_changes(reader, 12, Document("servers/a", 12, None))
    snapshot = reader.export_since(follower.revision)
    assert not snapshot.complete
    assert [item.key for item in snapshot.documents] == ["servers/a"]
    follower.apply(snapshot)
    assert follower.digest == reader.digest


def test_host_far_behind_receives_all_documents(monkeypatch):
    """A host that was paused for long requests changes that are partly no longer retained."""
    monkeypatch.setattr(documents_module, "MAX_TOMBSTONES", 2)
    keys = [f"servers/{number}" for number in range(6)]
    reader = make_table(*(Document(key, 5, make_entry()) for key in keys))
    behind = make_table(*(Document(key, 5, make_entry()) for key in keys))
    for number, key in enumerate(keys[:4]):
        apply_changes(reader, 20 + number, Document(key, 20 + number, None))
    snapshot = reader.export_since(behind.revision)
    assert snapshot.complete
    behind.apply(snapshot)
    assert behind.digest == reader.digest
    assert reader.export_since(-1).complete


def test_older_snapshot_is_ignored():
    table = make_table(Document("servers/a", 5, make_entry()))
    digest = table.digest
    assert table.apply(Snapshot(9, (), True)) == []
    assert table.digest == digest


WRITES = st.lists(
    st.tuples(st.sampled_from("abcd"), st.sampled_from(["ready", "draining", None])), max_size=30
)


@given(WRITES, st.lists(st.integers(0, 3), min_size=30, max_size=30))
@settings(max_examples=300)
def test_readers_and_followers_converge(writes, steps):
    """Two hosts read the store at times, a third only follows; all end with the same content."""
    readers = [make_table(revision=0), make_table(revision=0)]
    follower = make_table(revision=0)
    history = []
    for number, (key, state) in enumerate(writes):
        revision = number + 1
        value = None if state is None else make_entry(state, revision)
        history.append(Document(f"servers/{key}", revision, value))
        match steps[number]:
            case 0 | 1 as which:
                table = readers[which]
                new = [item for item in history if item.revision > table.revision]
                apply_changes(table, revision, *new)
            case which:
                table = readers[which - 2]
                if not follower.adopt_revision(table.revision, table.digest):
                    follower.apply(table.export_since(follower.revision))
    for table in readers:
        apply_changes(table, 100, *(item for item in history if item.revision > table.revision))
    if not follower.adopt_revision(100, readers[0].digest):
        follower.apply(readers[0].export_since(follower.revision))
    assert readers[0].digest == readers[1].digest == follower.digest
