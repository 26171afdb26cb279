"""Read the secret shared by all hosts from the file given in the settings."""

from __future__ import annotations

from pathlib import Path

from cloverway.config.findings import Findings

MIN_SECRET_BYTES = 32
"""A shorter secret could be found by brute force from captured datagrams."""

MAX_SECRET_BYTES = 4096

SETTING_NAME = "security.peer_secret_file"

READABLE_BY_OTHERS = 0o004


def read_secret(path: Path) -> bytes:
    """Return the secret without surrounding white space; raise ConfigurationError.

    The findings don't contain the secret.
    """
    findings = Findings(str(path))
    secret = b""
    try:
        with path.open("rb") as file:
            secret = file.read(MAX_SECRET_BYTES + 1).strip()
        if path.stat().st_mode & READABLE_BY_OTHERS:
            findings.warn(
                SETTING_NAME, "is readable by all users of the host; set its mode to 0600"
            )
    except OSError as error:
        findings.add(
            SETTING_NAME, f"can't be read: {error.strerror}; make it readable for this user"
        )
    else:
        _check_length(secret, findings)
    findings.raise_if_any()
    return secret


def _check_length(secret: bytes, findings: Findings) -> None:
    if len(secret) < MIN_SECRET_BYTES:
        remedy = f"use at least {MIN_SECRET_BYTES}, such as the output of `openssl rand -hex 32`"
        findings.add(SETTING_NAME, f"holds {len(secret)} bytes; {remedy}")
    elif len(secret) > MAX_SECRET_BYTES:
        findings.add(
            SETTING_NAME, f"holds over {MAX_SECRET_BYTES} bytes; set it to the file with the secret"
        )
