"""Malformed documents in the platform's store, which any program may write; no network.

`ENTRY_CASES=100000 python -m pytest -o addopts= cloverway/tests/test_platform_entries.py` runs the
property test with 100,000 cases.
"""

from __future__ import annotations

import base64
import json
import os

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverway.core import documents as core_documents
from cloverway.core.deployment import (
    Document,
    DocumentUnreadable,
    EndpointPublished,
    EndpointUnreadable,
    Snapshot,
    StorePosition,
    Topology,
)
from cloverway.core.documents import (
    MAX_DOCUMENTS,
    MAX_UNREADABLE,
    DocumentTable,
    limit_unreadable,
)
from cloverway.core.endpoints import Directory
from cloverway.platform import entries
from cloverway.platform.documents import decode_documents
from cloverway.platform.entries import decode_start_time
from cloverway.platform.store import _decode_items

CASES = int(os.environ.get("ENTRY_CASES", "300"))
TOPOLOGY = Topology("d1", "north", {"d1": "north", "d2": "south"})
ENTRY = {
    "service": "desk",
    "address": "10.0.0.1:80",
    "zone": "d1",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 1,
}


def encode(**fields):
    return json.dumps(ENTRY | fields).encode()


def without(name):
    return json.dumps({key: value for key, value in ENTRY.items() if key != name}).encode()


def decode(value, name="e1"):
    (publication,) = decode_documents([Document(f"servers/{name}", 5, value)])
    return publication


def is_unreadable(value, name="e1"):
    return isinstance(decode(value, name), EndpointUnreadable)


DEEP = b'{"a":' * 100_000 + b"1" + b"}" * 100_000


@pytest.mark.parametrize(
    "value",
    [
        pytest.param(DEEP, id="nests deeply"),
        pytest.param(b"[" * 200_000, id="open lists"),
        pytest.param(encode().replace(b'"slots": 4', b'"slots": 1e999'), id="a number too large"),
        pytest.param(encode().replace(b'"slots": 4', b'"slots": ' + b"9" * 6_000), id="digits"),
        pytest.param(b"", id="empty"),
        pytest.param(b"\xff\xfe", id="no text"),
        pytest.param(b"null", id="null"),
        pytest.param(b"[]", id="a list"),
        pytest.param(encode()[:-20], id="cut off"),
        pytest.param(encode() + b" " * entries.MAX_ENTRY_BYTES, id="too long"),
    ],
)
def test_malformed_bytes_are_an_unreadable_entry(value):
    """No value in the store raises an exception in the task that reads it.

    Otherwise the task would restart and fail at the same entry, and the host would receive no
    further updates.
    """
    assert is_unreadable(value)


@pytest.mark.parametrize("name", list(ENTRY))
@pytest.mark.parametrize("value", [None, [], {}, True, "", "x", 1.5, -1])
def test_entry_with_a_missing_or_mistyped_field_is_unreadable(name, value):
    """Each field is checked before the entry is used.

    Otherwise a dict as the service would raise an exception when endpoints are grouped by service,
    and requests would be sent to invalid addresses, or to endpoints with an unknown state.
    """
    assert is_unreadable(without(name))
    allowed = {"service": ("x",), "zone": ("x",), "version": ("", "x"), "coldRemainingMs": (1.5,)}
    assert is_unreadable(encode(**{name: value})) != (value in allowed.get(name, ()))


