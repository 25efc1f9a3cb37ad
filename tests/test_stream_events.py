"""Server-sent events: parsing of streams that are split anywhere."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from worksmux.api.events import EventParser, EventTooLongError, event


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
