from __future__ import annotations

import pytest

from cloverway.errors import PeerError
from cloverway.peers import peering, wire
from cloverway.peers.handlers import decode_changes, encode_changes
from cloverway.sources.port import Changes, Document


@pytest.mark.parametrize("after", [0, 3])
def test_changes_survive_the_way_between_hosts(after: int) -> None:
    """A peer that was far behind asks for a few changes and is given the whole.

    Were the start of the changes lost on the way, it would merge a whole as if it were a delta,
    and keep documents that operators have deleted.
    """
    documents = (Document("teams/t", 4, {"home": "north"}), Document("hosts/h", 5, None))
    changes = Changes(5, after, documents)
    assert decode_changes(encode_changes(changes)) == changes


@pytest.mark.parametrize("value", ["", "{", "[]", "1", "[" * 100_000])
def test_a_peer_s_malformed_document_is_refused(value: str) -> None:
    changes = peering.EncodedChanges(5, (wire.Change("teams/t", 4, value),))
    with pytest.raises(PeerError):
        decode_changes(changes)
