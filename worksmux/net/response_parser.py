"""Parses the parts of an HTTP/1.1 response (RFC 9112).  Free of I/O.

Every function raises `MalformedResponseError` if its input violates HTTP.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from .errors import MalformedResponseError

MAX_CHUNK_SIZE_DIGITS = 8
MAX_HEADER_FIELDS = 100
MAX_QUOTED_CHARACTERS = 40  # of the remote side's text, in an error message
HEX_DIGITS = b"0123456789abcdefABCDEF"
NO_CONTENT = 204
NOT_MODIFIED = 304
SINGLE_VALUE_FIELDS = ("content-length", "transfer-encoding")  # they determine where the body ends


class BodyEnd(Enum):
    """How the end of a body is determined (RFC 9112, section 6.3)."""

    CONTENT_LENGTH = auto()
    LAST_CHUNK = auto()
    CONNECTION_CLOSE = auto()


@dataclass(frozen=True, slots=True)
class StatusLine:
    """A parsed status line."""

    status: int
    persistent: bool  # whether the connection may be reused, unless a header says otherwise


@dataclass(frozen=True, slots=True)
class BodyFraming:
    """Where the body of a response ends."""

    end: BodyEnd
    length: int = 0  # bytes, with `CONTENT_LENGTH`


def parse_status_line(line: bytes) -> StatusLine:
    """Parses a status line of HTTP/1.0 or HTTP/1.1."""
    version, _, rest = line.partition(b" ")
    if not version.startswith(b"HTTP/1.") or not rest[:3].isdigit() or rest[3:4] not in (b" ", b""):
        raise MalformedResponseError(f"not an HTTP/1 status line: {line[:MAX_QUOTED_CHARACTERS]!r}")
    return StatusLine(int(rest[:3]), version != b"HTTP/1.0")


def add_header_line(headers: dict[str, str], line: bytes) -> None:
    """Adds a field to `headers` under its name in lower case; of several with one name the last is kept."""
    name, colon, value = line.partition(b":")
    if not colon or not name or name != name.strip():
        raise MalformedResponseError(f"header line without a valid name: {line[:MAX_QUOTED_CHARACTERS]!r}")
    key = name.decode("latin-1").lower()
    if key in headers and key in SINGLE_VALUE_FIELDS:
        raise MalformedResponseError(f"header {key} is given twice")
    if len(headers) >= MAX_HEADER_FIELDS:
        raise MalformedResponseError(f"the response has more than {MAX_HEADER_FIELDS} header fields")
    headers[key] = value.strip().decode("latin-1")


def body_framing(status: int, headers: dict[str, str]) -> BodyFraming:
    """Determines how the body of a final response ends from its status and headers."""
    coding, length = headers.get("transfer-encoding"), headers.get("content-length")
    if coding is not None and coding.lower() != "chunked":
        raise MalformedResponseError(
            f"unknown transfer coding {coding[:MAX_QUOTED_CHARACTERS]!r}; expected chunked"
        )
    if coding is None and length is not None and not (length.isascii() and length.isdigit()):
        raise MalformedResponseError(f"content-length {length[:MAX_QUOTED_CHARACTERS]!r} is not a number")
    if status in (NO_CONTENT, NOT_MODIFIED):
        return BodyFraming(BodyEnd.CONTENT_LENGTH)
    if coding:
        return BodyFraming(BodyEnd.LAST_CHUNK)
    if length is not None:
        return BodyFraming(BodyEnd.CONTENT_LENGTH, int(length))
    return BodyFraming(BodyEnd.CONNECTION_CLOSE)


def parse_chunk_size(line: bytes) -> int:
    """Parses the size of the next chunk in bytes; 0 for the last one.  Chunk extensions are ignored."""
    digits = line.partition(b";")[0].strip()
    if not digits or len(digits) > MAX_CHUNK_SIZE_DIGITS or digits.strip(HEX_DIGITS):
        raise MalformedResponseError(f"invalid chunk size line {line[:MAX_QUOTED_CHARACTERS]!r}")
    return int(digits, 16)
