"""Print documents, reports and user errors."""

from __future__ import annotations

from typing import Any

import typer
from typer.core import TyperGroup

from cloverway.commands import check, output
from cloverway.errors import UserError


class Commands(TyperGroup):
    """Command group that prints user errors as plain text."""

    def invoke(self, ctx: Any) -> Any:
        """Run a command; on a UserError, print it and exit with code 1."""
        try:
            return super().invoke(ctx)
        except UserError as error:
            typer.echo(f"cloverway: {error}", err=True)
            raise typer.Exit(1) from error


def print_document(document: Any, json: bool) -> None:
    """Print the answer of a host as JSON or as nested text."""
    typer.echo(output.format_json(document) if json else output.format_nested(document))


def print_report(report: check.Report, json: bool) -> None:
    """Print the findings of a check; exit with code 1 if it failed."""
    if json:
        typer.echo(output.format_json(report._asdict() | {"passed": report.passed}))
    else:
        for change in report.changes:
            typer.echo(change)
        for warning in report.warnings:
            typer.echo(f"warning: {warning}", err=True)
        for error in report.errors:
            typer.echo(f"error: {error}", err=True)
        typer.echo(check.summarise(report))
    if not report.passed:
        raise typer.Exit(1)
