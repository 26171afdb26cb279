"""Validation of settings and published documents: findings, remedies and arbitrary input."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverway.config.configuration import ConfigurationStore, Rejected, Source
from cloverway.config.directory import load, load_directory
from cloverway.config.published import Published
from cloverway.config.schema import SINGLETONS, TABLES
from cloverway.config.secrets import read_secret
from cloverway.config.settings import Settings
from cloverway.errors import ConfigurationError
from cloverway.sources.port import Changes, Document

VALID: dict[str, Any] = {
    "revision": 1,
    "organisation": {"name": "riviere"},
    "regions": {"curepipe": {}, "rodrigues": {}},
    "domains": {"curepipe-a": {"region": "curepipe"}},
    "profiles": {"lookup": {"service": "stock"}},
}


def list_findings(**changed: Any) -> list[str]:
    with pytest.raises(ConfigurationError) as caught:
        Published.from_documents(VALID | changed, "here")
    return caught.value.findings


@pytest.mark.parametrize(
    ("changed", "finding"),
    [
        ({"revision": 0}, "revision: must be a whole number over 0"),
        ({"revision": True}, "revision: must be a whole number over 0"),
        ({"regions": 3}, "regions: is not a table; write [regions.NAME]"),
        ({"regions": {"Curepipe": {}}}, "regions.Curepipe: has a name that can't be used"),
        (
            {"objective": {"cost": float("inf")}},
            "objective: holds a value that JSON can't represent",
        ),
        ({"objective": {"cost": -1}}, "objective.cost: Input should be greater than or equal to 0"),
        ({"organisation": {}}, "organisation.name: Field required (set it)"),
        ({"domains": {"a": {"region": "nowhere"}}}, "domains.a.region: there is no region"),
        ({"profiles": {"p": {}}}, "profiles.p: name either a model or a service, and not both"),
        ({"teams": {"t": {"home": "x"}}}, "teams.t.home: there is no region 'x'; publish it"),
        ({"teams": {"t": ["home"]}}, "teams.t: is not a table"),
    ],
)
def test_finding_has_the_dotted_name_and_the_remedy(changed: dict[str, Any], finding: str) -> None:
    assert any(found.startswith(f"here: {finding}") for found in list_findings(**changed))


@pytest.mark.parametrize(
    "address",
    ["host:80", "10.0.0.1", "10.0.0.256:80", "10.0.0.1:0", "10.0.0.1:65536", "::1:80", "[x]:80"],
)
def test_address_must_be_an_ip_address_and_a_port(address: str) -> None:
    host = {"domain": "curepipe-a", "callers": address, "admin": "[::1]:1", "peers": "10.0.0.1:2"}
    (finding,) = list_findings(hosts={"h": host})
    assert finding.startswith("here: hosts.h.callers: ")


def test_unknown_name_is_compared_with_the_names_of_its_table(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """A suggestion comes from the same table: `slot` is close to a field of endpoints only."""
    team = {"home": "curepipe", "slot": 3, "profile": []}
    Published.from_documents(VALID | {"teams": {"t": team}}, "here")
    assert caplog.messages == [
        "here: teams.t.slot: is not a known name; remove it",
        "here: teams.t.profile: is not a known name; did you mean 'profiles'?",
    ]


def test_unknown_name_of_settings_is_compared_with_the_names_of_its_table(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    example = Path(__file__).parents[2] / "examples" / "settings.toml"
    file = tmp_path / "settings.toml"
    file.write_text(example.read_text().replace("\nbody_bytes", "\nbody_byte"))
    Settings.from_toml(file)
    assert "limits.body_byte: is not a known name; did you mean 'body_bytes'?" in caplog.text


def test_finding_has_the_file(tmp_path: Path) -> None:
    (tmp_path / "base.toml").write_text('revision = 1\n[organisation]\nname = "riviere"\n')
    (tmp_path / "teams.toml").write_text('[teams.a]\nhome = "nowhere"\n')
    published, findings = load(tmp_path)
    assert published is None
    location = f"{tmp_path / 'teams.toml'}: teams.a.home"
    assert findings.errors == [f"{location}: there is no region 'nowhere'; publish it"]
    with pytest.raises(ConfigurationError):
        load_directory(tmp_path)


def test_secret_is_checked_and_not_shown(tmp_path: Path) -> None:
    file = tmp_path / "secret"
    with pytest.raises(ConfigurationError, match="can't be read"):
        read_secret(file)
    file.write_text("short-secret\n")
    os.chmod(file, 0o600)
    with pytest.raises(ConfigurationError, match="holds 12 bytes") as caught:
        read_secret(file)
    assert "short-secret" not in str(caught.value)
    file.write_text("x" * 32 + "\n")
    assert read_secret(file) == b"x" * 32


SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8)
ANY_VALUES = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.text(max_size=6), inner, max_size=3),
    max_leaves=6,
)
FIELDS = sorted({name for model in TABLES.values() for name in model._fields})
PLAUSIBLE = st.sampled_from(
    ["curepipe", "curepipe-a", "lookup", "10.0.0.1:80", "http://10.0.0.1:80", "engine", "sha256:1"]
)
VALUES = st.dictionaries(
    st.sampled_from(FIELDS) | st.text(max_size=4),
    ANY_VALUES | PLAUSIBLE | st.lists(PLAUSIBLE, max_size=2),
    max_size=5,
)
NAMES = st.sampled_from(["a", "curepipe", "curepipe-a", "lookup"]) | st.text(max_size=4)
DOCUMENTS = st.dictionaries(
    st.sampled_from([*TABLES, *SINGLETONS, "revision"]) | st.text(max_size=4),
    ANY_VALUES | VALUES | st.dictionaries(NAMES, VALUES | ANY_VALUES, max_size=3),
    max_size=4,
)


def check_documents(tables: dict[str, Any]) -> None:
    """Check that any input is either accepted or raises ConfigurationError with findings."""
    try:
        published = Published.from_documents(VALID | tables)
    except ConfigurationError as error:
        assert error.findings
        return
    assert published.organisation is not None


def check_document(key: str, value: Any) -> None:
    store = ConfigurationStore()
    base = (Document("organisation", 1, {"name": "riviere"}), Document("regions/curepipe", 1, {}))
    store.apply(Changes(1, 0, base), Source.PEER, 0.0)
    result = store.apply(Changes(2, 1, (Document(key, 2, value),)), Source.PEER, 0.0)
    assert store.revision == (1 if isinstance(result, Rejected) else 2)


KEYS = st.tuples(st.sampled_from([*TABLES, *SINGLETONS]) | st.text(max_size=4), NAMES).map("/".join)


@settings(max_examples=300, deadline=None)
@given(DOCUMENTS)
def test_any_documents_are_checked_without_a_crash(tables: dict[str, Any]) -> None:
    check_documents(tables)


@settings(max_examples=200, deadline=None)
@given(KEYS | st.sampled_from([*SINGLETONS, "regions"]), st.none() | VALUES)
def test_any_change_is_judged_without_a_crash(key: str, value: Any) -> None:
    check_document(key, value)
