"""What other writers may leave in the platform's store: any bytes; no network.

`ENTRY_CASES=100000 python -m pytest -o addopts= cloverway/tests/test_platform_entries.py` runs as
many cases of the property test.
"""

from __future__ import annotations

import base64
import json
import os

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverway.core.deployment import (
    Document,
    DocumentUnreadable,
    EndpointPublished,
    EndpointUnreadable,
    Snapshot,
    Topology,
)
from cloverway.core.documents import MAX_DOCUMENTS, MAX_UNREADABLE, DocumentTable
from cloverway.core.endpoints import Directory
from cloverway.platform import entries, store
from cloverway.platform.documents import decode_documents
from cloverway.platform.entries import decode_start_time
from cloverway.platform.store import _decode_items, _limit_unreadable

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


def is_refused(value, name="e1"):
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
def test_bytes_that_are_no_entry_name_no_endpoint(value):
    """Another writer leaves such a value; the task that reads the store ended with its error.

    It started again, met the same entry, and no host ever learnt of anything after it.
    """
    assert is_refused(value)


@pytest.mark.parametrize("name", list(ENTRY))
@pytest.mark.parametrize("value", [None, [], {}, True, "", "x", 1.5, -1])
def test_a_field_of_another_type_or_none_names_no_endpoint(name, value):
    """A service that was a dict ended the grouping by service; other fields were used as they came.

    Requests went to addresses that are none, or to endpoints whose state says nothing.
    """
    assert is_refused(without(name))
    allowed = {"service": ("x",), "zone": ("x",), "version": ("", "x"), "coldRemainingMs": (1.5,)}
    assert is_refused(encode(**{name: value})) != (value in allowed.get(name, ()))


