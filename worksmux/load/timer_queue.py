"""Timers by tick: a table of buckets, one for each tick that has any, and a heap of those ticks alone.

Of many timers a tick, all but the first cost one look into the table and one append, where a heap of timers
pays the logarithm of all that wait; taking one out is a mark.  A hierarchical wheel (Varghese and Lauck,
1987) was tried first: its turns, in Python, cost more than the heap they save (`benchmarks/timers.py`).
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from operator import attrgetter
from typing import Generic, TypeVar

T = TypeVar("T")
BY_TIME = attrgetter("time")


class Timer(Generic[T]):
    __slots__ = ("time", "item", "waits")

    def __init__(self, time: float, item: T) -> None:
        self.time, self.item, self.waits = time, item, True


class TimerQueue(Generic[T]):
    """`tick` in the unit of the times."""

    def __init__(self, tick: float = 1.0) -> None:
        self.tick = tick
        self.buckets: dict[int, list[Timer[T]]] = {}
        self.ticks: list[int] = []  # a heap of those in `buckets`, each once
        self.count = 0  # that wait

    def put(self, time: float, item: T) -> Timer[T]:
        timer = Timer(time, item)
        tick = int(time / self.tick)
        bucket = self.buckets.get(tick)
        if bucket is None:
            self.buckets[tick] = [timer]
            heapq.heappush(self.ticks, tick)
        else:
            bucket.append(timer)
        self.count += 1
        return timer

    def cancel(self, timer: Timer[T]) -> None:
        if timer.waits:
            timer.waits = False
            self.count -= 1

    def due(self, now: float) -> Iterator[Timer[T]]:
        """Takes out all timers up to `now`, in order of their times, also those put in meanwhile."""
        last = int(now / self.tick)
        while self.ticks and self.ticks[0] <= last:
            tick = self.ticks[0]
            bucket = self.buckets[tick]
            bucket.sort(key=BY_TIME, reverse=True)
            while bucket and bucket[-1].time <= now:
                size = len(bucket)
                timer = bucket.pop()
                if timer.waits:
                    timer.waits = False
                    self.count -= 1
                    yield timer
                    if len(bucket) != size - 1:  # one was put in here meanwhile
                        bucket.sort(key=BY_TIME, reverse=True)
                if self.ticks[0] != tick:  # or into an earlier tick, which comes first
                    break
            else:
                if bucket:  # the rest of this tick is still to come
                    return
                heapq.heappop(self.ticks)
                del self.buckets[tick]

    def next_time(self) -> float | None:
        """The next timer's time; None where none waits."""
        while self.ticks:
            waiting = [timer.time for timer in self.buckets[self.ticks[0]] if timer.waits]
            if waiting:
                return min(waiting)
            del self.buckets[heapq.heappop(self.ticks)]
        return None
