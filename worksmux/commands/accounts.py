"""`worksmux fleet audit` and `job`: who acted on which version, from the accounts of all fronts."""

from __future__ import annotations

import json
import time
from datetime import datetime
from typing import Annotated, Any

import typer

from .fleet import AsJson, Watch, ask, fleet, show
from .refusals import BAD_CALL

Time = Annotated[str, typer.Option(help="as 2026-12-02T01:30:00, of this machine's zone")]


def _ms(text: str, name: str) -> float | None:
    if not text:
        return None
    try:
        return datetime.fromisoformat(text).timestamp() * 1000
    except ValueError as error:
        typer.echo(f"--{name}: expected a time such as 2026-12-02T01:30:00, not {text!r}", err=True)
        raise typer.Exit(BAD_CALL) from error


def _clock(ms: float) -> str:
    return time.strftime("%H:%M:%S", time.localtime(ms / 1000)) + f".{int(ms) % 1000:03d}"


def _versions(versions: dict[str, Any] | None) -> str:
    if versions is None:
        return "not known"
    return ", ".join(
        f"{name} {one['number'] or ''}".strip() + f" {one['mark'][:8]}{one['mark'][16:]}"
        for name, one in versions.items()
    )


def _wanted(span: dict[str, Any], since: float | None, until: float | None, version: str, front: str) -> bool:
    name, _, number = version.partition(":")
    held = (span["versions"] or {}).get(name)
    return (
        (since is None or span["until"] >= since)
        and (until is None or span["since"] <= until)
        and (not front or span["front"] == front)
        and (not version or held is not None and (not number or str(held["number"]) == number))
    )


@fleet.command()
def audit(
    watch: Watch,
    at: Time = "",
    since: Annotated[str, typer.Option("--from", help="a time")] = "",
    to: Annotated[str, typer.Option(help="a time")] = "",
    version: Annotated[str, typer.Option(help="a name, or name:number, such as plan:7")] = "",
    front: Annotated[str, typer.Option(help="one front alone")] = "",
    as_json: AsJson = False,
) -> None:
    """Show what fronts acted on, and when; what nobody recorded is `not known`.

    Exit code 1 where a chain is broken, a piece is missing, a clock stepped or contents differ.
    """
    moment, begin, end = _ms(at, "at"), _ms(since, "from"), _ms(to, "to")
    told = ask(watch, "/fleet/audit" + (f"?at={moment}" if moment is not None else ""))
    told["spans"] = [span for span in told["spans"] if _wanted(span, begin, end, version, front)]
    if as_json:
        typer.echo(json.dumps(told))
    else:
        show(
            f"{len(told['fronts'])} fronts",
            ["front", "from", "until", "acted on"],
            [
                [span["front"], _clock(span["since"]), _clock(span["until"]), _versions(span["versions"])]
                for span in told["spans"]
            ],
        )
        for one in told["findings"]:
            typer.echo(f"{one['front']}, after record {one['index']}: {one['text']}")
    raise typer.Exit(1 if told["findings"] else 0)


@fleet.command()
def job(
    watch: Watch,
    name: Annotated[str, typer.Argument(help="as in the log's line `job`", metavar="JOB")],
    as_json: AsJson = False,
) -> None:
    """Show each decision on a job, with the versions that its front acted on."""
    told = ask(watch, f"/fleet/audit?job={name}")
    if as_json:
        typer.echo(json.dumps(told))
    else:
        show(
            f"job {name}",
            ["when", "front", "decision", "acted on"],
            [
                [
                    _clock(one["at"]),
                    one["front"],
                    "final answer" if one["trip"] < 0 else f"trip {one['trip']}",
                    _versions(one["versions"]),
                ]
                for one in told["decisions"]
            ],
        )
    raise typer.Exit(0 if told["decisions"] else 1)
