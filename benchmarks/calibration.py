"""The same day over sockets and in the model, side by side: `python -m benchmarks.calibration DAY.kdl
[quiet]`.

The day, or with `quiet` the day without its troubles, is played by `worksmux trial` (processes, sockets) once
and by the model with several seeds; the differences in delivered share, quantiles of the first token and
trips a job.
"""

from __future__ import annotations

import sys
import tempfile
from dataclasses import replace
from pathlib import Path
from typing import Any

from worksmux.checker.report import summary
from worksmux.fault_trial.runner import play
from worksmux.scenarios.figures import rule_parameters
from worksmux.scenarios.scenario import Scenario, load_scenario
from worksmux.simulation.day import Model

DAYS = ["examples/no-discovery-day.kdl"]
SEEDS = 5


def modelled(day: Scenario) -> list[dict[str, Any]]:
    found = []
    for seed in range(SEEDS):
        model = Model(replace(day, seed=day.seed + seed))
        records = model.run()
        assert records is not None
        found.append(summary(records, rule_parameters(day)))
    return found


def figures(told: dict[str, Any]) -> dict[str, float]:
    return {
        "delivered": told["delivered_share"],
        "credit": told["credit_share"],
        **{f"first {at}": float(value) for at, value in told["first_ms"].items()},
        "trips a job": told["trips_a_job"],
        "jobs": float(told["jobs"]),
        "kept": float(told["kept"]),
    }


def main() -> None:
    file, quiet = (sys.argv[1:] + ["", ""])[:2]
    day = load_scenario(file or DAYS[0])
    if quiet:
        day = replace(day, faults=[])
    with tempfile.TemporaryDirectory() as name:
        sockets = figures(play(day, day.policy, lambda _: None, Path(name) / "day"))
    runs = [figures(told) for told in modelled(day)]
    print(f"{day.name}{', no troubles' if quiet else ''}: sockets once, the model with {SEEDS} seeds")
    for key, value in sockets.items():
        values = [run[key] for run in runs]
        mean = sum(values) / len(values)
        print(
            f"{key:12} sockets {value:9.3f}  model {mean:9.3f} ({min(values):.3f} to {max(values):.3f})  "
            f"difference {mean - value:+.3f}"
        )


if __name__ == "__main__":
    main()
