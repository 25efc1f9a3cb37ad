"""Runs work that can wait, a few milliseconds of it in each iteration of the reactor."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count
from typing import Any, NamedTuple

from . import clock

MAX_ITERATION_MS = 5.0
MAX_CANCELLED = 64  # calls that are kept before all cancelled ones are removed


class Work:
    """A call that waits; `cancel` it at the queue, so that nothing keeps what the call belongs to."""

    __slots__ = ("added_ms", "call")

    def __init__(self, call: Callable[[], None]) -> None:
        self.call: Callable[[], None] | None = call
        self.added_ms = clock.now()


class _Entry(NamedTuple):
    """An entry of the heap: least cost first, then the oldest."""

    cost_ms: float
    number: int
    work: Work


class QueueCounts(NamedTuple):
    """What a queue has counted since the last look."""

    added: int
    longest_wait_ms: float  # of the calls that were made


class WorkQueue:
    """Calls what is added, the least costly first, and not before the reactor's next iteration.

    Failure: hundreds of connections have work at once.  All of it in one iteration blocks the reactor for
    seconds, in which no other connection is read or written.  In the order of its arrival, the work of a
    usual connection waits until that of all costly ones is done.
    """

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._waiting: list[_Entry] = []
        self._cancelled = 0  # entries of `_waiting`
        self._numbers = count()
        self._scheduled = False
        self._spent_ms = 0.0  # since the queue's last iteration began
        self._added = 0
        self._longest_wait_ms = 0.0

    def add(self, call: Callable[[], None], cost_ms: float = 0.0) -> Work:
        """Calls `call` in a later iteration; `cost_ms` is the `ProcessingCost` of its connection."""
        work = Work(call)
        heapq.heappush(self._waiting, _Entry(cost_ms, next(self._numbers), work))
        self._added += 1
        self._schedule()
        return work

    def cancel(self, work: Work) -> None:
        """Prevents a call.

        Failure: connections end while their work waits.  Costly work may wait for as long as others come, so
        what has ended would fill the memory.
        """
        if work.call is None:
            return
        work.call = None
        self._cancelled += 1
        if self._cancelled > MAX_CANCELLED and 2 * self._cancelled > len(self._waiting):
            self._waiting = [entry for entry in self._waiting if entry.work.call is not None]
            heapq.heapify(self._waiting)
            self._cancelled = 0

    def __len__(self) -> int:
        """The calls that wait, cancelled ones that are not removed yet among them."""
        return len(self._waiting)

    def has_time(self) -> bool:
        """Whether work may be done at once, without waiting in the queue."""
        return self._spent_ms < MAX_ITERATION_MS

    def spend(self, duration_ms: float) -> None:
        """Counts work that was done at once."""
        self._spent_ms += duration_ms

    def take_counts(self) -> QueueCounts:
        """Returns the counts and resets them."""
        counts = QueueCounts(self._added, self._longest_wait_ms)
        self._added, self._longest_wait_ms = 0, 0.0
        return counts

    def _schedule(self) -> None:
        if self._waiting and not self._scheduled:
            self._scheduled = True
            self._reactor.callLater(0, self._run)

    def _run(self) -> None:
        self._scheduled = False
        try:
            self._call_waiting()
        finally:  # a call that fails does not hold up the others
            self._schedule()

    def _call_waiting(self) -> None:
        began_ms = now = clock.now()
        calls_left = len(self._waiting)  # those that wait now: each may add another one
        while calls_left and self._waiting and now - began_ms <= MAX_ITERATION_MS:
            calls_left -= 1
            work = heapq.heappop(self._waiting).work
            call, work.call = work.call, None
            if call is None:
                self._cancelled -= 1
                continue
            self._longest_wait_ms = max(self._longest_wait_ms, now - work.added_ms)
            call()
            now = clock.now()
        self._spent_ms = now - began_ms
