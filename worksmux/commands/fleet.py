"""Defines `worksmux fleet`: the state of the fleet, fetched from the watch port of any gateway."""

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

fleet = typer.Typer(no_args_is_help=True, help="The gateways, what they decide together, and why.")
Watch = Annotated[
    str, typer.Argument(help="a gateway's watch address, such as 127.0.0.1:9001", metavar="HOST:PORT")
]
AsJson = Annotated[bool, typer.Option("--json", help="print as JSON")]


def fetch(watch: str, path: str = "/fleet") -> dict[str, Any]:
    """Fetches a status page of a gateway; ends the command with BAD_CALL if that fails."""
    opener = build_opener(ProxyHandler({}))
    try:
        with opener.open(f"http://{watch}{path}", timeout=5) as reply:
            page: dict[str, Any] = json.load(reply)
            return page
    except HTTPError as error:
        reason = "the settings of this gateway have no section fleet" if error.code == 404 else str(error)
    except (URLError, OSError, ValueError) as error:
        reason = str(getattr(error, "reason", error))
    typer.echo(f"{watch}: {reason}", err=True)
    raise typer.Exit(BAD_CALL)


def show(title: str, names: list[str], rows: list[list[Any]]) -> None:
    """Prints a table."""
    table = Table(title=title, title_justify="left")
    for name in names:
        table.add_column(name)
    for row in rows:
        table.add_row(*[str(cell) for cell in row])
    Console(highlight=False, width=120).print(table)


def _shares(row: dict[str, float]) -> str:
    return ", ".join(f"{name} {share:.0%}" for name, share in row.items()) or "-"


@fleet.command()
def status(watch: Watch, as_json: AsJson = False) -> None:
    """Show the gateways, the consensus group and the plan.  Exit code 1 while the gateway is isolated."""
    page = fetch(watch)
    if as_json:
        typer.echo(json.dumps(page))
    else:
        consensus, plan = page["council"], page["plan"]
        show(
            f"fleet {page['fleet']}, as {page['front']} sees it",
            ["gateway", "state", "zone", "region", "voter", "generation"],
            [
                [
                    gateway["name"],
                    gateway["state"],
                    gateway["zone"],
                    gateway["region"] or "-",
                    "yes" if gateway["seat"] else "",
                    gateway["life"],
                ]
                for gateway in page["fronts"]
            ],
        )
        typer.echo(
            f"consensus: term {consensus['term']}, leader {consensus['leader'] or 'unknown'}, voters "
            + (", ".join(consensus["voters"]) or "not known to this gateway")
        )
        typer.echo(f"plan {plan['number']}: {plan['why'] or 'no failover yet'}")
        typer.echo(
            "this gateway is ISOLATED: it acts on the last plan that it received"
            if page["alone"]
            else f"lease: {page['lease_ms']} ms left"
        )
        if page["contradictions"]:
            typer.echo(
                f"gateways reported conflicting replicated values {page['contradictions']} times; see the log"
            )
    raise typer.Exit(1 if page["alone"] else 0)


@fleet.command()
def plan(watch: Watch, as_json: AsJson = False) -> None:
    """Show the plan that the gateway acts on: where the requests of each zone go, and which are shed."""
    shown = fetch(watch)["plan"]
    if as_json:
        typer.echo(json.dumps(shown))
        return
    zones = sorted({*shown["rows"], *shown["shed"]})
    show(
        f"plan {shown['number']}, event {shown['event']}: {shown['why'] or 'no failover yet'}",
        ["zone", "requests go to", "shed"],
        [
            [zone, _shares(shown["rows"].get(zone, {zone: 1.0})), _shares(shown["shed"].get(zone, {}))]
            for zone in zones
        ],
    )


@fleet.command()
def history(watch: Watch, as_json: AsJson = False) -> None:
    """Show the plans that the gateway has acted on since its start, at most the last 200."""
    plans = fetch(watch)["history"]
    if as_json:
        typer.echo(json.dumps(plans))
        return
    show(
        f"{len(plans)} plans",
        ["when", "plan", "event", "why", "rows"],
        [
            [
                time.strftime("%H:%M:%S", time.localtime(plan["at"] / 1000))
                + f".{int(plan['at']) % 1000:03d}",
                plan["number"],
                plan["event"],
                plan["why"],
                "; ".join(f"{zone}: {_shares(row)}" for zone, row in plan["rows"].items()),
            ]
            for plan in plans
        ],
    )


@fleet.command()
def explain(
    watch: Watch, zone: Annotated[str, typer.Argument(help="a zone's name")], as_json: AsJson = False
) -> None:
    """Show the reasons behind the plan for a zone.

    They are the observations of this gateway and, if it is the leader, its assessment of the zone.
    """
    page = fetch(watch)
    if zone not in page["zones"] and zone not in page["plan"]["rows"]:
        typer.echo(f"{watch}: no zone {zone}; known zones: {', '.join(sorted(page['zones']))}", err=True)
        raise typer.Exit(BAD_CALL)
    observed, assessed = page["zones"].get(zone, {}), page["seen_by_leader"].get(zone)
    explanation = {
        "zone": zone,
        "seen_here": observed,
        "judged": assessed,
        "leader": page["council"]["leader"],
        "row": page["plan"]["rows"].get(zone, {zone: 1.0}),
        "shed": page["plan"]["shed"].get(zone, {}),
        "plans": [plan for plan in page["history"] if zone in plan["rows"]][-5:],
    }
    if as_json:
        typer.echo(json.dumps(explanation))
        return
    typer.echo(f"{zone}: requests go to {_shares(explanation['row'])}; shed: {_shares(explanation['shed'])}")
    if observed:
        vote = (
            "lost"
            if observed["lost"]
            else "grey"
            if observed["grey"]
            else "well"
            if observed["spoke"]
            else "none"
        )
        typer.echo(
            f"{page['front']} observes: {observed['ready']:g} ready of {observed['had']:.3g}, "
            f"{observed['begun']:g} answers begun a second, {observed['vain']:g} failed attempts; "
            f"its vote: {vote}"
        )
    if assessed:
        typer.echo(
            f"assessed here, by the leader: {assessed['phase']}, keeps {assessed['keeps']:.0%}, "
            f"{assessed['ready']:g} ready of {assessed['of']:g} ({assessed['warm']:.0%} warm), waits "
            f"{assessed['waits']:.0%} of the latency target, {assessed['relapses']} relapses"
        )
    else:
        typer.echo(f"assessed by the leader, {explanation['leader'] or 'unknown'}: see its watch port")
    for plan in explanation["plans"]:
        typer.echo(f"plan {plan['number']}: {plan['why']}")
