"""The settings of one host of the fleet."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal, NamedTuple

from msgspec import Meta

from cloverway.addresses import check_address
from cloverway.config.findings import Findings, read_toml
from cloverway.config.table_checks import Check, check_table
from cloverway.core.cold_start import ColdStartSettings
from cloverway.core.deployment import Topology
from cloverway.core.lookup import Machine
from cloverway.core.quarantine import QuarantineSettings
from cloverway.core.retry_budget import RetryBudgetSettings

Seconds = Annotated[float, Meta(ge=0, le=86_400)]
Port = Annotated[int, Meta(ge=1, le=65_535)]
Address = Annotated[str, Check(check_address)]


class Listen(NamedTuple):
    """The addresses that the host listens on, by IP number."""

    callers: Address
    readiness: Address
    lookup: Address
    """Serves lookups: callers ask here which hosts to use."""
    control: Address
    """UDP address for other hosts, used for the first contact."""
    inner_ports: tuple[Port, Port]
    """First and last port of the range for traffic between hosts."""
    metrics_port: Port = 9464
    """Serves the metrics, at /metrics."""


class Peers(NamedTuple):
    """Discovery of other hosts."""

    seeds: tuple[Address, ...] = ()
    """Control addresses of a few hosts; they may be outdated."""


class StoreSettings(NamedTuple):
    """The store of documents that operators and endpoints publish."""

    address: Address
    reads_per_s: Annotated[float, Meta(gt=0)] = 2000.0
    """Reads a second that the store serves to all hosts together."""


class FleetSettings(NamedTuple):
    """All settings of one host of the fleet. Times are seconds."""

    host: str
    domain: str
    region: str
    regions: dict[str, str]
    """The region of each failure domain."""
    listen: Listen
    store: StoreSettings
    peers: Peers = Peers()
    retries: RetryBudgetSettings = RetryBudgetSettings()
    cold: ColdStartSettings = ColdStartSettings()
    machine: Machine = Machine()
    quarantine: QuarantineSettings = QuarantineSettings()
    grace_s: Seconds = 8.0
    """Time from SIGTERM until the process is killed."""
    lookup_ttl_s: Seconds = 2.0
    """How long callers cache the response to a lookup."""
    log_level: Literal["debug", "info", "warning", "error"] = "info"

    @classmethod
    def from_toml(cls, path: Path) -> FleetSettings:
        """Read a settings file; raise ConfigurationError with every finding."""
        values = read_toml(path)
        findings = Findings(str(path))
        settings = check_table(cls, values, findings)
        if settings is not None and settings.domain not in settings.regions:
            findings.add("regions", f"set the region of {settings.domain!r}, this host's domain")
        if settings is not None:
            for name, value in settings.machine._asdict().items():
                if not value > 0:
                    findings.add(f"machine.{name}", f"{value:g} must be greater than 0")
        if settings is not None:
            for name, why in settings.quarantine.find_invalid_values():
                findings.add(f"quarantine.{name}", why)
        findings.raise_if_any()
        assert settings is not None
        return settings

    @property
    def topology(self) -> Topology:
        """The failure domain and region of the host."""
        return Topology(self.domain, self.region, self.regions)
