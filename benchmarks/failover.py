"""A zone lost under load, in the model: who decides, and what it costs.  `python -m benchmarks.failover`

The bad day's fleet without its troubles, 40 s, the engines of one of two zones lost from 10 to 22 s.
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

LOST = ScenarioFault("zone-loss", 10_000.0, 12_000.0, 0.0, "", "south", -1, (), 1.0, 1.0, "", "", 1000.0, 0)


CARRIES = {"north": 65.0, "south": 65.0}  # measured: alone and warm a zone keeps 0.95 of credit at 60/s


def day_of(rate: float, seed: int, loss: bool) -> Scenario:
    day = load_scenario("examples/bad-day.kdl")
    limits = {**day.limits, "stay_away": 10_000.0}
    return replace(day, length=40_000.0, rate=rate, seed=seed, faults=[LOST] if loss else [], limits=limits)


def one(task: tuple[str, float, int, bool]) -> tuple[float, float, bool, dict[str, int], int, float]:
    mode, rate, seed, loss = task
    day = day_of(rate, seed, loss)
    model = Model(day)
    conductor = FailoverSimulation(model, mode, zone_capacities=CARRIES)
    records = model.run()
    assert records is not None
    told = summary(records, rule_parameters(day))
    first = next((at for at, plan in conductor.plans if plan.routes), 0.0)
    return (
        told["credit_share"],
        told["moved_out_of_cell"],
        told["kept"],
        told["ends"],
        len(conductor.plans),
        first - 1e9 - 11_000.0 if first else 0.0,
    )


def main() -> None:
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
        results = dict(zip(tasks, pool.map(one, tasks), strict=True))
    for rate in map(float, args.rates.split(",")):
        for mode in modes:
            calm, lost = (
                [results[mode, rate, seed, loss] for seed in range(1, args.seeds + 1)]
                for loss in (False, True)
            )
            mean = statistics.fmean
            ends = {
                key: sum(one[3].get(key, 0) for one in lost)
                for key in ("delivered", "late", "deferred", "broken off", "left")
            }
            print(
                f"{rate:5.0f}/s {mode:8} calm {mean(one[0] for one in calm):.3f} moved "
                f"{mean(one[1] for one in calm):.3f} | lost {mean(one[0] for one in lost):.3f} moved "
                f"{mean(one[1] for one in lost):.3f} plans {mean(one[4] for one in lost):.0f} first after "
                f"{mean(one[5] for one in lost):.0f} ms kept {all(one[2] for one in calm + lost)} {ends}",
                flush=True,
            )


if __name__ == "__main__":
    main()
