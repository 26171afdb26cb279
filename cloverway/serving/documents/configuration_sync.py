"""Takes a configuration from other hosts that the store has lost.

A store that comes back from an older copy of itself lacks the newest configuration until operators
write it again. Hosts that had read it keep it in force. A host that starts meanwhile reads the one
in the copy, and would tell callers of newer routes that there is no such route.
"""

from __future__ import annotations

import random

from cloverway.core.documents import DocumentTable
from cloverway.core.members import Members, Peer
from cloverway.errors import PeerError
from cloverway.serving.clock import read_clock, wait_for_tick
from cloverway.serving.documents.catalogue import Catalogue
from cloverway.serving.documents.sync import (
    FETCH_TIMEOUT_S,
    decode_document,
    encode_document,
    fetch_documents,
)
from cloverway.serving.hosts.messages import CODEC, StoredSnapshot
from cloverway.serving.http.client import ConnectError, ConnectionPool, ResponseError
from cloverway.serving.telemetry import log_event

CONFIGURATION_PATH = "/configuration"
POLL_PERIOD_S = 0.2
MIN_LAG_S = 0.8
"""Time for which other hosts must have had a newer configuration. A new one normally arrives within
this time with the other documents."""

JUST_STARTED_S = 2.0
"""Age up to which a host doesn't wait: it has read all documents just now."""


class ConfigurationSync:
    """Watches which configuration the other hosts serve by, and fetches a newer one."""

    def __init__(self, members: Members, catalogue: Catalogue, pool: ConnectionPool) -> None:
        self._members = members
        self._catalogue = catalogue
        self._pool = pool
        self._behind_since: float | None = None

    async def run(self) -> None:
        """Fetch a newer configuration whenever this host stays behind the others, forever."""
        while True:
            await wait_for_tick(POLL_PERIOD_S)
            now = read_clock()
            peer = self._choose_source(now)
            if peer is None:
                self._behind_since = None
                continue
            if self._behind_since is None:
                self._behind_since = now
            if now - self._behind_since >= MIN_LAG_S or self._members.get_age(now) < JUST_STARTED_S:
                await self._fetch_from(peer)

    def _choose_source(self, now: float) -> Peer | None:
        """Choose a host that serves by a newer configuration, or None if there is none.

        A host without any configuration waits for its first read of all documents.
        """
        configuration = self._catalogue.directory.configuration
        if configuration is None:
            return None
        newer = [
            peer
            for peer in self._members.list_alive(now)
            if peer.configuration_version > configuration.version and now >= peer.backoff_until
        ]
        return random.choice(newer) if newer else None

    async def _fetch_from(self, peer: Peer) -> None:
        try:
            snapshot = await fetch_documents(self._pool, peer, CONFIGURATION_PATH)
        except (ConnectError, ResponseError, PeerError) as error:
            peer.backoff_until = read_clock() + FETCH_TIMEOUT_S
            log_event("configuration_not_fetched", peer=peer.member.name, why=str(error))
            return
        for item in snapshot.documents:
            self._catalogue.apply_configuration(
                decode_document(item), peer.member.name, read_clock()
            )


def export_configuration(table: DocumentTable, target: str) -> bytes | None:
    """Return the newest configuration for another host; None if the path is another one."""
    if target != CONFIGURATION_PATH:
        return None
    documents = () if table.configuration is None else (encode_document(table.configuration),)
    position = table.position
    return CODEC.encode(
        StoredSnapshot(position.revision, documents, False, table.digest, position.epoch)
    )
