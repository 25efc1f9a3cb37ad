"""Journals of the fakes: JSON lines, each written by one system call, so that a killed process loses none."""

from __future__ import annotations

import os
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from ..net import clock

ENCODE = msgspec.json.Encoder()


class Journal:
    """The journal of one process.

    Each line has `who`, the writer, and `t`, the time by `net.clock` in milliseconds.
    """

    def __init__(self, path: str | Path, who: str) -> None:
        self.who = who
        self.file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)

    def note(self, event: str, **fields: Any) -> None:
        """Appends one event with its fields."""
        record = {"t": round(clock.now(), 3), "who": self.who, "what": event, **fields}
        os.write(self.file, ENCODE.encode(record) + b"\n")


def read(path: Path) -> Iterator[dict[str, Any]]:
    """The lines of a journal; skips a last line that is incomplete because its process was killed."""
    with path.open("rb") as lines:
        for line in lines:
            try:
                yield msgspec.json.decode(line)
            except msgspec.DecodeError:
                if line.endswith(b"\n"):
                    raise
