"""Experiments: plans, the store of runs, resuming, figures and commands."""

from __future__ import annotations

from pathlib import Path

import pyarrow.parquet as pq
import pytest
from typer.testing import CliRunner

from worksmux.commands.main import app
from worksmux.experiment.book import RunStore, RunStoreError, to_parquet
from worksmux.experiment.plan import Experiment, load_experiment
from worksmux.experiment.play import max_to_mean, recovery_time_s, simulate_scenario
from worksmux.experiment.runner import run_all
from worksmux.experiment.stats import mean, paired
from worksmux.scenarios.scenario import load_scenario
from worksmux.settings.document import SettingsError

DAY = Path("examples/no-discovery-day.kdl").resolve()


def experiment_file(tmp_path: Path, text: str) -> Path:
    path = tmp_path / "e.kdl"
    path.write_text(text.replace("DAY", str(DAY)))
    return path


def small_experiment(tmp_path: Path, seeds: int = 2) -> Experiment:
    return load_experiment(
        experiment_file(
            tmp_path,
            f"""experiment "e" day="DAY" seeds={seeds}
axis "length" 2
axis "policy" "worksmux" "random"
""",
        )
    )


def test_axes_are_crossed_except_for_those_that_follow_another(tmp_path: Path) -> None:
    experiment = load_experiment(
        experiment_file(
            tmp_path,
            """experiment "e" day="DAY" seeds=2
axis "cells" 1 3
axis "fronts" 2 6 with="cells"
axis "policy" "worksmux" "random" "round-robin"
""",
        )
    )
    points = list(experiment.points())
    assert len(points) == 6 and (("cells", 3), ("fronts", 6), ("policy", "random")) in points
    runs = list(experiment.runs())
    assert len({run.key for run in runs}) == 12
    scenario = experiment.scenario(runs[-1])
    base = load_scenario(DAY)
    assert (
        len(scenario.engines) == 3 * len(base.engines)
        and scenario.rate == 3 * base.rate
        and scenario.fronts == 6
    )
    assert len({engine.id for engine in scenario.engines}) == len(scenario.engines)
    assert len({engine.cell for engine in scenario.engines}) == 3 * len(
        {engine.cell for engine in base.engines}
    )


def test_errors_of_the_file_are_reported_with_their_lines(tmp_path: Path) -> None:
    with pytest.raises(SettingsError) as raised:
        load_experiment(
            experiment_file(
                tmp_path,
                """experiment "e" day="nowhere.kdl"
axis "fronts" 0
axis "wheels" 4
axis "cells" 1 2 with="load"
""",
            )
        )
    text = str(raised.value)
    assert "whole numbers from 1" in text and "expected one of fronts" in text and "cannot be read" in text
    assert "must name an axis above it" in text and ":2:" in text


def test_resumed_experiment_neither_loses_nor_repeats_runs(tmp_path: Path) -> None:
    experiment, messages = small_experiment(tmp_path), []  # type: Experiment, list[str]
    store = RunStore(tmp_path / "runs")
    runs = list(experiment.runs())
    store.add(runs[0].key, runs[0].seed, runs[0].values, {"credit": 0.5})
    assert run_all(experiment, store, 2, messages.append) == 0 and "1 done before" in messages[0]
    store.add(runs[1].key, 99, runs[1].values, {"credit": 9.0})
    assert run_all(experiment, store, 2, messages.append) == 0
    rows = store.rows(run.key for run in runs)
    assert len(rows) == 4 and sorted(row["credit"] for row in rows)[-1] <= 1.0
    assert {row["seed"] for row in rows} == {1, 2}


def test_failed_runs_are_counted_and_do_not_stop_the_others(tmp_path: Path) -> None:
    experiment, messages = small_experiment(tmp_path, 1), []  # type: Experiment, list[str]
    broken = Experiment(
        experiment.name,
        str(tmp_path / "gone.kdl"),
        experiment.scenario_text,
        1,
        experiment.axes,
        {},
        False,
    )
    assert run_all(broken, RunStore(tmp_path / "runs"), 2, messages.append) == 2 and "failed" in messages[-1]


def test_file_that_is_no_run_store_is_refused_and_not_changed(tmp_path: Path) -> None:
    path = tmp_path / "runs"
    path.write_bytes(b"something else" * 100)
    with pytest.raises(RunStoreError):
        RunStore(path)
    assert path.read_bytes() == b"something else" * 100


def test_parquet_has_one_column_for_each_value_and_figure(tmp_path: Path) -> None:
    to_parquet(
        [{"seed": 1, "policy": "a", "credit": 0.5}, {"seed": 2, "policy": "b", "late": 1.0}],
        tmp_path / "r.parquet",
    )
    table = pq.read_table(tmp_path / "r.parquet").to_pydict()
    assert table == {"seed": [1, 2], "policy": ["a", "b"], "credit": [0.5, None], "late": [None, 1.0]}


def test_interval_contains_the_mean_and_differences_are_paired_by_seed() -> None:
    interval = mean([0.2, 0.4, 0.6, 0.8])
    assert interval.low < interval.mean == 0.5 < interval.high and mean([0.2, 0.4, 0.6, 0.8]) == interval
    rows = [{"seed": seed, "credit": 0.1 * seed + 0.05} for seed in range(5)]
    base = [{"seed": seed, "credit": 0.1 * seed} for seed in range(1, 9)]
    change = paired(rows, base, "credit")
    assert change.count == 4 and abs(change.mean - 0.05) < 1e-9 and change.high - change.low < 1e-9


def test_audited_run_has_the_same_figures_and_the_broken_rules() -> None:
    scenario = load_scenario(DAY)
    audited, plain = simulate_scenario(scenario, True), simulate_scenario(scenario, False)
    assert audited["rules_broken"] == 0.0 and audited["unanswered"] == 0.0 and audited["jobs"] > 100
    for name in set(plain) - {"cpu_ms_job", "memory_mb"}:
        assert plain[name] == audited[name]


def test_service_has_recovered_after_two_good_seconds() -> None:
    scenario = load_scenario(DAY)
    last_end_ms = max(fault.at + fault.length for fault in scenario.faults)
    steady = [(float(time_ms), "delivered") for time_ms in range(0, 20_000, 100)]
    assert recovery_time_s(scenario, steady) == 0.0
    gap = [outcome for outcome in steady if not last_end_ms - 1000 <= outcome[0] < last_end_ms + 1500]
    assert 1.0 <= recovery_time_s(scenario, gap) <= 3.0 and recovery_time_s(scenario, steady[:60]) == -1.0
    assert max_to_mean([1.0, 1.0, 4.0]) == 2.0 and max_to_mean([]) == 0.0


def test_commands_run_report_and_compare(tmp_path: Path) -> None:
    small_experiment(tmp_path)
    runner, file = CliRunner(), str(tmp_path / "e.kdl")
    assert runner.invoke(app, ["experiment", "report", file]).exit_code == 1
    assert runner.invoke(app, ["experiment", "run", file, "--workers", "2"]).exit_code == 0
    result = runner.invoke(app, ["experiment", "report", file, "--out", str(tmp_path / "out")])
    assert result.exit_code == 0 and "policy random against worksmux" in result.output
    assert (tmp_path / "out" / "runs.parquet").exists()
    store = str(tmp_path / "e.runs")
    assert "credit 0.000" in runner.invoke(app, ["experiment", "compare", file, store, store]).output
    assert runner.invoke(app, ["model", str(DAY)]).exit_code == 0
    assert runner.invoke(app, ["model", str(DAY), "--policy", "none"]).exit_code == 2
