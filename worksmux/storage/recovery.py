"""What is done with a database file that SQLite can no longer use: keep it, and save what it still holds."""

from __future__ import annotations

import os
import sqlite3
from pathlib import Path

from .records import stored_checksum

OPEN_TIMEOUT_S = 1.0
SQLITE_SIDE_FILES = ("-wal", "-shm")

IntactRecords = dict[str, list[tuple[str, bytes]]]  # by table: key and value


def move_aside(path: Path) -> Path:
    """Renames a broken database and its side files to the next free `.broken-N`; raises OSError."""
    number = 1
    while (target := path.with_name(f"{path.name}.broken-{number}")).exists():
        number += 1
    os.replace(path, target)
    for ending in SQLITE_SIDE_FILES:
        side_file = path.with_name(path.name + ending)
        if side_file.exists():
            os.replace(side_file, target.with_name(target.name + ending))
    return target


def read_intact_records(path: Path) -> IntactRecords:
    """The records of a broken database that can still be read and pass their checksums."""
    found: IntactRecords = {}
    try:
        database = sqlite3.connect(f"file:{path}?mode=ro", uri=True, timeout=OPEN_TIMEOUT_S)
    except sqlite3.Error:
        return found
    try:
        for table, key, value, stored in database.execute("SELECT tab, key, value, sum FROM record"):
            if _is_intact(table, key, value, stored):
                found.setdefault(table, []).append((key, value))
    except (sqlite3.Error, OverflowError, UnicodeError):
        pass  # what was read before the damage is kept
    finally:
        database.close()
    return found


def _is_intact(table: object, key: object, value: object, stored: object) -> bool:
    """Whether the columns have their types, which damage can change, and the checksum fits."""
    return (
        isinstance(table, str)
        and isinstance(key, str)
        and isinstance(value, bytes)
        and stored_checksum(table, key, value) == stored
    )
