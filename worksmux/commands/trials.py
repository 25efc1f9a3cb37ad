"""`worksmux trial` and `worksmux audit`: their output as a table or as JSON."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import typer
from rich.console import Console
from rich.table import Table


def show(told: list[dict[str, Any]]) -> None:
    """One table of figures with a column a run, one of the rules, and the first offender of each broken
    rule."""
    console = Console(width=110, highlight=False)
    table = Table(title=f"Day: {told[0].get('day', 'records')}")
    table.add_column("")
    for run in told:
        table.add_column(str(run.get("policy", "figures")), justify="right")
    ends = sorted({name for run in told for name in run["ends"]})
    rows: list[tuple[str, list[str]]] = [("jobs", [str(run["jobs"]) for run in told])]
    rows += [(name, [str(run["ends"].get(name, 0)) for run in told]) for name in ends]
    rows += [
        ("unanswered", [str(run["unanswered"]) for run in told]),
        ("credit of what was asked", [f"{run['credit_share']:.3f}" for run in told]),
    ]
    for name in told[0]["credit_by_offering"]:
        rows.append((f"  {name}", [f"{run['credit_by_offering'].get(name, 0):.3f}" for run in told]))
    rows += [
        (f"first token {at}, ms", [str(run["first_ms"][at]) for run in told]) for at in ("p50", "p90", "p99")
    ]
    rows += [
        ("trips a job", [f"{run['trips_a_job']:.2f}" for run in told]),
        ("state moved out of its cell", [f"{run['moved_out_of_cell']:.3f}" for run in told]),
        (
            "trips of one stage, by end",
            [
                ", ".join(f"{count} {how}" for how, count in run["one_stage"].items()) or "none"
                for run in told
            ],
        ),
        ("last send after a drain was told, ms", [f"{run['drain_last_send_ms']:.1f}" for run in told]),
        ("prompts counted, and wrongly", [f"{run['counts']}, {run['counts_wrong']}" for run in told]),
        ("engines fallen over", [str(run["engines_fallen"]) for run in told]),
        ("fronts killed or stopped", [str(run["fronts_killed"]) for run in told]),
    ]
    for name, cells in rows:
        table.add_row(name, *cells)
    for at in range(5):
        rule = told[0]["rules"][at]
        table.add_row(
            f"rule {rule['rule']}: {rule['name']}",
            *(
                f"kept ({run['rules'][at]['checked']})"
                if run["rules"][at]["kept"]
                else f"BROKEN {run['rules'][at]['broken']} times"
                for run in told
            ),
        )
    console.print(table)
    for run in told:
        for rule in run["rules"]:
            if not rule["kept"]:
                console.print(f"{run.get('policy', '')} rule {rule['rule']}, first offender: {rule['first']}")
                for line in rule["trace"]:
                    console.print("    " + line, soft_wrap=True)


def finish(told: dict[str, Any], as_json: bool) -> typer.Exit:
    """Prints the report of one day; the exit code is 1 where a rule was broken."""
    if as_json:
        typer.echo(json.dumps(told))
    else:
        show([told])
    return typer.Exit(0 if told["kept"] else 1)


def run_all(file: str, policies: list[str], as_json: bool, keep: Path | None) -> int:
    """Each policy plays the day in a process of its own; the exit code is 1 if the first of them breaks a
    rule."""
    told = []
    for policy in policies:
        args = [sys.executable, "-m", "worksmux", "trial", file, "--policy", policy, "--json"]
        if keep:
            args += ["--keep", str(keep / policy)]
        done = subprocess.run(args, stdout=subprocess.PIPE, check=False)
        if done.returncode > 1 or not done.stdout.strip():
            return done.returncode or 1
        told.append(json.loads(done.stdout))
    if as_json:
        typer.echo(json.dumps(told, indent=1))
    else:
        show(told)
    return 0 if told[0]["kept"] else 1
