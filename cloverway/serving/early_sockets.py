"""Listens for callers, and knocks at other hosts, before the rest of a host is loaded.

A host takes 0.4 s of a core to load its libraries. For as long its callers were turned away by its
machine, and after a restart of all hosts they had no other one to go to: what came in that time was
late or lost. Connections that wait in the queue of the socket are served as soon as the host runs.
What the other hosts know it hears meanwhile, so that it need not wait for their word then.

This module is loaded first and imports only what takes no time.
"""

from __future__ import annotations

import socket
import tomllib
from typing import Any, NamedTuple

SYNC_REQUEST = b"?"
"""Asks another host for all that it knows; its answers wait in the socket until this one is
loaded."""
LISTEN_BACKLOG = 512
"""Connections that wait to be accepted; the kernel's own bound is commonly higher."""


class EarlySockets(NamedTuple):
    """Sockets of a host that isn't loaded yet; None for what could not be opened.

    Whatever is wrong with the settings or an address is told when the host itself starts.
    """

    callers: socket.socket | None = None
    """Listens at the callers' address."""
    control: socket.socket | None = None
    """Hears other hosts."""

    @classmethod
    def from_settings(cls, path: str) -> EarlySockets:
        """Open the sockets that a settings file names."""
        return cls(open_caller_socket(path), open_control_socket(path))


def open_caller_socket(path: str) -> socket.socket | None:
    """Listen at the callers' address of a settings file; give None where that can't be done."""
    try:
        host, _, port = _read(path)["listen"]["callers"].rpartition(":")
        return _listen(host, int(port))
    except (OSError, KeyError, TypeError, ValueError, AttributeError):
        return None


def open_control_socket(path: str) -> socket.socket | None:
    """Bind the address for other hosts, and knock at the seeds; give None where that can't be done.

    A seed that can't be reached is left to the host itself.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        settings = _read(path)
        own = settings["listen"]["control"]
        sock.bind(_split(own))
        sock.setblocking(False)
        for seed in settings.get("peers", {}).get("seeds", ()):
            if seed != own:
                sock.sendto(SYNC_REQUEST, _split(seed))
    except (OSError, KeyError, TypeError, ValueError, AttributeError, OverflowError):
        sock.close()
        return None
    return sock


def _read(path: str) -> dict[str, Any]:
    with open(path, "rb") as file:
        return tomllib.load(file)


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def _listen(host: str, port: int) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        sock.listen(LISTEN_BACKLOG)
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock
