"""Load shedding by the gateway's own shortage: a lagging event loop, or too many sockets or too much memory.

Pressure is the worst of three ratios to their bounds.  The shedding level rises while pressure is over 1
and falls, more slowly, once it is well under it.  The level counts the request classes that are shed: those
of the least value first, each by degrees, and the most valuable one never wholly.  It rises as fast as a
lagging loop does harm, and falls so slowly that what was shed does not come back all at once.
"""

from __future__ import annotations

from dataclasses import dataclass

RAISE_ABOVE = 1.0  # pressure
LOWER_BELOW = 0.7  # pressure
MAX_EXCESS = 4.0  # pressure above the bound that still speeds up the rise
MAX_SHED_OF_MOST_VALUABLE = 0.5  # share of its requests


@dataclass(frozen=True, slots=True)
class Pressure:
    """The gateway's use of its resources, each as a ratio to its bound."""

    lag: float = 0.0
    sockets: float = 0.0
    memory: float = 0.0

    @property
    def worst(self) -> float:
        return max(self.lag, self.sockets, self.memory)


class LoadShedder:
    """Decides which share of each request class is shed.

    Args:
        values: the credit for a unit of cost, by request class.
        rise_ms: the time in which one class comes to be shed wholly, at twice the bound.
        fall_ms: the time in which it is accepted again.
    """

    def __init__(self, values: list[float], rise_ms: float, fall_ms: float) -> None:
        by_value = sorted(range(len(values)), key=lambda request_class: values[request_class])
        self._rank = {request_class: rank for rank, request_class in enumerate(by_value)}
        self._max_level = len(values) - 1 + MAX_SHED_OF_MOST_VALUABLE
        self._rise_ms, self._fall_ms = rise_ms, fall_ms
        self._updated_at: float | None = None
        self.level = 0.0  # request classes that are shed, with fractions

    def update(self, now: float, pressure: Pressure) -> None:
        """Moves the level by the time since the last call; to be called regularly."""
        elapsed_ms = 0.0 if self._updated_at is None else max(0.0, now - self._updated_at)
        self._updated_at = now
        worst = pressure.worst
        if worst > RAISE_ABOVE:
            excess = min(MAX_EXCESS, worst - RAISE_ABOVE)
            self.level = min(self._max_level, self.level + elapsed_ms / self._rise_ms * excess)
        elif worst < LOWER_BELOW:
            self.level = max(0.0, self.level - elapsed_ms / self._fall_ms)

    def shed_share(self, request_class: int) -> float:
        """The share of the class's requests that is shed, 0 to 1."""
        return min(1.0, max(0.0, self.level - self._rank[request_class]))

    def sheds(self, request_class: int, draw: float) -> bool:
        """Whether one request is shed; `draw` is a random number from 0 to 1."""
        return self.level > 0 and draw < self.shed_share(request_class)
