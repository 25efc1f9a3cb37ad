"""Plays the days of a search, each with the module and the plain policies, several at once."""

from __future__ import annotations

import multiprocessing
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from types import TracebackType

from ..scenarios.scenario import Scenario
from ..settings.front import POLICIES
from .play import play
from .search import CandidateScenario

SEEDS = 2  # of each day: a single lucky one counts for less


def one(day: Scenario) -> tuple[float, float]:
    """The regret and the module's credit, as means of the seeds."""
    found = []
    for policy in POLICIES:
        credits = [
            play(replace(day, policy=policy, seed=day.seed + seed), False)["credit"] for seed in range(SEEDS)
        ]
        found.append(sum(credits) / SEEDS)
    return max(found[1:]) - found[0], found[0]


class EvaluationPool:
    """A pool of processes for one base day."""

    def __init__(self, base: Scenario, workers: int) -> None:
        self.base = base
        self.pool = ProcessPoolExecutor(workers, mp_context=multiprocessing.get_context("spawn"))

    def __enter__(self) -> EvaluationPool:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.pool.shutdown(cancel_futures=True)

    def evaluate(self, days: list[CandidateScenario]) -> list[tuple[float, float]]:
        return list(self.pool.map(one, [found.day(self.base) for found in days]))
