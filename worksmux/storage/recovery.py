"""Recovery from a database file that SQLite cannot use: the file is kept, and its intact records are read."""

from __future__ import annotations

import os
import sqlite3
from pathlib import Path

from .records import stored_checksum

OPEN_TIMEOUT_S = 1.0
SQLITE_SIDE_FILES = ("-wal", "-shm")

IntactRecords = dict[str, list[tuple[str, bytes]]]  # table -> (key, value) of each record


def move_aside(path: Path) -> Path:
    """Renames a broken database and its side files to the next free `.broken-N`; raises OSError."""
    number = 1
    while (target := path.with_name(f"{path.name}.broken-{number}")).exists():
        number += 1
    os.replace(path, target)
    for suffix in SQLITE_SIDE_FILES:
        side_file = path.with_name(path.name + suffix)
        if side_file.exists():
            os.replace(side_file, target.with_name(target.name + suffix))
    return target


def read_intact_records(path: Path) -> IntactRecords:
    """Returns the records of a broken database that can be read and pass their checksums."""
    intact: IntactRecords = {}
    try:
        database = sqlite3.connect(f"file:{path}?mode=ro", uri=True, timeout=OPEN_TIMEOUT_S)
    except sqlite3.Error:
        return intact
    try:
        for table, key, value, checksum in database.execute("SELECT tab, key, value, sum FROM record"):
            if _is_intact(table, key, value, checksum):
                intact.setdefault(table, []).append((key, value))
    except (sqlite3.Error, OverflowError, UnicodeError):
        pass  # the records read before the damaged part are kept
    finally:
        database.close()
    return intact


def _is_intact(table: object, key: object, value: object, checksum: object) -> bool:
    """Whether the columns have their types, which damage can change, and the checksum matches."""
    return (
        isinstance(table, str)
        and isinstance(key, str)
        and isinstance(value, bytes)
        and stored_checksum(table, key, value) == checksum
    )
