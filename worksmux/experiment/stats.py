"""Means with confidence intervals, and differences paired by seed.

Intervals are bootstrap percentiles (Efron, 1979), as there are few runs and the figures are far from normally
distributed.  The module does no I/O, and its random source is seeded.
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
    """The mean of `count` values and its confidence interval."""

    mean: float
    low: float
    high: float
    count: int

    def __str__(self) -> str:
        return f"{self.mean:.3f}" if self.count < 2 else f"{self.mean:.3f} ({self.low:.3f}, {self.high:.3f})"


def mean(values: list[float], seed: int = 1) -> Mean:
    """The mean of values, with a bootstrap interval.

    >>> mean([1.0, 1.0, 1.0])
    Mean(mean=1.0, low=1.0, high=1.0, count=3)
    """
    if not values:
        return Mean(0.0, 0.0, 0.0, 0)
    random_source, count = random.Random(seed), len(values)
    means = sorted(
        sum(random_source.choices(values, k=count)) / count for _ in range(RESAMPLES if count > 1 else 1)
    )
    tail = (1 - LEVEL) / 2
    return Mean(
        sum(values) / count,
        means[int(tail * (len(means) - 1))],
        means[int((1 - tail) * (len(means) - 1))],
        count,
    )


def group(rows: list[dict[str, Any]], axes: list[str]) -> dict[tuple[Any, ...], list[dict[str, Any]]]:
    """Groups runs by their axis values, in the order of the first run of each group."""
    groups: dict[tuple[Any, ...], list[dict[str, Any]]] = defaultdict(list)
    for row in rows:
        groups[tuple(row.get(axis) for axis in axes)].append(row)
    return dict(groups)


def paired(rows: list[dict[str, Any]], base: list[dict[str, Any]], figure: str) -> Mean:
    """The mean difference of `rows` from `base`, over the seeds that both have."""
    by_seed = {row["seed"]: row for row in base}
    return mean(
        [
            row[figure] - by_seed[row["seed"]][figure]
            for row in rows
            if row["seed"] in by_seed and figure in row
        ]
    )
