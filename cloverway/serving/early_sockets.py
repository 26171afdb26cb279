"""Opens the caller socket and requests the state of other hosts before a host is loaded.

A host takes 0.4 s of a core to import its libraries. Without a listening socket, connections are
refused in that time, and after a restart of all hosts callers have no other host to use: their
requests are late or lost. Connections in the backlog are served as soon as the host runs. The other
hosts send their state meanwhile, so that the host needn't wait for it later.

This module is imported first and imports only modules that load quickly.
"""

from __future__ import annotations

import socket
import tomllib
from typing import Any, NamedTuple

SYNC_REQUEST = b"?"
"""Datagram that requests the state of another host. The answers stay in the receive buffer of the
socket until this host is loaded."""
LISTEN_BACKLOG = 512
"""Maximum number of connections waiting to be accepted; the kernel's limit is usually higher."""


class EarlySockets(NamedTuple):
    """Sockets of a host that isn't loaded yet; None for a socket that could not be opened.

    Errors in the settings or an address are reported when the host itself starts.
    """

    callers: socket.socket | None = None
    """Listens on the address for callers."""
    control: socket.socket | None = None
    """Receives datagrams of other hosts."""

    @classmethod
    def from_settings(cls, path: str) -> EarlySockets:
        """Open the sockets that a settings file names."""
        return cls(open_caller_socket(path), open_control_socket(path))


def open_caller_socket(path: str) -> socket.socket | None:
    """Listen on the callers' address of a settings file; return None if that fails."""
    try:
        host, _, port = _read(path)["listen"]["callers"].rpartition(":")
        return _listen(host, int(port))
    except (OSError, KeyError, TypeError, ValueError, AttributeError):
        return None


def open_control_socket(path: str) -> socket.socket | None:
    """Bind the control address and send SYNC_REQUEST to the seeds; return None if that fails.

    The host itself contacts the seeds again, so one that is unreachable now is not an error.
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
