"""Means with confidence intervals, and differences paired by seed.  Free of I/O; chance is seeded.

Intervals are bootstrap percentiles (Efron, 1979): few runs, and figures that are far from normal.
"""

from __future__ import annotations

import random
from collections import defaultdict
from dataclasses import dataclass
from typing import Any

RESAMPLES = 2000
LEVEL = 0.95


@dataclass(frozen=True)
class Mean:
    """A mean and its interval; `count` values."""

    mean: float
    low: float
    high: float
    count: int

    def __str__(self) -> str:
        return f"{self.mean:.3f}" if self.count < 2 else f"{self.mean:.3f} ({self.low:.3f}, {self.high:.3f})"


def mean(values: list[float], seed: int = 1) -> Mean:
    """
    >>> mean([1.0, 1.0, 1.0])
    Mean(mean=1.0, low=1.0, high=1.0, count=3)
    """
    if not values:
        return Mean(0.0, 0.0, 0.0, 0)
    chance, count = random.Random(seed), len(values)
    means = sorted(sum(chance.choices(values, k=count)) / count for _ in range(RESAMPLES if count > 1 else 1))
    cut = (1 - LEVEL) / 2
    return Mean(
        sum(values) / count,
        means[int(cut * (len(means) - 1))],
        means[int((1 - cut) * (len(means) - 1))],
        count,
    )


def group(rows: list[dict[str, Any]], axes: list[str]) -> dict[tuple[Any, ...], list[dict[str, Any]]]:
    """Runs by their values, in the order in which these first come."""
    found: dict[tuple[Any, ...], list[dict[str, Any]]] = defaultdict(list)
    for row in rows:
        found[tuple(row.get(axis) for axis in axes)].append(row)
    return dict(found)


def paired(one: list[dict[str, Any]], other: list[dict[str, Any]], figure: str) -> Mean:
    """The mean difference of `one` from `other`, over the seeds that both have."""
    by_seed = {row["seed"]: row for row in other}
    return mean(
        [
            row[figure] - by_seed[row["seed"]][figure]
            for row in one
            if row["seed"] in by_seed and figure in row
        ]
    )
