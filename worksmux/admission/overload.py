"""Load shedding by the gateway's own resources: event loop lag, sockets and memory.

Pressure is the highest of three ratios to their limits.  The shedding level rises while pressure is above 1
and falls, more slowly, when pressure is well below 1.  The level is the number of request classes that are
shed, with fractions: the least valuable classes first, each one gradually, and the most valuable one never
completely.  The level rises as fast as a lagging loop does harm, and falls so slowly that the shed load does
not return all at once.
"""

from __future__ import annotations

from dataclasses import dataclass

RAISE_ABOVE = 1.0  # pressure
LOWER_BELOW = 0.7  # pressure
MAX_EXCESS = 4.0  # pressure above RAISE_ABOVE; more does not speed up the rise
MAX_SHED_OF_MOST_VALUABLE = 0.5  # share of its requests


@dataclass(frozen=True, slots=True)
class Pressure:
    """The gateway's use of its resources, each as a ratio to its limit."""

    lag: float = 0.0
    sockets: float = 0.0
    memory: float = 0.0

    @property
    def worst(self) -> float:
        """The highest of the ratios."""
        return max(self.lag, self.sockets, self.memory)


class LoadShedder:
    """Decides which share of each request class is shed.

    Args:
        values: the credit per unit of cost, by request class.
        rise_ms: the time in which one class is shed completely, at twice the limit.
        fall_ms: the time in which one class is fully accepted again.
    """

    def __init__(self, values: list[float], rise_ms: float, fall_ms: float) -> None:
        by_value = sorted(range(len(values)), key=lambda request_class: values[request_class])
        self._rank = {request_class: rank for rank, request_class in enumerate(by_value)}
        self._max_level = len(values) - 1 + MAX_SHED_OF_MOST_VALUABLE
        self._rise_ms, self._fall_ms = rise_ms, fall_ms
        self._updated_at: float | None = None
        self.level = 0.0  # number of request classes that are shed, with fractions

    def update(self, now: float, pressure: Pressure) -> None:
        """Adjusts the level by the time since the last call; must be called regularly."""
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
