"""The command line: `python -m fault_injection run|replay|shrink`."""

from __future__ import annotations

import argparse
import sys
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path

from .draw import draw
from .schedule import BadSchedule, Schedule, load, save
from .shrink import shrink
from .world import Result, play

BAD_INPUT = 2


def _seeds(text: str) -> range:
    first, _, last = text.partition("-")
    if not (first.isdigit() and (last or first).isdigit()) or int(last or first) < int(first):
        raise BadSchedule(f"{text}: a seed such as 7, or seeds such as 1-1000, were expected")
    return range(int(first), int(last or first) + 1)


def _schedule(text: str, times: int) -> Schedule:
    """A seed, or a file."""
    return draw(int(text), times) if text.isdigit() else load(Path(text))


def _play_seed(seed: int, times: int) -> tuple[int, Result]:
    result = play(draw(seed, times))
    return seed, Result(result.violations, {}, result.requests, result.served, result.releases)


def run(seeds: range, jobs: int, times: int) -> int:
    """Plays many seeds; names those that break a rule."""
    broken = requests = served = releases = 0
    with ProcessPoolExecutor(jobs) as pool:
        for seed, result in pool.map(partial(_play_seed, times=times), seeds, chunksize=8):
            requests, served = requests + result.requests, served + result.served
            releases += result.releases
            if result.violations:
                broken += 1
                first = result.violations[0]
                print(
                    f"seed {seed}: {len(result.violations)} times, first {first.request}: "
                    f"{first.rule.name}: {first.detail}",
                    flush=True,
                )
    print(
        f"{len(seeds)} seeds, {broken} broke a rule; {requests} requests, {served} served, "
        f"{releases} releases heard"
    )
    return int(broken > 0)


def replay(schedule: Schedule, request: str, logs: bool) -> int:
    """Plays one schedule and tells what became of the requests that broke a rule, or of one."""
    result = play(schedule, logs)
    for violation in result.violations:
        print(f"{violation.request}: {violation.rule.value}: {violation.detail}")
    for key in [request] if request else sorted({violation.request for violation in result.violations}):
        print(f"\n{key}")
        for time, text in result.trace[key]:
            print(f"  {1000 * (time - 1000.0):9.1f} ms  {text}")
    return int(bool(result.violations))


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m fault_injection", description=__doc__)
    commands = parser.add_subparsers(dest="command", required=True)
    one = commands.add_parser("run", help="play new seeds")
    one.add_argument("seeds", help="a seed, or FIRST-LAST")
    one.add_argument("--jobs", type=int, default=8, help="processes")
    one = commands.add_parser("replay", help="play a seed or a schedule file again")
    one.add_argument("schedule")
    one.add_argument("--request", default="", help="tell what became of this one")
    one.add_argument("--logs", action="store_true", help="print the nodes' own log lines")
    one = commands.add_parser("shrink", help="find a small schedule that breaks the same rule")
    one.add_argument("schedule")
    one.add_argument("file", type=Path)
    for command in commands.choices.values():
        command.add_argument("--times", type=int, default=1, help="as many engines as the seed draws")
    told = parser.parse_args()
    try:
        if told.command == "run":
            return run(_seeds(told.seeds), told.jobs, told.times)
        if told.command == "replay":
            return replay(_schedule(told.schedule, told.times), told.request, told.logs)
        small = shrink(_schedule(told.schedule, told.times))
        save(small, told.file)
        print(f"{told.file}: {len(small.requests)} requests, {len(small.faults)} faults")
        return 0
    except BadSchedule as fault:
        print(f"fault_injection: {fault}", file=sys.stderr)
        return BAD_INPUT


if __name__ == "__main__":
    sys.exit(main())
