"""Compares one scenario over sockets with the model: `python -m benchmarks.calibration DAY.kdl [quiet]`.

The scenario, with `quiet` without its faults, is run once by `worksmux trial` (processes, sockets) and with
several seeds by the model. Printed are the differences in the served share, quantiles of the first token, and
attempts for each request.
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

SCENARIOS = ["examples/no-discovery-day.kdl"]
SEEDS = 5


def simulate(scenario: Scenario) -> list[dict[str, Any]]:
    """Returns the reports of the model for several seeds."""
    reports = []
    for seed in range(SEEDS):
        model = Model(replace(scenario, seed=scenario.seed + seed))
        records = model.run()
        assert records is not None
        reports.append(summary(records, rule_parameters(scenario)))
    return reports


def figures(report: dict[str, Any]) -> dict[str, float]:
    """Returns the figures of a report that are compared."""
    return {
        "delivered": report["delivered_share"],
        "credit": report["credit_share"],
        **{f"first {quantile}": float(value) for quantile, value in report["first_ms"].items()},
        "attempts a request": report["trips_a_job"],
        "requests": float(report["jobs"]),
        "kept": float(report["kept"]),
    }


def main() -> None:
    """Runs the scenario both ways and prints the comparison."""
    file, without_faults = (sys.argv[1:] + ["", ""])[:2]
    scenario = load_scenario(file or SCENARIOS[0])
    if without_faults:
        scenario = replace(scenario, faults=[])
    with tempfile.TemporaryDirectory() as folder:
        sockets = figures(play(scenario, scenario.policy, lambda _: None, Path(folder) / "day"))
    runs = [figures(report) for report in simulate(scenario)]
    print(
        f"{scenario.name}{', no faults' if without_faults else ''}: sockets once, "
        f"the model with {SEEDS} seeds"
    )
    for key, value in sockets.items():
        values = [run[key] for run in runs]
        mean = sum(values) / len(values)
        print(
            f"{key:12} sockets {value:9.3f}  model {mean:9.3f} ({min(values):.3f} to {max(values):.3f})  "
            f"difference {mean - value:+.3f}"
        )


if __name__ == "__main__":
    main()
