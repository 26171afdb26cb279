"""Synchronization of published documents between hosts; no network."""

from __future__ import annotations

import json

from hypothesis import given, settings
from hypothesis import strategies as st

from cloverway.core import documents as documents_module
from cloverway.core.deployment import Document, Snapshot, StorePosition
from cloverway.core.documents import DocumentTable
from cloverway.platform.documents import decode_documents
from cloverway.tests.fleet.standins import make_configuration


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
    assert follower.adopt_position(reader.position, reader.digest)
    assert follower.revision == 20
    assert not follower.adopt_position(StorePosition(0, 19), reader.digest)


def test_host_that_missed_a_change_does_not_adopt_the_revision():
    """Otherwise it would treat itself as up to date and keep sending to a draining endpoint."""
    reader = make_table(Document("servers/a", 5, make_entry()))
    follower = make_table(Document("servers/a", 5, make_entry()))
    apply_changes(reader, 12, Document("servers/a", 12, make_entry("draining")))
    assert not follower.adopt_position(reader.position, reader.digest)
    assert follower.revision == 10


def test_export_includes_deletions():
    reader = make_table(Document("servers/a", 5, make_entry()), Document("servers/b", 6, b"{}"))
    follower = make_table(Document("servers/a", 5, make_entry()), Document("servers/b", 6, b"{}"))
    apply_changes(reader, 12, Document("servers/a", 12, None))
    snapshot = reader.export_since(follower.position)
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
    snapshot = reader.export_since(behind.position)
    assert snapshot.complete
    behind.apply(snapshot)
    assert behind.digest == reader.digest
    assert reader.export_since(None).complete


def test_documents_of_a_later_epoch_replace_those_with_higher_revisions():
    """The store lost the revisions 6 to 12: what it says since then is later, not older."""
    table = make_table(
        Document("servers/a", 5, make_entry()), Document("servers/b", 5, make_entry())
    )
    apply_changes(table, 12, Document("servers/a", 12, make_entry("draining")))
    restored = Document("servers/a", 5, make_entry(), 1)
    table.apply(Snapshot(5, (restored,), True, 1))
    assert table.position == StorePosition(1, 5)
    assert table.digest == make_table(restored).digest
    assert table.apply(Snapshot(14, (Document("servers/b", 14, make_entry()),), True)) == []


def test_changes_of_another_epoch_are_not_applied():
    """They start from a state that is not known; applied, what lies between would be missing."""
    table = make_table(Document("servers/a", 5, make_entry()))
    changes = Snapshot(12, (Document("servers/b", 12, make_entry(), 1),), False, 1)
    assert table.apply(changes) == []
    assert table.position == StorePosition(0, 10)


def test_a_host_of_an_earlier_epoch_receives_all_documents():
    table = make_table(Document("servers/a", 5, make_entry()), revision=20)
    assert table.adopt_position(StorePosition(1, 8), table.digest)
    assert not table.adopt_position(StorePosition(0, 30), table.digest)
    assert table.export_since(StorePosition(0, 20)).complete
    assert not table.export_since(StorePosition(1, 8)).complete


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
                if not follower.adopt_position(table.position, table.digest):
                    follower.apply(table.export_since(follower.position))
    for table in readers:
        apply_changes(table, 100, *(item for item in history if item.revision > table.revision))
    if not follower.adopt_position(StorePosition(0, 100), readers[0].digest):
        follower.apply(readers[0].export_since(follower.position))
    assert readers[0].digest == readers[1].digest == follower.digest


def test_all_documents_of_another_host_replace_what_it_never_saw_change():
    """Guards against an endpoint that stays gone here, since another host missed its absence.

    Its entry is removed and written again, the same as before. The other host read neither, and
    adopted the later position; the revision that it has of the entry is the one from before.
    """
    written = Document("servers/a", 5, make_entry())
    reader, other, behind = make_table(written), make_table(written), make_table(written)
    apply_changes(behind, 11, Document("servers/a", 11, None))
    apply_changes(reader, 11, Document("servers/a", 11, None))
    apply_changes(reader, 12, Document("servers/a", 12, make_entry()))
    assert other.adopt_position(reader.position, reader.digest)
    sync(behind, other)
    assert behind.digest == reader.digest
    joining = make_table(revision=0)
    sync(joining, behind)
    assert joining.digest == reader.digest


