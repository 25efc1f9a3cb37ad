"""The memory that the process uses, as Linux reports it."""

from __future__ import annotations

import os

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def resident_bytes() -> int:
    """The process's resident memory; 0 on a system without /proc."""
    try:
        with open("/proc/self/statm", encoding="ascii") as file:
            return int(file.read().split()[1]) * PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return 0
