"""Clocks of the running program, in milliseconds with fractions."""

from __future__ import annotations

import time


def now() -> float:
    """Monotonic milliseconds.  All processes of one machine share this clock, so their records compare."""
    return time.monotonic() * 1000


def wall() -> float:
    """Milliseconds since 1970, for what is exchanged with other machines; it may be set back."""
    return time.time() * 1000
