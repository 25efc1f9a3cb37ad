"""Server-sent events (the event stream format of the HTML standard): encoding and incremental parsing."""

from __future__ import annotations

from ..errors import WorksmuxError

DONE = b"data: [DONE]\n\n"


def event(data: bytes) -> bytes:
    """Encodes an event with this data, which must be one line.

    >>> event(b"{}")
    b'data: {}\\n\\n'
    """
    return b"data: " + data + b"\n\n"


class EventTooLongError(WorksmuxError):
    """An event exceeds the parser's limit."""


class EventParser:
    """Parses a stream that is split anywhere into the `data` of its events of at most `max_event_bytes`.

    >>> events = EventParser(100)
    >>> events.feed(b"data: a\\r\\n\\r"), events.feed(b"\\n: note\\n\\ndata: b\\ndata: c\\n\\nda")
    ([b'a'], [b'b\\nc'])
    """

    def __init__(self, max_event_bytes: int) -> None:
        self.max_event_bytes = max_event_bytes
        self._rest = b""
        self._data: list[bytes] = []
        self._size = 0
        self._after_return = False

    def feed(self, received: bytes) -> list[bytes]:
        """Returns the data of the events that are complete with these bytes.  Raises EventTooLongError."""
        if self._after_return and received:  # a line end may be split between \r and \n
            received = received.removeprefix(b"\n")
        self._after_return = received.endswith(b"\r") if received else self._after_return
        text = self._rest + received
        if b"\r" in text:
            text = text.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
        *lines, self._rest = text.split(b"\n")
        events: list[bytes] = []
        for line in lines:
            if not line:
                if self._data:
                    events.append(b"\n".join(self._data))
                self._data, self._size = [], 0
            elif line.startswith(b"data:"):
                self._data.append(line[5:].removeprefix(b" "))
                self._size += len(line)
        if self._size + len(self._rest) > self.max_event_bytes:
            raise EventTooLongError(f"an event is longer than {self.max_event_bytes} bytes")
        return events

    @property
    def buffered_bytes(self) -> int:
        """How many bytes of an incomplete event are kept."""
        return self._size + len(self._rest)

    @property
    def has_partial_event(self) -> bool:
        """Whether an event has begun that is not complete."""
        return bool(self._rest or self._data)
