"""A timer queue: a table with a bucket for each tick that has timers, and a heap of those ticks.

With many timers a tick, all but the first of a tick cost one table lookup and one append, where a heap of
timers costs the logarithm of their number.  Cancelling a timer only marks it.  A hierarchical wheel (Varghese
and Lauck, 1987) was tried first: in Python its rotation costs more than the heap that it saves
(`benchmarks/timers.py`).
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from operator import attrgetter
from typing import Generic, TypeVar

T = TypeVar("T")
BY_TIME = attrgetter("time")


class Timer(Generic[T]):
    """A time and the item that is due then; `pending` until it is taken out or cancelled."""

    __slots__ = ("time", "item", "pending")

    def __init__(self, time: float, item: T) -> None:
        self.time, self.item, self.pending = time, item, True


class TimerQueue(Generic[T]):
    """Pending timers, grouped by tick; `tick` is in the unit of the times."""

    def __init__(self, tick: float = 1.0) -> None:
        self.tick = tick
        self.buckets: dict[int, list[Timer[T]]] = {}
        self.ticks: list[int] = []  # a heap of the keys of `buckets`, each once
        self.count = 0  # of pending timers

    def put(self, time: float, item: T) -> Timer[T]:
        """Adds a timer."""
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
        """Cancels a timer; does nothing if the timer is no longer pending."""
        if timer.pending:
            timer.pending = False
            self.count -= 1

    def due(self, now: float) -> Iterator[Timer[T]]:
        """Takes out all timers up to `now` in order of time, including those added during the iteration."""
        last_tick = int(now / self.tick)
        while self.ticks and self.ticks[0] <= last_tick:
            tick = self.ticks[0]
            bucket = self.buckets[tick]
            bucket.sort(key=BY_TIME, reverse=True)
            while bucket and bucket[-1].time <= now:
                size = len(bucket)
                timer = bucket.pop()
                if timer.pending:
                    timer.pending = False
                    self.count -= 1
                    yield timer
                    if len(bucket) != size - 1:  # a timer was added to this bucket meanwhile
                        bucket.sort(key=BY_TIME, reverse=True)
                if self.ticks[0] != tick:  # a timer was added to an earlier tick, which comes first
                    break
            else:
                if bucket:  # the rest of this tick is not due yet
                    return
                heapq.heappop(self.ticks)
                del self.buckets[tick]

    def next_time(self) -> float | None:
        """The time of the earliest pending timer; None if no timer is pending."""
        while self.ticks:
            pending_times = [timer.time for timer in self.buckets[self.ticks[0]] if timer.pending]
            if pending_times:
                return min(pending_times)
            del self.buckets[heapq.heappop(self.ticks)]
        return None
