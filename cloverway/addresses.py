"""Convert addresses between text, "IP:PORT" with IPv6 in brackets, and the form of sockets."""

from __future__ import annotations

import ipaddress
import re
from typing import Any
from urllib.parse import urlsplit

ADDRESS = re.compile(r"(?P<ip>[0-9]{1,3}(\.[0-9]{1,3}){3}|\[[0-9a-fA-F:]+\]):(?P<port>[0-9]{1,5})")


def check_address(address: str) -> str:
    """Return an address unchanged; raise ValueError unless it is an IP address and a port."""
    match = ADDRESS.fullmatch(address)
    if match is None or not 0 < int(match["port"]) < 2**16:
        raise ValueError("must be an IP address and a port, such as 10.0.0.1:7000")
    ipaddress.ip_address(match["ip"].strip("[]"))
    return address


def split_address(address: str) -> tuple[str, int]:
    """Split an address into its IP address, without brackets, and its port."""
    ip, _, port = address.rpartition(":")
    return ip.strip("[]"), int(port)


def split_url(url: str) -> tuple[str, int]:
    """Split an endpoint's `http://IP:PORT` into IP address and port; 80 if it has none."""
    parts = urlsplit(url)
    return parts.hostname or "", parts.port or 80


def format_address(socket_name: Any) -> str:
    """Return the address as text, from the value of `getsockname` or `getpeername`."""
    ip, port = socket_name[:2]
    return f"[{ip}]:{port}" if ":" in ip else f"{ip}:{port}"
