"""Runs one host of the fleet on the users' platform."""

from __future__ import annotations

import os
import sys

from cloverway.serving.early_sockets import EarlySockets

SETTINGS_VARIABLE = "CLOVERWAY_BOOT"
"""Holds the path of the settings, which the platform fills in from deploy/settings.toml."""


def main() -> None:
    """Run until the process is told to stop."""
    path = os.environ.get(SETTINGS_VARIABLE, "/etc/cloverway/settings.json")
    early = EarlySockets.from_settings(path)
    # Loaded only now: this takes most of the time until callers can be served.
    from pathlib import Path

    from cloverway.errors import UserError
    from cloverway.platform.dialect import PlatformDialect
    from cloverway.platform.store import PlatformStore
    from cloverway.serving.host import run_host

    try:
        run_host(
            Path(path),
            lambda settings: PlatformStore(settings.store.address),
            PlatformDialect(),
            early,
        )
    except UserError as error:
        sys.exit(f"cloverway: {error}")


if __name__ == "__main__":
    main()