@pytest.mark.parametrize(
    "address",
    [
        *("10.0.0.1", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:99999", "10.0.0.1:-1", ":80"),
        *("10.0.0.256:80", "0.0.0.0:80", "239.1.1.1:80", "255.255.255.255:80", "10.0.0.1:80\n"),
        *("example.org:80", "[::1]:80", "10.0.0.1:80:80", " 10.0.0.1:80", "10.0.0.01:80"),
    ],
)
def test_entry_with_an_invalid_address_is_unreadable(address):
    """A port over 65,535 would raise an exception for each connection to the endpoint."""
    assert is_unreadable(encode(address=address))


@pytest.mark.parametrize(
    "fields",
    [
        *({"state": "leaving"}, {"state": "READY"}, {"slots": 0}, {"slots": 10**9}),
        *({"coldRemainingMs": 1e300}, {"remainingMs": -5}, {"remainingMs": "soon"}),
        *({"born": 1.5}, {"born": "1"}, {"born": -1}, {"born": True}, {"born": 10**30}),
    ],
)
def test_entry_with_a_value_out_of_range_is_unreadable(fields):
    assert is_unreadable(encode(**fields))


@pytest.mark.parametrize("name", ["", "a b", "a\r\nX-Evil: 1", "é", "☃", "a" * 200])
def test_entry_with_an_id_that_cannot_be_sent_in_a_header_is_unreadable(name):
    """The id is sent in a header: it would raise an exception there, or end the header early."""
    assert is_unreadable(encode(), name)


def test_unknown_fields_are_ignored():
    entry = decode(encode(born=1_700_000_000_000, models=[{"name": "m"}], stage=None)).entry
    assert (entry.address, entry.started_ms) == ("10.0.0.1:80", 1_700_000_000_000)
    assert decode(encode(remainingMs=None)).entry.removal_in_s is None


# Valid entries next to malformed ones

garbage_json = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.sampled_from([*ENTRY, "born"]), inner)
    ),
    max_leaves=6,
)
garbage_values = st.one_of(
    st.binary(max_size=40),
    garbage_json.map(lambda value: json.dumps(value).encode()),
    st.builds(
        lambda name, value: json.dumps(ENTRY | {name: value}).encode(),
        st.sampled_from([*ENTRY, "born", "remainingMs"]),
        garbage_json,
    ),
    st.integers(0, len(encode()) - 1).map(lambda size: encode()[:size]),
)
keys = st.sampled_from(["servers/e1", "servers/x", "servers/", "op/config", "op/evacuate/?", "a"])


