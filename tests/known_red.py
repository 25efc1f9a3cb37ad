"""KNOWN-RED.txt: tests that fail for a real fault which is not mended yet.

An entry is four lines, entries are parted by blank lines, and at most MAX_ENTRIES may stand there:

    test: tests/test_x.py::test_y
    command: the command that shows the failure, with its seed
    seen: what was seen
    issue: the number of the open issue

Such a test is run, and its failure is printed and passed over.  An entry that names no test of the tree,
lacks a part or has an unknown one stops the run.
"""

from __future__ import annotations

import re
from pathlib import Path
from typing import NamedTuple

FILE = "KNOWN-RED.txt"
MAX_ENTRIES = 3
ISSUE = re.compile(r"\d+")


class KnownRed(NamedTuple):
    """One entry."""

    test: str  # as pytest names it, without a parameter's value: tests/test_x.py::test_y
    command: str
    seen: str
    issue: str


class KnownRedError(Exception):
    """What is wrong with the file: its name, the line, and what was expected there."""


def read_known_red(root: Path) -> list[KnownRed]:
    """The entries of the file in a folder; none where there is no file.  Raises KnownRedError."""
    path = root / FILE
    if not path.exists():
        return []
    blocks = _blocks(path.read_text())
    if len(blocks) > MAX_ENTRIES:
        raise KnownRedError(f"{FILE}: at most {MAX_ENTRIES} entries were expected, found {len(blocks)}")
    entries = [_entry(line, block) for line, block in blocks]
    for (line, _), entry in zip(blocks, entries, strict=True):
        _check_test(root, line, entry.test)
    return entries


def _blocks(text: str) -> list[tuple[int, list[str]]]:
    """Runs of lines between blank ones, each with the number of its first line."""
    blocks: list[tuple[int, list[str]]] = []
    before_is_blank = True
    for number, line in enumerate(text.splitlines(), 1):
        if line.strip():
            if before_is_blank:
                blocks.append((number, []))
            blocks[-1][1].append(line)
        before_is_blank = not line.strip()
    return blocks


def _entry(first_line: int, lines: list[str]) -> KnownRed:
    parts: dict[str, str] = {}
    for number, line in enumerate(lines, first_line):
        name, colon, value = (part.strip() for part in line.partition(":"))
        if not colon or name not in KnownRed._fields or name in parts or not value:
            expected = ", ".join(field for field in KnownRed._fields if field not in parts)
            raise KnownRedError(f"{FILE}:{number}: one of {expected} was expected, found {line[:60]}")
        parts[name] = value
    missing = [field for field in KnownRed._fields if field not in parts]
    if missing:
        raise KnownRedError(f"{FILE}:{first_line}: {', '.join(missing)} was expected, it is missing")
    if not ISSUE.fullmatch(parts["issue"]):
        raise KnownRedError(
            f"{FILE}:{first_line}: the number of an issue was expected, found {parts['issue']}"
        )
    return KnownRed(**parts)


def _check_test(root: Path, line: int, test: str) -> None:
    name, _, function = test.partition("::")
    file = root / name
    if not file.is_file() or not re.search(rf"^def {re.escape(function)}\(", file.read_text(), re.M):
        raise KnownRedError(f"{FILE}:{line}: a test of this tree was expected, there is no {test[:80]}")
