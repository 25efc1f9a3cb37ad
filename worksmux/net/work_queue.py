"""Runs work that can wait, a few milliseconds of it in each iteration of the reactor."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from . import clock

MAX_ITERATION_MS = 5.0


class WorkQueue:
    """Calls what is added, in order and not before the reactor's next iteration.

    Failure: hundreds of connections have work at once.  All of it in one iteration blocks the reactor for
    seconds, in which no other connection is read or written.
    """

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._waiting: deque[Callable[[], None]] = deque()
        self._scheduled = False

    def add(self, work: Callable[[], None]) -> None:
        """Calls `work` in a later iteration."""
        self._waiting.append(work)
        self._schedule()

    def _schedule(self) -> None:
        if self._waiting and not self._scheduled:
            self._scheduled = True
            self._reactor.callLater(0, self._run)

    def _run(self) -> None:
        self._scheduled = False
        end_ms = clock.now() + MAX_ITERATION_MS
        for _ in range(len(self._waiting)):  # what is added meanwhile waits for the next iteration
            self._waiting.popleft()()
            if clock.now() > end_ms:
                break
        self._schedule()
