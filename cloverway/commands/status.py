"""Ask one or many hosts what they know, and compare them."""

from __future__ import annotations

from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, NamedTuple

from cloverway.commands.admin import query_json
from cloverway.config.directory import load_directory
from cloverway.errors import UserError

PATH = "/v1/status"
MAX_PARALLEL_QUERIES = 32
COLUMNS = (
    "address",
    "host",
    "region",
    "revision",
    "ready",
    "leaving",
    "stale",
    "in progress",
    "fault",
)
FIELDS = ("host", "region", "revision", "ready", "leaving", "platform_stale", "in_progress")


class HostStatus(NamedTuple):
    """What one host answered, or why it did not."""

    address: str
    document: dict[str, Any]
    fault: str = ""


def find_addresses(addresses: Sequence[str], published: Path | None) -> list[str]:
    """Give the admin addresses to ask: those named, and those of every published host."""
    hosts = load_directory(published).hosts.values() if published else ()
    found = list(dict.fromkeys([*addresses, *(host.admin for host in hosts)]))
    if not found:
        raise UserError("name a host with --host IP:PORT, or all of them with --published DIR")
    return found


def query_all(addresses: Sequence[str]) -> list[HostStatus]:
    """Ask every address, several at one time; a host that does not answer is no failure here."""
    with ThreadPoolExecutor(MAX_PARALLEL_QUERIES) as pool:
        return list(pool.map(_query, addresses))


def as_cells(status: HostStatus) -> tuple[Any, ...]:
    """Give a row of the table that compares hosts."""
    return (status.address, *(status.document.get(name) for name in FIELDS), status.fault)


def find_problems(statuses: Sequence[HostStatus]) -> list[str]:
    """List what a person should look at: silent hosts, hosts that lag, and a stale platform."""
    silent = [status.address for status in statuses if status.fault]
    newest = max((status.document.get("revision", 0) for status in statuses), default=0)
    behind = [
        status.document["host"]
        for status in statuses
        if not status.fault and status.document.get("revision", 0) < newest
    ]
    unready = [
        status.document["host"]
        for status in statuses
        if not status.fault and not status.document.get("ready")
    ]
    stale = [
        status.document["host"] for status in statuses if status.document.get("platform_stale")
    ]
    findings = (
        (silent, "gave no answer"),
        (behind, f"behind revision {newest}"),
        (unready, "take no work"),
        (stale, "see a platform that is stale"),
    )
    return [f"{what}: {', '.join(names)}" for names, what in findings if names]


def _query(address: str) -> HostStatus:
    try:
        return HostStatus(address, query_json(address, PATH))
    except UserError as error:
        return HostStatus(address, {}, str(error).removeprefix(f"{address}: ").partition(";")[0])
