"""Parsing of status lines, headers, body framing and chunk sizes of HTTP/1.1 responses."""

from __future__ import annotations

import pytest

from worksmux.net.errors import MalformedResponseError
from worksmux.net.response_parser import (
    BodyEnd,
    BodyFraming,
    StatusLine,
    add_header_line,
    body_framing,
    parse_chunk_size,
    parse_status_line,
)


@pytest.mark.parametrize(
    ("line", "parsed"),
    [
        (b"HTTP/1.1 200 OK", StatusLine(200, True)),
        (b"HTTP/1.1 204", StatusLine(204, True)),
        (b"HTTP/1.0 200 OK", StatusLine(200, False)),
    ],
)
def test_status_line_says_whether_the_connection_persists(line: bytes, parsed: StatusLine) -> None:
    assert parse_status_line(line) == parsed


@pytest.mark.parametrize("line", [b"", b"HTTP/2 200 OK", b"HTTP/1.1 20 OK", b"HTTP/1.1 2000 OK", b"200 OK"])
def test_bad_status_line_is_rejected(line: bytes) -> None:
    with pytest.raises(MalformedResponseError):
        parse_status_line(line)


def test_header_names_are_lower_case_and_values_stripped() -> None:
    headers: dict[str, str] = {}
    add_header_line(headers, b"Content-Type:  text/plain ")
    add_header_line(headers, b"X-A: 1")
    add_header_line(headers, b"x-a: 2")
    assert headers == {"content-type": "text/plain", "x-a": "2"}


@pytest.mark.parametrize("line", [b"no colon", b": no name", b" X-A: 1", b"X-A : 1", b"Content-Length: 5"])
def test_bad_header_line_is_rejected(line: bytes) -> None:
    """With a second Content-Length, two parsers could see two different ends of the body."""
    with pytest.raises(MalformedResponseError):
        add_header_line({"content-length": "4"}, line)


@pytest.mark.parametrize(
    ("status", "headers", "framing"),
    [
        (200, {"content-length": "5"}, BodyFraming(BodyEnd.CONTENT_LENGTH, 5)),
        (200, {"transfer-encoding": "Chunked"}, BodyFraming(BodyEnd.LAST_CHUNK)),
        (200, {"transfer-encoding": "chunked", "content-length": "5"}, BodyFraming(BodyEnd.LAST_CHUNK)),
        (200, {}, BodyFraming(BodyEnd.CONNECTION_CLOSE)),
        (204, {}, BodyFraming(BodyEnd.CONTENT_LENGTH)),
        (304, {"content-length": "5"}, BodyFraming(BodyEnd.CONTENT_LENGTH)),
    ],
)
def test_body_ends_as_status_and_headers_say(
    status: int, headers: dict[str, str], framing: BodyFraming
) -> None:
    assert body_framing(status, headers) == framing


@pytest.mark.parametrize(
    "headers", [{"transfer-encoding": "gzip"}, {"content-length": "-1"}, {"content-length": "\u0665"}]
)
def test_unknown_body_framing_is_rejected(headers: dict[str, str]) -> None:
    with pytest.raises(MalformedResponseError):
        body_framing(200, headers)


@pytest.mark.parametrize(("line", "size"), [(b"0", 0), (b"1a;name=value", 26), (b" FF ", 255)])
def test_chunk_size_is_hexadecimal(line: bytes, size: int) -> None:
    assert parse_chunk_size(line) == size


@pytest.mark.parametrize("line", [b"", b"zz", b"-1", b"0x10", b"123456789"])
def test_bad_chunk_size_is_rejected(line: bytes) -> None:
    with pytest.raises(MalformedResponseError):
        parse_chunk_size(line)
