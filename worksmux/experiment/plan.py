"""The settings file of an experiment in KDL, and its runs.  The module does no I/O but reading these files.

    experiment "growth" day="examples/growth-day.kdl" seeds=3
    axis "cells" 1 4 16
    axis "fronts" 5 20 80 with="cells"       // follows cells instead of crossing it
    axis "policy" "worksmux" "random"

An axis changes one property of the scenario.  The axes are crossed with each other, except for those that
follow another (`with`).  The other values of an axis are compared with its first value.
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


def _multiply_cells(scenario: Scenario, factor: Any) -> Scenario:
    """Multiplies the fleet, each copy in cells of its own, and the request rate."""
    cells = 1 + max(engine.cell for engine in scenario.engines)
    engines = [
        ScenarioEngine(
            f"{engine.id}-{copy}" if copy else engine.id, engine.kind, engine.zone, engine.cell + copy * cells
        )
        for copy in range(int(factor))
        for engine in scenario.engines
    ]
    return replace(scenario, engines=engines, rate=scenario.rate * int(factor))


def _scale_fault_lengths(scenario: Scenario, factor: Any) -> Scenario:
    """Multiplies the length of each fault; a factor of 0 removes all faults."""
    return replace(
        scenario,
        faults=[replace(fault, length=fault.length * factor) for fault in scenario.faults] if factor else [],
    )


def _scale_list_delay(scenario: Scenario, factor: Any) -> Scenario:
    """Multiplies the delay of the endpoint lists."""
    low, high = scenario.list_late
    return replace(scenario, list_late=(low * factor, high * factor))


@dataclass(frozen=True)
class Axis:
    """What an axis changes, which values it takes, and the words for them in a complaint."""

    change: Callable[[Scenario, Any], Scenario]
    expected: str
    is_valid: Callable[[Any], bool]


def _number(min_value: float) -> Callable[[Any], bool]:
    """A test for numbers from `min_value`."""
    return lambda value: (
        isinstance(value, (int, float)) and not isinstance(value, bool) and value >= min_value
    )


def _integer(min_value: int) -> Callable[[Any], bool]:
    """A test for integers from `min_value`."""
    return lambda value: _number(min_value)(value) and value == int(value)


AXES = {
    "fronts": Axis(
        lambda scenario, value: replace(scenario, fronts=int(value)), "whole numbers from 1", _integer(1)
    ),
    "cells": Axis(_multiply_cells, "whole numbers from 1: times the day's fleet and jobs", _integer(1)),
    "load": Axis(
        lambda scenario, value: replace(scenario, rate=scenario.rate * value),
        "times the day's jobs",
        _number(0.01),
    ),
    "length": Axis(lambda scenario, value: replace(scenario, length=1000.0 * value), "seconds", _number(1)),
    "list-late": Axis(_scale_list_delay, "times the day's lateness of lists", _number(0)),
    "troubles": Axis(_scale_fault_lengths, "times the length of each trouble; 0 for none", _number(0)),
    "policy": Axis(
        lambda scenario, value: replace(scenario, policy=value),
        f"of {', '.join(POLICIES)}",
        lambda value: value in POLICIES,
    ),
}


@dataclass(frozen=True)
class Run:
    """One simulation of the scenario; the same run has the same `key` whenever and wherever it is planned."""

    values: tuple[tuple[str, Value], ...]
    seed: int
    key: str


@dataclass(frozen=True)
class Experiment:
    """An experiment: a scenario, the axes along which it varies, and the number of seeds."""

    name: str
    scenario_path: str
    scenario_text: str  # a part of each run's key: a changed file makes other runs
    seeds: int
    axes: dict[str, list[Value]]
    coupled_axes: dict[str, str]  # from an axis to the one that it follows
    audit: bool  # whether the checker's rules are checked too

    def points(self) -> Iterator[tuple[tuple[str, Value], ...]]:
        """The combinations of axis values, in the order of the axes."""
        crossed = [name for name in self.axes if name not in self.coupled_axes]
        for indices in product(*(range(len(self.axes[name])) for name in crossed)):
            index_of = dict(zip(crossed, indices, strict=True))
            yield tuple(
                (name, self.axes[name][index_of[self.coupled_axes.get(name, name)]]) for name in self.axes
            )

    def runs(self) -> Iterator[Run]:
        """All runs: each combination with each seed."""
        for values in self.points():
            for seed in range(1, self.seeds + 1):
                identity = repr((self.scenario_text, values, seed, self.audit)).encode()
                yield Run(values, seed, hashlib.sha256(identity).hexdigest()[:16])

    def scenario(self, run: Run) -> Scenario:
        """The scenario of a run."""
        scenario = load_scenario(self.scenario_path)
        for name, value in run.values:
            scenario = AXES[name].change(scenario, value)
        return replace(scenario, seed=run.seed)


def read_experiment(root: Section, base: Path) -> Experiment:
    """Reads the settings; raises SettingsError with all complaints.

    The path of the scenario's file is relative to `base`, or to the working directory.
    """
    node = root.required("experiment")
    name, scenario_file, seeds = (
        node.title(),
        node.text("day"),
        node.integer("seeds", 3, min_value=1, max_value=1000),
    )
    audit = node.flag("audit", False)
    node.end()
    axes: dict[str, list[Value]] = {}
    coupled_axes: dict[str, str] = {}
    for axis_node in root.all("axis"):
        args = axis_node.args
        if not args or args[0] not in AXES:
            axis_node.complain(f"axis: expected one of {', '.join(AXES)} and its values")
            continue
        axis_name, values = str(args[0]), list(args[1:])
        axis = AXES[axis_name]
        if not values or not all(map(axis.is_valid, values)):
            axis_node.complain(f'axis "{axis_name}": expected {axis.expected}')
        if axis_name in axes:
            axis_node.complain(f'axis "{axis_name}" is given twice; keep one')
        axes[axis_name] = values
        followed = axis_node.value("with", str, "", "")
        if followed:
            coupled_axes[axis_name] = followed
            if followed not in axes or followed in coupled_axes or len(axes[followed]) != len(values):
                axis_node.complain(
                    f'axis "{axis_name}": `with` must name an axis above it that has as many values'
                )
        axis_node.end()
    root.end()
    path = next(
        (candidate for candidate in (base / scenario_file, Path(scenario_file)) if candidate.is_file()),
        Path(scenario_file),
    )
    scenario_text = path.read_text(encoding="utf-8") if path.is_file() else ""
    if not scenario_text:
        node.complain(f'day "{scenario_file}" cannot be read; give the path of a file')
    if root.complaints:
        raise SettingsError(root.complaints)
    load_scenario(path)
    return Experiment(name, str(path), scenario_text, seeds, axes, coupled_axes, audit)


def load_experiment(path: str | Path) -> Experiment:
    """Reads the settings from a file; raises SettingsError with all complaints."""
    return read_experiment(load(path), Path(path).parent)
