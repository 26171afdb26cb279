"""Links, navigation entries and commands in the documentation refer to things that exist."""

from __future__ import annotations

import re
from collections.abc import Iterator
from pathlib import Path

import pytest
from typer.testing import CliRunner

from cloverway.__main__ import app

ROOT = Path(__file__).parents[2]
PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
LINK = re.compile(r"\]\(([^)\s]+)\)")
HEADING = re.compile(r"^#+ (.+)$", re.MULTILINE)
NAVIGATION = re.compile(r"^\s*- [^:]+: (\S+\.md)$", re.MULTILINE)
COMMAND = re.compile(r"\bcloverway (?!-)([a-z]+)\b(?= |$|`)", re.MULTILINE)
CODE = re.compile(r"`([^`\n]+)`|^    (?:\$ )?(.+)$", re.MULTILINE)


def iterate_links(page: Path) -> Iterator[str]:
    for link in LINK.findall(page.read_text()):
        if not link.startswith(("http://", "https://")):
            yield link


def anchor_of(heading: str) -> str:
    words = re.sub(r"[^\w\s-]", "", heading.lower())
    return re.sub(r"\s+", "-", words.strip())


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_links_resolve(page: Path) -> None:
    for link in iterate_links(page):
        path, _, anchor = link.partition("#")
        target = (page.parent / path).resolve() if path else page
        assert target.exists(), f"{page.name} links to {link}, which is not there"
        if anchor:
            anchors = map(anchor_of, HEADING.findall(target.read_text()))
            assert anchor in anchors, f"{page.name} links to {link}; there is no such heading"


def test_navigation_names_existing_pages() -> None:
    pages = NAVIGATION.findall((ROOT / "mkdocs.yml").read_text())
    assert pages and len(set(pages)) == len(pages)
    assert all((ROOT / "docs" / page).is_file() for page in pages)


def test_commands_in_the_documentation_exist() -> None:
    known = {info.name for info in app.registered_commands}
    shown = {
        name
        for page in PAGES
        for code in CODE.findall(page.read_text())
        for name in COMMAND.findall("".join(code))
    }
    assert {"check", "call"} <= shown <= known


def test_examples_in_help_name_known_options() -> None:
    for info in app.registered_commands:
        text = CliRunner().invoke(app, [info.name, "--help"]).stdout
        head, _, examples = text.partition("Example")
        for option in re.findall(r"--[a-z-]+", examples):
            assert option in head, f"{info.name}: {option}"
