"""Query the status of one or more hosts and compare them."""

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
    """The status of one host, or the reason why it did not answer."""

    address: str
    document: dict[str, Any]
    fault: str = ""


def find_addresses(addresses: Sequence[str], published: Path | None) -> list[str]:
    """Return the admin addresses to query: those given, and those of all published hosts."""
    hosts = load_directory(published).hosts.values() if published else ()
    found = list(dict.fromkeys([*addresses, *(host.admin for host in hosts)]))
    if not found:
        raise UserError("give a host with --host IP:PORT, or all hosts with --published DIR")
    return found


def query_all(addresses: Sequence[str]) -> list[HostStatus]:
    """Query all addresses in parallel; a host that does not answer has a `fault`."""
    with ThreadPoolExecutor(MAX_PARALLEL_QUERIES) as pool:
        return list(pool.map(_query, addresses))


def as_cells(status: HostStatus) -> tuple[Any, ...]:
    """Return the row of a host in the table that compares hosts."""
    return (status.address, *(status.document.get(name) for name in FIELDS), status.fault)


def find_problems(statuses: Sequence[HostStatus]) -> list[str]:
    """Return what needs attention: unreachable, outdated or unready hosts, or a stale platform."""
    unreachable = [status.address for status in statuses if status.fault]
    newest = max((status.document.get("revision", 0) for status in statuses), default=0)
    outdated = [
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
        (unreachable, "gave no answer"),
        (outdated, f"behind revision {newest}"),
        (unready, "take no work"),
        (stale, "see a platform that is stale"),
    )
    return [f"{what}: {', '.join(names)}" for names, what in findings if names]


def _query(address: str) -> HostStatus:
    try:
        return HostStatus(address, query_json(address, PATH))
    except UserError as error:
        return HostStatus(address, {}, str(error).removeprefix(f"{address}: ").partition(";")[0])
