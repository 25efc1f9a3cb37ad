"""Rejects an invalid file: prints every fault with its line, and ends with exit code 2."""

from __future__ import annotations

import typer

from ..settings.document import SettingsError

BAD_CALL = 2


def refuse(error: SettingsError) -> typer.Exit:
    """Prints all complaints; returns the exit to raise."""
    for complaint in error.complaints:
        typer.echo(str(complaint), err=True)
    count = len(error.complaints)
    typer.echo(f"{count} {'fault' if count == 1 else 'faults'}; nothing was started", err=True)
    return typer.Exit(BAD_CALL)
