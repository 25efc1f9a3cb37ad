"""Recorded loads: Parquet files with one row for each request, written and read in batches."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import msgspec
import pyarrow as pa
import pyarrow.parquet as pq

from ..errors import WorksmuxError

BATCH_ROWS = 4096
COLUMNS = pa.schema(
    [
        ("at", pa.float64()),
        ("offering", pa.string()),
        ("session", pa.int64()),
        ("beginning", pa.string()),
        ("beginning_tokens", pa.float64()),
        ("prompt_tokens", pa.float64()),
        ("answer_tokens", pa.int64()),
    ]
)


class TraceFormatError(WorksmuxError):
    """The file is not a recorded load; the message says what is wrong."""


class Row(msgspec.Struct):
    """One request; lengths in tokens.  `prefix` names a text that the prompts of several requests share."""

    arrival_ms: float = msgspec.field(name="at")  # from the start of the load
    request_class: str = msgspec.field(name="offering")
    session: int
    prefix: str = msgspec.field(name="beginning")
    prefix_tokens: float = msgspec.field(name="beginning_tokens")
    prompt_tokens: float
    answer_tokens: int


class Recorder:
    """Writes a trace beside its path and renames it at the end, so that no partial trace is ever read."""

    def __init__(self, path: Path) -> None:
        self.path, self.partial_path = path, path.with_name(path.name + ".part")
        self.writer = pq.ParquetWriter(self.partial_path, COLUMNS)
        self.rows: list[Row] = []

    def add(self, row: Row) -> None:
        """Adds a row to the current batch, and writes the batch when it is full."""
        self.rows.append(row)
        if len(self.rows) >= BATCH_ROWS:
            self._flush()

    def _flush(self) -> None:
        """Writes the rows of the current batch."""
        if self.rows:
            rows = [msgspec.to_builtins(row) for row in self.rows]
            columns = {name: [row[name] for row in rows] for name in COLUMNS.names}
            self.writer.write_table(pa.table(columns, schema=COLUMNS))
            self.rows = []

    def close(self) -> None:
        """Writes the remaining rows and moves the file to its path."""
        self._flush()
        self.writer.close()
        self.partial_path.replace(self.path)


def read(path: Path, part: int = 0, parts: int = 1, speed: float = 1.0) -> Iterator[Row]:
    """Reads the rows of one of `parts` shares of the sessions, in file order; raises TraceFormatError."""
    try:
        file = pq.ParquetFile(path)
        missing = set(COLUMNS.names) - set(file.schema_arrow.names)
        if missing:
            raise TraceFormatError(f"{path}: columns are missing: {', '.join(sorted(missing))}")
        for batch in file.iter_batches(BATCH_ROWS, columns=COLUMNS.names):
            for values in batch.to_pylist():
                if values["session"] % parts == part:
                    values["at"] /= speed
                    yield msgspec.convert(values, Row)
    except (pa.ArrowException, msgspec.ValidationError, OSError, TypeError) as error:
        raise TraceFormatError(f"{path}: {error}") from error


def merge(paths: list[Path], out: Path) -> None:
    """Merges the traces of several processes by arrival time, in batches."""
    import heapq

    recorder = Recorder(out)
    for row in heapq.merge(*(read(path) for path in paths), key=lambda row: row.arrival_ms):
        recorder.add(row)
    recorder.close()
