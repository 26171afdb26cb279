"""Queries to the admin API of one host, for operators' commands."""

from __future__ import annotations

import json
from typing import Any

from cloverway.client import Call, ask
from cloverway.config import schema
from cloverway.errors import CallError, UserError


def check_address(address: str) -> str:
    """Return the address; raise UserError unless it is an IP address and a port."""
    try:
        return schema.check_address(address)
    except ValueError as error:
        raise UserError(f"{address!r}: give IP:PORT, for example 127.0.0.11:8011") from error


def query_json(address: str, path: str, method: str = "GET", document: Any = None) -> Any:
    """Query a host and return its JSON answer, decoded; raise UserError if there is none."""
    body = json.dumps(document).encode() if document is not None else b""
    try:
        return json.loads(_query(address, Call(path, body, method=method)))
    except ValueError as error:
        raise UserError(f"{address}: the answer to {path} is not JSON") from error


def query_text(address: str, path: str) -> str:
    """Query a host and return its answer as text; raise UserError if there is none."""
    return _query(address, Call(path, method="GET")).decode("utf-8", "replace")


def _query(address: str, call: Call) -> bytes:
    headers = {"Content-Type": call.content_type} if call.body else {}
    try:
        return ask(check_address(address), call, headers)
    except CallError as error:
        raise UserError(describe_failure(address, call.path, error)) from error


def describe_failure(address: str, path: str, error: CallError) -> str:
    """Describe why a query failed and what to check."""
    if error.request_id:
        return f"{address}: {error.detail}"
    hint = f"is cloverwayd running there, and is it the listener that serves {path}?"
    return f"{address}: {error.detail}; {hint}"
