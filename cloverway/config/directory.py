"""Load a published configuration from the TOML files of a directory."""

from __future__ import annotations

import tomllib
from collections.abc import Iterable, Iterator, Mapping
from pathlib import Path
from typing import Any, NamedTuple

from cloverway.config.findings import Findings
from cloverway.config.published import Published
from cloverway.config.schema import TABLES


class MergedFiles(NamedTuple):
    """The documents of a directory, and the file of each dotted name."""

    tables: dict[str, Any]
    origins: dict[str, str]


def load_directory(path: Path) -> Published:
    """Read and validate a directory; raise ConfigurationError with every finding."""
    published, findings = load(path)
    findings.raise_if_any()
    assert published is not None
    return published


def load(path: Path) -> tuple[Published | None, Findings]:
    """Read and validate a directory; return the configuration, or None, and all findings."""
    findings = Findings()
    merged = merge_files(read_files(path, findings), findings)
    if findings.errors:
        return None, findings
    findings.source = str(path)
    findings.origins = merged.origins
    return Published.check_documents(merged.tables, findings), findings


def list_files(directory: Path) -> list[Path]:
    """List the files of a published directory, sorted; skip names with a leading dot."""
    return sorted(
        path for path in directory.glob("*.toml") if path.is_file() and path.name[0] != "."
    )


def read_files(directory: Path, findings: Findings) -> dict[Path, bytes]:
    """Read the files of a published directory."""
    contents: dict[Path, bytes] = {}
    for file in list_files(directory):
        try:
            contents[file] = file.read_bytes()
        except OSError as error:
            findings.add(str(file), f"can't be read: {error.strerror}")
    if not contents and not findings.errors:
        findings.add(str(directory), "holds no *.toml file; specify the published directory")
    return contents


def merge_files(contents: Mapping[Path, bytes], findings: Findings) -> MergedFiles:
    """Merge the contents of files; a document in two files is an error."""
    merged = MergedFiles({}, {})
    for file, content in contents.items():
        for name, value in _parse(file, content, findings):
            if name in merged.origins:
                other = merged.origins[name]
                findings.add(f"{file}: {name}", f"stands in {other} too; remove one of them")
                continue
            merged.origins[name] = str(file)
            _set_document(merged.tables, name, value)
    return merged


def list_documents(tables: Mapping[str, Any]) -> Iterator[tuple[str, Any]]:
    """Yield each document of nested tables with its key, except the revision."""
    for table, value in tables.items():
        if table in TABLES and isinstance(value, dict):
            yield from ((f"{table}/{name}", entry) for name, entry in value.items())
        elif table != "revision":
            yield table, value


def _parse(file: Path, content: bytes, findings: Findings) -> Iterable[tuple[str, Any]]:
    """Return the documents of a file and the revision, with their dotted names."""
    try:
        tables = tomllib.loads(content.decode("utf-8"))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, RecursionError) as error:
        findings.add(str(file), f"is not TOML: {error}")
        return []
    documents = [(key.replace("/", ".", 1), value) for key, value in list_documents(tables)]
    revision = [("revision", tables["revision"])] if "revision" in tables else []
    return revision + documents


def _set_document(tables: dict[str, Any], name: str, value: Any) -> None:
    table, _, entry = name.partition(".")
    if entry:
        tables.setdefault(table, {})[entry] = value
    else:
        tables[table] = value
