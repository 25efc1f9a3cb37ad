"""Prints the reports of `worksmux trial`, `model` and `audit`, as tables or as JSON."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import typer
from rich.console import Console
from rich.table import Table


def show(reports: list[dict[str, Any]]) -> None:
    """Prints a table with one column for each run, and the first violation of each broken rule."""
    console = Console(width=110, highlight=False)
    table = Table(title=f"Scenario: {reports[0].get('day', 'records')}")
    table.add_column("")
    for run in reports:
        table.add_column(str(run.get("policy", "figures")), justify="right")
    ends = sorted({name for run in reports for name in run["ends"]})
    rows: list[tuple[str, list[str]]] = [("requests", [str(run["jobs"]) for run in reports])]
    rows += [(name, [str(run["ends"].get(name, 0)) for run in reports]) for name in ends]
    rows += [
        ("unanswered", [str(run["unanswered"]) for run in reports]),
        ("share of the possible credit", [f"{run['credit_share']:.3f}" for run in reports]),
    ]
    for name in reports[0]["credit_by_offering"]:
        rows.append((f"  {name}", [f"{run['credit_by_offering'].get(name, 0):.3f}" for run in reports]))
    rows += [
        (f"first token {percentile}, ms", [str(run["first_ms"][percentile]) for run in reports])
        for percentile in ("p50", "p90", "p99")
    ]
    rows += [
        ("attempts per request", [f"{run['trips_a_job']:.2f}" for run in reports]),
        ("KV cache moved out of its cell", [f"{run['moved_out_of_cell']:.3f}" for run in reports]),
        (
            "attempts of single-stage requests, by end",
            [
                ", ".join(f"{count} {how}" for how, count in run["one_stage"].items()) or "none"
                for run in reports
            ],
        ),
        (
            "last send after a drain was announced, ms",
            [f"{run['drain_last_send_ms']:.1f}" for run in reports],
        ),
        ("prompts counted, of them wrongly", [f"{run['counts']}, {run['counts_wrong']}" for run in reports]),
        ("engines that failed under overload", [str(run["engines_fallen"]) for run in reports]),
        ("gateways killed or stopped", [str(run["fronts_killed"]) for run in reports]),
    ]
    for name, cells in rows:
        table.add_row(name, *cells)
    for index in range(5):
        rule = reports[0]["rules"][index]
        table.add_row(
            f"rule {rule['rule']}: {rule['name']}",
            *(
                f"kept ({run['rules'][index]['checked']})"
                if run["rules"][index]["kept"]
                else f"BROKEN {run['rules'][index]['broken']} times"
                for run in reports
            ),
        )
    console.print(table)
    for run in reports:
        for rule in run["rules"]:
            if not rule["kept"]:
                console.print(
                    f"{run.get('policy', '')} rule {rule['rule']}, first violation: {rule['first']}"
                )
                for line in rule["trace"]:
                    console.print("    " + line, soft_wrap=True)


def finish(report: dict[str, Any], as_json: bool) -> typer.Exit:
    """Prints the report of one scenario; the exit code is 1 if a rule was broken."""
    if as_json:
        typer.echo(json.dumps(report))
    else:
        show([report])
    return typer.Exit(0 if report["kept"] else 1)


def run_all(file: str, policies: list[str], as_json: bool, keep: Path | None) -> int:
    """Runs the scenario with each policy in a separate process.

    The exit code is 1 if the first policy breaks a rule.
    """
    reports = []
    for policy in policies:
        args = [sys.executable, "-m", "worksmux", "trial", file, "--policy", policy, "--json"]
        if keep:
            args += ["--keep", str(keep / policy)]
        process = subprocess.run(args, stdout=subprocess.PIPE, check=False)
        if process.returncode > 1 or not process.stdout.strip():
            return process.returncode or 1
        reports.append(json.loads(process.stdout))
    if as_json:
        typer.echo(json.dumps(reports, indent=1))
    else:
        show(reports)
    return 0 if reports[0]["kept"] else 1
