"""Command line for operators and callers: parses options and prints the results of commands."""

from __future__ import annotations

import logging
import os
import sys
import time
from pathlib import Path
from typing import Annotated

import typer

from cloverway import __version__
from cloverway.commands import admin, bench, call, check, key, output, status, trace, watch
from cloverway.commands.options import AdminHost, CallerHosts, Json
from cloverway.commands.printing import Commands, print_document, print_report
from cloverway.errors import CallError, Kind
from cloverway.load import LoadPlan
from cloverway.serving.settings import FleetSettings

EXIT_TRUNCATED = 3
"""Exit code for a truncated answer."""


app = typer.Typer(
    cls=Commands,
    name="cloverway",
    no_args_is_help=True,
    add_completion=False,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
    context_settings={"help_option_names": ["-h", "--help"]},
)

EXAMPLES = """\b
    Examples:
      cloverway check published/                      before publishing
      cloverway hosts --host 127.0.0.11:8010           which entry hosts to use now
      cloverway call --host 127.0.0.11:8010 --profile chat "Is insulin in stock?"
"""


def _print_version(is_requested: bool) -> None:
    if is_requested:
        typer.echo(f"cloverway {__version__}")
        raise typer.Exit


@app.callback(epilog=EXAMPLES)
def _start(
    version: Annotated[
        bool,
        typer.Option(
            "--version", is_eager=True, callback=_print_version, help="Print the version and exit."
        ),
    ] = False,
) -> None:
    """Check, watch and call cloverway, a multi-region inference gateway."""
    logging.getLogger("cloverway").addHandler(logging.NullHandler())


@app.command(
    "check",
    epilog="""\b
    Examples:
      cloverway check published/
      cloverway check published/ --against deployed/
    """,
)
def _check(
    directory: Annotated[Path, typer.Argument(help="Directory of published TOML files.")],
    against: Annotated[
        Path | None,
        typer.Option(
            help="Directory in force now: show the changes, and check that the revision is higher."
        ),
    ] = None,
    json: Json = False,
) -> None:
    """Check published files.

    Shows every error with its file, its dotted name and a remedy. Exit code 1 on errors.
    """
    print_report(check.check_directory(directory, against), json)


@app.command(
    "settings",
    epilog="""\b
    Examples:
      cloverway settings settings.toml
      cloverway settings settings.toml --published published/
    """,
)
def _settings(
    file: Annotated[Path, typer.Argument(help="Settings file of a daemon.")],
    published: Annotated[
        Path | None, typer.Option(help="Check that the host is published as in the settings.")
    ] = None,
    json: Json = False,
) -> None:
    """Check the settings of a daemon. Exit code 1 on errors."""
    print_report(check.check_settings(file, published), json)


@app.command(
    "fleet-settings",
    epilog="""\b
    Examples:
      cloverway fleet-settings /etc/cloverway/settings.toml
    """,
)
def _fleet_settings(
    file: Annotated[Path, typer.Argument(help="Settings file of a host of a fleet, filled in.")],
    json: Json = False,
) -> None:
    """Check the settings of a fleet host on the users' platform. Exit code 1 on errors."""
    print_document(output.make_plain(FleetSettings.from_toml(file)), json)


@app.command(
    "trace",
    epilog="""\b
    Examples:
      cloverway trace 58fc326d73f67bcc host-1.log host-2.log
      cat *.log | cloverway trace 58fc326d73f67bcc
    """,
)
def _trace(
    request_id: Annotated[str, typer.Argument(help="The id of one attempt, or the digest of all.")],
    logs: Annotated[
        list[Path] | None, typer.Argument(help="Logs of hosts; standard input if none is given.")
    ] = None,
    json: Json = False,
) -> None:
    """Show the decisions of hosts about one request, by time, from their logs.

    Exit code 1 if no line names the request.
    """
    sources = trace.open_logs(logs) if logs else [sys.stdin]
    lines = trace.trace_request(request_id, sources)
    if json:
        typer.echo(output.format_json([line._asdict() for line in lines]))
        return
    typer.echo(trace.format_trace(lines))


@app.command(
    "key",
    epilog="""\b
    Examples:
      cloverway key
      cloverway key --json
    """,
)
def _key(json: Json = False) -> None:
    """Generate a caller key and its hash to publish. The key is not stored."""
    new_key = key.make_key()
    if json:
        typer.echo(output.format_json(new_key._asdict()))
        return
    typer.echo(f"Give this key to the team, and keep no copy:\n\n  {new_key.key}\n")
    typer.echo(f'Publish its hash in the team\'s table:\n\n  key_hashes = ["{new_key.key_hash}"]')


