"""Published configuration of the test fleets, and the settings of their daemons."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Mapping
from typing import Any, NamedTuple

MODEL = "clover-assist"
SERVICE = "allocations"
PEER_SECRET = b"a secret of the tests that all hosts share"


class Topology(NamedTuple):
    """The shape of a test fleet: regions whose failure domains all have the same size."""

    regions: tuple[str, ...] = ("pl", "cu", "ro")
    domains: int = 1
    """Number of failure domains in each region."""
    hosts: int = 2
    """Hosts, engines and services: numbers in each failure domain."""
    engines: int = 1
    services: int = 1
    slots: int = 8
    trip_ms: float = 5.0
    engine_options: tuple[str, ...] = ("--token-s", "0.002")
    service_options: tuple[str, ...] = ()
    settings: Mapping[str, Any] = {}
    """Tables to merge into the settings of each daemon."""

    @property
    def domain_names(self) -> list[str]:
        letters = "abcdefgh"[: self.domains]
        return [f"{region}-{letter}" for region in self.regions for letter in letters]

    def list_names(self, what: str) -> list[str]:
        """Return the names of all "hosts", "engines" or "services"."""
        counts = {"hosts": self.hosts, "engines": self.engines, "services": self.services}
        stem = {"hosts": "host", "engines": "engine", "services": "service"}[what]
        numbers = range(1, counts[what] + 1)
        return [f"{domain}-{stem}-{n}" for domain in self.domain_names for n in numbers]


class HostAddresses(NamedTuple):
    """The addresses on which a daemon listens, and the published address for its peers."""

    callers: str
    admin: str
    peers: str
    published_peers: str


def domain_of(name: str) -> str:
    return "-".join(name.split("-")[:2])


def region_of(name: str) -> str:
    return name.split("-", maxsplit=1)[0]


def make_team_key(team: str) -> str:
    """Return the bearer key of a team."""
    return f"key-of-{team}-for-tests-only"


def hash_key(key: str) -> str:
    return "sha256:" + hashlib.sha256(key.encode()).hexdigest()


def make_profiles() -> dict[str, Any]:
    """Return profiles for the model and the service, both idempotent and non-idempotent."""
    quick = {"deadline_ms": 5_000, "gap_ms": 1_000}
    return {
        "chat": {"model": MODEL, "idempotent": True, **quick},
        "dossier": {"model": MODEL, "idempotent": False, **quick},
        "lookup": {"service": SERVICE, "idempotent": True, **quick},
        "allocate": {"service": SERVICE, "urgency": "urgent", "idempotent": False, **quick},
    }


def make_teams(topology: Topology) -> dict[str, Any]:
    """Return one team bound to each region, and one that is not bound."""
    profiles = list(make_profiles())
    bound = {f"bound-{region}": (region, True) for region in topology.regions}
    teams = {**bound, "open": (topology.regions[0], False)}
    return {
        name: {
            "home": home,
            "bound": is_bound,
            "profiles": profiles,
            "key_hashes": [hash_key(make_team_key(name))],
        }
        for name, (home, is_bound) in teams.items()
    }


def make_tables(
    topology: Topology, hosts: Mapping[str, HostAddresses], urls: Mapping[str, str]
) -> dict[str, Any]:
    """Return the published tables; `urls` maps each engine and service to its URL."""
    engines = {
        name: {"domain": domain_of(name), "url": urls[name], "models": [MODEL]}
        for name in topology.list_names("engines")
    }
    services = {
        name: {
            "domain": domain_of(name),
            "url": urls[name],
            "kind": "service",
            "services": [SERVICE],
        }
        for name in topology.list_names("services")
    }
    return {
        "organisation": {"name": "tests"},
        "objective": {"tail_latency": 1.0, "cost": 1.0, "sent_away": 1.0},
        "regions": {
            name: {"title": name, "trip_ms": topology.trip_ms} for name in topology.regions
        },
        "domains": {name: {"region": region_of(name)} for name in topology.domain_names},
        "hosts": {
            name: {
                "domain": domain_of(name),
                "callers": addresses.callers,
                "admin": addresses.admin,
                "peers": addresses.published_peers,
            }
            for name, addresses in hosts.items()
        },
        "endpoints": {
            name: {**endpoint, "slots": topology.slots}
            for name, endpoint in {**engines, **services}.items()
        },
        "profiles": make_profiles(),
        "teams": make_teams(topology),
    }


def make_settings(
    name: str,
    addresses: HostAddresses,
    platform: dict[str, Any],
    secret_file: str,
    more: Mapping[str, Any],
) -> dict[str, Any]:
    """Return the settings of a daemon, with short intervals for tests."""
    settings = {
        "host": name,
        "domain": domain_of(name),
        "region": region_of(name),
        "listen": {
            "callers": addresses.callers,
            "admin": addresses.admin,
            "peers": addresses.peers,
        },
        "platform": platform,
        "security": {"peer_secret_file": secret_file},
        "limits": {"threads": 48, "admin_threads": 4, "admitted": 24, "queued": 16},
        "timing": {
            "heartbeat_s": 0.2,
            "suspect_s": 1.0,
            "report_s": 0.2,
            "summary_s": 0.3,
            "list_s": 0.3,
        },
    }
    return merge(settings, more)


def merge(base: Mapping[str, Any], more: Mapping[str, Any]) -> dict[str, Any]:
    """Merge nested tables; the values of `more` override those of `base`."""
    merged = dict(base)
    for name, value in more.items():
        old = merged.get(name)
        both = isinstance(old, Mapping) and isinstance(value, Mapping)
        merged[name] = merge(old, value) if both else value
    return merged


def to_toml(tables: Mapping[str, Any], prefix: str = "") -> str:
    """Format nested tables as TOML."""
    plain = {name: value for name, value in tables.items() if not isinstance(value, Mapping)}
    nested = {name: value for name, value in tables.items() if isinstance(value, Mapping)}
    lines = [f"[{prefix}]"] if prefix and plain else []
    lines += [f"{name} = {json.dumps(value)}" for name, value in plain.items()]
    parts = [
        to_toml(value, f"{prefix}.{name}" if prefix else name) for name, value in nested.items()
    ]
    return "\n".join([*lines, *parts]) + "\n"
