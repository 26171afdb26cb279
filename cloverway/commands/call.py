"""Send one call and print its answer as it arrives."""

from __future__ import annotations

import json
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from cloverway.answers import Answer
from cloverway.client import Call, Client
from cloverway.commands.admin import check_address
from cloverway.errors import CallError, Kind, Ran, UserError

KEY_VARIABLE = "CLOVERWAY_KEY"

RAN_TEXTS = {
    Ran.NO: "It was not run.",
    Ran.YES: "It was run.",
    Ran.UNKNOWN: "It is unknown whether it was run.",
}


ADVICE = {
    Kind.UNAUTHENTICATED: "Use the key of your team; operators make one with `cloverway key`.",
    Kind.FORBIDDEN: "Name a profile that operators have published for your team.",
    Kind.RESIDENCY: "Ask operators for a profile or an endpoint in the team's home region.",
    Kind.KEY_REQUIRED: "Give --once.",
    Kind.KEY_MISMATCH: "Repeat the call exactly as it was first sent with this key.",
    Kind.ANSWER_GONE: "Don't repeat it; look for its result at the service that ran it.",
    Kind.KEY_EXPIRED: "If it was sent with this key before, find out whether it was run.",
    Kind.KEY_SPENT: "It is never run again with this key: find out whether it was, then decide.",
    Kind.KEY_INVALID: "Omit --idempotency-key and give --once.",
}
"""Advice for errors that a later retry does not resolve."""


class CallOptions(NamedTuple):
    """The options of the command line that describe the call."""

    message: str = ""
    profile: str = ""
    service: str = ""
    path: str = ""
    data: str = ""
    stream: bool = True
    deadline_ms: int = 0
    idempotency_key: str = ""


def read_caller_key(file: Path | None) -> str:
    """Read the caller key from a file or the environment; raise UserError if there is none."""
    if file is None:
        key = os.environ.get(KEY_VARIABLE, "")
    else:
        try:
            key = file.read_text(encoding="utf-8")
        except OSError as error:
            raise UserError(f"{file}: can't be read: {error.strerror}") from error
    if not key.strip():
        raise UserError(f"there is no caller key; set {KEY_VARIABLE} or give --key-file FILE")
    return key.strip()


def make_client(addresses: list[str], key_file: Path | None, patience_s: float) -> Client:
    """Create a client from the options of the command line."""
    return Client(
        [check_address(address) for address in addresses],
        read_caller_key(key_file),
        patience_s=patience_s,
    )


def make_call(options: CallOptions) -> Call:
    """Create the call; raise UserError if options are missing or conflict."""
    if options.service:
        return _apply_options(
            Call.for_service(options.profile, options.service, options.path, _read_data(options)),
            options,
        )
    if options.path or options.data:
        raise UserError("--path and --data belong to a service; name it with --service")
    if not options.message:
        raise UserError("give a MESSAGE, or a service with --service NAME --path /x --data JSON")
    messages = [{"role": "user", "content": options.message}]
    return _apply_options(Call.for_chat(options.profile, messages, stream=options.stream), options)


def print_answer(answer: Answer, write: Callable[[str], Any]) -> None:
    """Write the text of an answer as it arrives; raise CallError if it was truncated."""
    if "/services/" in answer.path:
        write(answer.read().decode("utf-8", "replace"))
        return
    for text in answer.read_text():
        write(text)


def describe_failure(error: CallError) -> str:
    """Describe what failed, whether the call was run, and what to do next."""
    lines = [
        f"{error.kind}: {error.detail}",
        f"ran: {error.ran}. {RAN_TEXTS[error.ran]}",
        _suggest_action(error),
        _describe_origin(error),
    ]
    return "\n".join(line for line in lines if line)


def describe_origin(answer: Answer) -> str:
    """Describe where an answer comes from."""
    origin = {
        "host": answer.host,
        "region": answer.headers.get("cloverway-region"),
        "endpoint": answer.headers.get("cloverway-endpoint"),
        "request": answer.request_id,
    }
    return ", ".join(f"{name} {value}" for name, value in origin.items() if value)


def _describe_origin(error: CallError) -> str:
    if error.request_id:
        return f"Request {error.request_id} at {error.host}."
    return f"Is cloverwayd running at {error.host}, and is it a callers' address?"


def _suggest_action(error: CallError) -> str:
    """Describe what to do next."""
    when = f" in {error.retry_after:.1f} s" if error.retry_after is not None else ""
    if error.kind in ADVICE:
        return ADVICE[error.kind]
    if error.key and error.ran is not Ran.NO:
        return (
            f"Repeat it{when} with --idempotency-key {error.key}: it is not run a second time, "
            "and you get the answer of the first run if it is still recorded."
        )
    return f"Send it again{when}." if when else ""


def _read_data(options: CallOptions) -> Any:
    if not options.path:
        raise UserError("a service call needs its path: --path /x")
    try:
        return json.loads(options.data or "{}")
    except json.JSONDecodeError as error:
        raise UserError(f"--data is not JSON: {error}") from error


def _apply_options(call: Call, options: CallOptions) -> Call:
    return call._replace(deadline_ms=options.deadline_ms, key=options.idempotency_key)