@app.command(
    "status",
    epilog="""\b
    Examples:
      cloverway status --host 127.0.0.11:8011
      cloverway status --published published/         every host, compared; exit code 1 on faults
    """,
)
def _status(
    host: Annotated[
        list[str] | None,
        typer.Option("--host", help="A host's admin address, as IP:PORT; may be given repeatedly."),
    ] = None,
    published: Annotated[
        Path | None, typer.Option(help="Query every host of this published directory.")
    ] = None,
    json: Json = False,
) -> None:
    """Show the status of hosts.

    For one host: its configuration, the other hosts, the endpoints and their load. For several
    hosts: a line for each, and what needs attention; exit code 1 if anything does.
    """
    addresses = status.find_addresses(host or [], published)
    if len(addresses) == 1:
        print_document(admin.query_json(addresses[0], status.PATH), json)
        return
    statuses = status.query_all(addresses)
    faults = status.find_problems(statuses)
    if json:
        hosts = [host_status._asdict() for host_status in statuses]
        typer.echo(output.format_json({"hosts": hosts, "faults": faults}))
    else:
        typer.echo(output.format_table(status.COLUMNS, map(status.as_cells, statuses)))
        for fault in faults:
            typer.echo(f"look at: {fault}", err=True)
    if faults:
        raise typer.Exit(1)


@app.command(
    "hosts",
    epilog="""\b
    Example:
      cloverway hosts --host 127.0.0.11:8010
    """,
)
def _hosts(host: AdminHost, json: Json = False) -> None:
    """Show the entry hosts to use now.

    Best first, without leaving and overloaded hosts. Any host can answer.
    """
    print_document(admin.query_json(host, "/v1/hosts"), json)


@app.command(
    "explain",
    epilog="""\b
    Example:
      cloverway explain --host 127.0.0.11:8011 pharmacy-curepipe stock-lookup
    """,
)
def _explain(
    host: AdminHost,
    team: Annotated[str, typer.Argument(help="The team that would call.")],
    profile: Annotated[str, typer.Argument(help="The profile that it would name.")],
    json: Json = False,
) -> None:
    """Show where a request would be routed, and why.

    Nothing is sent to an endpoint.
    """
    query = {"team": team, "profile": profile}
    print_document(admin.query_json(host, "/v1/explain", "POST", query), json)


@app.command(
    "drain",
    epilog="""\b
    Example:
      cloverway drain --host 127.0.0.11:8011
    """,
)
def _drain(host: AdminHost, json: Json = False) -> None:
    """Drain a host.

    It accepts no new work, directs its callers to other hosts and completes work in progress.
    """
    print_document(admin.query_json(host, "/v1/drain", "POST"), json)


@app.command(
    "watch",
    epilog="""\b
    Examples:
      cloverway watch --host 127.0.0.11:8011 --by tenant
      cloverway watch --host 127.0.0.11:8011 --count 1 --json
    """,
)
def _watch(
    host: AdminHost,
    by: Annotated[str, typer.Option(help="Only histograms with this label, such as class.")] = "",
    count: Annotated[int, typer.Option(min=1, max=1000, help="How many readings.")] = 5,
    every: Annotated[float, typer.Option(min=0.1, help="Seconds between readings.")] = 2.0,
    json: Json = False,
) -> None:
    """Show p50, p95 and p99 of each histogram.

    The first reading counts from the start of the host, each later one from the reading before.
    """
    for rows in watch.watch(host, count, every, time.sleep, by):
        if json:
            typer.echo(output.format_json([row._asdict() for row in rows]))
            continue
        typer.echo(output.format_table(watch.COLUMNS, (watch.as_cells(row) for row in rows)) + "\n")


