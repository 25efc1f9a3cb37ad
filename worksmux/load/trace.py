"""Recorded loads: one row a job, in columns (Parquet), written and read in pieces, never whole."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import msgspec
import pyarrow as pa
import pyarrow.parquet as pq

from ..errors import WorksmuxError

PIECE = 4096
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
    """The file is no recorded load; the message says what is wrong."""


class Row(msgspec.Struct):
    """One job: milliseconds from the start, lengths in tokens; `beginning` names a text that jobs share."""

    at: float
    request_class: str = msgspec.field(name="offering")
    session: int
    beginning: str
    beginning_tokens: float
    prompt_tokens: float
    answer_tokens: int


class Recorder:
    """Writes beside the path and renames at the end, so that no half trace is ever read as whole."""

    def __init__(self, path: Path) -> None:
        self.path, self.beside = path, path.with_name(path.name + ".part")
        self.writer = pq.ParquetWriter(self.beside, COLUMNS)
        self.rows: list[Row] = []

    def add(self, row: Row) -> None:
        self.rows.append(row)
        if len(self.rows) >= PIECE:
            self._flush()

    def _flush(self) -> None:
        if self.rows:
            rows = [msgspec.to_builtins(row) for row in self.rows]
            columns = {name: [row[name] for row in rows] for name in COLUMNS.names}
            self.writer.write_table(pa.table(columns, schema=COLUMNS))
            self.rows = []

    def close(self) -> None:
        self._flush()
        self.writer.close()
        self.beside.replace(self.path)


def read(path: Path, part: int = 0, parts: int = 1, speed: float = 1.0) -> Iterator[Row]:
    """The rows of every `parts`th session, in the order of the file; raises TraceFormatError."""
    try:
        file = pq.ParquetFile(path)
        missing = set(COLUMNS.names) - set(file.schema_arrow.names)
        if missing:
            raise TraceFormatError(f"{path}: columns are missing: {', '.join(sorted(missing))}")
        for batch in file.iter_batches(PIECE, columns=COLUMNS.names):
            for values in batch.to_pylist():
                if values["session"] % parts == part:
                    values["at"] /= speed
                    yield msgspec.convert(values, Row)
    except (pa.ArrowException, msgspec.ValidationError, OSError, TypeError) as error:
        raise TraceFormatError(f"{path}: {error}") from error


def merge(paths: list[Path], out: Path) -> None:
    """Traces of several processes as one, by time; each is read in pieces."""
    import heapq

    recorder = Recorder(out)
    for row in heapq.merge(*(read(path) for path in paths), key=lambda row: row.at):
        recorder.add(row)
    recorder.close()
