"""How long a host waits for an answer, and what it tells a host that it forwards a request to."""

from __future__ import annotations

from typing import NamedTuple

from cloverway.core.deployment import CallKind, Route

FIRST_BYTE_TIMEOUT_OBJECTIVES = 2.5
"""Timeout for the head of a response, as a multiple of the route's objective, after which a request
that may be repeated is retried on another endpoint. A dead connection or a hanging endpoint gives
no other sign. Requests queue at the hosts and not at endpoints, so a healthy endpoint answers well
within this time."""
GAP_TIMEOUT_OBJECTIVES = 4.0
"""Timeout between two events, as a multiple of the objective for inter-token gaps, after which a
stream that may be resumed continues on another endpoint. It is above the longest gap of a loaded
engine."""
MIN_GAP_TIMEOUT_S = 2.0
"""Minimum of that timeout: callers abandon a stream after two seconds at the earliest."""
CALLER_PATIENCE_OBJECTIVES = 4.0
CALLER_PATIENCE_GAP_OBJECTIVES = 8.0
"""Multiples of the two objectives, of which the longer is how long callers wait for an event."""


class Lease(NamedTuple):
    """How long a host may work for another one that it no longer hears. Times are seconds."""

    first_s: float
    """From the arrival of the request to the first sign of life."""
    renewed_s: float
    """From one sign of life to the next."""


def compute_first_byte_timeout(route: Route) -> float:
    """Return how long a host waits for the head of a response that it may get elsewhere."""
    return FIRST_BYTE_TIMEOUT_OBJECTIVES * route.objective_s


def compute_gap_timeout(route: Route) -> float:
    """Return how long a host waits for the next event of a stream that may go on elsewhere."""
    return max(MIN_GAP_TIMEOUT_S, GAP_TIMEOUT_OBJECTIVES * route.gap_objective_s)


def choose_lease(route: Route, may_repeat: bool) -> Lease | None:
    """Return the lease of a request that is forwarded; None if it is to be run in any case.

    `may_repeat` tells whether this host may send it elsewhere afterwards. If not, its caller may
    still take a stream up at another host, but not before it has lost its patience.
    """
    if not route.repeatable:
        return None
    if may_repeat:
        return Lease(compute_first_byte_timeout(route), compute_gap_timeout(route))
    if route.kind is not CallKind.STREAM:
        return None
    patience_s = max(
        MIN_GAP_TIMEOUT_S,
        CALLER_PATIENCE_OBJECTIVES * route.objective_s,
        CALLER_PATIENCE_GAP_OBJECTIVES * route.gap_objective_s,
    )
    return Lease(patience_s, patience_s)
