"""Findings about settings and documents: all are collected, and each says a remedy."""

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
    """Errors and warnings about one or several sources, in the order they were found."""

    def __init__(self, source: str = "", origins: Mapping[str, str] | None = None) -> None:
        self.source = source
        self.origins: Mapping[str, str] = origins if origins is not None else {}
        """The source of each document by its dotted name, where they come from several."""
        self.errors: list[str] = []
        self.warnings: list[str] = []

    def add(self, field_path: str, message: str) -> None:
        """Note an error at a dotted name."""
        self.errors.append(self._format(field_path, message))

    def warn(self, field_path: str, message: str) -> None:
        """Note and log a warning at a dotted name."""
        text = self._format(field_path, message)
        self.warnings.append(text)
        log.warning("%s", text)

    def raise_if_any(self) -> None:
        """Raise ConfigurationError with all errors, if there are any."""
        if self.errors:
            raise ConfigurationError(self.errors)

    def _format(self, field_path: str, message: str) -> str:
        return ": ".join(
            part for part in (self._find_source(field_path), field_path, message) if part
        )

    def _find_source(self, field_path: str) -> str:
        """Give the source of the longest dotted name that `where` starts with."""
        name = field_path
        while name:
            if name in self.origins:
                return self.origins[name]
            name = name.rpartition(".")[0]
        return self.source


def read_toml(path: Path) -> dict[str, Any]:
    """Read a file of TOML; raise ConfigurationError."""
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigurationError([f"{path}: can't be read: {error.strerror}"]) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigurationError([f"{path}: is not TOML: {error}"]) from error


def suggest(name: str, known: Iterable[str]) -> str:
    """Give the remedy for an unknown name: the nearest known one, or to remove it."""
    close = difflib.get_close_matches(name, sorted(known), n=1)
    return f"did you mean {close[0]!r}?" if close else "remove it"
