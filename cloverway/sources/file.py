"""The platform as a directory of TOML files: the embedded default."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import NamedTuple

from cloverway.config.directory import Collected, collect, list_documents, list_files, read_files
from cloverway.config.documents import Entry
from cloverway.config.findings import Findings
from cloverway.config.published import is_revision
from cloverway.config.settings import PlatformSettings
from cloverway.errors import PlatformError
from cloverway.sources.port import Changes, Document, HostList

UNSETTLED_S = 2.0
"""For so long after a change, contents are compared as well: two writes within one tick of the
file system's clock can leave the same time and size."""

STAY_PART = 0.9
"""Part of the time between two looks for which a content has to stay before it counts."""

MOST_NAMED = 10
"""Names that a refusal lists."""


class Mark(NamedTuple):
    """What tells that a file was changed without reading it."""

    modified_ns: int
    changed_ns: int
    inode: int
    size: int

    @classmethod
    def from_file(cls, file: Path) -> Mark:
        """Read the mark of the file that a name leads to now, through links."""
        stat = file.stat()
        return cls(stat.st_mtime_ns, stat.st_ctime_ns, stat.st_ino, stat.st_size)


class FilePlatform:
    """Watches a directory; the operator raises `revision` with each change.

    A new content counts when it has stayed from one look to the next: a file that is being
    written, or a directory of which only some files were replaced, is then seen as such. A content
    that can't be read, or whose revision was not raised, is refused; the last good one stays.
    """

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
        self._marks: dict[Path, Mark] | None = None
        self._contents: dict[Path, bytes] | None = None
        self._judged: dict[Path, bytes] | None = None
        self._changed_at = float("-inf")
        self._found_at = float("-inf")
        self._entries: dict[str, Entry] = {}
        self._revision = 0
        self._fault = "the directory has not been read yet"

    @classmethod
    def from_settings(cls, settings: PlatformSettings) -> FilePlatform:
        """Watch the directory that the settings name."""
        return cls(Path(settings.directory), settings.poll_s)

    def read(self, after: int, wait_s: float) -> Changes:
        """Give the documents after a revision; see `Platform`."""
        until = self._clock() + wait_s
        while True:
            self._look(self._clock())
            if self._revision and (self._revision > after or after == 0):
                return self._give_whole()
            left = until - self._clock()
            if left <= 0:
                break
            self._sleep(min(self._poll_s, left))
        if self._fault:
            raise PlatformError(self._fault)
        return Changes(self._revision, after)

    def list_states(self) -> HostList:
        """Give an empty list: a directory does not know who is live."""
        return HostList()

    def _give_whole(self) -> Changes:
        documents = tuple(entry.as_document(key) for key, entry in self._entries.items())
        return Changes(self._revision, 0, documents)

    def _look(self, now: float) -> None:
        """Read the directory if it may have changed, and judge what stands there for long."""
        try:
            marks = {file: Mark.from_file(file) for file in list_files(self._directory)}
        except OSError:
            return
        if marks != self._marks:
            self._changed_at = now
            self._marks = marks
        elif now - self._changed_at > UNSETTLED_S and self._contents == self._judged:
            return
        findings = Findings()
        contents = read_files(self._directory, findings)
        if contents != self._contents:
            self._contents = contents
            self._found_at = now
        settled = now - self._found_at >= STAY_PART * self._poll_s
        if settled and contents != self._judged:
            self._judged = contents
            self._judge(contents, findings)

    def _judge(self, contents: Mapping[Path, bytes], findings: Findings) -> None:
        collected = collect(contents, findings)
        findings.source = str(self._directory)
        findings.origins = collected.origins
        revision = collected.tables.get("revision")
        if not is_revision(revision):
            findings.add("revision", "must be a whole number over 0, in one file")
        if not findings.errors:
            assert isinstance(revision, int)
            self._take(collected, revision, findings)
        self._fault = "\n".join(findings.errors)

    def _take(self, collected: Collected, revision: int, findings: Findings) -> None:
        """Hold a content as the last good one, unless its revision does not allow it."""
        held = self._entries
        entries = {
            key: Entry.from_document(Document(key, revision, value))
            for key, value in list_documents(collected.tables)
        }
        for key, entry in entries.items():
            if entry.fault:
                findings.add(key.replace("/", ".", 1), entry.fault)
        changed = {key for key in entries.keys() | held.keys() if _differ(key, entries, held)}
        if revision < self._revision:
            what = f"went back from {self._revision} to {revision}; raise it over {self._revision}"
            findings.add("revision", what)
        elif revision == self._revision and changed:
            names = ", ".join(sorted(changed)[:MOST_NAMED])
            findings.add("revision", f"is still {revision} but {names} changed; raise it")
        if findings.errors or revision == self._revision:
            return
        # Who skips a revision can't tell what it changed and changed back, while other hosts may
        # have seen it. All documents then count as new: none is older here than it is there.
        if revision == self._revision + 1:
            entries |= {key: held[key] for key in entries if key not in changed}
        self._entries = entries
        self._revision = revision


def _differ(key: str, entries: Mapping[str, Entry], held: Mapping[str, Entry]) -> bool:
    if key not in entries or key not in held:
        return True
    return entries[key].text != held[key].text
