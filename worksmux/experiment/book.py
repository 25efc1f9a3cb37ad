"""The store of an experiment's runs: each run is kept once, by its key, however often the work is resumed."""

from __future__ import annotations

import json
import sqlite3
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import pyarrow as pa
import pyarrow.parquet as pq

from ..errors import WorksmuxError

SCHEMA = """
CREATE TABLE IF NOT EXISTS run (key TEXT PRIMARY KEY, seed INTEGER NOT NULL, vals TEXT NOT NULL,
    figures TEXT NOT NULL) WITHOUT ROWID;
"""
Row = dict[str, Any]  # the seed, axis values and figures of one run


class RunStoreError(WorksmuxError):
    """The file is not a store of runs; the message says what to do."""


class RunStore:
    """An SQLite file; a run is stored completely or not at all, also if the process is killed."""

    def __init__(self, path: Path) -> None:
        try:
            self.database = sqlite3.connect(path)
            self.database.execute("PRAGMA journal_mode = WAL")
            self.database.executescript(SCHEMA)
        except sqlite3.DatabaseError as error:
            raise RunStoreError(
                f"{path} is not a store of experiment runs ({error}); name another file"
            ) from error

    def completed_keys(self) -> set[str]:
        """The keys of all stored runs."""
        return {key for (key,) in self.database.execute("SELECT key FROM run")}

    def add(self, key: str, seed: int, values: Iterable[tuple[str, Any]], figures: dict[str, float]) -> None:
        """Stores a run; a run that is already stored stays as it is."""
        with self.database:
            self.database.execute(
                "INSERT OR IGNORE INTO run VALUES (?, ?, ?, ?)",
                (key, seed, json.dumps(list(values)), json.dumps(figures)),
            )

    def rows(self, keys: Iterable[str] | None = None) -> list[Row]:
        """All runs, or those of `keys`, sorted by axis values and seed."""
        wanted = None if keys is None else set(keys)
        rows = []
        for key, seed, values, figures in self.database.execute(
            "SELECT key, seed, vals, figures FROM run ORDER BY vals, seed"
        ):
            if wanted is None or key in wanted:
                rows.append({"seed": seed, **dict(json.loads(values)), **json.loads(figures)})
        return rows

    def close(self) -> None:
        """Closes the file."""
        self.database.close()


def to_parquet(rows: list[Row], path: Path) -> None:
    """Writes one column for each value and figure, under a temporary name until the file is complete."""
    names = list(dict.fromkeys(name for row in rows for name in row))
    table = pa.table({name: [row.get(name) for row in rows] for name in names})
    partial_path = path.with_suffix(".part")
    pq.write_table(table, partial_path)
    partial_path.replace(path)
