"""Runs the program with skewed clocks.

`python -m worksmux.fault_trial.clocked CONTROL serve FILE` polls the file CONTROL for two numbers: the offset
of the wall clock in milliseconds, and the rate of both clocks (1: the machine's rate).  The monotonic clock
never steps and never goes back.  The program itself is not changed.
"""

from __future__ import annotations

import sys
import threading
import time
from collections.abc import Callable

POLL_INTERVAL_S = 0.05  # between two reads of the control file


class SkewedClock:
    """A clock derived from another one; a change of the rate does not make it jump.

    >>> at = [10.0]; clock = SkewedClock(lambda: at[0]); clock.set_rate(2.0); at[0] = 11.0; clock()
    12.0
    """

    def __init__(self, real_clock: Callable[[], float]) -> None:
        self.real_clock = real_clock
        self.real_at_change = self.shown_at_change = real_clock()
        self.rate = 1.0
        self.offset = 0.0

    def set_rate(self, rate: float) -> None:
        """Sets the rate from now on, without a jump."""
        now = self.real_clock()
        self.shown_at_change, self.real_at_change, self.rate = (
            self.shown_at_change + (now - self.real_at_change) * self.rate,
            now,
            rate,
        )

    def __call__(self) -> float:
        return self.shown_at_change + (self.real_clock() - self.real_at_change) * self.rate + self.offset


def watch(path: str, wall: SkewedClock, monotonic: SkewedClock) -> None:
    """Applies each change of the control file to both clocks, forever."""
    sleep, applied_text = time.sleep, ""
    while True:
        try:
            with open(path, encoding="ascii") as file:
                text = file.read()
            if text != applied_text:
                applied_text = text
                step_ms, rate = map(float, text.split())
                wall.offset = step_ms / 1000
                wall.set_rate(rate)
                monotonic.set_rate(rate)
        except (OSError, ValueError):
            pass  # not written yet, or only partly
        sleep(POLL_INTERVAL_S)


def main() -> None:
    """Replaces the clocks of `time`, then runs the command line without its first argument."""
    wall, monotonic = SkewedClock(time.time), SkewedClock(time.monotonic)
    time.time, time.monotonic = wall, monotonic  # before any import that stores a reference to them
    threading.Thread(target=watch, args=(sys.argv[1], wall, monotonic), daemon=True).start()
    sys.argv[1:] = sys.argv[2:]
    from ..commands import main as run

    run()


if __name__ == "__main__":
    main()
