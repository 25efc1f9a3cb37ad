"""Frames of the bench's wire `tundra-a5ae`: bytes to records of plain values and back.

Records and their names are those of the wire; `instance` maps them to ours.
"""

from __future__ import annotations

import struct
from typing import Any, BinaryIO, NamedTuple

from ..errors import WorksmuxError

HEADER = struct.Struct("<IIdI")
REPLY_HEADER = struct.Struct("<III")
ENTRY = struct.Struct("<fBBBdH6s")
EVENT_SIZE, ACTION_SIZE = 64, 24

# The fields of each record after its code, in the order of the wire page.
EVENTS = {
    code: (name, struct.Struct("<" + form))
    for code, name, form in (
        (1, "configure", "HQII"),
        (2, "sync", "HBQII"),
        (3, "req", "HIHIQddQfffB"),
        (4, "flowing", "HI6sHd"),
        (5, "answer", "HIH6sHdBIB4f"),
        (6, "withdrawn", "HI"),
        (7, "bell", "HQ"),
        (8, "pong", "H6sHdB4f"),
        (9, "note_from", "HIII"),
        (10, "down", "H"),
        (11, "answer_ahead", "HIH6sBf"),
    )
}
ACTIONS = {
    name: (code, struct.Struct("<B" + form))
    for code, name, form in (
        (1, "route", "HI6sd"),
        (2, "say_no", "HId"),
        (3, "finish_error", "HI"),
        (4, "undo_send", "HIH"),
        (5, "set_alarm", "HdQ"),
        (6, "touch", "H6s"),
        (7, "drop_conns", "H6s"),
        (8, "tell", "HHII"),
        (9, "journal_line", "HII"),
        (10, "give_in", "HII"),
        (11, "keep_informed", "HB"),
        (12, "lookup", "H"),
        (13, "go_away", "HI"),
        (14, "hold_place", "HI6s"),
        (15, "drop_state", "HI"),
    )
}
WITH_TAIL = {"configure": 1, "note_from": 1, "sync": ENTRY.size, "tell": 1, "journal_line": 1, "give_in": 1}


class WireError(WorksmuxError):
    """A frame that the wire does not allow; the text says what is wrong and where."""


class Record(NamedTuple):
    """An event or an action."""

    name: str
    values: tuple[Any, ...]  # the last is the tail's bytes where the record has a tail


class Batch(NamedTuple):
    """Records of all instances up to one moment, in milliseconds."""

    number: int
    now: float
    records: list[Record]


def read_batch(source: BinaryIO) -> Batch | None:
    """The next batch, or None at the end of the input."""
    header = source.read(HEADER.size)
    if not header:
        return None
    if len(header) < HEADER.size:
        raise WireError(f"input ends after {len(header)} bytes of a batch header of {HEADER.size}")
    count, size, now, number = HEADER.unpack(header)
    if size < HEADER.size + count * EVENT_SIZE:
        raise WireError(f"batch {number}: {size} bytes cannot hold {count} records")
    body = source.read(size - HEADER.size)
    if len(body) < size - HEADER.size:
        raise WireError(f"batch {number}: input ends after {HEADER.size + len(body)} of {size} bytes")
    tail = memoryview(body)[count * EVENT_SIZE :]
    return Batch(
        number,
        now,
        [_record(body, i * EVENT_SIZE, tail, f"batch {number}, record {i}") for i in range(count)],
    )


def _record(body: bytes, at: int, tail: memoryview, where: str) -> Record:
    if body[at] not in EVENTS:
        raise WireError(f"{where}: unknown event code {body[at]}")
    name, form = EVENTS[body[at]]
    values = form.unpack_from(body, at + 1)
    if name in WITH_TAIL:
        *rest, offset, length = values
        length *= WITH_TAIL[name]
        if offset + length > len(tail):
            raise WireError(f"{where}: {name} points {offset + length} bytes into a tail of {len(tail)}")
        values = (*rest, bytes(tail[offset : offset + length]))
    return Record(name, tuple(values))


def write_reply(number: int, records: list[Record]) -> bytes:
    """The frame that answers batch `number`."""
    parts, tail = [], bytearray()
    for name, values in records:
        code, form = ACTIONS[name]
        if name in WITH_TAIL:
            *rest, content = values
            values = (*rest, len(tail), len(content))
            tail += content
        parts.append(form.pack(code, *values).ljust(ACTION_SIZE, b"\0"))
    size = REPLY_HEADER.size + len(parts) * ACTION_SIZE + len(tail)
    return b"".join((REPLY_HEADER.pack(size, len(parts), number), *parts, tail))
