"""Simulates the runs that are not stored yet, several at once, each in a process of its own."""

from __future__ import annotations

import multiprocessing
from collections.abc import Callable
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from concurrent.futures.process import BrokenProcessPool

from .book import RunStore
from .plan import Experiment, Run
from .play import simulate_scenario


def _simulate(experiment: Experiment, run: Run) -> dict[str, float]:
    """Simulates one run, in a worker process."""
    return simulate_scenario(experiment.scenario(run), experiment.audit)


def run_all(
    experiment: Experiment, store: RunStore, workers: int, show_progress: Callable[[str], None]
) -> int:
    """Simulates the runs that are missing and stores each as it ends; returns the number of failed runs.

    If this process is killed, only the runs in progress are lost.  If a worker process dies, one of the
    runs in progress counts as failed, and the other runs go on in new processes.
    """
    runs = list(experiment.runs())
    completed = store.completed_keys()
    waiting = [run for run in runs if run.key not in completed]
    show_progress(f"{experiment.name}: {len(runs)} runs, {len(runs) - len(waiting)} done before")
    failed = 0
    while waiting:
        remaining, newly_failed = _batch(experiment, store, waiting, workers, show_progress)
        failed += newly_failed
        waiting = remaining
    return failed


def _batch(
    experiment: Experiment,
    store: RunStore,
    waiting: list[Run],
    workers: int,
    show_progress: Callable[[str], None],
) -> tuple[list[Run], int]:
    """Simulates until all runs are done or a process has died.

    Returns the remaining runs and the number of failed ones.
    """
    failed, finished, total = 0, 0, len(waiting)
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(workers, mp_context=context, max_tasks_per_child=1) as pool:
        in_progress: dict[Future[dict[str, float]], Run] = {}
        queue = iter(waiting)
        try:
            while True:
                for run in queue:
                    in_progress[pool.submit(_simulate, experiment, run)] = run
                    if len(in_progress) >= workers:
                        break
                if not in_progress:
                    return [], failed
                for future in wait(in_progress, return_when=FIRST_COMPLETED).done:
                    run = in_progress.pop(future)
                    finished += 1
                    try:
                        figures = future.result()
                    except BrokenProcessPool:
                        in_progress[future] = run
                        raise
                    except Exception as error:
                        failed += 1
                        show_progress(
                            f"{finished} of {total} failed: {_description(run)}: "
                            f"{type(error).__name__}: {error}"
                        )
                        continue
                    store.add(run.key, run.seed, run.values, figures)
                    show_progress(
                        f"{finished} of {total}: {_description(run)}: credit {figures['credit']:.3f}, "
                        f"{figures['cpu_ms_job']:.2f} ms of CPU time a request"
                    )
        except BrokenProcessPool:
            lost = next(iter(in_progress.values()))
            show_progress(
                f"a worker process died; the run {_description(lost)} was in progress and counts as failed, "
                f"the other runs go on"
            )
            completed = store.completed_keys()
            return [run for run in waiting if run.key not in completed and run is not lost], failed + 1


def _description(run: Run) -> str:
    """The axis values and seed of a run, for progress messages."""
    return ", ".join(f"{name} {value}" for name, value in run.values) + f", seed {run.seed}"
