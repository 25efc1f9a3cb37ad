"""Measures by how much the reactor is late, and so how old the data may be that it reads now."""

from __future__ import annotations

import structlog

from . import clock
from .loop import Reactor, Timer

LOG = structlog.get_logger()
TICK_INTERVAL_MS = 40.0
LOGGED_LATENESS_MS = 250.0
USUAL_TIMER_DELAY_MS = 2.0  # by which a timer is late in a reactor that keeps up


class Lateness:
    """Called, it returns the milliseconds by which data read now may be older; 0 in a reactor that keeps up.

    Failure: a request waits in a socket while the reactor is busy.  If its deadline counted from when it is
    read, it would be given that time twice, and its client would time out first.  A late timer proves that
    nothing was read meanwhile, so what this iteration reads may have come at any moment of that time.
    """

    def __init__(self, reactor: Reactor) -> None:
        self._reactor = reactor
        self._lateness_ms = 0.0
        self._tick_due_ms = clock.now()
        self._timer: Timer | None = None

    def start(self) -> None:
        self._schedule_tick()

    def stop(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def __call__(self) -> float:
        return self._lateness_ms

    def _schedule_tick(self) -> None:
        self._tick_due_ms = clock.now() + TICK_INTERVAL_MS
        self._timer = self._reactor.callLater(TICK_INTERVAL_MS / 1000, self._tick)

    def _tick(self) -> None:
        late_ms = clock.now() - self._tick_due_ms
        if late_ms > USUAL_TIMER_DELAY_MS:
            self._lateness_ms = late_ms
            if late_ms > LOGGED_LATENESS_MS:
                LOG.warning("the reactor was late", ms=round(late_ms))
            self._reactor.callLater(0, self._sockets_read)
        self._schedule_tick()

    def _sockets_read(self) -> None:
        """The next iteration: what was late has been read."""
        self._lateness_ms = 0.0
