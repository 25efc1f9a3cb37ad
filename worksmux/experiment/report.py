"""The report of an experiment: a table of means, differences from each axis's first value, plots."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from rich.console import Console
from rich.table import Table

from .plan import Experiment
from .stats import group, mean, paired

REPORTED_FIGURES = (
    "credit",
    "late_share",
    "deferred_share",
    "first_p99",
    "trips_job",
    "probes_job",
    "cold_peak",
    "falls",
    "busiest",
    "back_after",
    "cpu_ms_job",
    "memory_mb",
    "rules_broken",
)


def table(experiment: Experiment, rows: list[dict[str, Any]], console: Console) -> None:
    """Prints the mean of each figure at each point of the experiment."""
    axes = list(experiment.axes)
    groups = group(rows, axes)
    means = Table(title=f"{experiment.name}: means of {experiment.seeds} seeds, 95 % intervals")
    for name in axes:
        means.add_column(name)
    figures = [name for name in REPORTED_FIGURES if any(name in row for row in rows)]
    for name in figures:
        means.add_column(name.replace("_", " "), justify="right")
    points = [tuple(value for _, value in point) for point in experiment.points()]
    for values, group_rows in sorted(groups.items(), key=lambda item: points.index(item[0])):
        means.add_row(*map(str, values), *(str(mean([row[name] for row in group_rows])) for name in figures))
    console.print(means)


def differences(experiment: Experiment, rows: list[dict[str, Any]], figure: str = "credit") -> list[str]:
    """Each axis's values compared with its first, paired by seed and by the values of the other axes."""
    axes, texts = list(experiment.axes), []
    for axis in axes:
        if axis in experiment.coupled_axes:
            continue
        first = experiment.axes[axis][0]
        varied = [axis, *(name for name, leader in experiment.coupled_axes.items() if leader == axis)]
        fixed = [name for name in axes if name not in varied]
        for values, group_rows in group(rows, fixed).items():
            base = [row for row in group_rows if row[axis] == first]
            for value in experiment.axes[axis][1:]:
                change = paired([row for row in group_rows if row[axis] == value], base, figure)
                point = ", ".join(
                    f"{name} {fixed_value}" for name, fixed_value in zip(fixed, values, strict=True)
                )
                at_point = f" at {point}" if point else ""
                texts.append(f"{figure}, {axis} {value} against {first}{at_point}: {change}")
    return texts


def plots(experiment: Experiment, rows: list[dict[str, Any]], folder: Path) -> list[Path]:
    """Plots each figure over the first numeric axis, with a line for each combination of the other axes."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    axes = list(experiment.axes)
    x_axis = next(
        (
            name
            for name in axes
            if isinstance(experiment.axes[name][0], (int, float)) and len(experiment.axes[name]) > 1
        ),
        None,
    )
    if x_axis is None:
        return []
    varied = {x_axis, *(name for name, leader in experiment.coupled_axes.items() if leader == x_axis)}
    other_axes = [name for name in axes if name not in varied]
    paths = []
    for figure in (name for name in REPORTED_FIGURES if any(name in row for row in rows)):
        canvas, plot_axes = pyplot.subplots(figsize=(6, 4))
        for values, group_rows in group(rows, other_axes).items():
            points = sorted(
                (x, mean([row[figure] for row in runs])) for (x,), runs in group(group_rows, [x_axis]).items()
            )
            label = (
                ", ".join(f"{name} {value}" for name, value in zip(other_axes, values, strict=True)) or figure
            )
            plot_axes.errorbar(
                [x for x, _ in points],
                [y.mean for _, y in points],
                yerr=[[y.mean - y.low for _, y in points], [y.high - y.mean for _, y in points]],
                marker="o",
                capsize=3,
                label=label,
            )
        plot_axes.set_xlabel(x_axis)
        plot_axes.set_ylabel(figure.replace("_", " "))
        x_values = [float(value) for value in experiment.axes[x_axis]]
        if max(x_values) > 20 * min(x_values):
            plot_axes.set_xscale("log")
        plot_axes.legend(fontsize=7)
        path = folder / f"{figure}.png"
        canvas.savefig(path, dpi=120, bbox_inches="tight")
        pyplot.close(canvas)
        paths.append(path)
    return paths
