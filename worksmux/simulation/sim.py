"""Simulated time: what is to happen, in order.  Milliseconds; the same seed gives the same day."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any


class Timer:
    """Something that is to happen; `cancel` keeps it from happening."""

    __slots__ = ("call", "args")

    def __init__(self, call: Callable[..., object], args: tuple[Any, ...]) -> None:
        self.call: Callable[..., object] | None = call
        self.args = args

    def cancel(self) -> None:
        self.call, self.args = None, ()


class Sim:
    """
    >>> sim, seen = Sim(), []
    >>> timer = sim.after(5.0, seen.append, "late"); _ = sim.after(1.0, seen.append, "soon")
    >>> timer.cancel(); sim.run(10.0); seen, sim.now
    (['soon'], 10.0)
    """

    def __init__(self) -> None:
        self.now = 0.0
        self.heap: list[tuple[float, int, Timer]] = []
        self.number = self.steps = 0

    def after(self, delay: float, call: Callable[..., object], *args: Any) -> Timer:
        timer = Timer(call, args)
        self.number += 1
        heapq.heappush(self.heap, (self.now + max(0.0, delay), self.number, timer))
        return timer

    def run(self, until: float) -> None:
        heap = self.heap
        while heap and heap[0][0] <= until:
            self.now, _, timer = heapq.heappop(heap)
            if timer.call is not None:
                self.steps += 1
                timer.call(*timer.args)
        self.now = until
