"""Errors and warnings about settings and documents, each with a remedy."""

from __future__ import annotations

import difflib
import logging
import tomllib
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Any

from cloverway.errors import ConfigurationError

log = logging.getLogger(__name__)


class Findings:
    """Errors and warnings about one or more sources, in the order in which they were found."""

    def __init__(self, source: str = "", origins: Mapping[str, str] | None = None) -> None:
        self.source = source
        self.origins: Mapping[str, str] = origins if origins is not None else {}
        """Source of each document by its dotted name, if there are several sources."""
        self.errors: list[str] = []
        self.warnings: list[str] = []

    def add(self, field_path: str, message: str) -> None:
        """Add an error at a dotted name."""
        self.errors.append(self._format(field_path, message))

    def warn(self, field_path: str, message: str) -> None:
        """Add and log a warning at a dotted name."""
        text = self._format(field_path, message)
        self.warnings.append(text)
        log.warning("%s", text)

    def raise_if_any(self) -> None:
        """Raise ConfigurationError with all errors if there are any."""
        if self.errors:
            raise ConfigurationError(self.errors)

    def _format(self, field_path: str, message: str) -> str:
        return ": ".join(
            part for part in (self._find_source(field_path), field_path, message) if part
        )

    def _find_source(self, field_path: str) -> str:
        """Return the source of the longest dotted name that `field_path` starts with."""
        name = field_path
        while name:
            if name in self.origins:
                return self.origins[name]
            name = name.rpartition(".")[0]
        return self.source


def read_toml(path: Path) -> dict[str, Any]:
    """Read a TOML file; raise ConfigurationError."""
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigurationError([f"{path}: can't be read: {error.strerror}"]) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigurationError([f"{path}: is not TOML: {error}"]) from error


def suggest(name: str, known: Iterable[str]) -> str:
    """Return the remedy for an unknown name: use the closest known name, or remove it."""
    close = difflib.get_close_matches(name, sorted(known), n=1)
    return f"did you mean {close[0]!r}?" if close else "remove it"
