"""Cloverway: a multi-region inference gateway."""

from __future__ import annotations

__version__ = "0.1.0"
