"""Measures how late the reactor is, and so how old the data that it reads now may be."""

from __future__ import annotations

from collections.abc import Callable

import structlog

from . import clock
from .loop import Reactor, Timer

LOG = structlog.get_logger()
TICK_INTERVAL_MS = 40.0
LOGGED_LATENESS_MS = 250.0
USUAL_TIMER_DELAY_MS = 2.0  # of a timer in a reactor that is not late


class Lateness:
    """A function that returns how old data read now may be, in milliseconds; 0 if the reactor is not late.

    Failure: a request waits in a socket while the reactor is busy.  If its deadline were counted from when it
    is read, its client would time out before the deadline.  A late timer proves that nothing was read in the
    meantime, so the data that this iteration reads may have arrived at any moment of that time.
    """

    def __init__(self, reactor: Reactor, activity: Callable[[], dict[str, float]] = dict) -> None:
        """`activity` returns counts of what was done since its last call, for the log."""
        self._reactor, self._activity = reactor, activity
        self._lateness_ms = 0.0
        self._tick_due_ms = clock.now()
        self._timer: Timer | None = None

    def start(self) -> None:
        """Starts measuring."""
        self._schedule_tick()

    def stop(self) -> None:
        """Stops the timer."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def __call__(self) -> float:
        return self._lateness_ms

    def _schedule_tick(self) -> None:
        self._tick_due_ms = clock.now() + TICK_INTERVAL_MS
        self._timer = self._reactor.callLater(TICK_INTERVAL_MS / 1000, self._tick)

    def _tick(self) -> None:
        late_ms, done = clock.now() - self._tick_due_ms, self._activity()
        if late_ms > USUAL_TIMER_DELAY_MS:
            self._lateness_ms = late_ms
            if late_ms > LOGGED_LATENESS_MS:
                LOG.warning("event loop was late", ms=round(late_ms), **done)
            self._reactor.callLater(0, self._sockets_read)
        self._schedule_tick()

    def _sockets_read(self) -> None:
        """Resets the lateness in the next iteration: the late data has been read."""
        self._lateness_ms = 0.0
