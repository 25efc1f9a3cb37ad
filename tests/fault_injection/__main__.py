"""The command line: `python -m fault_injection run|replay|shrink`."""

from __future__ import annotations

import argparse
import sys
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path

from .draw import draw
from .schedule import Schedule, ScheduleError, load, save
from .shrink import shrink
from .world import Result, play

BAD_INPUT = 2


def _seeds(text: str) -> range:
    """Parses a seed or a range of seeds."""
    first, _, last = text.partition("-")
    if not (first.isdigit() and (last or first).isdigit()) or int(last or first) < int(first):
        raise ScheduleError(f"{text}: a seed such as 7, or seeds such as 1-1000, were expected")
    return range(int(first), int(last or first) + 1)


def _schedule(text: str, times: int) -> Schedule:
    """Returns the schedule of a seed, or of a file."""
    return draw(int(text), times) if text.isdigit() else load(Path(text))


def _play_seed(seed: int, times: int) -> tuple[int, Result]:
    """Plays one seed in a worker process; leaves out the traces, which are large."""
    result = play(draw(seed, times))
    return seed, Result(result.violations, {}, result.requests, result.served, result.releases)


def run(seeds: range, processes: int, times: int) -> int:
    """Plays many seeds, and prints those that break a rule."""
    broken = requests = served = releases = 0
    with ProcessPoolExecutor(processes) as pool:
        for seed, result in pool.map(partial(_play_seed, times=times), seeds, chunksize=8):
            requests, served = requests + result.requests, served + result.served
            releases += result.releases
            if result.violations:
                broken += 1
                first = result.violations[0]
                print(
                    f"seed {seed}: {len(result.violations)} violations, the first in {first.request}: "
                    f"{first.rule.name}: {first.detail}",
                    flush=True,
                )
    print(
        f"{len(seeds)} seeds, {broken} broke a rule; {requests} requests, {served} served, "
        f"{releases} releases received"
    )
    return int(broken > 0)


def replay(schedule: Schedule, request: str, logs: bool) -> int:
    """Plays one schedule, and prints the traces of the requests that broke a rule, or of `request`."""
    result = play(schedule, logs)
    for violation in result.violations:
        print(f"{violation.request}: {violation.rule.value}: {violation.detail}")
    for key in [request] if request else sorted({violation.request for violation in result.violations}):
        print(f"\n{key}")
        for time, text in result.trace[key]:
            print(f"  {1000 * (time - 1000.0):9.1f} ms  {text}")
    return int(bool(result.violations))


def main() -> int:
    """Parses the arguments and runs a command.  Returns the exit code."""
    parser = argparse.ArgumentParser(prog="python -m fault_injection", description=__doc__)
    commands = parser.add_subparsers(dest="command", required=True)
    subparser = commands.add_parser("run", help="play new seeds")
    subparser.add_argument("seeds", help="a seed, or FIRST-LAST")
    subparser.add_argument("--jobs", type=int, default=8, help="worker processes")
    subparser = commands.add_parser("replay", help="play a seed or a schedule file again")
    subparser.add_argument("schedule")
    subparser.add_argument("--request", default="", help="print the trace of this request")
    subparser.add_argument("--logs", action="store_true", help="print the log lines of the nodes")
    subparser = commands.add_parser("shrink", help="find a small schedule that breaks the same rule")
    subparser.add_argument("schedule")
    subparser.add_argument("file", type=Path)
    for command in commands.choices.values():
        command.add_argument("--times", type=int, default=1, help="multiplies the engines of a seed")
    arguments = parser.parse_args()
    try:
        if arguments.command == "run":
            return run(_seeds(arguments.seeds), arguments.jobs, arguments.times)
        if arguments.command == "replay":
            return replay(_schedule(arguments.schedule, arguments.times), arguments.request, arguments.logs)
        small = shrink(_schedule(arguments.schedule, arguments.times))
        save(small, arguments.file)
        print(f"{arguments.file}: {len(small.requests)} requests, {len(small.faults)} faults")
        return 0
    except ScheduleError as error:
        print(f"fault_injection: {error}", file=sys.stderr)
        return BAD_INPUT


if __name__ == "__main__":
    sys.exit(main())
