"""By how much the reactor is late: how old what it reads now may be."""

from __future__ import annotations

import structlog

from . import clock
from .loop import Reactor, Timer

LOG = structlog.get_logger()
TICK = 40.0  # milliseconds between two looks at the clock
VERY_LATE = 250.0  # milliseconds: such a reactor is told in the log
USUAL = 2.0  # milliseconds that a timer is late in a reactor that keeps up


class Lateness:
    """Guards against time that is given twice: a request that waited in a socket while the reactor was busy
    counts from when it may have come, not from when it was read.

    A timer that is late by some time tells that nothing was read meanwhile; what is read in the same turn may
    have come at any moment of it.
    """

    def __init__(self, reactor: Reactor) -> None:
        self._reactor = reactor
        self._late = 0.0
        self._due = clock.now()
        self._timer: Timer | None = None

    def start(self) -> None:
        self._next()

    def stop(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def __call__(self) -> float:
        """Milliseconds by which what is read in this turn may be older; 0 in a reactor that keeps up."""
        return self._late

    def _next(self) -> None:
        self._due = clock.now() + TICK
        self._timer = self._reactor.callLater(TICK / 1000, self._tick)

    def _tick(self) -> None:
        late = clock.now() - self._due
        if late > USUAL:
            self._late = late
            if late > VERY_LATE:
                LOG.warning("the reactor was late", ms=round(late))
            self._reactor.callLater(0, self._turn_over)
        self._next()

    def _turn_over(self) -> None:
        self._late = 0.0
