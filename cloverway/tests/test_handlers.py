from __future__ import annotations

import pytest

from cloverway.errors import PeerError
from cloverway.peers import peering, wire
from cloverway.peers.handlers import decode_changes, encode_changes
from cloverway.sources.port import Changes, Document


@pytest.mark.parametrize("after", [0, 3])
def test_changes_round_trip_between_hosts(after: int) -> None:
    """Failure: a host keeps documents that operators have deleted.

    A peer that is far behind requests changes and gets all documents instead. If `after` were lost
    in the encoding, it would merge the full set as a delta.
    """
    documents = (Document("teams/t", 4, {"home": "north"}), Document("hosts/h", 5, None))
    changes = Changes(5, after, documents)
    assert decode_changes(encode_changes(changes)) == changes


@pytest.mark.parametrize("value", ["", "{", "[]", "1", "[" * 100_000])
def test_a_malformed_document_of_a_peer_is_rejected(value: str) -> None:
    changes = peering.EncodedChanges(5, (wire.Change("teams/t", 4, value),))
    with pytest.raises(PeerError):
        decode_changes(changes)
