"""What commands print: documents, reports, and a person's mistakes."""

from __future__ import annotations

from typing import Any

import typer
from typer.core import TyperGroup

from cloverway.commands import check, output
from cloverway.errors import UserError


class Commands(TyperGroup):
    """Shows a person's mistakes as plain text."""

    def invoke(self, ctx: Any) -> Any:
        """Run a command; end with exit code 1 and a plain text on a UserError."""
        try:
            return super().invoke(ctx)
        except UserError as error:
            typer.echo(f"cloverway: {error}", err=True)
            raise typer.Exit(1) from error


def print_document(document: Any, json: bool) -> None:
    """Print what a host answered, as JSON or as nested text."""
    typer.echo(output.format_json(document) if json else output.format_nested(document))


def print_report(report: check.Report, json: bool) -> None:
    """Print what a check found; end with exit code 1 where it did not pass."""
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
