"""Defines `worksmux list`: shows, verifies and clears the endpoint cache of a gateway."""

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

lists = typer.Typer(no_args_is_help=True, help="The endpoint cache of a gateway.")
File = Annotated[Path, typer.Argument(help="the file of the endpoint cache")]


def _open(path: Path) -> Store:
    if not path.exists():
        typer.echo(f"{path}: the file does not exist", err=True)
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
    lines, metadata = store.read(LINES), ListMetadata()
    try:
        metadata = msgspec.msgpack.decode(store.read(FACTS).values.get("list", b""), type=ListMetadata)
    except msgspec.DecodeError:
        pass
    endpoints = [msgspec.msgpack.decode(data, type=StoredEndpoint) for data in lines.values.values()]
    for endpoint in endpoints:
        endpoint.confirmed_at_ms = max(endpoint.confirmed_at_ms, metadata.registry_heard_at_ms)
    return sorted(endpoints, key=lambda endpoint: endpoint.line.id), metadata, lines.is_complete


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
    """Show the cached endpoints, their age, and how much a gateway that starts now would trust them."""
    store = _open(file)
    saved, metadata, is_complete = _saved(store)
    wall_ms = time.time() * 1000
    rows: list[dict[str, Any]] = [
        {
            "id": endpoint.line.id,
            "address": f"{endpoint.line.host}:{endpoint.line.port}",
            "kind": endpoint.line.kind,
            "zone": endpoint.line.zone,
            "state": endpoint.line.state,
            "age_s": round((wall_ms - endpoint.confirmed_at_ms) / 1000, 1),
            "trust": round(confidence(endpoint, wall_ms, metadata.turnover, believed_for * 3.6e6), 3),
        }
        for endpoint in saved
    ]
    store.close()
    if as_json:
        typer.echo(json.dumps({"whole": is_complete, "serial": metadata.serial, "lines": rows}))
        return
    turnover = metadata.turnover
    _table(
        f"{file}: {len(rows)} engines, serial {metadata.serial}, "
        f"{'complete' if is_complete else 'INCOMPLETE'}; {turnover.departures} left in "
        f"{turnover.watched_ms / 3.6e6:.1f} engine hours",
        ["engine", "address", "kind", "zone", "state", "age, s", "trust"],
        [[str(value) for value in row.values()] for row in rows],
    )


@lists.command()
def verify(
    file: File, time_out: Annotated[float, typer.Option(help="seconds for each engine")] = 1.0
) -> None:
    """Check each cached endpoint against its engine; exit code 1 if any endpoint is out of date.

    The engines are contacted one after the other, so that the fleet does not get all probes at once.
    """
    store = _open(file)
    saved, _, is_complete = _saved(store)
    store.close()
    opener, rows, outdated = build_opener(ProxyHandler({})), [], 0
    for endpoint in saved:
        line = endpoint.line
        try:
            with opener.open(f"http://{line.host}:{line.port}{calls.PROBE}", timeout=time_out) as reply:
                reply_body = msgspec.json.decode(reply.read(65_536), type=calls.ProbeReply)
            result = (
                "another engine: " + reply_body.id
                if reply_body.id != line.id
                else "another kind"
                if reply_body.kind != line.kind
                else "draining"
                if reply_body.draining and line.state == "ready"
                else "restarted"
                if reply_body.started > line.started
                else "unchanged"
            )
        except (URLError, OSError, msgspec.DecodeError) as error:
            result = f"no answer: {getattr(error, 'reason', error)}"
        outdated += result != "unchanged"
        rows.append([line.id, f"{line.host}:{line.port}", line.state, result])
    _table(
        f"{file}: {len(rows)} engines, {outdated} endpoints out of date",
        ["engine", "address", "state", "now"],
        rows,
    )
    raise typer.Exit(0 if is_complete and not outdated else 1)


@lists.command()
def forget(
    file: File, engines: Annotated[list[str] | None, typer.Argument(help="ids; all if absent")] = None
) -> None:
    """Remove engines from the cache, or all of them.  Stop the gateway first: it writes the cache."""
    store = _open(file)
    known = store.read(LINES).values
    unknown = [name for name in engines or [] if name not in known]
    if unknown:
        typer.echo(f"not in the cache: {', '.join(unknown)}", err=True)
        raise typer.Exit(2)
    if engines:
        store.write({LINES: dict.fromkeys(engines)}, time.time() * 1000)
    else:
        store.replace(LINES, [], time.time() * 1000)
    store.close()
    typer.echo(f"removed: {', '.join(engines) if engines else f'all {len(known)}'}")
