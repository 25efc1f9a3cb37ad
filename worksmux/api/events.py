"""Server-sent events (the event stream format of the HTML standard): writing, and reading from pieces."""

from __future__ import annotations

from ..errors import WorksmuxError

DONE = b"data: [DONE]\n\n"


def event(data: bytes) -> bytes:
    """
    >>> event(b"{}")
    b'data: {}\\n\\n'
    """
    return b"data: " + data + b"\n\n"


class EventTooLongError(WorksmuxError):
    """An event is longer than the bound."""


class EventParser:
    """Gathers the `data` of each event from pieces cut anywhere; an event is at most `bound` bytes.

    >>> events = EventParser(100)
    >>> events.feed(b"data: a\\r\\n\\r"), events.feed(b"\\n: note\\n\\ndata: b\\ndata: c\\n\\nda")
    ([b'a'], [b'b\\nc'])
    """

    def __init__(self, bound: int) -> None:
        self.bound = bound
        self._rest = b""
        self._data: list[bytes] = []
        self._size = 0
        self._after_return = False

    def feed(self, piece: bytes) -> list[bytes]:
        if self._after_return and piece:  # a line's end may be cut between \r and \n
            piece = piece.removeprefix(b"\n")
        self._after_return = piece.endswith(b"\r") if piece else self._after_return
        text = self._rest + piece
        if b"\r" in text:
            text = text.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
        *lines, self._rest = text.split(b"\n")
        found: list[bytes] = []
        for line in lines:
            if not line:
                if self._data:
                    found.append(b"\n".join(self._data))
                self._data, self._size = [], 0
            elif line.startswith(b"data:"):
                self._data.append(line[5:].removeprefix(b" "))
                self._size += len(line)
        if self._size + len(self._rest) > self.bound:
            raise EventTooLongError(f"an event is longer than {self.bound} bytes")
        return found

    @property
    def has_partial_event(self) -> bool:
        """Whether an event has begun that is not whole."""
        return bool(self._rest or self._data)
