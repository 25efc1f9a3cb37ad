"""An experiment's file in KDL and the runs that follow from it.  Free of I/O but for reading the files.

    experiment "growth" day="examples/growth-day.kdl" seeds=3
    axis "cells" 1 4 16
    axis "fronts" 5 20 80 with="cells"       // goes in step with cells instead of crossing it
    axis "policy" "worksmux" "random"

An axis changes one thing of the day; axes cross each other, but for those that go `with` another.  The first
value of an axis is what the others are compared with.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from itertools import product
from pathlib import Path
from typing import Any

from ..scenarios.scenario import Scenario, ScenarioEngine, load_scenario
from ..settings.document import Section, SettingsError, load
from ..settings.front import POLICIES

Value = float | str


def _cells(day: Scenario, times: Any) -> Scenario:
    """The fleet so many times over, each copy in cells of its own, and as many more jobs."""
    cells = 1 + max(place.cell for place in day.engines)
    places = [
        ScenarioEngine(
            f"{place.id}-{copy}" if copy else place.id, place.kind, place.zone, place.cell + copy * cells
        )
        for copy in range(int(times))
        for place in day.engines
    ]
    return replace(day, engines=places, rate=day.rate * int(times))


def _faults(day: Scenario, factor: Any) -> Scenario:
    return replace(
        day, faults=[replace(one, length=one.length * factor) for one in day.faults] if factor else []
    )


def _late(day: Scenario, factor: Any) -> Scenario:
    low, high = day.list_late
    return replace(day, list_late=(low * factor, high * factor))


@dataclass(frozen=True)
class Axis:
    """What an axis changes, and what its values must be."""

    change: Callable[[Scenario, Any], Scenario]
    wanted: str
    fits: Callable[[Any], bool]


def _number(least: float) -> Callable[[Any], bool]:
    return lambda value: isinstance(value, (int, float)) and not isinstance(value, bool) and value >= least


def _whole(least: int) -> Callable[[Any], bool]:
    return lambda value: _number(least)(value) and value == int(value)


AXES = {
    "fronts": Axis(lambda day, value: replace(day, fronts=int(value)), "whole numbers from 1", _whole(1)),
    "cells": Axis(_cells, "whole numbers from 1: times the day's fleet and jobs", _whole(1)),
    "load": Axis(
        lambda day, value: replace(day, rate=day.rate * value), "times the day's jobs", _number(0.01)
    ),
    "length": Axis(lambda day, value: replace(day, length=1000.0 * value), "seconds", _number(1)),
    "list-late": Axis(_late, "times the day's lateness of lists", _number(0)),
    "troubles": Axis(_faults, "times the length of each trouble; 0 for none", _number(0)),
    "policy": Axis(
        lambda day, value: replace(day, policy=value),
        f"of {', '.join(POLICIES)}",
        lambda value: value in POLICIES,
    ),
}


@dataclass(frozen=True)
class Run:
    """One play of the day; `key` is the same for the same run, whenever and wherever it is planned."""

    values: tuple[tuple[str, Value], ...]
    seed: int
    key: str


@dataclass(frozen=True)
class Experiment:
    name: str
    day: str
    text: str  # of the day's file: another text makes other runs
    seeds: int
    axes: dict[str, list[Value]]
    in_step: dict[str, str]  # an axis, and the one it goes with
    journal: bool  # the rules are audited too

    def points(self) -> Iterator[tuple[tuple[str, Value], ...]]:
        """Each combination of values, in the order of the axes."""
        crossed = [name for name in self.axes if name not in self.in_step]
        for places in product(*(range(len(self.axes[name])) for name in crossed)):
            at = dict(zip(crossed, places, strict=True))
            yield tuple((name, self.axes[name][at[self.in_step.get(name, name)]]) for name in self.axes)

    def runs(self) -> Iterator[Run]:
        for values in self.points():
            for seed in range(1, self.seeds + 1):
                told = repr((self.text, values, seed, self.journal)).encode()
                yield Run(values, seed, hashlib.sha256(told).hexdigest()[:16])

    def scenario(self, run: Run) -> Scenario:
        day = load_scenario(self.day)
        for name, value in run.values:
            day = AXES[name].change(day, value)
        return replace(day, seed=run.seed)


def read_experiment(root: Section, base: Path) -> Experiment:
    """Raises SettingsError with every complaint at once; the day's file is sought beside the experiment's."""
    node = root.required("experiment")
    name, day, seeds = node.title(), node.text("day"), node.integer("seeds", 3, min_value=1, max_value=1000)
    journal = node.flag("audit", False)
    node.end()
    axes: dict[str, list[Value]] = {}
    in_step: dict[str, str] = {}
    for one in root.all("axis"):
        args = one.args
        if not args or args[0] not in AXES:
            one.complain(f"axis: expected one of {', '.join(AXES)} and its values")
            continue
        title, values = str(args[0]), list(args[1:])
        axis = AXES[title]
        if not values or not all(map(axis.fits, values)):
            one.complain(f'axis "{title}": expected {axis.wanted}')
        if title in axes:
            one.complain(f'axis "{title}" is given twice; keep one')
        axes[title] = values
        other = one.value("with", str, "", "")
        if other:
            in_step[title] = other
            if other not in axes or other in in_step or len(axes[other]) != len(values):
                one.complain(f'axis "{title}": with must name an axis above it that has as many values')
        one.end()
    root.end()
    path = next((found for found in (base / day, Path(day)) if found.is_file()), Path(day))
    text = path.read_text(encoding="utf-8") if path.is_file() else ""
    if not text:
        node.complain(f'day "{day}" cannot be read; give its path')
    if root.complaints:
        raise SettingsError(root.complaints)
    load_scenario(path)
    return Experiment(name, str(path), text, seeds, axes, in_step, journal)


def load_experiment(path: str | Path) -> Experiment:
    return read_experiment(load(path), Path(path).parent)
