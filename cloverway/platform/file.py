"""The platform as a directory of TOML files: the embedded default."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from cloverway.config.directory import TABLES, collect
from cloverway.config.options import Findings
from cloverway.errors import PlatformError
from cloverway.platform.port import Changes, Document, HostList


class FilePlatform:
    """Reads a directory; the operator raises `revision` with each change."""

    def __init__(
        self,
        directory: Path,
        poll_s: float = 0.5,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._directory = directory
        self._poll_s = poll_s
        self._clock = clock
        self._sleep = sleep

    def read(self, after: int, wait_s: float) -> Changes:
        """Give all documents as soon as the directory's revision is later; see `Platform`."""
        until = self._clock() + wait_s
        while True:
            revision, documents = self._load()
            if revision > after or after == 0 or revision < after:
                return Changes(revision, 0, documents)
            if self._clock() >= until:
                return Changes(revision, after)
            self._sleep(min(self._poll_s, max(0.0, until - self._clock())))

    def list_states(self) -> HostList:
        """Give an empty list: a directory does not know who is live."""
        return HostList()

    def _load(self) -> tuple[int, tuple[Document, ...]]:
        findings = Findings()
        collected = collect(self._directory, findings)
        revision = collected.documents.get("revision")
        if not isinstance(revision, int) or revision < 1:
            findings.add("revision", "set it in one file, and raise it with each change")
        if findings.errors:
            raise PlatformError("\n".join(findings.errors))
        assert isinstance(revision, int)
        return revision, tuple(_list_documents(collected.documents, revision))


def _list_documents(tables: dict[str, Any], revision: int) -> list[Document]:
    return [
        document
        for table, value in tables.items()
        if table != "revision"
        for document in (
            [Document(f"{table}/{name}", revision, entry) for name, entry in value.items()]
            if table in TABLES and isinstance(value, dict)
            else [Document(table, revision, value)]
        )
    ]
