"""Settings of one daemon, which it needs before it can read the published configuration."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal, NamedTuple

from pydantic import Field

from cloverway.config.findings import Findings, read_toml
from cloverway.config.schema import Address, Name
from cloverway.config.validation import validate
from cloverway.core.quarantine import QuarantineSettings

Seconds = Annotated[float, Field(gt=0, le=86_400)]
Count = Annotated[int, Field(ge=1, le=1_000_000)]


class Listen(NamedTuple):
    """IP addresses and ports on which the daemon listens."""

    callers: Address
    admin: Address
    peers: Address
    """Address for other hosts: TCP for requests and documents, UDP for heartbeats."""


class PlatformSettings(NamedTuple):
    """Source of the published configuration."""

    kind: Literal["file", "http"] = "file"
    directory: str = ""
    """Directory of TOML files, for kind = "file"."""
    url: str = ""
    """Base URL of the service, for kind = "http"."""
    poll_s: Seconds = 0.5
    """Interval at which the directory is polled."""
    watch_s: Seconds = 2.0
    """Maximum wait of one call to the service; a silent connection is detected 3 s later."""

    @property
    def wait_s(self) -> float:
        """Maximum wait of one read for a change, depending on the kind of platform."""
        return self.watch_s if self.kind == "http" else self.poll_s


class Security(NamedTuple):
    """Secrets shared by the hosts."""

    peer_secret_file: str
    """File with a secret of at least 32 bytes that all hosts share."""


class Limits(NamedTuple):
    """Limits on the resources that the daemon uses and on the times that it waits."""

    threads: Count = 192
    """Threads for callers; must exceed `admitted` + `queued`, to keep one free for refusals."""
    admin_threads: Count = 8
    admitted: Count = 64
    """Requests in progress at the same time."""
    queued: Count = 64
    """Requests that wait for an endpoint; they use threads in addition to `admitted`."""
    body_bytes: Annotated[int, Field(ge=1024, le=64 * 1024 * 1024)] = 4 * 1024 * 1024
    header_bytes: Annotated[int, Field(ge=1024, le=1024 * 1024)] = 64 * 1024
    answer_bytes: Annotated[int, Field(ge=1024, le=1024 * 1024 * 1024)] = 64 * 1024 * 1024
    body_timeout_s: Seconds = 10.0
    connect_timeout_s: Seconds = 1.0
    recorded_answer_bytes: Annotated[int, Field(ge=0, le=16 * 1024 * 1024)] = 256 * 1024
    recorded_bytes: Annotated[int, Field(ge=0)] = 64 * 1024 * 1024
    idempotency_keys: Count = 100_000
    """Maximum number of used keys that are stored at the same time."""
    idempotency_key_s: Seconds = 3600.0
    """Lifetime of an idempotency key, by the clock of the host that issued it."""
    drain_s: Seconds = 30.0
    """How often a draining daemon logs what it waits for. Each request ends by its deadline."""
    key_hold_s: Seconds = 10.0
    """How long a draining daemon decides claims after it issued its last idempotency key."""


class Timing(NamedTuple):
    """Intervals and timeouts of the control loop, in seconds."""

    heartbeat_s: Seconds = 0.5
    suspect_s: Seconds = 2.0
    """A host that was not heard from for this long is not used by others."""
    report_s: Seconds = 0.5
    """How often an endpoint's load is read."""
    summary_s: Seconds = 1.0
    """How often a failure domain sends the others a summary of its capacity."""
    list_s: Seconds = 1.0
    """How often the platform's list of live and leaving hosts is read."""


class Settings(NamedTuple):
    """All settings of one daemon."""

    host: Name
    domain: Name
    region: Name
    listen: Listen
    platform: PlatformSettings
    security: Security
    limits: Limits = Limits()
    timing: Timing = Timing()
    quarantine: QuarantineSettings = QuarantineSettings()
    policy: Literal[
        "cloverway",
        "random",
        "round_robin",
        "least_outstanding",
        "home_only",
        "global_least_loaded",
    ] = "cloverway"
    """Endpoint selection policy; all but the first are baselines for measurements."""
    log_level: Literal["debug", "info", "warning", "error"] = "info"

    @classmethod
    def from_toml(cls, path: Path) -> Settings:
        """Read a settings file; raise ConfigurationError with all findings."""
        values = read_toml(path)
        findings = Findings(str(path))
        settings = validate(cls, values, findings)
        if settings is not None:
            _check_platform(settings.platform, findings)
            _check_limits(settings.limits, findings)
            for name, reason in settings.quarantine.find_invalid_values():
                findings.add(f"quarantine.{name}", reason)
        findings.raise_if_any()
        assert settings is not None
        return settings


def _check_platform(platform: PlatformSettings, findings: Findings) -> None:
    if platform.kind == "file" and not platform.directory:
        findings.add(
            "platform.directory", 'set it to the published directory, or set kind = "http"'
        )
    if platform.kind == "http" and not platform.url:
        findings.add("platform.url", 'set it to the URL of the service, or set kind = "file"')


def _check_limits(limits: Limits, findings: Findings) -> None:
    needed = limits.admitted + limits.queued
    if limits.threads <= needed:
        findings.add(
            "limits.threads",
            f"must be over admitted + queued = {needed}, to keep a thread free for refusals",
        )
