"""Plays the runs that are not in the book yet, several at once, each in a process of its own."""

from __future__ import annotations

import multiprocessing
from collections.abc import Callable
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from concurrent.futures.process import BrokenProcessPool

from .book import RunStore
from .plan import Experiment, Run
from .play import play


def _one(experiment: Experiment, run: Run) -> dict[str, float]:
    return play(experiment.scenario(run), experiment.journal)


def run_all(experiment: Experiment, book: RunStore, workers: int, say: Callable[[str], None]) -> int:
    """Plays what is missing and writes each run as it ends; returns how many failed.

    A kill loses the runs that are out, nothing else; a process that dies takes its own run along and the rest
    go on in new ones.
    """
    runs = list(experiment.runs())
    done = book.done()
    waiting = [run for run in runs if run.key not in done]
    say(f"{experiment.name}: {len(runs)} runs, {len(runs) - len(waiting)} done before")
    failed = 0
    while waiting:
        left, lost = _batch(experiment, book, waiting, workers, say)
        failed += lost
        waiting = left
    return failed


def _batch(
    experiment: Experiment, book: RunStore, waiting: list[Run], workers: int, say: Callable[[str], None]
) -> tuple[list[Run], int]:
    """Plays until all are done or a process has died; what is left, and how many failed."""
    failed, number, whole = 0, 0, len(waiting)
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(workers, mp_context=context, max_tasks_per_child=1) as pool:
        out: dict[Future[dict[str, float]], Run] = {}
        line = iter(waiting)
        try:
            while True:
                for run in line:
                    out[pool.submit(_one, experiment, run)] = run
                    if len(out) >= workers:
                        break
                if not out:
                    return [], failed
                for future in wait(out, return_when=FIRST_COMPLETED).done:
                    run = out.pop(future)
                    number += 1
                    try:
                        figures = future.result()
                    except BrokenProcessPool:
                        out[future] = run
                        raise
                    except Exception as error:
                        failed += 1
                        say(f"{number} of {whole} failed: {_told(run)}: {type(error).__name__}: {error}")
                        continue
                    book.add(run.key, run.seed, run.values, figures)
                    say(
                        f"{number} of {whole}: {_told(run)}: credit {figures['credit']:.3f}, "
                        f"{figures['cpu_ms_job']:.2f} ms a job"
                    )
        except BrokenProcessPool:
            lost = next(iter(out.values()))
            say(f"a process died in the run {_told(lost)} or beside it; the others go on without it")
            done = book.done()
            return [run for run in waiting if run.key not in done and run is not lost], failed + 1


def _told(run: Run) -> str:
    return ", ".join(f"{name} {value}" for name, value in run.values) + f", seed {run.seed}"
