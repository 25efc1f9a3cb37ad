"""Runs work that can wait, a few milliseconds of it in each iteration of the reactor."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

from . import clock

MAX_ITERATION_MS = 5.0


class _Work(NamedTuple):
    call: Callable[[], None]
    later_ms: float
    added_ms: float  # clock time


class QueueCounts(NamedTuple):
    """What a queue has counted since the last look."""

    added: int
    longest_wait_ms: float  # of the calls that were made


class WorkQueue:
    """Calls what is added, in order and not before the reactor's next iteration.

    Failure: hundreds of connections have work at once.  All of it in one iteration blocks the reactor for
    seconds, in which no other connection is read or written.
    """

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._waiting: deque[_Work] = deque()
        self._scheduled = False
        self._added = 0
        self._longest_wait_ms = 0.0

    def add(self, call: Callable[[], None], later_ms: float = 0.0) -> None:
        """Calls `call` in a later iteration.

        `later_ms` is the time that the call is expected to cause in that iteration after it has returned.
        """
        self._waiting.append(_Work(call, later_ms, clock.now()))
        self._added += 1
        self._schedule()

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
        end_ms = clock.now() + MAX_ITERATION_MS
        for _ in range(len(self._waiting)):  # what is added meanwhile waits for the next iteration
            work = self._waiting.popleft()
            self._longest_wait_ms = max(self._longest_wait_ms, clock.now() - work.added_ms)
            work.call()
            end_ms -= work.later_ms
            if clock.now() > end_ms:
                break
        self._schedule()
