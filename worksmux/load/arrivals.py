"""When jobs are due: a Poisson process whose rate ramps, waves and bursts.  Free of I/O; chance is seeded.

Rates that change are met by thinning (Lewis and Shedler, 1979): arrivals at the highest rate, each kept with
the part that the rate has at that moment.  Processes that each take an even part of the rate are together the
whole process.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass
from math import cos, pi


@dataclass(frozen=True)
class Phase:
    """A stretch of the load; rates in jobs a second, times in milliseconds.

    The rate goes from `rate` to `to` in a line, times a wave of height `wave` (0 to 1) and period `every`,
    times `burst` in the first `burst_for` of each `every`.
    """

    length: float
    rate: float
    to: float
    wave: float = 0.0
    every: float = 1000.0
    burst: float = 1.0
    burst_for: float = 0.0

    def at(self, time: float) -> float:
        """
        >>> Phase(10.0, 100.0, 200.0).at(5.0), Phase(10.0, 100.0, 100.0, 0.5, 10.0).at(0.0)
        (150.0, 50.0)
        """
        rate = self.rate + (self.to - self.rate) * time / self.length
        if self.wave:
            rate *= 1 - self.wave * cos(2 * pi * time / self.every)
        if self.burst != 1.0 and time % self.every < self.burst_for:
            rate *= self.burst
        return rate

    @property
    def most(self) -> float:
        return max(self.rate, self.to) * (1 + self.wave) * max(1.0, self.burst)


def arrivals(phases: list[Phase], part: float, seed: int) -> Iterator[float]:
    """Times of arrival in milliseconds from the start, in order; `part` of the rate."""
    chance, begin = random.Random(seed), 0.0
    for phase in phases:
        most = phase.most * part / 1000
        time = 0.0
        while most > 0:
            time += chance.expovariate(most)
            if time >= phase.length:
                break
            if chance.random() * phase.most < phase.at(time):
                yield begin + time
        begin += phase.length
