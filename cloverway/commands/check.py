"""Validate published files and settings, and list the changes between two versions."""

from __future__ import annotations

import logging
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from pathlib import Path
from typing import Any, NamedTuple

from cloverway.config.directory import load_directory
from cloverway.config.published import Published
from cloverway.config.settings import Settings
from cloverway.errors import ConfigurationError, UserError


class Report(NamedTuple):
    """The findings of a check."""

    errors: list[str]
    warnings: list[str]
    changes: list[str]
    summary: str = ""

    @property
    def passed(self) -> bool:
        """Whether the check found no errors."""
        return not self.errors


def check_directory(directory: Path, against: Path | None = None) -> Report:
    """Validate a published directory, and compare it with an older one if one is given."""
    old = _load_reference(against)
    with collect_warnings() as warnings:
        try:
            new = load_directory(directory)
        except ConfigurationError as error:
            return Report(error.findings, warnings, [])
    changes = list_changes(old, new) if old else []
    errors = list(_find_revision_errors(old, new, changes)) if old else []
    return Report(errors, warnings, changes, describe(new))


def check_settings(path: Path, published: Path | None = None) -> Report:
    """Validate the settings of a daemon, and compare them with its published host entry."""
    deployment = _load_reference(published)
    with collect_warnings() as warnings:
        try:
            settings = Settings.from_toml(path)
        except ConfigurationError as error:
            return Report(error.findings, warnings, [])
    subject = f"host {settings.host} in {settings.domain}, region {settings.region}"
    errors = [f"{path}: {fault}" for fault in _find_mismatches(settings, deployment)]
    return Report(errors, warnings, [], subject)


def describe(published: Published) -> str:
    """Summarise published documents in one line, with the number of each kind."""
    parts = (
        _count(len(getattr(published, field)), field)
        for field in ("regions", "domains", "hosts", "endpoints", "profiles", "teams")
    )
    return f"{published.organisation.name}, revision {published.revision}: {', '.join(parts)}"


def summarise(report: Report) -> str:
    """Summarise a check in one line: whether it passed, and the number of findings."""
    counts = f"{_count(len(report.errors), 'errors')}, {_count(len(report.warnings), 'warnings')}"
    return f"ok: {report.summary}; {counts}" if report.passed else f"not valid: {counts}"


def list_changes(old: Published, new: Published) -> list[str]:
    """Return every name that was added, removed or changed, except the revision."""
    before = dict(_flatten(old._asdict()))
    after = dict(_flatten(new._asdict()))
    names = sorted((before.keys() | after.keys()) - {"revision"})
    return [
        _describe_change(name, before, after)
        for name in names
        if before.get(name) != after.get(name)
    ]


@contextmanager
def collect_warnings() -> Iterator[list[str]]:
    """Collect the warnings of validation in a list instead of logging them."""
    texts: list[str] = []
    handler = _WarningCollector(texts)
    logger = logging.getLogger("cloverway.config")
    propagate = logger.propagate
    logger.addHandler(handler)
    logger.propagate = False
    try:
        yield texts
    finally:
        logger.removeHandler(handler)
        logger.propagate = propagate


class _WarningCollector(logging.Handler):
    def __init__(self, texts: list[str]) -> None:
        super().__init__(logging.WARNING)
        self._texts = texts

    def emit(self, record: logging.LogRecord) -> None:
        """Append the message of one record."""
        self._texts.append(record.getMessage())


def _count(number: int, plural: str) -> str:
    return f"{number} {plural.removesuffix('s') if number == 1 else plural}"


def _load_reference(directory: Path | None) -> Published | None:
    if directory is None:
        return None
    with collect_warnings():
        try:
            return load_directory(directory)
        except ConfigurationError as error:
            raise UserError(f"{directory} is not valid:\n{error}") from error


def _find_mismatches(settings: Settings, published: Published | None) -> Iterator[str]:
    """Yield the settings that differ from the host's published entry."""
    if published is None:
        return
    host = published.hosts.get(settings.host)
    if host is None:
        yield f"host: {settings.host!r} is not published; publish [hosts.{settings.host}]"
        return
    pairs = (
        ("domain", settings.domain, host.domain),
        ("region", settings.region, published.region_of(host.domain)),
        ("listen.callers", settings.listen.callers, host.callers),
        ("listen.admin", settings.listen.admin, host.admin),
        ("listen.peers", settings.listen.peers, host.peers),
    )
    for name, own, other in pairs:
        if own != other:
            yield f"{name}: {own!r} is published as {other!r}; make them the same"


def _find_revision_errors(old: Published, new: Published, changes: list[str]) -> Iterator[str]:
    if changes and new.revision <= old.revision:
        yield (
            f"revision: {new.revision} must be higher than {old.revision}, or no host applies the "
            f"changes; set revision = {old.revision + 1}"
        )
    elif new.revision < old.revision:
        yield f"revision: {new.revision} is below {old.revision}; a revision must never decrease"


def _flatten(value: Any, name: str = "") -> Iterator[tuple[str, Any]]:
    if hasattr(value, "_asdict"):
        value = value._asdict()
    if isinstance(value, Mapping):
        for key, item in value.items():
            yield from _flatten(item, f"{name}.{key}" if name else str(key))
    else:
        yield name, value


def _describe_change(name: str, before: Mapping[str, Any], after: Mapping[str, Any]) -> str:
    if name not in before:
        return f"+ {name} = {after[name]!r}"
    if name not in after:
        return f"- {name} (was {before[name]!r})"
    return f"~ {name}: {before[name]!r} -> {after[name]!r}"
