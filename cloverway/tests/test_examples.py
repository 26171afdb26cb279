"""The example deployments and the documented settings are valid and complete."""

from __future__ import annotations

import tomllib
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from cloverway.commands.check import check_directory, check_settings
from cloverway.commands.key import hash_key
from cloverway.config.directory import load_directory
from cloverway.config.published import Published
from cloverway.config.schema import EndpointKind
from cloverway.config.settings import Settings

EXAMPLES = Path(__file__).parents[2] / "examples"
DEPLOYMENTS = ("riviere", "caroni")


@pytest.fixture(params=DEPLOYMENTS)
def published(request: pytest.FixtureRequest) -> Published:
    return load_directory(EXAMPLES / request.param)


@pytest.mark.parametrize("name", DEPLOYMENTS)
def test_example_is_valid_without_warnings(name: str) -> None:
    report = check_directory(EXAMPLES / name)
    assert report.passed and not report.warnings


def test_every_failure_domain_has_its_own_hosts_and_endpoints(published: Published) -> None:
    assert len(published.regions) == 3
    assert 7 <= len(published.hosts) <= 9
    for domain in published.domains:
        assert len(published.hosts_of(domain)) >= 2
        assert published.endpoints_of(domain)


def test_every_region_can_serve_every_profile_by_itself(published: Published) -> None:
    """A partitioned region must still serve its callers, so it needs each model and service."""
    for region in published.regions:
        served = {
            target
            for endpoint in published.endpoints.values()
            if published.region_of(endpoint.domain) == region
            for target in (*endpoint.models, *endpoint.services)
        }
        assert {profile.target for profile in published.profiles.values()} <= served


def test_replica_counts_are_as_specified() -> None:
    counts = {
        name: Counter(
            endpoint.kind for endpoint in load_directory(EXAMPLES / name).endpoints.values()
        )
        for name in DEPLOYMENTS
    }
    assert counts["riviere"] == {EndpointKind.ENGINE: 10, EndpointKind.SERVICE: 3}
    assert counts["caroni"] == {EndpointKind.ENGINE: 5, EndpointKind.SERVICE: 3}


def test_addresses_are_on_loopback_and_ports_are_distinct() -> None:
    deployments = [load_directory(EXAMPLES / name) for name in DEPLOYMENTS]
    addresses = [
        address.removeprefix("http://")
        for published in deployments
        for address in (
            *(endpoint.url for endpoint in published.endpoints.values()),
            *(listen_address for host in published.hosts.values() for listen_address in host[1:]),
        )
    ]
    assert all(address.startswith("127.0.0.") for address in addresses)
    ports = [address.rpartition(":")[2] for address in addresses]
    assert len(set(ports)) == len(ports)


def test_example_keys_are_as_documented(published: Published) -> None:
    for name, team in published.teams.items():
        assert team.key_hashes == (hash_key(f"cw_example-only-{name}"),)


def test_settings_example_is_valid() -> None:
    report = check_settings(EXAMPLES / "settings.toml")
    assert report.passed and not report.warnings


def test_settings_example_has_every_setting_at_its_default() -> None:
    values = tomllib.loads((EXAMPLES / "settings.toml").read_text())
    settings = Settings.from_toml(EXAMPLES / "settings.toml")
    for name, value in _iterate_defaults(settings):
        assert name in dict(_iterate_names(values)), f"{name} is not in the example"
        if not name.startswith(("platform.directory", "platform.url")):
            assert dict(_iterate_names(values))[name] == value, name


def _iterate_names(values: dict[str, Any], prefix: str = "") -> Iterator[tuple[str, Any]]:
    for name, value in values.items():
        if isinstance(value, dict):
            yield from _iterate_names(value, f"{prefix}{name}.")
        else:
            yield prefix + name, value


def _iterate_defaults(part: Any, prefix: str = "") -> Iterator[tuple[str, Any]]:
    for name in part._fields:
        value = getattr(part, name)
        if hasattr(value, "_fields"):
            yield from _iterate_defaults(value, f"{prefix}{name}.")
        else:
            yield prefix + name, part._field_defaults.get(name, value)