@pytest.mark.parametrize(
    "address",
    [
        *("10.0.0.1", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:99999", "10.0.0.1:-1", ":80"),
        *("10.0.0.256:80", "0.0.0.0:80", "239.1.1.1:80", "255.255.255.255:80", "10.0.0.1:80\n"),
        *("example.org:80", "[::1]:80", "10.0.0.1:80:80", " 10.0.0.1:80", "10.0.0.01:80"),
    ],
)
def test_an_address_that_is_none_names_no_endpoint(address):
    """A port over 65,535 raised where the connection was opened, with each request led there."""
    assert is_refused(encode(address=address))


@pytest.mark.parametrize(
    "fields",
    [
        *({"state": "leaving"}, {"state": "READY"}, {"slots": 0}, {"slots": 10**9}),
        *({"coldRemainingMs": 1e300}, {"remainingMs": -5}, {"remainingMs": "soon"}),
        *({"born": 1.5}, {"born": "1"}, {"born": -1}, {"born": True}, {"born": 10**30}),
    ],
)
def test_values_out_of_range_name_no_endpoint(fields):
    assert is_refused(encode(**fields))


@pytest.mark.parametrize("name", ["", "a b", "a\r\nX-Evil: 1", "é", "☃", "a" * 200])
def test_an_id_that_cannot_be_sent_in_a_header_names_no_endpoint(name):
    """The id goes into a header of each request: it would raise there, or end the header early."""
    assert is_refused(encode(), name)


def test_fields_that_are_not_known_change_nothing():
    entry = decode(encode(born=1_700_000_000_000, models=[{"name": "m"}], stage=None)).entry
    assert (entry.address, entry.started_ms) == ("10.0.0.1:80", 1_700_000_000_000)
    assert decode(encode(remainingMs=None)).entry.removal_in_s is None


# Beside good entries

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
def test_good_entries_hold_beside_any_junk(garbage, is_complete):
    """Whatever is written beside it, a good entry is in force, and nothing raises."""
    table = DocumentTable(decode_documents)
    directory = Directory(TOPOLOGY)
    documents = [Document(key, 10 + n, value) for n, (key, value) in enumerate(garbage)]
    documents.insert(len(garbage) // 2, Document("servers/good", 9, encode()))
    directory.apply(table.apply(Snapshot(20, tuple(documents), is_complete)), 0.0)
    usable = {endpoint.entry.id for endpoint in directory.list_usable("desk", 0.0)}
    assert "good" in usable
    for name in usable - {"good"}:
        # What is used beside it has an entry whose every field is one of an endpoint.
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


def test_an_entry_that_turns_bad_is_told_once_and_is_back_with_the_next_good_one():
    """Another writer overwrites the entry ten times a second, and the endpoint writes it again.

    Taken for a removal, the endpoint was used for two more seconds, and then forgotten.
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


def test_an_entry_that_was_bad_and_is_then_removed_is_gone():
    table, directory = make_directory()
    read(table, directory, 2, "servers/e1", b"{", now=1.0)
    assert read(table, directory, 3, "servers/e1", None, now=2.0) == ["endpoint_missing"]
    assert [change.what for change in directory.forget_missing(5.0)] == ["endpoint_gone"]


def test_a_host_that_follows_another_learns_which_entries_have_turned_bad():
    """It gets documents from a host that reads the store, and would go on using the endpoint."""
    reader, directory = make_directory()
    follower = DocumentTable(decode_documents)
    follower.apply(reader.export_since(-1))
    assert follower.digest == reader.digest
    read(reader, directory, 2, "servers/e1", b"{", now=1.0)
    assert not follower.adopt_revision(reader.revision, reader.digest)
    (told,) = follower.apply(reader.export_since(1))
    assert isinstance(told, EndpointUnreadable)
    assert follower.adopt_revision(reader.revision, reader.digest)


def test_a_configuration_that_cannot_be_read_never_takes_the_place_of_a_good_one():
    """A host that starts later asks this one, and must get the good one from it."""
    table = DocumentTable(decode_documents)
    good = json.dumps({"version": 3, "routes": [], "services": []}).encode()
    table.apply(Snapshot(1, (Document("op/config", 1, good),), True))
    told = [
        item
        for revision, value in ((2, b"{"), (3, b'{"version": "4"}'), (4, DEEP))
        for item in table.apply(Snapshot(revision, (Document("op/config", revision, value),), True))
    ]
    assert [type(item) for item in told] == [DocumentUnreadable]
    late = DocumentTable(decode_documents)
    assert late.apply(table.export_since(-1))[0].configuration.version == 3


def test_an_evacuation_of_a_domain_that_is_not_known_does_nothing():
    directory = Directory(TOPOLOGY)
    changes = directory.apply(decode_documents([Document("op/evacuate/x", 1, b"{}")]), 0.0)
    assert [change.what for change in changes] == ["evacuation_unknown"]
    assert directory.evacuated == set()


def test_an_item_whose_value_is_not_base64_leaves_the_others_in_force():
    """One such item failed the whole answer of the store, at each read again."""
    good = {"key": "servers/a", "revision": 2, "value": base64.b64encode(encode()).decode()}
    bad = [
        {"key": "servers/b", "revision": 3, "value": "***"},
        {"key": "servers/c", "revision": 4, "value": 7},
        {"key": "servers/d", "revision": 5},
        *({"key": 1, "revision": 5, "value": ""}, {"key": "servers/e"}, None, []),
    ]
    published = decode_documents(_decode_items([*bad, good]))
    used = [item.id for item in published if isinstance(item, EndpointPublished)]
    assert used == ["a"]


def test_what_others_write_takes_a_bounded_part_of_a_hosts_memory():
    """A writer leaves more keys than a host could hold; endpoints that it knows stay in use."""
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


def test_a_read_of_a_store_that_was_filled_keeps_the_good_entries(monkeypatch):
    """A writer leaves a million keys; all of them in memory, the host was killed by its machine."""
    monkeypatch.setattr(store, "UNREADABLE_CUTOFF", 500)
    kept = []
    for number in range(100):
        garbage = (Document(f"servers/j{number}-{n}", 2, b"x" * 1_000) for n in range(99))
        good = Document(f"servers/z{number}", 2, encode())
        kept += _limit_unreadable((*garbage, good), len(kept))
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
def test_what_an_endpoint_says_of_its_start_is_a_whole_number_or_nothing(body, started_ms):
    """Whoever listens at an address may answer anything to the question how it is."""
    assert decode_start_time(body) == started_ms
