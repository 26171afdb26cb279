"""The secret that all hosts share, read from the file that the settings name."""

from __future__ import annotations

from pathlib import Path

from cloverway.config.findings import Findings

MIN_SECRET_BYTES = 32
"""A shorter secret can be guessed from recorded datagrams."""

MAX_SECRET_BYTES = 4096

SETTING_NAME = "security.peer_secret_file"

READABLE_BY_OTHERS = 0o004


def read_secret(path: Path) -> bytes:
    """Give the secret without white space around it; raise ConfigurationError if it is no good.

    The secret itself is in no finding.
    """
    findings = Findings(str(path))
    secret = b""
    try:
        with path.open("rb") as file:
            secret = file.read(MAX_SECRET_BYTES + 1).strip()
        if path.stat().st_mode & READABLE_BY_OTHERS:
            findings.warn(
                SETTING_NAME, "can be read by every user of the host; set its mode to 0600"
            )
    except OSError as error:
        findings.add(SETTING_NAME, f"can't be read: {error.strerror}; give the file to this user")
    else:
        _check_length(secret, findings)
    findings.raise_if_any()
    return secret


def _check_length(secret: bytes, findings: Findings) -> None:
    if len(secret) < MIN_SECRET_BYTES:
        remedy = f"make one of at least {MIN_SECRET_BYTES}, such as `openssl rand -hex 32` gives"
        findings.add(SETTING_NAME, f"holds {len(secret)} bytes; {remedy}")
    elif len(secret) > MAX_SECRET_BYTES:
        findings.add(
            SETTING_NAME, f"holds over {MAX_SECRET_BYTES} bytes; name the file of the secret"
        )
