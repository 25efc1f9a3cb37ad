"""Where the runs of an experiment are kept: each once, by its key, however often work is taken up again."""

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
Row = dict[str, Any]  # values and figures of one run, with its seed


class RunStoreError(WorksmuxError):
    """The file is not one of ours; the message says what to do."""


class RunStore:
    """An SQLite file; a run is there whole or not at all, also after a kill in the middle of writing."""

    def __init__(self, path: Path) -> None:
        try:
            self.database = sqlite3.connect(path)
            self.database.execute("PRAGMA journal_mode = WAL")
            self.database.executescript(SCHEMA)
        except sqlite3.DatabaseError as error:
            raise RunStoreError(
                f"{path} holds no runs of an experiment ({error}); name another file"
            ) from error

    def done(self) -> set[str]:
        return {key for (key,) in self.database.execute("SELECT key FROM run")}

    def add(self, key: str, seed: int, values: Iterable[tuple[str, Any]], figures: dict[str, float]) -> None:
        """A run that is there already stays as it is."""
        with self.database:
            self.database.execute(
                "INSERT OR IGNORE INTO run VALUES (?, ?, ?, ?)",
                (key, seed, json.dumps(list(values)), json.dumps(figures)),
            )

    def rows(self, keys: Iterable[str] | None = None) -> list[Row]:
        """All runs, or those of `keys`, by values and seed."""
        wanted = None if keys is None else set(keys)
        found = []
        for key, seed, values, figures in self.database.execute(
            "SELECT key, seed, vals, figures FROM run ORDER BY vals, seed"
        ):
            if wanted is None or key in wanted:
                found.append({"seed": seed, **dict(json.loads(values)), **json.loads(figures)})
        return found

    def close(self) -> None:
        self.database.close()


def to_parquet(rows: list[Row], path: Path) -> None:
    """One column for each value and figure; written beside and renamed, so that no half file is seen."""
    names = list(dict.fromkeys(name for row in rows for name in row))
    table = pa.table({name: [row.get(name) for row in rows] for name in names})
    beside = path.with_suffix(".part")
    pq.write_table(table, beside)
    beside.replace(path)
