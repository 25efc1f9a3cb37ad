"""The memory that the process uses, as Linux reports it."""

from __future__ import annotations

import os

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


RESIDENT_FIELD, SHARED_FIELD = 1, 2  # of /proc/self/statm, in pages


def resident_bytes() -> int:
    """The process's resident memory; 0 on a system without /proc."""
    return _field_bytes(RESIDENT_FIELD)


def private_bytes() -> int:
    """The process's resident memory without mapped files, such as libraries; 0 on a system without /proc."""
    return _field_bytes(RESIDENT_FIELD) - _field_bytes(SHARED_FIELD)


def _field_bytes(field: int) -> int:
    try:
        with open("/proc/self/statm", encoding="ascii") as file:
            return int(file.read().split()[field]) * PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return 0
