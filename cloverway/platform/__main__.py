"""Run one host of the fleet on the users' platform."""

from __future__ import annotations

import os
import sys

from cloverway.serving.early_sockets import EarlySockets

SETTINGS_VARIABLE = "CLOVERWAY_BOOT"
"""Environment variable with the path of the settings; the platform writes that file from
deploy/settings.toml."""


def main() -> None:
    """Run until the process receives the signal to stop."""
    path = os.environ.get(SETTINGS_VARIABLE, "/etc/cloverway/settings.json")
    early = EarlySockets.from_settings(path)
    # Imported after the sockets are open, because these imports take most of the start-up time.
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
