"""Headers that concern one connection only, and are never forwarded."""

from __future__ import annotations

from collections.abc import Iterable

from cloverway.core.calls import Header

HOP_BY_HOP = frozenset(
    (
        *(b"connection", b"keep-alive", b"transfer-encoding", b"te", b"trailer", b"upgrade"),
        *(b"proxy-connection", b"proxy-authenticate", b"proxy-authorization"),
        *(b"content-length", b"expect"),
    )
)
"""Names in lower case. Content-Length is set again when the body is known."""


def list_end_to_end_headers(headers: Iterable[Header], required: bytes = b"") -> list[Header]:
    """Return the headers that are forwarded, also a `required` one, in their order.

    A message names further headers that concern its connection in `Connection`.
    """
    items = list(headers)
    named = {
        token.strip().lower()
        for name, value in items
        if name == b"connection"
        for token in value.split(b",")
    }
    dropped = HOP_BY_HOP | named - {required}
    return [item for item in items if item[0] not in dropped]
