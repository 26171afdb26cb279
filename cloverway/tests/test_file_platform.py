"""The file platform: partly written files, replaced directories, revisions that don't increase."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path

import pytest

from cloverway.config.configuration import Accepted, ConfigurationStore, Source
from cloverway.errors import PlatformError
from cloverway.sources.file import FilePlatform

BASE = 'revision = {}\n[organisation]\nname = "riviere"\n[regions.curepipe]\n'


class Clock:
    """A clock that advances only when the platform sleeps; runs an action after each sleep."""

    def __init__(self) -> None:
        self.now = 100.0
        self.actions: list[Callable[[], object]] = []

    def read(self) -> float:
        return self.now

    def sleep(self, seconds: float) -> None:
        self.now += seconds
        if self.actions:
            self.actions.pop(0)()


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
def platform(tmp_path: Path, clock: Clock) -> FilePlatform:
    (tmp_path / "base.toml").write_text(BASE.format(5))
    return FilePlatform(tmp_path, 0.5, clock.read, clock.sleep)


def test_reads_all_files_as_documents(tmp_path: Path, platform: FilePlatform) -> None:
    (tmp_path / "teams.toml").write_text('[teams.a]\nhome = "curepipe"\n')
    changes = platform.read(0, 2.0)
    assert changes.complete and changes.revision == 5
    assert {d.key for d in changes.documents} == {"organisation", "regions/curepipe", "teams/a"}
    assert isinstance(ConfigurationStore().apply(changes, Source.PLATFORM, 0.0), Accepted)


def test_change_is_seen_while_waiting(tmp_path: Path, platform: FilePlatform, clock: Clock) -> None:
    """Unchanged documents keep their revision, so that peers receive only the changed ones."""
    platform.read(0, 2.0)
    text = BASE.format(6) + "[regions.rodrigues]\n"
    clock.actions = [lambda: (tmp_path / "base.toml").write_text(text)]
    changes = platform.read(5, 4.0)
    assert {d.key: d.revision for d in changes.documents} == {
        "organisation": 5,
        "regions/curepipe": 5,
        "regions/rodrigues": 6,
    }


def test_partly_written_file_is_not_accepted(
    tmp_path: Path, platform: FilePlatform, clock: Clock
) -> None:
    """An editor writes the start of a file first and the rest half a second later. The first part
    is valid TOML without the teams; if it were accepted, all teams would be withdrawn."""
    base = tmp_path / "base.toml"
    base.write_text(BASE.format(5) + '[teams.a]\nhome = "curepipe"\n')
    platform.read(0, 2.0)
    complete = BASE.format(6) + '[teams.a]\nhome = "curepipe"\n[regions.rodrigues]\n'
    clock.actions = [lambda: base.write_text(BASE.format(6)), lambda: base.write_text(complete)]
    changes = platform.read(5, 4.0)
    assert {"teams/a", "regions/rodrigues"} <= {d.key for d in changes.documents}


def test_two_polls_at_the_same_time_count_as_one(
    tmp_path: Path, platform: FilePlatform, clock: Clock
) -> None:
    """One call ends with a poll and the next one starts with a poll. Both find the same contents,
    even if the file is only partly written at that time."""
    platform.read(0, 2.0)
    (tmp_path / "base.toml").write_text(BASE.format(6))
    for _ in range(3):
        assert platform.read(5, 0.0).revision == 5
    assert platform.read(5, 0.5).revision == 6


def test_malformed_file_leaves_the_last_valid_configuration(
    tmp_path: Path, platform: FilePlatform
) -> None:
    platform.read(0, 2.0)
    (tmp_path / "more.toml").write_text("[teams.a\n")
    with pytest.raises(PlatformError, match=r"more\.toml: is not TOML"):
        platform.read(5, 2.0)
    assert platform.read(0, 2.0).revision == 5
    (tmp_path / "more.toml").unlink()
    assert not platform.read(5, 2.0).documents


def test_change_without_a_higher_revision_is_rejected(
    tmp_path: Path, platform: FilePlatform
) -> None:
    """Hosts that have the old content under this revision would keep it, and others would not."""
    platform.read(0, 2.0)
    (tmp_path / "base.toml").write_text(BASE.format(5) + 'title = "new"\n')
    with pytest.raises(PlatformError, match=r"still 5 but regions/curepipe changed; raise it"):
        platform.read(5, 2.0)


def test_comment_needs_no_higher_revision(tmp_path: Path, platform: FilePlatform) -> None:
    platform.read(0, 2.0)
    (tmp_path / "base.toml").write_text("# A comment.\n" + BASE.format(5))
    assert not platform.read(5, 2.0).documents


def test_lower_revision_is_rejected(tmp_path: Path, platform: FilePlatform) -> None:
    platform.read(0, 2.0)
    (tmp_path / "base.toml").write_text(BASE.format(4))
    with pytest.raises(PlatformError, match="went back from 5 to 4; raise it over 5"):
        platform.read(5, 2.0)
    assert platform.read(0, 0.0).revision == 5


def test_all_documents_are_new_after_a_skipped_revision(
    tmp_path: Path, platform: FilePlatform
) -> None:
    """Another host has read revision 6, which changed a region, and revision 7 changed it back. The
    region is unchanged here, but must not have a lower revision than on the other host."""
    platform.read(0, 2.0)
    (tmp_path / "base.toml").write_text(BASE.format(7))
    assert {d.revision for d in platform.read(5, 2.0).documents} == {7}


def test_directory_replaced_with_a_symbolic_link(tmp_path: Path, clock: Clock) -> None:
    """Operators may publish by replacing a symbolic link to the directory."""
    for revision in (1, 2):
        (tmp_path / str(revision)).mkdir()
        (tmp_path / str(revision) / "base.toml").write_text(BASE.format(revision))
    os.symlink(tmp_path / "1", tmp_path / "now")
    platform = FilePlatform(tmp_path / "now", 0.5, clock.read, clock.sleep)
    assert platform.read(0, 2.0).revision == 1
    os.symlink(tmp_path / "2", tmp_path / "new")
    os.replace(tmp_path / "new", tmp_path / "now")
    assert platform.read(1, 2.0).revision == 2


def test_change_with_the_same_size_and_time_is_detected(
    tmp_path: Path, platform: FilePlatform
) -> None:
    """Two writes within one tick of the clock give the same stamp, so that contents are compared
    for some time."""
    platform.read(0, 2.0)
    base = tmp_path / "base.toml"
    stat = base.stat()
    base.write_text(BASE.format(6))
    os.utime(base, ns=(stat.st_atime_ns, stat.st_mtime_ns))
    assert platform.read(5, 2.0).revision == 6


def test_document_in_two_files_is_rejected(tmp_path: Path, platform: FilePlatform) -> None:
    (tmp_path / "more.toml").write_text("[regions.curepipe]\n")
    with pytest.raises(PlatformError, match=r"regions\.curepipe: stands in .*base\.toml too"):
        platform.read(0, 2.0)


def test_missing_directory_is_an_error(tmp_path: Path, clock: Clock) -> None:
    platform = FilePlatform(tmp_path / "none", 0.5, clock.read, clock.sleep)
    with pytest.raises(PlatformError, match=r"holds no \*\.toml file"):
        platform.read(0, 2.0)


def test_change_is_accepted_with_a_long_poll_interval(tmp_path: Path, clock: Clock) -> None:
    """With polls further apart than CONTENT_CHECK_S, a change is still accepted at the second."""
    (tmp_path / "base.toml").write_text(BASE.format(1))
    platform = FilePlatform(tmp_path, 10.0, clock.read, clock.sleep)
    assert platform.read(0, 20.0).revision == 1
