"""`worksmux experiment`: run, report and compare."""

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

experiments = typer.Typer(no_args_is_help=True, help="Sweeps over days in the model of the fleet.")
File = Annotated[
    Path, typer.Argument(help="an experiment in KDL, such as examples/growth.kdl", metavar="EXPERIMENT.kdl")
]
BookFile = Annotated[
    Path | None, typer.Option("--book", help="where the runs are kept; default: beside the file")
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
    """Play the runs that are not in the book yet.  Stop it when you like: what ended is kept."""
    from ..experiment.runner import run_all

    plan, runs = _open(file, book)
    failed = run_all(plan, runs, workers or max(1, (os.cpu_count() or 2) // 2), lambda text: typer.echo(text))
    raise typer.Exit(1 if failed else 0)


@experiments.command()
def report(
    file: File,
    book: BookFile = None,
    out: Annotated[Path | None, typer.Option(help="a folder for plots and runs.parquet")] = None,
) -> None:
    """Means with their intervals, and differences paired by seed."""
    from rich.console import Console

    from ..experiment.book import to_parquet
    from ..experiment.report import differences, plots, table

    plan, runs = _open(file, book)
    keys = [one.key for one in plan.runs()]
    rows = runs.rows(keys)
    if not rows:
        typer.echo("no run of this experiment is in the book; run it first", err=True)
        raise typer.Exit(1)
    if len(rows) < len(keys):
        typer.echo(f"{len(rows)} of {len(keys)} runs are done")
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
    one: Annotated[Path, typer.Argument(help="a book of runs")],
    other: Annotated[Path, typer.Argument(help="another, such as an earlier version's")],
    figure: Annotated[str, typer.Option(help="what is compared")] = "credit",
) -> None:
    """The same runs in two books: the difference of the second from the first, paired by seed."""
    from ..experiment.stats import group, paired

    plan, first = _open(file, one)
    _, second = _open(file, other)
    axes, keys = list(plan.axes), [one.key for one in plan.runs()]
    before, after = group(first.rows(keys), axes), group(second.rows(keys), axes)
    for values in before.keys() & after.keys():
        where = ", ".join(f"{name} {value}" for name, value in zip(axes, values, strict=True))
        typer.echo(f"{where}: {figure} {paired(after[values], before[values], figure)}")


@experiments.command()
def search(
    day: Annotated[Path, typer.Argument(help="a day in KDL that is changed", metavar="DAY.kdl")],
    out: Annotated[Path, typer.Option(help="where the worst day, made small, is written")],
    rounds: Annotated[int, typer.Option(help="batches of days")] = 10,
    size: Annotated[int, typer.Option(help="days in a batch")] = 12,
    seed: Annotated[int, typer.Option(help="of the search")] = 1,
    workers: Annotated[int, typer.Option(help="days at once; default: half of the processors")] = 0,
) -> None:
    """Look for a day on which the decisions do worst against plain policies, and make it small."""
    from ..experiment.search import Search, scenario_file_text
    from ..experiment.worst import EvaluationPool
    from ..scenarios.scenario import load_scenario

    try:
        base = load_scenario(day)
    except SettingsError as error:
        raise refuse(error) from error
    found = Search(base, seed)
    with EvaluationPool(base, workers or max(1, (os.cpu_count() or 2) // 2)) as field:
        for number in range(rounds):
            days = found.batch(size)
            found.add_results(days, field.evaluate(days))
            worst = found.highest_regret[0]
            typer.echo(
                f"{number + 1} of {rounds}: {found.evaluated_count} days, "
                f"the worst regret {worst.regret:.3f} "
                f"(credit {worst.credit:.3f}, {len(worst.faults)} troubles)"
            )
        small = found.shrink(found.highest_regret[0], field.evaluate)
    out.write_text(scenario_file_text(day.read_text(encoding="utf-8"), base, small), encoding="utf-8")
    typer.echo(
        f"{out}: regret {small.regret:.3f} with {len(small.faults)} troubles, "
        f"after {found.evaluated_count} days"
    )
