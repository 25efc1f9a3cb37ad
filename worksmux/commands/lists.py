"""`worksmux list`: what a front remembers of its engines, whether they still hold, and how to make it
forget."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Annotated, Any
from urllib.error import URLError
from urllib.request import ProxyHandler, build_opener

import msgspec
import typer
from rich.console import Console
from rich.table import Table

from ..api import engine as calls
from ..endpoints.staleness import StoredEndpoint, confidence
from ..gateway.endpoint_cache import FACTS, LINES, ListMetadata
from ..storage.database import Store, open_store
from ..storage.errors import StoreUnusableError

lists = typer.Typer(no_args_is_help=True, help="What a front remembers of its engines.")
File = Annotated[Path, typer.Argument(help="the file of the front's memory")]


def _open(path: Path) -> Store:
    if not path.exists():
        typer.echo(f"{path}: there is no such file", err=True)
        raise typer.Exit(2)
    try:
        store = open_store(path)
    except StoreUnusableError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(2) from error
    for note in store.notes:
        typer.echo(note, err=True)
    return store


def _saved(store: Store) -> tuple[list[StoredEndpoint], ListMetadata, bool]:
    lines, facts = store.read(LINES), ListMetadata()
    try:
        facts = msgspec.msgpack.decode(store.read(FACTS).values.get("list", b""), type=ListMetadata)
    except msgspec.DecodeError:
        pass
    found = [msgspec.msgpack.decode(data, type=StoredEndpoint) for data in lines.values.values()]
    for one in found:
        one.confirmed_at_ms = max(one.confirmed_at_ms, facts.registry_heard_at_ms)
    return sorted(found, key=lambda one: one.line.id), facts, lines.is_complete


def _table(title: str, names: list[str], rows: list[list[str]]) -> None:
    table = Table(title=title)
    for name in names:
        table.add_column(name)
    for row in rows:
        table.add_row(*row)
    Console(highlight=False, width=120).print(table)


@lists.command()
def show(
    file: File,
    believed_for: Annotated[float, typer.Option(help="hours, as in the settings")] = 1.0,
    as_json: Annotated[bool, typer.Option("--json", help="print as JSON")] = False,
) -> None:
    """Show the remembered list, each line's age, and how far a front starting now would trust it."""
    store = _open(file)
    saved, facts, whole = _saved(store)
    wall = time.time() * 1000
    told: list[dict[str, Any]] = [
        {
            "id": one.line.id,
            "address": f"{one.line.host}:{one.line.port}",
            "kind": one.line.kind,
            "zone": one.line.zone,
            "state": one.line.state,
            "age_s": round((wall - one.confirmed_at_ms) / 1000, 1),
            "trust": round(confidence(one, wall, facts.turnover, believed_for * 3.6e6), 3),
        }
        for one in saved
    ]
    store.close()
    if as_json:
        typer.echo(json.dumps({"whole": whole, "serial": facts.serial, "lines": told}))
        return
    seen = facts.turnover
    _table(
        f"{file}: {len(told)} engines, serial {facts.serial}, {'whole' if whole else 'NOT whole'}; "
        f"{seen.departures} left in {seen.watched_ms / 3.6e6:.1f} hours of lines",
        ["engine", "address", "kind", "zone", "state", "age, s", "trust"],
        [[str(value) for value in one.values()] for one in told],
    )


@lists.command()
def verify(
    file: File, time_out: Annotated[float, typer.Option(help="seconds for each engine")] = 1.0
) -> None:
    """Ask each remembered engine who it is; exit code 1 if any line no longer holds.

    It asks one after the other, so that the fleet is not probed at once.
    """
    store = _open(file)
    saved, _, whole = _saved(store)
    store.close()
    opener, rows, wrong = build_opener(ProxyHandler({})), [], 0
    for one in saved:
        line = one.line
        try:
            with opener.open(f"http://{line.host}:{line.port}{calls.PROBE}", timeout=time_out) as reply:
                told = msgspec.json.decode(reply.read(65_536), type=calls.ProbeReply)
            found = (
                "another engine: " + told.id
                if told.id != line.id
                else "another kind"
                if told.kind != line.kind
                else "draining"
                if told.draining and line.state == "ready"
                else "started anew"
                if told.started > line.started
                else "holds"
            )
        except (URLError, OSError, msgspec.DecodeError) as error:
            found = f"no answer: {getattr(error, 'reason', error)}"
        wrong += found != "holds"
        rows.append([line.id, f"{line.host}:{line.port}", line.state, found])
    _table(
        f"{file}: {len(rows)} engines, {wrong} lines no longer hold",
        ["engine", "address", "state", "now"],
        rows,
    )
    raise typer.Exit(0 if whole and not wrong else 1)


@lists.command()
def forget(
    file: File, engines: Annotated[list[str] | None, typer.Argument(help="ids; all if absent")] = None
) -> None:
    """Forget engines, or the whole list.  Stop the front first: it writes what it knows."""
    store = _open(file)
    known = store.read(LINES).values
    unknown = [name for name in engines or [] if name not in known]
    if unknown:
        typer.echo(f"not remembered: {', '.join(unknown)}", err=True)
        raise typer.Exit(2)
    if engines:
        store.write({LINES: dict.fromkeys(engines)}, time.time() * 1000)
    else:
        store.replace(LINES, [], time.time() * 1000)
    store.close()
    typer.echo(f"forgotten: {', '.join(engines) if engines else f'all {len(known)}'}")
