"""`worksmux load`: drive fronts, record and replay."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Annotated

import typer

from ..settings.document import SettingsError
from .refusals import refuse

loads = typer.Typer(no_args_is_help=True, help="Drive fronts with a load that keeps to its intended times.")


@loads.command()
def run(
    file: Annotated[Path, typer.Argument(help="a load in KDL, as examples/load.kdl", metavar="LOAD.kdl")],
    record: Annotated[Path | None, typer.Option(help="record what was asked, for replay (Parquet)")] = None,
    out: Annotated[Path | None, typer.Option(help="a folder for report.html and report.json")] = None,
    as_json: Annotated[bool, typer.Option("--json", help="print the report as JSON")] = False,
) -> None:
    """Exit codes: 0 valid, 1 the generator could not keep to its times, 2 the file is wrong."""
    from ..load.generator import LoadError
    from ..load.generator import run as play
    from ..load.page import page
    from ..load.settings import load_load

    try:
        told = play(load_load(file), lambda text: typer.echo(text, err=True), record)
    except SettingsError as error:
        raise refuse(error) from error
    except LoadError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(1) from error
    if out:
        out.mkdir(parents=True, exist_ok=True)
        (out / "report.json").write_text(json.dumps(told, indent=1), encoding="utf-8")
        (out / "report.html").write_text(page(told), encoding="utf-8")
    if as_json:
        typer.echo(json.dumps(told))
    else:
        typer.echo(
            f"{told['name']}: {told['sent']} jobs, "
            + ", ".join(f"{count} {how}" for how, count in told["ends"].items())
        )
        for key in ("first_ms", "whole_ms", "first_from_send_ms", "lag_ms"):
            typer.echo(f"{key}: " + ", ".join(f"{name} {value:.1f}" for name, value in told[key].items()))
        typer.echo("valid" if told["valid"] else f"INVALID: {told['why']}")
    raise typer.Exit(0 if told["valid"] else 1)
