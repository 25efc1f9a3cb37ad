"""Experiments: what is planned, kept once, taken up again, and what the figures say."""

from __future__ import annotations

from pathlib import Path

import pyarrow.parquet as pq
import pytest
from typer.testing import CliRunner

from worksmux.commands.main import app
from worksmux.experiment.book import RunStore, RunStoreError, to_parquet
from worksmux.experiment.plan import Experiment, load_experiment
from worksmux.experiment.play import back_after, busiest, play
from worksmux.experiment.runner import run_all
from worksmux.experiment.stats import mean, paired
from worksmux.scenarios.scenario import load_scenario
from worksmux.settings.document import SettingsError

DAY = Path("examples/no-discovery-day.kdl").resolve()


def written(tmp_path: Path, text: str) -> Path:
    path = tmp_path / "e.kdl"
    path.write_text(text.replace("DAY", str(DAY)))
    return path


def small(tmp_path: Path, seeds: int = 2) -> Experiment:
    return load_experiment(
        written(
            tmp_path,
            f"""experiment "e" day="DAY" seeds={seeds}
axis "length" 2
axis "policy" "worksmux" "random"
""",
        )
    )


def test_axes_cross_but_for_those_that_go_in_step(tmp_path: Path) -> None:
    one = load_experiment(
        written(
            tmp_path,
            """experiment "e" day="DAY" seeds=2
axis "cells" 1 3
axis "fronts" 2 6 with="cells"
axis "policy" "worksmux" "random" "round-robin"
""",
        )
    )
    points = list(one.points())
    assert len(points) == 6 and (("cells", 3), ("fronts", 6), ("policy", "random")) in points
    runs = list(one.runs())
    assert len({run.key for run in runs}) == 12
    day = one.scenario(runs[-1])
    plain = load_scenario(DAY)
    assert len(day.engines) == 3 * len(plain.engines) and day.rate == 3 * plain.rate and day.fronts == 6
    assert len({place.id for place in day.engines}) == len(day.engines)
    assert len({place.cell for place in day.engines}) == 3 * len({place.cell for place in plain.engines})


def test_faults_of_the_file_are_named_with_their_line(tmp_path: Path) -> None:
    with pytest.raises(SettingsError) as told:
        load_experiment(
            written(
                tmp_path,
                """experiment "e" day="nowhere.kdl"
axis "fronts" 0
axis "wheels" 4
axis "cells" 1 2 with="load"
""",
            )
        )
    text = str(told.value)
    assert "whole numbers from 1" in text and "expected one of fronts" in text and "cannot be read" in text
    assert "must name an axis above it" in text and ":2:" in text


def test_work_taken_up_again_loses_and_counts_twice_nothing(tmp_path: Path) -> None:
    plan, said = small(tmp_path), []  # type: Experiment, list[str]
    book = RunStore(tmp_path / "runs")
    runs = list(plan.runs())
    book.add(runs[0].key, runs[0].seed, runs[0].values, {"credit": 0.5})
    assert run_all(plan, book, 2, said.append) == 0 and "1 done before" in said[0]
    book.add(runs[1].key, 99, runs[1].values, {"credit": 9.0})
    assert run_all(plan, book, 2, said.append) == 0
    rows = book.rows(run.key for run in runs)
    assert len(rows) == 4 and sorted(row["credit"] for row in rows)[-1] <= 1.0
    assert {row["seed"] for row in rows} == {1, 2}


def test_run_that_fails_costs_only_itself(tmp_path: Path) -> None:
    plan, said = small(tmp_path, 1), []  # type: Experiment, list[str]
    broken = Experiment(plan.name, str(tmp_path / "gone.kdl"), plan.text, 1, plan.axes, {}, False)
    assert run_all(broken, RunStore(tmp_path / "runs"), 2, said.append) == 2 and "failed" in said[-1]


def test_file_that_is_no_book_is_left_alone(tmp_path: Path) -> None:
    path = tmp_path / "runs"
    path.write_bytes(b"something else" * 100)
    with pytest.raises(RunStoreError):
        RunStore(path)
    assert path.read_bytes() == b"something else" * 100


def test_columns_hold_what_the_runs_gave(tmp_path: Path) -> None:
    to_parquet(
        [{"seed": 1, "policy": "a", "credit": 0.5}, {"seed": 2, "policy": "b", "late": 1.0}],
        tmp_path / "r.parquet",
    )
    table = pq.read_table(tmp_path / "r.parquet").to_pydict()
    assert table == {"seed": [1, 2], "policy": ["a", "b"], "credit": [0.5, None], "late": [None, 1.0]}


def test_intervals_hold_the_mean_and_pairs_go_by_seed() -> None:
    found = mean([0.2, 0.4, 0.6, 0.8])
    assert found.low < found.mean == 0.5 < found.high and mean([0.2, 0.4, 0.6, 0.8]) == found
    one = [{"seed": at, "credit": 0.1 * at + 0.05} for at in range(5)]
    other = [{"seed": at, "credit": 0.1 * at} for at in range(1, 9)]
    change = paired(one, other, "credit")
    assert change.count == 4 and abs(change.mean - 0.05) < 1e-9 and change.high - change.low < 1e-9


def test_run_gives_the_figures_of_its_day_and_audits_where_asked() -> None:
    day = load_scenario(DAY)
    found, plain = play(day, True), play(day, False)
    assert found["rules_broken"] == 0.0 and found["unanswered"] == 0.0 and found["jobs"] > 100
    for name in set(plain) - {"cpu_ms_job", "memory_mb"}:
        assert plain[name] == found[name]


def test_service_is_whole_again_once_two_seconds_are() -> None:
    day = load_scenario(DAY)
    last = max(one.at + one.length for one in day.faults)
    steady = [(float(at), "delivered") for at in range(0, 20_000, 100)]
    assert back_after(day, steady) == 0.0
    gap = [one for one in steady if not last - 1000 <= one[0] < last + 1500]
    assert 1.0 <= back_after(day, gap) <= 3.0 and back_after(day, steady[:60]) == -1.0
    assert busiest([1.0, 1.0, 4.0]) == 2.0 and busiest([]) == 0.0


def test_commands_run_report_and_compare(tmp_path: Path) -> None:
    small(tmp_path)
    runner, file = CliRunner(), str(tmp_path / "e.kdl")
    assert runner.invoke(app, ["experiment", "report", file]).exit_code == 1
    assert runner.invoke(app, ["experiment", "run", file, "--workers", "2"]).exit_code == 0
    told = runner.invoke(app, ["experiment", "report", file, "--out", str(tmp_path / "out")])
    assert told.exit_code == 0 and "policy random against worksmux" in told.output
    assert (tmp_path / "out" / "runs.parquet").exists()
    book = str(tmp_path / "e.runs")
    assert "credit 0.000" in runner.invoke(app, ["experiment", "compare", file, book, book]).output
    assert runner.invoke(app, ["model", str(DAY)]).exit_code == 0
    assert runner.invoke(app, ["model", str(DAY), "--policy", "none"]).exit_code == 2
