"""`worksmux fleet`: how the fleet of fronts stands, asked of any of them at its watch port."""

from __future__ import annotations

import json
import time
from typing import Annotated, Any
from urllib.error import HTTPError, URLError
from urllib.request import ProxyHandler, build_opener

import typer
from rich.console import Console
from rich.table import Table

from .refusals import BAD_CALL

fleet = typer.Typer(no_args_is_help=True, help="The fronts, what they decide in common, and why.")
Watch = Annotated[str, typer.Argument(help="a front's watch address, as 127.0.0.1:9001", metavar="HOST:PORT")]
AsJson = Annotated[bool, typer.Option("--json", help="print as JSON")]


def ask(watch: str, path: str = "/fleet") -> dict[str, Any]:
    opener = build_opener(ProxyHandler({}))
    try:
        with opener.open(f"http://{watch}{path}", timeout=5) as reply:
            found: dict[str, Any] = json.load(reply)
            return found
    except HTTPError as error:
        why = "this front's settings have no section fleet" if error.code == 404 else str(error)
    except (URLError, OSError, ValueError) as error:
        why = str(getattr(error, "reason", error))
    typer.echo(f"{watch}: {why}", err=True)
    raise typer.Exit(BAD_CALL)


def show(title: str, names: list[str], rows: list[list[Any]]) -> None:
    table = Table(title=title, title_justify="left")
    for name in names:
        table.add_column(name)
    for row in rows:
        table.add_row(*[str(one) for one in row])
    Console(highlight=False, width=120).print(table)


def _shares(row: dict[str, float]) -> str:
    return ", ".join(f"{name} {share:.0%}" for name, share in row.items()) or "-"


@fleet.command()
def status(watch: Watch, as_json: AsJson = False) -> None:
    """Show the fronts, the council and the plan in force.  Exit code 1 while that front is alone."""
    told = ask(watch)
    if as_json:
        typer.echo(json.dumps(told))
    else:
        council, plan = told["council"], told["plan"]
        show(
            f"fleet {told['fleet']}, as {told['front']} sees it",
            ["front", "state", "zone", "region", "seat", "life"],
            [
                [
                    one["name"],
                    one["state"],
                    one["zone"],
                    one["region"] or "-",
                    "yes" if one["seat"] else "",
                    one["life"],
                ]
                for one in told["fronts"]
            ],
        )
        typer.echo(
            f"council: term {council['term']}, led by {council['leader'] or 'nobody known'}, seats "
            + (", ".join(council["voters"]) or "not of this front")
        )
        typer.echo(f"plan {plan['number']}: {plan['why'] or 'none was ever needed'}")
        typer.echo(
            "this front is ALONE: nothing newer than its last plan is known"
            if told["alone"]
            else f"lease: {told['lease_ms']} ms left"
        )
        if told["contradictions"]:
            typer.echo(f"fronts told unlike things as agreed: {told['contradictions']} times; see the log")
    raise typer.Exit(1 if told["alone"] else 0)


@fleet.command()
def plan(watch: Watch, as_json: AsJson = False) -> None:
    """Show the plan that the front acts on: where each zone's jobs go, and what is deferred at once."""
    told = ask(watch)["plan"]
    if as_json:
        typer.echo(json.dumps(told))
        return
    zones = sorted({*told["rows"], *told["shed"]})
    show(
        f"plan {told['number']}, event {told['event']}: {told['why'] or 'none was ever needed'}",
        ["zone", "its jobs go to", "deferred at once"],
        [
            [zone, _shares(told["rows"].get(zone, {zone: 1.0})), _shares(told["shed"].get(zone, {}))]
            for zone in zones
        ],
    )


@fleet.command()
def history(watch: Watch, as_json: AsJson = False) -> None:
    """Show the plans that the front has acted on, since its start and 200 at the most."""
    told = ask(watch)["history"]
    if as_json:
        typer.echo(json.dumps(told))
        return
    show(
        f"{len(told)} plans",
        ["when", "plan", "event", "why", "rows"],
        [
            [
                time.strftime("%H:%M:%S", time.localtime(one["at"] / 1000)) + f".{int(one['at']) % 1000:03d}",
                one["number"],
                one["event"],
                one["why"],
                "; ".join(f"{zone}: {_shares(row)}" for zone, row in one["rows"].items()),
            ]
            for one in told
        ],
    )


@fleet.command()
def explain(
    watch: Watch, zone: Annotated[str, typer.Argument(help="a zone's name")], as_json: AsJson = False
) -> None:
    """Show why the plan treats a zone as it does: what this front sees of it, and, at the front that leads,
    how it is judged."""
    told = ask(watch)
    if zone not in told["zones"] and zone not in told["plan"]["rows"]:
        typer.echo(f"{watch}: no zone {zone}; known are {', '.join(sorted(told['zones']))}", err=True)
        raise typer.Exit(BAD_CALL)
    own, judged = told["zones"].get(zone, {}), told["seen_by_leader"].get(zone)
    found = {
        "zone": zone,
        "seen_here": own,
        "judged": judged,
        "leader": told["council"]["leader"],
        "row": told["plan"]["rows"].get(zone, {zone: 1.0}),
        "shed": told["plan"]["shed"].get(zone, {}),
        "plans": [one for one in told["history"] if zone in one["rows"]][-5:],
    }
    if as_json:
        typer.echo(json.dumps(found))
        return
    typer.echo(f"{zone}: its jobs go to {_shares(found['row'])}; deferred at once: {_shares(found['shed'])}")
    if own:
        vote = (
            "lost" if own["lost"] else "grey" if own["grey"] else "well" if own["spoke"] else "nothing to say"
        )
        typer.echo(
            f"{told['front']} sees: {own['ready']:g} ready of {own['had']:.3g}, {own['begun']:g} "
            f"answers begun a second, {own['vain']:g} trips in vain; its vote: {vote}"
        )
    if judged:
        typer.echo(
            f"judged here, where the council leads: {judged['phase']}, keeps {judged['keeps']:.0%}, "
            f"{judged['ready']:g} ready of {judged['of']:g} ({judged['warm']:.0%} warm), waits "
            f"{judged['waits']:.0%} of what was promised, {judged['relapses']} relapses"
        )
    else:
        typer.echo(f"judged by {found['leader'] or 'nobody known'}: ask its watch port for the judgement")
    for one in found["plans"]:
        typer.echo(f"plan {one['number']}: {one['why']}")
