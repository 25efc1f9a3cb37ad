"""The processing time that a connection causes beyond an allowance that each one has.  Free of I/O."""

from __future__ import annotations

from . import clock

ALLOWED_FRACTION = 0.01  # of the elapsed time, so that a usual connection has no excess between its requests


class ProcessingCost:
    """A leaky bucket of processing time; times are milliseconds.

    Failure: a costly step makes a connection wait once, but a peer that causes thousands of short steps, or
    one costly step in each turn, gets as much time as all usual connections together.
    """

    def __init__(self) -> None:
        self._excess_ms = 0.0
        self._updated_ms = clock.now()

    def excess_ms(self, now: float) -> float:
        """Returns the time beyond the allowance at clock time `now`; 0 if there is none."""
        leaked_ms = ALLOWED_FRACTION * (now - self._updated_ms)
        self._excess_ms = max(0.0, self._excess_ms - leaked_ms)
        self._updated_ms = now
        return self._excess_ms

    def add(self, duration_ms: float, now: float) -> None:
        """Adds the duration of a step that ended at clock time `now`."""
        self._excess_ms = self.excess_ms(now) + duration_ms
