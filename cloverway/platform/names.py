"""Names on the platform's wire that stand in more than one place."""

from __future__ import annotations

REQUEST_ID = b"x-cloverway-request-id"
DEADLINE = b"x-cloverway-deadline-ms"
TOKEN_COUNTS = b"x-cloverway-token-usage"
"""Tokens of the prompt, and the most tokens of the answer: not what was used."""
PROMPT_SEGMENTS = b"x-cloverway-prompt-prefix"
"""All parts of the prompt in order, the last one the request's own: more than a prefix."""
LENGTH_HINT = b"x-cloverway-length-hint"
LAST_EVENT = b"last-event-id"
SIGNATURE = b"x-cloverway-response-seal"
NOT_RUN = b"x-cloverway-not-executed"
LOAD = b"x-cloverway-server-load"
LIMIT = b"server-limit"
"""The requests a second that the endpoint takes from all hosts together, not from this one."""
RETRY_AFTER = b"retry-after"
"""Of an endpoint's refusal: how long it wants nothing from the host that it turned away."""
LEAVING = b"server-leaving"
EXPECTED_ENDPOINT = b"x-cloverway-target-instance"
PRIORITY = b"x-cloverway-request-priority"
FETCH_FROM = b"kv-fetch"
"""The address of the endpoint from which parts of the prompt are to be fetched."""

RESERVED_HEADERS = frozenset(
    (
        EXPECTED_ENDPOINT,
        PRIORITY,
        NOT_RUN,
        SIGNATURE,
        LOAD,
        DEADLINE,
        LAST_EVENT,
        b"x-cloverway-required-version",
        b"x-cloverway-pin-ms",
        b"x-cloverway-hold",
        b"x-cloverway-kv-backup",
        b"x-cloverway-instance-id",
        b"x-cloverway-cold-ms",
        b"x-cloverway-weight-versions",
        FETCH_FROM,
        b"kv-from",
    )
)
"""Headers that are never passed on as a caller sent them: the system sets them, or nobody does."""

CONNECTION_HEADERS = frozenset(
    (
        *(b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"upgrade"),
        *(b"transfer-encoding", b"content-length", b"expect", b"proxy-authorization"),
    )
)
"""Headers that concern the caller's connection only."""
