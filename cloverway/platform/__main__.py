"""Runs one host of the fleet on the users' platform."""

from __future__ import annotations

import os
import sys
from pathlib import Path

from cloverway.errors import UserError
from cloverway.platform.dialect import PlatformDialect
from cloverway.platform.store import PlatformStore
from cloverway.serving.host import run_host

SETTINGS_VARIABLE = "CLOVERWAY_BOOT"
"""Holds the path of the settings, which the platform fills in from deploy/settings.toml."""


def main() -> None:
    """Run until the process is told to stop."""
    path = Path(os.environ.get(SETTINGS_VARIABLE, "/etc/cloverway/settings.json"))
    try:
        run_host(path, lambda settings: PlatformStore(settings.store.address), PlatformDialect())
    except UserError as error:
        sys.exit(f"cloverway: {error}")


if __name__ == "__main__":
    main()
