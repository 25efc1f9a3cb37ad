"""Defines `worksmux load`: generates load for gateways, and records and replays it."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Annotated

import typer

from ..settings.document import SettingsError
from .refusals import refuse

loads = typer.Typer(no_args_is_help=True, help="Send load to gateways at its intended times.")


@loads.command()
def run(
    file: Annotated[
        Path, typer.Argument(help="a load in KDL, such as examples/load.kdl", metavar="LOAD.kdl")
    ],
    record: Annotated[Path | None, typer.Option(help="record the requests, for replay (Parquet)")] = None,
    out: Annotated[Path | None, typer.Option(help="a folder for report.html and report.json")] = None,
    as_json: Annotated[bool, typer.Option("--json", help="print the report as JSON")] = False,
) -> None:
    """Run a load.  Exit codes: 0 valid, 1 the generator missed its intended times, 2 the file is invalid."""
    from ..load.generator import LoadError
    from ..load.generator import run as run_load
    from ..load.page import page
    from ..load.settings import load_load

    try:
        report = run_load(load_load(file), lambda text: typer.echo(text, err=True), record)
    except SettingsError as error:
        raise refuse(error) from error
    except LoadError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(1) from error
    if out:
        out.mkdir(parents=True, exist_ok=True)
        (out / "report.json").write_text(json.dumps(report, indent=1), encoding="utf-8")
        (out / "report.html").write_text(page(report), encoding="utf-8")
    if as_json:
        typer.echo(json.dumps(report))
    else:
        typer.echo(
            f"{report['name']}: {report['sent']} requests, "
            + ", ".join(f"{count} {how}" for how, count in report["ends"].items())
        )
        for key in ("first_ms", "whole_ms", "first_from_send_ms", "lag_ms"):
            typer.echo(f"{key}: " + ", ".join(f"{name} {value:.1f}" for name, value in report[key].items()))
        typer.echo("valid" if report["valid"] else f"INVALID: {report['why']}")
    raise typer.Exit(0 if report["valid"] else 1)
