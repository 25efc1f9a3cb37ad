"""Event loop in simulated time. Times are in milliseconds, and the same seed gives the same run."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any


class Timer:
    """A scheduled callback; `cancel` prevents it from running."""

    __slots__ = ("callback", "arguments")

    def __init__(self, callback: Callable[..., object], args: tuple[Any, ...]) -> None:
        self.callback: Callable[..., object] | None = callback
        self.arguments = args

    def cancel(self) -> None:
        """Prevents the callback from running."""
        self.callback, self.arguments = None, ()


class Sim:
    """Event loop in simulated time.

    >>> sim, seen = Sim(), []
    >>> timer = sim.after(5.0, seen.append, "late"); _ = sim.after(1.0, seen.append, "soon")
    >>> timer.cancel(); sim.run(10.0); seen, sim.now
    (['soon'], 10.0)
    """

    def __init__(self) -> None:
        self.now = 0.0
        self.timers: list[tuple[float, int, Timer]] = []
        self.sequence = self.steps = 0

    def after(self, delay: float, callback: Callable[..., object], *args: Any) -> Timer:
        """Schedules a callback after a delay in milliseconds; a negative delay counts as 0."""
        timer = Timer(callback, args)
        self.sequence += 1
        heapq.heappush(self.timers, (self.now + max(0.0, delay), self.sequence, timer))
        return timer

    def run(self, until: float) -> None:
        """Runs all callbacks that are due up to a time, and sets the current time to it."""
        timers = self.timers
        while timers and timers[0][0] <= until:
            self.now, _, timer = heapq.heappop(timers)
            if timer.callback is not None:
                self.steps += 1
                timer.callback(*timer.arguments)
        self.now = until
