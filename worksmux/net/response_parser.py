"""Parses the parts of an HTTP/1.1 response (RFC 9112).  Free of I/O.

Every function raises `MalformedResponseError` where its input breaks HTTP.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from .errors import MalformedResponseError

MAX_CHUNK_SIZE_DIGITS = 8
MAX_QUOTED_CHARACTERS = 40  # of the remote side's text, in an error
HEX_DIGITS = b"0123456789abcdefABCDEF"
NO_CONTENT = 204
NOT_MODIFIED = 304
SINGLE_VALUE_FIELDS = ("content-length", "transfer-encoding")  # they decide where the body ends


class BodyEnd(Enum):
    """How the end of a body is found (RFC 9112, section 6.3)."""

    CONTENT_LENGTH = auto()
    LAST_CHUNK = auto()
    CONNECTION_CLOSE = auto()


@dataclass(frozen=True, slots=True)
class StatusLine:
    status: int
    persistent: bool  # whether the connection may be used again, unless a header says otherwise


@dataclass(frozen=True, slots=True)
class BodyFraming:
    end: BodyEnd
    length: int = 0  # bytes, with `CONTENT_LENGTH`


def parse_status_line(line: bytes) -> StatusLine:
    version, _, rest = line.partition(b" ")
    if not version.startswith(b"HTTP/1.") or not rest[:3].isdigit() or rest[3:4] not in (b" ", b""):
        raise MalformedResponseError("no HTTP/1 status line")
    return StatusLine(int(rest[:3]), version != b"HTTP/1.0")


def add_header_line(headers: dict[str, str], line: bytes) -> None:
    """Adds a field to `headers` under its name in lower case; the last one of a name counts."""
    name, colon, value = line.partition(b":")
    if not colon or not name or name != name.strip():
        raise MalformedResponseError("a header without a name")
    key = name.decode("latin-1").lower()
    if key in headers and key in SINGLE_VALUE_FIELDS:
        raise MalformedResponseError(f"{key} is given twice")
    headers[key] = value.strip().decode("latin-1")


def body_framing(status: int, headers: dict[str, str]) -> BodyFraming:
    """How the body of a final response ends, by its status and its headers."""
    coding, length = headers.get("transfer-encoding"), headers.get("content-length")
    if coding is not None and coding.lower() != "chunked":
        raise MalformedResponseError(f"an unknown transfer coding {coding[:MAX_QUOTED_CHARACTERS]}")
    if coding is None and length is not None and not (length.isascii() and length.isdigit()):
        raise MalformedResponseError("content-length is no number")
    if status in (NO_CONTENT, NOT_MODIFIED):
        return BodyFraming(BodyEnd.CONTENT_LENGTH)
    if coding:
        return BodyFraming(BodyEnd.LAST_CHUNK)
    if length is not None:
        return BodyFraming(BodyEnd.CONTENT_LENGTH, int(length))
    return BodyFraming(BodyEnd.CONNECTION_CLOSE)


def parse_chunk_size(line: bytes) -> int:
    """The size of the chunk that follows, in bytes; 0 for the last one.  Chunk extensions are ignored."""
    digits = line.partition(b";")[0].strip()
    if not digits or len(digits) > MAX_CHUNK_SIZE_DIGITS or digits.strip(HEX_DIGITS):
        raise MalformedResponseError("a chunk without a size")
    return int(digits, 16)
