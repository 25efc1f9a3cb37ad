"""Splits an engine's stream into server-sent events and validates each."""

from __future__ import annotations

import re
from typing import Any

import msgspec

from ..api.events import begins_data_field
from .engine_reply import CachedTokens
from .errors import CorruptStreamError
from .protocol import LOAD

EVENT_END = re.compile(rb"\r?\n\r?\n")
MAX_EVENT_END_BYTES = 4
DATA_FIELD = b"data:"
LAST_EVENT = b"[DONE]"


class _Usage(msgspec.Struct):
    prompt_tokens_details: CachedTokens | None = None


class _Chunk(msgspec.Struct):
    choices: list[Any]
    usage: _Usage | None = None


CHUNK_DECODER = msgspec.json.Decoder(_Chunk)


class EventStream:
    """One stream whose events are relayed unchanged.

    Failure: a transfer chunk with a wrong size mixes other bytes into the events. Each event is validated, so
    that such bytes end the stream instead of reaching the client.

    >>> stream = EventStream(1000)
    >>> stream.feed(b'data: {"choices":[]}\\n\\nda')
    b'data: {"choices":[]}\\n\\n'
    >>> stream.feed(b'ta: [DONE]\\n\\n: X-Server-Load: inflight=1\\n\\n'), stream.done, stream.load_report
    (b'data: [DONE]\\n\\n', True, 'inflight=1')
    """

    def __init__(self, max_event_bytes: int) -> None:
        self.max_event_bytes = max_event_bytes
        self.done = False  # the last event was received
        self.cached_tokens = 0
        self.load_report: str | None = None
        self._rest = bytearray()  # of an incomplete event; it contains no `EVENT_END`

    def feed(self, data: bytes) -> bytes:
        """Adds a piece of the stream and returns the events that it completes.

        Raises CorruptStreamError, with the complete events before the invalid data.

        Failure: an event without an end arrives in many pieces, and copying or searching the earlier ones for
        each piece blocks the reactor for seconds. A piece is appended, and only its part is searched.
        """
        search_from = max(0, len(self._rest) - MAX_EVENT_END_BYTES + 1)  # an end may be split
        self._rest += data
        if EVENT_END.search(self._rest, search_from) is None:
            events: list[bytes] = []
        else:
            events = self._take_events(search_from)
        if len(self._rest) > self.max_event_bytes:
            raise CorruptStreamError("an event exceeds the maximum size", b"".join(events))
        return b"".join(events)

    def _take_events(self, search_from: int) -> list[bytes]:
        """Removes the complete events, of which the first ends after `search_from`, and returns them."""
        buffer, events, begin = bytes(self._rest), [], 0  # type: bytes, list[bytes], int
        for blank_line in EVENT_END.finditer(buffer, search_from):
            try:
                event = self._check(buffer[begin : blank_line.start()])
            except CorruptStreamError as error:
                raise CorruptStreamError(str(error), b"".join(events)) from None
            if event:
                events.append(event + blank_line[0])
            begin = blank_line.end()
        self._rest = bytearray(buffer[begin:])
        return events

    @property
    def buffered_bytes(self) -> int:
        """How many bytes of an incomplete event are kept."""
        return len(self._rest)

    @property
    def is_event_arriving(self) -> bool:
        """Whether an event that is not complete begins with data; noise in place of a stream does not."""
        return not self.done and begins_data_field(self._rest)

    @property
    def is_cut(self) -> bool:
        """Whether the last event is incomplete."""
        return any(line.strip() and not line.startswith(b":") for line in self._rest.split(b"\n"))

    def _check(self, event: bytes) -> bytes:
        """Returns the part of an event to relay: without comments, and empty after the last event."""
        if event.startswith(b":") or b"\n:" in event:
            event = b"\n".join(line for line in event.split(b"\n") if not self._take_comment(line))
        if not event.strip() or self.done:
            return b""
        if not event.startswith(DATA_FIELD):
            raise CorruptStreamError("a block without a data field")
        data = event.removeprefix(DATA_FIELD).strip()
        if data == LAST_EVENT:
            self.done = True
            return event
        try:
            usage = CHUNK_DECODER.decode(data).usage
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            raise CorruptStreamError("an event whose data is not a valid chunk") from None
        if usage is not None and usage.prompt_tokens_details is not None:
            self.cached_tokens = usage.prompt_tokens_details.cached_tokens
        return event

    def _take_comment(self, line: bytes) -> bool:
        """Whether a line is a comment; stores the load report if the comment has one."""
        if not line.startswith(b":"):
            return False
        name, _, value = line[1:].partition(b":")
        if name.strip().lower() == LOAD.encode():
            self.load_report = value.strip().decode("latin-1")
        return True
