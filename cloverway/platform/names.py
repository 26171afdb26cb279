"""Names of the platform's HTTP headers."""

from __future__ import annotations

REQUEST_ID = b"x-cloverway-request-id"
DEADLINE = b"x-cloverway-deadline-ms"
TOKEN_COUNTS = b"x-cloverway-token-usage"
"""Prompt tokens and the maximum number of output tokens; despite its name, not the usage."""
PROMPT_SEGMENTS = b"x-cloverway-prompt-prefix"
"""All segments of the prompt in order, not only the shared prefix; the last one belongs to this
request alone."""
LENGTH_HINT = b"x-cloverway-length-hint"
LAST_EVENT = b"last-event-id"
RESUMES = b"resumes"
"""The id of the caller's request that brought the first event of the stream that it continues."""
STORE_EPOCH = b"store-era"
SIGNATURE = b"x-cloverway-response-seal"
NOT_RUN = b"x-cloverway-not-executed"
LOAD = b"x-cloverway-server-load"
RATE_LIMIT = b"server-limit"
"""Requests per second that the endpoint accepts from all hosts together, not from this host."""
RETRY_AFTER = b"retry-after"
"""In a refusal by an endpoint: the seconds for which the refused host must not send to it."""
LEAVING = b"server-leaving"
COLD = b"x-cloverway-cold-ms"
"""In a health response: milliseconds for which the endpoint is still cold."""
EXPECTED_ENDPOINT = b"x-cloverway-target-instance"
PRIORITY = b"x-cloverway-request-priority"
FETCH_FROM = b"kv-fetch"
"""Address of the endpoint from which to fetch the KV cache of prompt segments."""

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
        COLD,
        b"x-cloverway-weight-versions",
        FETCH_FROM,
        b"kv-from",
    )
)
"""Headers that are never forwarded as received from a caller; only a host may set them."""
