"""Failover of a lost zone under load, in the model, for each mode of planning: `python -m
benchmarks.failover`.

The bad day's fleet runs for 40 s without its faults. The engines of one of two zones are lost from 10 to 22
s.
"""

from __future__ import annotations

import argparse
import statistics
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace

from worksmux.checker.report import summary
from worksmux.scenarios.figures import rule_parameters
from worksmux.scenarios.scenario import Scenario, ScenarioFault, load_scenario
from worksmux.simulation.conductor import MODES, FailoverSimulation
from worksmux.simulation.day import Model

ZONE_LOSS = ScenarioFault(
    "zone-loss", 10_000.0, 12_000.0, 0.0, "", "south", -1, (), 1.0, 1.0, "", "", 1000.0, 0
)


# Measured: a warm zone alone keeps 0.95 of the credit at 60 requests/s.
ZONE_CAPACITIES = {"north": 65.0, "south": 65.0}


def scenario_with(rate: float, seed: int, loss: bool) -> Scenario:
    """Returns the scenario for a rate and a seed, with or without the loss of a zone."""
    scenario = load_scenario("examples/bad-day.kdl")
    limits = {**scenario.limits, "stay_away": 10_000.0}
    return replace(
        scenario, length=40_000.0, rate=rate, seed=seed, faults=[ZONE_LOSS] if loss else [], limits=limits
    )


def run(task: tuple[str, float, int, bool]) -> tuple[float, float, bool, dict[str, int], int, float]:
    """Returns the credit share, the share moved out of its cell, whether all rules were kept, the ends, the
    number of plans, and the milliseconds until the first plan.
    """
    mode, rate, seed, loss = task
    scenario = scenario_with(rate, seed, loss)
    model = Model(scenario)
    failover = FailoverSimulation(model, mode, zone_capacities=ZONE_CAPACITIES)
    records = model.run()
    assert records is not None
    report = summary(records, rule_parameters(scenario))
    first = next((time for time, plan in failover.plans if plan.routes), 0.0)
    return (
        report["credit_share"],
        report["moved_out_of_cell"],
        report["kept"],
        report["ends"],
        len(failover.plans),
        first - 1e9 - 11_000.0 if first else 0.0,
    )


def main() -> None:
    """Runs all combinations in parallel and prints a line for each rate and mode."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--rates", default="30,60,75")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--modes", default=",".join(MODES))
    args = parser.parse_args()
    modes = args.modes.split(",")
    tasks = [
        (mode, float(rate), seed, loss)
        for rate in args.rates.split(",")
        for mode in modes
        for loss in (False, True)
        for seed in range(1, args.seeds + 1)
    ]
    with ProcessPoolExecutor() as pool:
        results = dict(zip(tasks, pool.map(run, tasks), strict=True))
    for rate in map(float, args.rates.split(",")):
        for mode in modes:
            without_loss, with_loss = (
                [results[mode, rate, seed, loss] for seed in range(1, args.seeds + 1)]
                for loss in (False, True)
            )
            mean = statistics.fmean
            ends = {
                key: sum(result[3].get(key, 0) for result in with_loss)
                for key in ("delivered", "late", "deferred", "broken off", "left")
            }
            print(
                f"{rate:5.0f}/s {mode:8} no loss {mean(result[0] for result in without_loss):.3f} "
                f"moved {mean(result[1] for result in without_loss):.3f} | "
                f"zone lost {mean(result[0] for result in with_loss):.3f} "
                f"moved {mean(result[1] for result in with_loss):.3f} "
                f"plans {mean(result[4] for result in with_loss):.0f} "
                f"first after {mean(result[5] for result in with_loss):.0f} ms "
                f"kept {all(result[2] for result in without_loss + with_loss)} {ends}",
                flush=True,
            )


if __name__ == "__main__":
    main()
