"""Simulates the candidates of a search under each policy, several at once."""

from __future__ import annotations

import multiprocessing
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from types import TracebackType

from ..scenarios.scenario import Scenario
from ..settings.front import POLICIES
from .play import simulate_scenario
from .search import CandidateScenario

SEEDS = 2  # of each candidate, so that one lucky seed counts for less


def regret_and_credit(scenario: Scenario) -> tuple[float, float]:
    """The regret, and the credit of the first policy (worksmux), as means over the seeds."""
    policy_credits = []
    for policy in POLICIES:
        credits = [
            simulate_scenario(replace(scenario, policy=policy, seed=scenario.seed + seed), False)["credit"]
            for seed in range(SEEDS)
        ]
        policy_credits.append(sum(credits) / SEEDS)
    return max(policy_credits[1:]) - policy_credits[0], policy_credits[0]


class EvaluationPool:
    """A pool of processes that simulate variants of one base scenario."""

    def __init__(self, base: Scenario, workers: int) -> None:
        self.base = base
        self.pool = ProcessPoolExecutor(workers, mp_context=multiprocessing.get_context("spawn"))

    def __enter__(self) -> EvaluationPool:
        """Returns the pool; its processes start with the first evaluation."""
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Cancels the evaluations that have not started and waits for the rest."""
        self.pool.shutdown(cancel_futures=True)

    def evaluate(self, candidates: list[CandidateScenario]) -> list[tuple[float, float]]:
        """The regret and credit of each candidate, in order."""
        return list(
            self.pool.map(regret_and_credit, [candidate.scenario(self.base) for candidate in candidates])
        )
