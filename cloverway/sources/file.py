"""A platform adapter that watches a directory of TOML files; the default."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import NamedTuple

from cloverway.config.directory import (
    MergedFiles,
    list_documents,
    list_files,
    merge_files,
    read_files,
)
from cloverway.config.documents import DocumentEntry
from cloverway.config.findings import Findings
from cloverway.config.published import is_revision
from cloverway.config.settings import PlatformSettings
from cloverway.errors import PlatformError
from cloverway.sources.port import Changes, Document, MemberStates

CONTENT_CHECK_S = 2.0
"""Seconds after a change in which contents are compared as well as stamps: two writes within one
tick of the file system's clock can leave the same time and size."""

MIN_STABLE_FRACTION = 0.9
"""Fraction of the poll interval for which contents must stay unchanged to be accepted."""

MAX_LISTED_KEYS = 10
"""Maximum number of changed documents listed in a rejection."""


class FileStamp(NamedTuple):
    """File metadata, which shows whether a file has changed without reading it."""

    modified_ns: int
    changed_ns: int
    inode: int
    size: int

    @classmethod
    def from_file(cls, file: Path) -> FileStamp:
        """Return the stamp of a file, following symbolic links."""
        stat = file.stat()
        return cls(stat.st_mtime_ns, stat.st_ctime_ns, stat.st_ino, stat.st_size)


class FilePlatform:
    """Watches a directory of TOML files; operators increase `revision` with each change.

    New contents are accepted when two successive polls find them unchanged, so that a partly
    written file or a partly replaced directory is not accepted. Contents that are invalid, or whose
    revision was not increased, are rejected, and the last valid ones stay in use.
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
        self._stamps: dict[Path, FileStamp] | None = None
        self._contents: dict[Path, bytes] | None = None
        self._checked_contents: dict[Path, bytes] | None = None
        self._stamps_changed_at = float("-inf")
        self._contents_changed_at = float("-inf")
        self._entries: dict[str, DocumentEntry] = {}
        self._revision = 0
        self._error = "the directory has not been read yet"

    @classmethod
    def from_settings(cls, settings: PlatformSettings) -> FilePlatform:
        """Watch the directory given in the settings."""
        return cls(Path(settings.directory), settings.poll_s)

    def read(self, after: int, wait_s: float) -> Changes:
        """Return a snapshot once the revision is later than `after`; see `Platform`."""
        deadline = self._clock() + wait_s
        while True:
            self._poll(self._clock())
            if self._revision and (self._revision > after or after == 0):
                return self._make_snapshot()
            remaining_s = deadline - self._clock()
            if remaining_s <= 0:
                break
            self._sleep(min(self._poll_s, remaining_s))
        if self._error:
            raise PlatformError(self._error)
        return Changes(self._revision, after)

    def get_member_states(self) -> MemberStates:
        """Return no states, because a directory has no information on them."""
        return MemberStates()

    def _make_snapshot(self) -> Changes:
        documents = tuple(entry.as_document(key) for key, entry in self._entries.items())
        return Changes(self._revision, 0, documents)

    def _poll(self, now: float) -> None:
        """Read the directory if it may have changed; check contents once they are stable."""
        try:
            stamps = {file: FileStamp.from_file(file) for file in list_files(self._directory)}
        except OSError:
            return
        if stamps != self._stamps:
            self._stamps_changed_at = now
            self._stamps = stamps
        elif (
            now - self._stamps_changed_at > CONTENT_CHECK_S
            and self._contents == self._checked_contents
        ):
            return
        findings = Findings()
        contents = read_files(self._directory, findings)
        if contents != self._contents:
            self._contents = contents
            self._contents_changed_at = now
        is_stable = now - self._contents_changed_at >= MIN_STABLE_FRACTION * self._poll_s
        if is_stable and contents != self._checked_contents:
            self._checked_contents = contents
            self._check_contents(contents, findings)

    def _check_contents(self, contents: Mapping[Path, bytes], findings: Findings) -> None:
        merged = merge_files(contents, findings)
        findings.source = str(self._directory)
        findings.origins = merged.origins
        revision = merged.tables.get("revision")
        if not is_revision(revision):
            findings.add("revision", "must be a whole number over 0, in one file")
        if not findings.errors:
            assert isinstance(revision, int)
            self._accept_contents(merged, revision, findings)
        self._error = "\n".join(findings.errors)

    def _accept_contents(self, merged: MergedFiles, revision: int, findings: Findings) -> None:
        """Accept contents unless one of the documents or the revision is invalid."""
        accepted = self._entries
        entries = {
            key: DocumentEntry.from_document(Document(key, revision, value))
            for key, value in list_documents(merged.tables)
        }
        for key, entry in entries.items():
            if entry.error:
                findings.add(key.replace("/", ".", 1), entry.error)
        changed = {
            key for key in entries.keys() | accepted.keys() if _has_changed(key, entries, accepted)
        }
        if revision < self._revision:
            message = (
                f"went back from {self._revision} to {revision}; raise it over {self._revision}"
            )
            findings.add("revision", message)
        elif revision == self._revision and changed:
            names = ", ".join(sorted(changed)[:MAX_LISTED_KEYS])
            findings.add("revision", f"is still {revision} but {names} changed; raise it")
        if findings.errors or revision == self._revision:
            return
        # If a revision was skipped, it may have changed a document that this one changed back, and
        # other hosts may have read both. All documents then count as changed, so that none has an
        # older revision here than on the other hosts.
        if revision == self._revision + 1:
            entries |= {key: accepted[key] for key in entries if key not in changed}
        self._entries = entries
        self._revision = revision


def _has_changed(
    key: str, entries: Mapping[str, DocumentEntry], accepted: Mapping[str, DocumentEntry]
) -> bool:
    if key not in entries or key not in accepted:
        return True
    return entries[key].text != accepted[key].text