@app.command(
    "call",
    epilog="""\b
    Examples:
      export CLOVERWAY_KEY=cw_...
      cloverway call --host 127.0.0.11:8010 --profile chat "Is insulin in stock?"
      cloverway call --host 127.0.0.11:8010 --profile allocation --once \\
          --service stock-desk --path /allocations --data '{"item": "insulin", "cartons": 2}'
    \b
    Exit codes: 0 complete answer, 1 refused or failed, 3 truncated answer.
    """,
)
def _call(
    *,
    profile: Annotated[str, typer.Option(help="The published profile to use.")],
    message: Annotated[str, typer.Argument(help="The message to the model.")] = "",
    host: CallerHosts,
    key_file: Annotated[
        Path | None, typer.Option(help="File with the caller key, in place of CLOVERWAY_KEY.")
    ] = None,
    service: Annotated[str, typer.Option(help="Call this plain service, not a model.")] = "",
    path: Annotated[str, typer.Option(help="Path below the service, such as /stock.")] = "",
    data: Annotated[str, typer.Option(help="JSON body of a service call.")] = "",
    once: Annotated[
        bool,
        typer.Option(help="Get an idempotency key first, for work that must run at most once."),
    ] = False,
    idempotency_key: Annotated[
        str, typer.Option(help="Repeat an earlier call with its key; it does not run twice.")
    ] = "",
    deadline_ms: Annotated[
        int,
        typer.Option(min=0, help="Time for the complete answer; 0 uses the profile's deadline."),
    ] = 0,
    patience: Annotated[
        float, typer.Option(min=0, help="Seconds within which a call that was not run is retried.")
    ] = 30.0,
    stream: Annotated[bool, typer.Option(help="Print the text as it is generated.")] = True,
) -> None:
    """Send one call and print its answer.

    An error tells whether the call was run. Only a call that was not run is retried: after
    Retry-After, or at once at another host.
    """
    call_options = call.CallOptions(
        message, profile, service, path, data, stream, deadline_ms, idempotency_key
    )
    client = call.make_client(host, key_file, patience)
    request = call.make_call(call_options)
    try:
        answer = client.call(request, once=once)
        call.print_answer(answer, _write)
    except CallError as error:
        typer.echo(f"\ncloverway: {call.describe_failure(error)}", err=True)
        raise typer.Exit(EXIT_TRUNCATED if error.kind is Kind.TRUNCATED else 1) from error
    typer.echo()
    typer.echo(call.describe_origin(answer), err=True)


def _write(text: str) -> None:
    typer.echo(text, nl=False)
    sys.stdout.flush()


@app.command(
    "bench",
    epilog="""\b
    Example:
      cloverway bench --target gateway=127.0.0.11:8010 --target direct=127.0.0.1:9000 \\
          --profile chat --streams 100 --seconds 20
    """,
)
def _bench(
    target: Annotated[list[str], typer.Option(help="NAME=IP:PORT[,IP:PORT]; may be repeated.")],
    profile: Annotated[str, typer.Option(help="Profile of the calls.")] = "",
    streams: Annotated[int, typer.Option(min=1, max=2000, help="Concurrent streams.")] = 10,
    seconds: Annotated[
        float, typer.Option(min=1, max=3600, help="Duration of the load in seconds.")
    ] = 10.0,
    tokens: Annotated[int, typer.Option(min=2, max=10_000, help="Tokens in each answer.")] = 50,
    token_ms: Annotated[float, typer.Option(min=0.1, help="Expected time between tokens.")] = 60.0,
    model: Annotated[str, typer.Option(help="Model name, if a target requires one.")] = "",
    pid: Annotated[
        list[int] | None, typer.Option(help="Process whose CPU and memory use is measured.")
    ] = None,
    seed: Annotated[int, typer.Option(help="Seed of the arrivals.")] = 1,
    json: Json = False,
) -> None:
    """Load targets in one run and compare the latencies that their callers measure.

    Give a gateway and an endpoint behind it to see what the gateway adds. The caller key is read
    from CLOVERWAY_KEY.
    """
    caller_key = os.environ.get("CLOVERWAY_KEY", "")
    headers = {"Authorization": f"Bearer {caller_key}", "Cloverway-Profile": profile}
    targets = [bench.parse_target(text, headers) for text in target]
    plan = LoadPlan(streams, seconds, tokens, token_ms / 1000, model=model)
    stats, usage = bench.bench(targets, plan, seed, pid or [])
    if json:
        typer.echo(output.format_json(bench.as_document(targets, stats, usage)))
        return
    typer.echo(bench.format_markdown(bench.COLUMNS, bench.make_rows(targets, stats, plan)))
    for process in usage:
        typer.echo(f"process {process.pid}: {process.cores:.2f} cores, {process.memory_mb:.0f} MB")


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
