"""Starts the program with clocks that run otherwise than the machine's.

`python -m worksmux.fault_trial.clocked CONTROL serve FILE` reads CONTROL from time to time: two numbers, by
how many milliseconds the wall clock is off and how fast both clocks run (1 as the machine's).  The monotonic
clock never steps and never goes back.  The program itself knows nothing of it.
"""

from __future__ import annotations

import sys
import threading
import time
from collections.abc import Callable

EVERY = 0.05  # seconds between two looks at the control file


class Skewed:
    """A clock made of another one; a change of rate goes on from where it is.

    >>> at = [10.0]; clock = Skewed(lambda: at[0]); clock.rate(2.0); at[0] = 11.0; clock()
    12.0
    """

    def __init__(self, true: Callable[[], float]) -> None:
        self.true = true
        self.base = self.shown = true()
        self.speed = 1.0
        self.offset = 0.0

    def rate(self, speed: float) -> None:
        now = self.true()
        self.shown, self.base, self.speed = self.shown + (now - self.base) * self.speed, now, speed

    def __call__(self) -> float:
        return self.shown + (self.true() - self.base) * self.speed + self.offset


def watch(path: str, wall: Skewed, monotonic: Skewed) -> None:
    sleep, told = time.sleep, ""
    while True:
        try:
            with open(path, encoding="ascii") as file:
                text = file.read()
            if text != told:
                told = text
                step, speed = map(float, text.split())
                wall.offset = step / 1000
                wall.rate(speed)
                monotonic.rate(speed)
        except (OSError, ValueError):
            pass  # not written yet, or half
        sleep(EVERY)


def main() -> None:
    wall, monotonic = Skewed(time.time), Skewed(time.monotonic)
    time.time, time.monotonic = wall, monotonic  # before anything that keeps them is imported
    threading.Thread(target=watch, args=(sys.argv[1], wall, monotonic), daemon=True).start()
    sys.argv[1:] = sys.argv[2:]
    from ..commands import main as run

    run()


if __name__ == "__main__":
    main()