@settings(max_examples=CASES, deadline=None)
@given(st.lists(st.tuples(keys, garbage_values), min_size=1, max_size=4), st.booleans())
def test_valid_entries_are_used_next_to_any_garbage(garbage, is_complete):
    """A valid entry is in force whatever else is written, and nothing raises."""
    table = DocumentTable(decode_documents)
    directory = Directory(TOPOLOGY)
    documents = [Document(key, 10 + n, value) for n, (key, value) in enumerate(garbage)]
    documents.insert(len(garbage) // 2, Document("servers/good", 9, encode()))
    directory.apply(table.apply(Snapshot(20, tuple(documents), is_complete)), 0.0)
    usable = {endpoint.entry.id for endpoint in directory.list_usable("desk", 0.0)}
    assert "good" in usable
    for name in usable - {"good"}:
        # Any other endpoint in use has a valid entry too.
        entry = directory.endpoints[name].entry
        assert entry.address.count(":") == 1
        assert entry.slots >= 1
    assert all(not domain.startswith("?") for domain in directory.evacuated)


def read(table, directory, revision, key, value, *, now):
    document = Document(key, revision, value)
    changes = directory.apply(table.apply(Snapshot(revision, (document,), False)), now)
    return [change.what for change in changes]


def make_directory():
    table, directory = DocumentTable(decode_documents), Directory(TOPOLOGY)
    assert read(table, directory, 1, "servers/e1", encode(), now=0.0) == ["endpoint_new"]
    return table, directory


def test_an_entry_that_becomes_malformed_is_reported_once_until_the_next_valid_one():
    """Another writer overwrites the entry ten times a second, and the endpoint writes it again.

    If this were treated as a removal, the endpoint would be used for two more seconds and then
    forgotten.
    """
    table, directory = make_directory()
    endpoint = directory.endpoints["e1"]
    assert read(table, directory, 2, "servers/e1", b"{", now=1.0) == ["endpoint_unreadable"]
    assert directory.list_usable("desk", 1.0) == []
    for revision in range(3, 13):
        assert read(table, directory, revision, "servers/e1", b"%d" % revision, now=1.0) == []
    assert directory.forget_missing(9.0) == []
    assert read(table, directory, 20, "servers/e1", encode(), now=9.0) == ["endpoint_back"]
    assert directory.list_usable("desk", 9.0) == [endpoint]


def test_a_malformed_entry_that_is_removed_is_gone():
    table, directory = make_directory()
    read(table, directory, 2, "servers/e1", b"{", now=1.0)
    assert read(table, directory, 3, "servers/e1", None, now=2.0) == ["endpoint_missing"]
    assert [change.what for change in directory.forget_missing(5.0)] == ["endpoint_gone"]


def test_a_follower_learns_which_entries_became_malformed():
    """A follower gets documents from a host that reads the store.

    Without this, it would keep using an endpoint whose entry became malformed.
    """
    reader, directory = make_directory()
    follower = DocumentTable(decode_documents)
    follower.apply(reader.export_since(None))
    assert follower.digest == reader.digest
    read(reader, directory, 2, "servers/e1", b"{", now=1.0)
    assert not follower.adopt_position(reader.position, reader.digest)
    (publication,) = follower.apply(reader.export_since(StorePosition(0, 1)))
    assert isinstance(publication, EndpointUnreadable)
    assert follower.adopt_position(reader.position, reader.digest)


def test_a_malformed_configuration_never_replaces_a_valid_one():
    """A host that starts later gets the valid configuration from this host."""
    table = DocumentTable(decode_documents)
    valid = json.dumps({"version": 3, "routes": [], "services": []}).encode()
    table.apply(Snapshot(1, (Document("op/config", 1, valid),), True))
    publications = [
        item
        for revision, value in ((2, b"{"), (3, b'{"version": "4"}'), (4, DEEP))
        for item in table.apply(Snapshot(revision, (Document("op/config", revision, value),), True))
    ]
    assert [type(item) for item in publications] == [DocumentUnreadable]
    joining = DocumentTable(decode_documents)
    assert joining.apply(table.export_since(None))[0].configuration.version == 3


def test_an_evacuation_of_an_unknown_domain_does_nothing():
    directory = Directory(TOPOLOGY)
    changes = directory.apply(decode_documents([Document("op/evacuate/x", 1, b"{}")]), 0.0)
    assert [change.what for change in changes] == ["evacuation_unknown"]
    assert directory.evacuated == set()


def test_an_item_whose_value_is_not_base64_leaves_the_others_in_force():
    """One item without valid base64 must not make the complete response fail."""
    valid = {"key": "servers/a", "revision": 2, "value": base64.b64encode(encode()).decode()}
    malformed = [
        {"key": "servers/b", "revision": 3, "value": "***"},
        {"key": "servers/c", "revision": 4, "value": 7},
        {"key": "servers/d", "revision": 5},
        *({"key": 1, "revision": 5, "value": ""}, {"key": "servers/e"}, None, []),
    ]
    published = decode_documents(_decode_items([*malformed, valid], 0))
    used = [item.id for item in published if isinstance(item, EndpointPublished)]
    assert used == ["a"]


def test_documents_of_other_writers_use_bounded_memory():
    """A writer adds more keys than fit into memory; known endpoints stay in use."""
    table, directory = make_directory()
    garbage = tuple(Document(f"servers/j{n}", 2, b"x" * 9_000) for n in range(2 * MAX_UNREADABLE))
    directory.apply(table.apply(Snapshot(2, garbage, False)), 1.0)
    assert len(table._unreadable) <= MAX_UNREADABLE
    other = tuple(Document(f"else/{n}", 3, b"x") for n in range(1_000))
    assert table.apply(Snapshot(3, other, False)) == []
    many = (Document(f"servers/m{n}", 4, encode()) for n in range(MAX_DOCUMENTS + 10))
    directory.apply(table.apply(Snapshot(4, tuple(many), False)), 1.0)
    assert len(table._known) == MAX_DOCUMENTS
    assert "e1" in {endpoint.entry.id for endpoint in directory.list_usable("desk", 1.0)}


def test_a_read_of_a_full_store_keeps_the_valid_entries(monkeypatch):
    """Memory stays bounded: a million keys of another writer would get the host killed."""
    monkeypatch.setattr(core_documents, "UNREADABLE_CUTOFF", 500)
    kept = []
    for number in range(100):
        garbage = (Document(f"servers/j{number}-{n}", 2, b"x" * 1_000) for n in range(99))
        valid = Document(f"servers/z{number}", 2, encode())
        kept += limit_unreadable((*garbage, valid), len(kept), decode_documents)
    assert sum(document.value == encode() for document in kept) == 100
    assert len(kept) <= 500 + 100
    assert sum(len(document.value) for document in kept) < 100 * len(encode()) + 1


@pytest.mark.parametrize(
    ("body", "started_ms"),
    [
        (b'{"stage": "combined", "running": 2, "born": 1700000000000}', 1_700_000_000_000),
        (b'{"stage": "combined"}', None),
        (b'{"born": null}', None),
        (b'{"born": 1.5}', None),
        (b'{"born": -1}', None),
        (b'{"born": "1700000000000"}', None),
        (b'{"born": 17', None),
        (b"[]", None),
        (b"", None),
        (b"[" * 100_000, None),
        (b"\xff\xfe", None),
    ],
)
def test_start_time_in_a_state_report_is_an_integer_or_none(body, started_ms):
    """Any program may listen at an endpoint's address and answer the state query with any bytes."""
    assert decode_start_time(body) == started_ms
