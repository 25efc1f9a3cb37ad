"""The front's own shortage: when its loop lags or its sockets or memory run out, it sheds what is worth
least.

Pressure is the worst of three ratios to their bounds.  A level rises while pressure is over one and falls,
more slowly, once it is well under it; the level counts how many classes are shed, the cheapest first and each
by degrees, and the dearest never wholly.  Rising is as fast as the loop's lag can do harm, falling so slow
that what was shed does not come back all at once.
"""

from __future__ import annotations

from dataclasses import dataclass

OVER = 1.0  # pressure above which the level rises
UNDER = 0.7  # and below which it falls
DEAREST = 0.5  # of the dearest class is shed at most
STEEP = 4.0  # a pressure so far over counts no more


@dataclass(slots=True)
class Pressure:
    """Each as a ratio to its bound."""

    lag: float = 0.0
    sockets: float = 0.0
    memory: float = 0.0

    @property
    def worst(self) -> float:
        return max(self.lag, self.sockets, self.memory)


class Brownout:
    """`worth` is the credit for a unit of cost of each class; `rise` and `fall` are the milliseconds in which
    one class is shed wholly, at twice the bound, and let back in."""

    def __init__(self, worth: list[float], rise: float, fall: float) -> None:
        order = sorted(range(len(worth)), key=lambda at: worth[at])
        self.rank = {at: place for place, at in enumerate(order)}
        self.most = len(worth) - 1 + DEAREST
        self.rise, self.fall = rise, fall
        self.level = 0.0
        self.at: float | None = None

    def note(self, now: float, pressure: Pressure) -> None:
        """What was measured; to be told regularly."""
        passed = 0.0 if self.at is None else max(0.0, now - self.at)
        self.at = now
        worst = pressure.worst
        if worst > OVER:
            self.level = min(self.most, self.level + passed / self.rise * min(STEEP, worst - OVER))
        elif worst < UNDER:
            self.level = max(0.0, self.level - passed / self.fall)

    def shed_share(self, at: int) -> float:
        """The part of a class that is turned away."""
        return min(1.0, max(0.0, self.level - self.rank[at]))

    def sheds(self, at: int, luck: float) -> bool:
        """`luck` is a draw from 0 to 1."""
        return self.level > 0 and luck < self.shed_share(at)
