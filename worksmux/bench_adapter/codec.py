"""Encodes and decodes frames of the bench's wire protocol `tundra-a5ae` as records of plain values.

Records carry the names of the wire; `instance` maps them to events and actions of the policy.
"""

from __future__ import annotations

import struct
from typing import Any, BinaryIO, NamedTuple

from ..errors import WorksmuxError

HEADER = struct.Struct("<IIdI")
REPLY_HEADER = struct.Struct("<III")
ENTRY = struct.Struct("<fBBBdH6s")
EVENT_SIZE, ACTION_SIZE = 64, 24

# Fields of each record after its code, in the order of the protocol's description.
EVENTS = {
    code: (name, struct.Struct("<" + layout))
    for code, name, layout in (
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
    name: (code, struct.Struct("<B" + layout))
    for code, name, layout in (
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
# Records with content in the tail of the frame, and the size of one unit of that content.
TAIL_UNIT_BYTES = {
    "configure": 1,
    "note_from": 1,
    "sync": ENTRY.size,
    "tell": 1,
    "journal_line": 1,
    "give_in": 1,
}


class WireError(WorksmuxError):
    """A frame violates the wire protocol."""


class Record(NamedTuple):
    """An event or an action on the wire."""

    name: str
    values: tuple[Any, ...]  # the last one is the content from the tail, if the record has any


class Batch(NamedTuple):
    """Records of all instances up to the time `now`, in milliseconds."""

    number: int
    now: float
    records: list[Record]


def read_batch(source: BinaryIO) -> Batch | None:
    """Reads the next batch; returns None at the end of the input."""
    header = source.read(HEADER.size)
    if not header:
        return None
    if len(header) < HEADER.size:
        raise WireError(f"input ends after {len(header)} bytes of a batch header, expected {HEADER.size}")
    count, size, now, number = HEADER.unpack(header)
    if size < HEADER.size + count * EVENT_SIZE:
        raise WireError(f"batch {number}: a size of {size} bytes is too small for {count} records")
    body = source.read(size - HEADER.size)
    if len(body) < size - HEADER.size:
        raise WireError(f"batch {number}: input ends after {HEADER.size + len(body)} bytes, expected {size}")
    tail = memoryview(body)[count * EVENT_SIZE :]
    return Batch(
        number,
        now,
        [
            _read_record(body, index * EVENT_SIZE, tail, f"batch {number}, record {index}")
            for index in range(count)
        ],
    )


def _read_record(body: bytes, offset: int, tail: memoryview, where: str) -> Record:
    if body[offset] not in EVENTS:
        raise WireError(f"{where}: unknown event code {body[offset]}")
    name, layout = EVENTS[body[offset]]
    values = layout.unpack_from(body, offset + 1)
    if name in TAIL_UNIT_BYTES:
        *leading_values, tail_offset, tail_length = values
        tail_length *= TAIL_UNIT_BYTES[name]
        if tail_offset + tail_length > len(tail):
            raise WireError(
                f"{where}: {name} refers to {tail_offset + tail_length} bytes of a tail of {len(tail)} bytes"
            )
        values = (*leading_values, bytes(tail[tail_offset : tail_offset + tail_length]))
    return Record(name, tuple(values))


def write_reply(number: int, records: list[Record]) -> bytes:
    """Returns the frame that replies to batch `number`."""
    parts, tail = [], bytearray()
    for name, values in records:
        code, layout = ACTIONS[name]
        if name in TAIL_UNIT_BYTES:
            *leading_values, content = values
            values = (*leading_values, len(tail), len(content))
            tail += content
        parts.append(layout.pack(code, *values).ljust(ACTION_SIZE, b"\0"))
    size = REPLY_HEADER.size + len(parts) * ACTION_SIZE + len(tail)
    return b"".join((REPLY_HEADER.pack(size, len(parts), number), *parts, tail))
