"""Arrival times: a Poisson process whose rate ramps, waves and bursts.

The module does no I/O, and its random source is seeded.
A changing rate is met by thinning (Lewis and Shedler, 1979): arrivals are drawn at the highest rate, and each
is kept with the probability of the current rate over the highest.  Processes that each take an equal share of
the rate add up to the same process.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass
from math import cos, pi


@dataclass(frozen=True)
class Phase:
    """A stretch of the load; rates in requests a second.

    The rate goes linearly from `rate` to `end_rate`, times a wave of height `wave` (0 to 1) and period
    `period_ms`, times `burst_factor` in the first `burst_length_ms` of each period.
    """

    length_ms: float
    rate: float
    end_rate: float
    wave: float = 0.0
    period_ms: float = 1000.0
    burst_factor: float = 1.0
    burst_length_ms: float = 0.0

    def rate_at(self, time_ms: float) -> float:
        """The rate at a time within the phase.

        >>> Phase(10.0, 100.0, 200.0).rate_at(5.0), Phase(10.0, 100.0, 100.0, 0.5, 10.0).rate_at(0.0)
        (150.0, 50.0)
        """
        rate = self.rate + (self.end_rate - self.rate) * time_ms / self.length_ms
        if self.wave:
            rate *= 1 - self.wave * cos(2 * pi * time_ms / self.period_ms)
        if self.burst_factor != 1.0 and time_ms % self.period_ms < self.burst_length_ms:
            rate *= self.burst_factor
        return rate

    @property
    def max_rate(self) -> float:
        """An upper bound of the phase's rate."""
        return max(self.rate, self.end_rate) * (1 + self.wave) * max(1.0, self.burst_factor)


def arrivals(phases: list[Phase], share: float, seed: int) -> Iterator[float]:
    """Arrival times in milliseconds from the start, in order, at `share` of the rate."""
    random_source, phase_start_ms = random.Random(seed), 0.0
    for phase in phases:
        max_rate_per_ms = phase.max_rate * share / 1000
        time_ms = 0.0
        while max_rate_per_ms > 0:
            time_ms += random_source.expovariate(max_rate_per_ms)
            if time_ms >= phase.length_ms:
                break
            if random_source.random() * phase.max_rate < phase.rate_at(time_ms):
                yield phase_start_ms + time_ms
        phase_start_ms += phase.length_ms