def test_all_documents_of_another_host_do_not_replace_what_is_newer_here():
    """A page of a full read may be later than the position of the read, and than the other host."""
    behind = make_table(Document("servers/a", 5, make_entry()), revision=11)
    reader = make_table(Document("servers/a", 12, make_entry("draining")))
    sync(reader, behind)
    assert reader.digest == make_table(Document("servers/a", 12, make_entry("draining"))).digest


class RestoredStore:
    """A store that returns to a copy of itself; each write has a position in its history."""

    def __init__(self):
        self.position = StorePosition()
        self.written = []

    def write(self, key, state):
        self.position = self.position._replace(revision=self.position.revision + 1)
        value = None if state is None else make_entry(state)
        revision, epoch = self.position.revision, self.position.epoch
        self.written.append(Document(f"servers/{key}", revision, value, epoch))

    def lose(self, count):
        """Lose the last writes; the revisions are assigned again."""
        self.written = self.written[: max(0, len(self.written) - count)]
        self.written = [item._replace(epoch=item.epoch + 1) for item in self.written]
        self.position = StorePosition(self.position.epoch + 1, len(self.written))

    def read(self, table):
        """Answer a host: the changes, or everything where its position isn't of this epoch."""
        epoch, revision = self.position
        if table.position.epoch != epoch:
            latest = {item.key: item for item in self.written}
            present = tuple(item for item in latest.values() if item.value is not None)
            table.apply(Snapshot(revision, present, True, epoch))
        new = tuple(item for item in self.written if item.position > table.position)
        table.apply(Snapshot(revision, new, False, epoch))


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("write"), st.sampled_from("abc"), st.sampled_from(["ready", None])),
        st.tuples(st.just("lose"), st.integers(0, 6)),
        st.tuples(st.just("read"), st.integers(0, 1)),
        st.tuples(st.just("sync"), st.integers(0, 3), st.integers(0, 3)),
    ),
    max_size=40,
)


def sync(table, source):
    """Let a host take over the documents of another one, as hosts do after a heartbeat."""
    if table.adopt_position(source.position, source.digest):
        return
    if source.position > table.position:
        table.apply(source.export_since(table.position))
        if table.digest != source.digest:
            table.apply(source.export_since(None))


@given(STEPS)
@settings(max_examples=500)
def test_hosts_converge_although_the_store_loses_writes(steps):
    """Two hosts read the store, two only follow; they learn of a loss at different moments."""
    store = RestoredStore()
    tables = [make_table(revision=0) for _ in range(4)]
    for step in steps:
        match step:
            case ("write", key, state):
                store.write(key, state)
            case ("lose", count):
                store.lose(count)
            case ("read", number):
                store.read(tables[number])
            case ("sync", number, source):
                sync(tables[number], tables[source])
    for table in tables[:2]:
        store.read(table)
    for number in (2, 3):
        sync(tables[number], tables[number - 1])
    assert len({table.digest for table in tables}) == 1


def make_configuration_document(version, revision):
    value = json.dumps(make_configuration(version, [], [])).encode()
    return Document("op/config", revision, value)


def test_a_configuration_that_the_store_has_lost_is_kept_for_other_hosts():
    """Guards against a host that starts later and serves by an older one than all others."""
    newest, in_copy = make_configuration_document(7, 9), make_configuration_document(4, 5)
    table = make_table(newest)
    table.apply(Snapshot(5, (in_copy,), True, 1))
    assert table.configuration == newest
    started = make_table(in_copy)
    digest = started.digest
    assert len(started.apply_configuration(newest)) == 1
    assert started.apply_configuration(newest) == []
    assert started.apply_configuration(in_copy) == []
    assert started.configuration == newest
    assert started.digest == digest
