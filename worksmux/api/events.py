"""Server-sent events (the event stream format of the HTML standard): encoding and incremental parsing."""

from __future__ import annotations

from ..errors import WorksmuxError

DONE = b"data: [DONE]\n\n"
DATA_FIELD = b"data:"


def event(data: bytes) -> bytes:
    """Encodes an event with this data, which must be one line.

    >>> event(b"{}")
    b'data: {}\\n\\n'
    """
    return b"data: " + data + b"\n\n"


def begins_data_field(line: bytes | bytearray) -> bool:
    """Whether a line that may be incomplete is, or can become, one with a data field.

    >>> [begins_data_field(line) for line in (b"da", b"data: x", b"", b"~")]
    [True, True, False, False]
    """
    beginning = bytes(line[: len(DATA_FIELD)])
    return bool(beginning) and DATA_FIELD.startswith(beginning)


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
        self._rest = bytearray()  # of an incomplete line
        self._data = bytearray()  # of an incomplete event
        self._has_data = False  # its data may be empty
        self._after_return = False

    def feed(self, received: bytes) -> list[bytes]:
        """Returns the data of the events that are complete with these bytes.  Raises EventTooLongError.

        Failure: an event without an end arrives in many pieces, and copying the earlier ones for each piece
        blocks the reactor for seconds.  A piece is appended to what has arrived of its line.
        """
        if not received:
            return []
        after_return, self._after_return = self._after_return, received.endswith(b"\r")
        if after_return:  # a line end may be split between \r and \n
            received = received.removeprefix(b"\n")
        if b"\r" in received:
            received = received.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
        end, *begins = received.split(b"\n")
        self._rest += end
        events: list[bytes] = []
        for begin in begins:
            line, self._rest = bytes(self._rest), bytearray(begin)
            event_data = self._take_line(line)
            if event_data is not None:
                events.append(event_data)
        if self.buffered_bytes > self.max_event_bytes:
            raise EventTooLongError(f"an event is longer than {self.max_event_bytes} bytes")
        return events

    def _take_line(self, line: bytes) -> bytes | None:
        """Adds a line to the event; returns the event's data if the line is empty and so ends it."""
        if line.startswith(DATA_FIELD):
            if self._has_data:
                self._data += b"\n"
            self._data += line[len(DATA_FIELD) :].removeprefix(b" ")
            self._has_data = True
        if line or not self._has_data:
            return None
        event_data, self._data, self._has_data = bytes(self._data), bytearray(), False
        return event_data

    @property
    def buffered_bytes(self) -> int:
        """How many bytes of an incomplete event are kept."""
        return len(self._data) + len(self._rest)

    @property
    def has_partial_event(self) -> bool:
        """Whether an event has begun that is not complete."""
        return bool(self._rest or self._has_data)

    @property
    def is_event_arriving(self) -> bool:
        """Whether an event that is not complete has data, or a line that begins like it."""
        return self._has_data or begins_data_field(self._rest)
