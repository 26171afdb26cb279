"""Addresses as text, "IP:PORT" with an IPv6 number in brackets, and as sockets have them."""

from __future__ import annotations

from typing import Any
from urllib.parse import urlsplit


def split_address(address: str) -> tuple[str, int]:
    """Split an address into its IP number, without brackets, and its port."""
    number, _, port = address.rpartition(":")
    return number.strip("[]"), int(port)


def split_url(url: str) -> tuple[str, int]:
    """Split an endpoint's `http://IP:PORT` into IP number and port."""
    parts = urlsplit(url)
    return parts.hostname or "", parts.port or 80


def format_address(name: Any) -> str:
    """Give the address for what a socket calls its own or its peer's name."""
    number, port = name[:2]
    return f"[{number}]:{port}" if ":" in number else f"{number}:{port}"
