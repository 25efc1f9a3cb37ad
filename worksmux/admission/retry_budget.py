"""Attempts that are made again: known as such, kept to a ratio of first ones, and told when to come back.

Guards against retry storms: clients and fronts that repeat what failed add load when there is too much of it,
and keep a fleet down after the cause has gone.  A repeat pays from what first attempts have earned; who finds
nothing earned is told a time to come back at, taken from a schedule that fills at the rate at which work is
really done, so that those turned away together do not come back together.
"""

from __future__ import annotations

from ..policy.random_source import RandomSource

SPREAD = 0.5  # of the wait that chance adds


class Repeats:
    """Knows an attempt by the hash of who asks what, over the last `span` milliseconds, in two generations of
    at most `most` each."""

    def __init__(self, span: float, most: int) -> None:
        self.span, self.most = span, most
        self.young: set[int] = set()
        self.old: set[int] = set()
        self.turned_at = 0.0

    def _turn(self, now: float) -> None:
        if now >= self.turned_at + self.span or len(self.young) >= self.most:
            self.old = self.young if now < self.turned_at + 2 * self.span else set()
            self.young, self.turned_at = set(), now

    def refused(self, now: float, key: int) -> None:
        self._turn(now)
        self.young.add(key)

    def known(self, now: float, key: int) -> bool:
        """Whether it was refused before, whatever its client says."""
        self._turn(now)
        return key in self.young or key in self.old


class Budget:
    """First attempts earn `ratio` of one repeat each, up to `most`; a repeat spends one.  In any span the
    repeats are no more than `ratio` of the first ones, and `most`."""

    def __init__(self, ratio: float, most: float) -> None:
        self.ratio, self.most = ratio, most
        self.earned = most

    def first(self) -> None:
        self.earned = min(self.most, self.earned + self.ratio)

    def repeat(self) -> bool:
        if self.earned < 1.0:
            return False
        self.earned -= 1.0
        return True


class Advice:
    """When those turned away should come back.  `longest` milliseconds at most, `least` at the least."""

    def __init__(self, least: float, longest: float, seed: int) -> None:
        self.least, self.longest = least, longest
        self.chance = RandomSource(seed)
        self.free_at = 0.0  # until then the schedule is taken

    def stay_away(self, now: float, cost: float, rate: float, backlog: float) -> float:
        """Milliseconds.  `rate` is what is served in a millisecond, `backlog` what waits already; without a
        rate, chance alone spreads the returns."""
        if rate <= 0:
            return self.least * (1 + 2 * self.chance.share())
        drained = now + backlog / rate
        self.free_at = max(self.free_at, drained) + cost / rate
        if self.free_at > now + self.longest:  # more than comes back in time: over the whole of it
            self.free_at = now + self.longest
            return self.least + (self.longest - self.least) * self.chance.share()
        wait = self.free_at - now
        return min(self.longest, max(self.least, wait) * (1 + SPREAD * self.chance.share()))
