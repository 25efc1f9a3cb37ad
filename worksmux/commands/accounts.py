"""Defines `worksmux fleet audit` and `fleet job`: the versions that gateways acted on."""

from __future__ import annotations

import json
import time
from datetime import datetime
from typing import Annotated, Any

import typer

from .fleet import AsJson, Watch, fetch, fleet, show
from .refusals import BAD_CALL

Time = Annotated[str, typer.Option(help="such as 2026-12-02T01:30:00, in this machine's time zone")]


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
        f"{name} {version['number'] or ''}".strip() + f" {version['mark'][:8]}{version['mark'][16:]}"
        for name, version in versions.items()
    )


def _matches(
    span: dict[str, Any], since: float | None, until: float | None, version: str, front: str
) -> bool:
    name, _, number = version.partition(":")
    acted_on = (span["versions"] or {}).get(name)
    return (
        (since is None or span["until"] >= since)
        and (until is None or span["since"] <= until)
        and (not front or span["front"] == front)
        and (not version or acted_on is not None and (not number or str(acted_on["number"]) == number))
    )


@fleet.command()
def audit(
    watch: Watch,
    at: Time = "",
    since: Annotated[str, typer.Option("--from", help="a time")] = "",
    to: Annotated[str, typer.Option(help="a time")] = "",
    version: Annotated[str, typer.Option(help="a name, or name:number, such as plan:7")] = "",
    front: Annotated[str, typer.Option(help="only this gateway")] = "",
    as_json: AsJson = False,
) -> None:
    """Show which versions the gateways acted on, and when; `not known` if nothing was recorded.

    Exit code 1 if a hash chain is broken, records are missing, a clock was stepped or contents differ.
    """
    at_ms, since_ms, until_ms = _ms(at, "at"), _ms(since, "from"), _ms(to, "to")
    report = fetch(watch, "/fleet/audit" + (f"?at={at_ms}" if at_ms is not None else ""))
    report["spans"] = [span for span in report["spans"] if _matches(span, since_ms, until_ms, version, front)]
    if as_json:
        typer.echo(json.dumps(report))
    else:
        show(
            f"{len(report['fronts'])} gateways",
            ["gateway", "from", "until", "acted on"],
            [
                [span["front"], _clock(span["since"]), _clock(span["until"]), _versions(span["versions"])]
                for span in report["spans"]
            ],
        )
        for finding in report["findings"]:
            typer.echo(f"{finding['front']}, after record {finding['index']}: {finding['text']}")
    raise typer.Exit(1 if report["findings"] else 0)


@fleet.command()
def job(
    watch: Watch,
    name: Annotated[str, typer.Argument(help="the request's number, as in the log", metavar="JOB")],
    as_json: AsJson = False,
) -> None:
    """Show each decision on a request, with the versions that its gateway acted on."""
    report = fetch(watch, f"/fleet/audit?job={name}")
    if as_json:
        typer.echo(json.dumps(report))
    else:
        show(
            f"request {name}",
            ["when", "gateway", "decision", "acted on"],
            [
                [
                    _clock(decision["at"]),
                    decision["front"],
                    "final answer" if decision["trip"] < 0 else f"attempt {decision['trip']}",
                    _versions(decision["versions"]),
                ]
                for decision in report["decisions"]
            ],
        )
    raise typer.Exit(0 if report["decisions"] else 1)
