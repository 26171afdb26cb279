"""Options that several commands share."""

from __future__ import annotations

from typing import Annotated

import typer

AdminHost = Annotated[
    str, typer.Option("--host", help="The host's admin address, as IP:PORT.", show_default=False)
]
CallerHosts = Annotated[
    list[str],
    typer.Option(
        "--host",
        envvar="CLOVERWAY_HOSTS",
        help="The callers' address of an entry host, as IP:PORT; may be given several times.",
    ),
]
Json = Annotated[bool, typer.Option("--json", help="Print JSON for a script.")]
