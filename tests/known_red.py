"""KNOWN-RED.txt: tests that fail for a real fault which is not mended yet.

One line each: the test, its cause, its issue, with ` | ` between them; three at most.  Such a test is run,
and its failure is printed and passed over.  A fourth line, or one that names no test, stops the run.
"""

from __future__ import annotations

import re
from pathlib import Path
from typing import NamedTuple

FILE = "KNOWN-RED.txt"
MOST = 3


class Red(NamedTuple):
    test: str  # as pytest names it, without a parameter's value: tests/test_x.py::test_y
    cause: str
    issue: str


class Wrong(Exception):
    """One line: the file, its line, and what was expected."""


def read(root: Path) -> list[Red]:
    """The tests listed under a folder; none where there is no list.  Raises Wrong."""
    path = root / FILE
    if not path.exists():
        return []
    found: list[Red] = []
    for number, line in enumerate(path.read_text().splitlines(), 1):
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise Wrong(f"{FILE}:{number}: test | cause | issue was expected, found {line[:60]}")
        red = Red(*parts)
        name, _, function = red.test.partition("::")
        file = root / name
        if not file.is_file() or not re.search(rf"^def {re.escape(function)}\(", file.read_text(), re.M):
            raise Wrong(f"{FILE}:{number}: a test of this tree was expected, there is no {red.test[:80]}")
        found.append(red)
    if len(found) > MOST:
        raise Wrong(f"{FILE}: at most {MOST} tests were expected, found {len(found)}")
    return found
