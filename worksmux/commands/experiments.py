"""Defines `worksmux experiment`: runs, reports and compares sweeps over simulated scenarios."""

from __future__ import annotations

import os
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

from ..settings.document import SettingsError
from .refusals import BAD_CALL, refuse

if TYPE_CHECKING:
    from ..experiment.book import RunStore
    from ..experiment.plan import Experiment

experiments = typer.Typer(no_args_is_help=True, help="Sweeps over scenarios in the simulated fleet.")
File = Annotated[
    Path, typer.Argument(help="an experiment in KDL, such as examples/growth.kdl", metavar="EXPERIMENT.kdl")
]
BookFile = Annotated[
    Path | None, typer.Option("--book", help="where the runs are stored; default: beside the file")
]


def _open(file: Path, book: Path | None) -> tuple[Experiment, RunStore]:
    from ..experiment.book import RunStore, RunStoreError
    from ..experiment.plan import load_experiment

    try:
        return load_experiment(file), RunStore(book or file.with_suffix(".runs"))
    except SettingsError as error:
        raise refuse(error) from error
    except RunStoreError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(BAD_CALL) from error


@experiments.command()
def run(
    file: File,
    book: BookFile = None,
    workers: Annotated[int, typer.Option(help="runs at once; default: half of the processors")] = 0,
) -> None:
    """Simulate the runs that are not stored yet.  It can be stopped at any time: completed runs are kept."""
    from ..experiment.runner import run_all

    plan, runs = _open(file, book)
    failed = run_all(plan, runs, workers or max(1, (os.cpu_count() or 2) // 2), lambda text: typer.echo(text))
    raise typer.Exit(1 if failed else 0)


@experiments.command()
def report(
    file: File,
    book: BookFile = None,
    out: Annotated[Path | None, typer.Option(help="a directory for plots and runs.parquet")] = None,
) -> None:
    """Print means with their confidence intervals, and differences paired by seed."""
    from rich.console import Console

    from ..experiment.book import to_parquet
    from ..experiment.report import differences, plots, table

    plan, runs = _open(file, book)
    keys = [planned.key for planned in plan.runs()]
    rows = runs.rows(keys)
    if not rows:
        typer.echo("no run of this experiment is stored; run it first", err=True)
        raise typer.Exit(1)
    if len(rows) < len(keys):
        typer.echo(f"{len(rows)} of {len(keys)} runs are complete")
    table(plan, rows, Console(width=200, highlight=False))
    for line in differences(plan, rows):
        typer.echo(line)
    if out:
        out.mkdir(parents=True, exist_ok=True)
        to_parquet(rows, out / "runs.parquet")
        for path in plots(plan, rows, out):
            typer.echo(str(path))


@experiments.command()
def compare(
    file: File,
    one: Annotated[Path, typer.Argument(help="a store of runs")],
    other: Annotated[Path, typer.Argument(help="another store, such as that of an earlier version")],
    figure: Annotated[str, typer.Option(help="the value to compare")] = "credit",
) -> None:
    """Compare the same runs in two stores: the second minus the first, paired by seed."""
    from ..experiment.stats import group, paired

    plan, first = _open(file, one)
    _, second = _open(file, other)
    axes, keys = list(plan.axes), [planned.key for planned in plan.runs()]
    before, after = group(first.rows(keys), axes), group(second.rows(keys), axes)
    for values in before.keys() & after.keys():
        point = ", ".join(f"{name} {value}" for name, value in zip(axes, values, strict=True))
        typer.echo(f"{point}: {figure} {paired(after[values], before[values], figure)}")


@experiments.command()
def search(
    day: Annotated[Path, typer.Argument(help="the scenario in KDL to start from", metavar="DAY.kdl")],
    out: Annotated[Path, typer.Option(help="where the worst scenario is written, after it was reduced")],
    rounds: Annotated[int, typer.Option(help="batches of scenarios")] = 10,
    size: Annotated[int, typer.Option(help="scenarios in a batch")] = 12,
    seed: Annotated[int, typer.Option(help="seed of the search")] = 1,
    workers: Annotated[int, typer.Option(help="scenarios at once; default: half of the processors")] = 0,
) -> None:
    """Search for a scenario in which the policy does worst against baseline policies, and reduce it."""
    from ..experiment.search import Search, scenario_file_text
    from ..experiment.worst import EvaluationPool
    from ..scenarios.scenario import load_scenario

    try:
        base = load_scenario(day)
    except SettingsError as error:
        raise refuse(error) from error
    scenario_search = Search(base, seed)
    with EvaluationPool(base, workers or max(1, (os.cpu_count() or 2) // 2)) as pool:
        for number in range(rounds):
            scenarios = scenario_search.batch(size)
            scenario_search.add_results(scenarios, pool.evaluate(scenarios))
            worst = scenario_search.highest_regret[0]
            typer.echo(
                f"{number + 1} of {rounds}: {scenario_search.evaluated_count} scenarios, "
                f"worst regret {worst.regret:.3f} "
                f"(credit {worst.credit:.3f}, {len(worst.faults)} faults)"
            )
        reduced = scenario_search.shrink(scenario_search.highest_regret[0], pool.evaluate)
    out.write_text(scenario_file_text(day.read_text(encoding="utf-8"), base, reduced), encoding="utf-8")
    typer.echo(
        f"{out}: regret {reduced.regret:.3f} with {len(reduced.faults)} faults, "
        f"after {scenario_search.evaluated_count} scenarios"
    )
