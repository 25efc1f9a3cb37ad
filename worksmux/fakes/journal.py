"""Journals of the stand-ins: JSON lines, each written whole at once, so that a killed process loses none."""

from __future__ import annotations

import os
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from ..net import clock

ENCODE = msgspec.json.Encoder()


class Journal:
    """One process's record; `who` stands in each line, `t` is the machine's clock in milliseconds."""

    def __init__(self, path: str | Path, who: str) -> None:
        self.who = who
        self.file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)

    def note(self, what: str, **facts: Any) -> None:
        line = {"t": round(clock.now(), 3), "who": self.who, "what": what, **facts}
        os.write(self.file, ENCODE.encode(line) + b"\n")


def read(path: Path) -> Iterator[dict[str, Any]]:
    """The lines of a journal; the last may be cut where its process was killed."""
    with path.open("rb") as lines:
        for line in lines:
            try:
                yield msgspec.json.decode(line)
            except msgspec.DecodeError:
                if line.endswith(b"\n"):
                    raise
