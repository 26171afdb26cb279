"""A host's part of an allowance that all hosts share without telling each other what they use."""

from __future__ import annotations

MIN_HOST_AGE_S = 2.0
"""Minimum age of a host that takes a part. By then it has received heartbeats from the other hosts
of its region, which come every 0.4 to 1 s, and those have known of it for a whole window of a cold
endpoint. Without it, hosts that started together each used the whole allowance."""


def is_settled(age_s: float) -> bool:
    """Return whether a host has run for long enough to know the others."""
    return age_s >= MIN_HOST_AGE_S


def is_alone(known_hosts: int, has_seeds: bool) -> bool:
    """Return whether a host has heard of no other host although there are others.

    It may be cut off from all of them. If it counted only itself, it would use the whole of an
    allowance, and so would each other host in such a cut.
    """
    return has_seeds and not known_hosts


def compute_part(allowance: float, domains: int, domain_hosts: int) -> float:
    """Return the part of one host in an allowance of the fleet.

    Each failure domain has an equal part, which its known hosts divide. A host that starts while
    domains are cut off from each other knows only the hosts of its own; divided by all known hosts,
    each domain would use the whole allowance.
    """
    return allowance / max(1, domains) / max(1, domain_hosts)
