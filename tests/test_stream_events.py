"""Server-sent events: parsing of streams that are split anywhere."""

from __future__ import annotations

import tracemalloc
from time import process_time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from worksmux.api.events import EventParser, EventTooLongError, event

LONGEST_EVENT_BYTES = 2**20
NOISE = b"~" * 80
MAX_CPU_S = 1.0  # for some 13,000 pieces, on a busy machine too


@given(
    st.lists(st.binary(max_size=20).filter(lambda data: b"\n" not in data and b"\r" not in data), min_size=1),
    st.data(),
)
def test_events_are_parsed_however_they_are_split(texts: list[bytes], data: st.DataObject) -> None:
    stream = b"".join(event(text) for text in texts)
    parser, events = EventParser(1000), []
    while stream:
        size = data.draw(st.integers(1, len(stream)))
        events += parser.feed(stream[:size])
        stream = stream[size:]
    assert events == texts and not parser.has_partial_event


def test_event_without_end_is_rejected() -> None:
    parser = EventParser(100)
    with pytest.raises(EventTooLongError):
        for _ in range(50):
            parser.feed(b"data: xxxxxxxx\n")


@given(st.lists(st.sampled_from([b"data: a", b"data:", b": note", b"x", b""]), max_size=8), st.data())
def test_line_ends_may_be_split_and_mixed(lines: list[bytes], data: st.DataObject) -> None:
    """Each line ends with LF or CRLF, and pieces may be as short as a byte."""
    ends = [data.draw(st.sampled_from([b"\n", b"\r\n"])) for _ in lines]
    stream = b"".join(line + end for line, end in zip(lines, ends, strict=True))
    expected = EventParser(1000).feed(b"".join(line + b"\n" for line in lines))
    parser, events = EventParser(1000), []
    while stream:
        size = data.draw(st.integers(1, len(stream)))
        events += parser.feed(stream[:size])
        stream = stream[size:]
    assert events == expected


def test_cost_of_an_event_without_an_end_does_not_grow_with_its_square() -> None:
    """An engine sends noise without a line break, in short chunks; the gateway is held up by it."""
    parser, started_s = EventParser(LONGEST_EVENT_BYTES), process_time()
    with pytest.raises(EventTooLongError):
        for _ in range(LONGEST_EVENT_BYTES):
            parser.feed(NOISE)
    assert process_time() - started_s < MAX_CPU_S


def test_lines_of_an_event_cost_their_length_alone() -> None:
    """An engine sends an event of short lines that does not end."""
    parser = EventParser(LONGEST_EVENT_BYTES)
    tracemalloc.start()
    for _ in range(20_000):
        parser.feed(b"data:ab\n")
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert parser.has_partial_event and used_bytes < 200_000
