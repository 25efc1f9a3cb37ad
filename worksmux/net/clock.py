"""The clock of the running program: milliseconds with fractions that only ever advance.

On one machine all processes share it, so records of several processes can be laid side by side.
"""

from __future__ import annotations

import time


def now() -> float:
    return time.monotonic() * 1000


def wall() -> float:
    """Milliseconds since 1970, for what is exchanged with other machines."""
    return time.time() * 1000
