"""Clocks of the running program, in milliseconds with fractions."""

from __future__ import annotations

import time


def now() -> float:
    """Monotonic milliseconds.  All processes of a machine share this clock, so their records compare."""
    return time.monotonic() * 1000


def wall() -> float:
    """Milliseconds since 1970, for times that are sent to other machines; this clock may be set back."""
    return time.time() * 1000
