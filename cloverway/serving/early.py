"""Listens for callers before the rest of a host is loaded.

A host takes 0.4 s of a core to load its libraries. For as long its callers were turned away by its
machine, and after a restart of all hosts they had no other one to go to: what came in that time was
late or lost. Connections that wait in the queue of the socket are served as soon as the host runs.

This module is loaded first and imports only what takes no time.
"""

from __future__ import annotations

import socket
import tomllib

BACKLOG = 512
"""Connections that wait to be accepted; the kernel's own bound is commonly higher."""


def listen_early(path: str) -> socket.socket | None:
    """Listen at the callers' address of a settings file; give None where that can't be done.

    Whatever is wrong with the settings or the address is told when the host itself starts.
    """
    try:
        with open(path, "rb") as file:
            address = tomllib.load(file)["listen"]["callers"]
        host, _, port = address.rpartition(":")
        return _listen(host, int(port))
    except (OSError, KeyError, TypeError, ValueError, AttributeError):
        return None


def _listen(host: str, port: int) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        sock.listen(BACKLOG)
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock
