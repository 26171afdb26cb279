"""A directory of TOML files that together hold one published configuration."""

from __future__ import annotations

import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

from cloverway.config.options import Findings
from cloverway.config.published import Published

TABLES = ("regions", "domains", "hosts", "endpoints", "profiles", "teams")
"""Tables whose entries may be spread over several files."""


class Collected(NamedTuple):
    """The documents of a directory, and which file each dotted name comes from."""

    documents: dict[str, Any]
    origins: dict[str, str]


def load_directory(path: Path) -> Published:
    """Read and validate a directory; raise ConfigurationError with every finding."""
    published, findings = load(path)
    findings.raise_if_any()
    assert published is not None
    return published


def load(path: Path) -> tuple[Published | None, Findings]:
    """Read and validate a directory; give the configuration, or None and what is wrong."""
    findings = Findings()
    collected = collect(path, findings)
    if findings.errors:
        return None, findings
    findings.source = str(path)
    findings.origins = collected.origins
    return Published.check_documents(collected.documents, findings), findings


def collect(path: Path, findings: Findings) -> Collected:
    """Merge the files of a directory; a name that stands twice is an error."""
    collected = Collected({}, {})
    files = sorted(path.glob("*.toml"))
    if not files:
        findings.add(str(path), "holds no *.toml file; give the published directory")
    for file in files:
        for name, value in _read(file, findings):
            if name in collected.origins:
                where = f"{file}: {name}"
                findings.add(where, f"stands in {collected.origins[name]} too; remove one")
                continue
            collected.origins[name] = str(file)
            _put(collected.documents, name, value)
    return collected


def _read(file: Path, findings: Findings) -> Iterator[tuple[str, Any]]:
    """Yield each document of a file by its dotted name."""
    try:
        tables = tomllib.loads(file.read_text(encoding="utf-8"))
    except OSError as error:
        findings.add(str(file), f"can't be read: {error.strerror}")
        return
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        findings.add(str(file), f"is not TOML: {error}")
        return
    for table, value in tables.items():
        if table in TABLES and isinstance(value, dict):
            yield from ((f"{table}.{name}", entry) for name, entry in value.items())
        else:
            yield table, value


def _put(documents: dict[str, Any], name: str, value: Any) -> None:
    table, _, entry = name.partition(".")
    if entry:
        documents.setdefault(table, {})[entry] = value
    else:
        documents[table] = value
