"""Find the process that uses a local port, so that a link can identify its clients."""

from __future__ import annotations

import os
from collections.abc import Mapping
from pathlib import Path

SOCKET_TABLES = {"tcp": Path("/proc/net/tcp"), "udp": Path("/proc/net/udp")}


def find_owner(kind: str, port: int, pids: Mapping[str, int]) -> str:
    """Return the name of the process that uses a port, or an empty string."""
    inodes = _find_inodes(kind, port)
    owners = (name for name, pid in pids.items() if inodes & _list_sockets(pid))
    return next(owners, "")


def _find_inodes(kind: str, port: int) -> set[str]:
    suffix = f":{port:04X}"
    rows = (line.split() for line in SOCKET_TABLES[kind].read_text().splitlines()[1:])
    return {row[9] for row in rows if row[1].endswith(suffix)}


def _list_sockets(pid: int) -> set[str]:
    folder = Path(f"/proc/{pid}/fd")
    found = set()
    try:
        for entry in folder.iterdir():
            try:
                target = os.readlink(entry)
            except OSError:
                continue
            if target.startswith("socket:["):
                found.add(target[8:-1])
    except OSError:
        pass
    return found
