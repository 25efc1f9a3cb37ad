"""One watch on discovery: an HTTP reply that stays open and brings JSON objects, one for each change."""

from __future__ import annotations

from typing import Protocol

import msgspec

from ..net import client
from .endpoint_list import HOST_LIST_DECODER, HostList

MAX_OBJECT_BYTES = 2**22  # of a list with thousands of engines, indented
PARSE_GROWTH = 1.5  # an incomplete object is parsed again once it has grown by this factor


class WatchOwner(Protocol):
    """Is called with what a watch meets."""

    address: tuple[str, int]

    def on_event(self, watch: DiscoveryWatch, hosts: HostList | None) -> None:
        """An object has come, or an empty line (None), which is a heartbeat."""

    def on_corrupt_event(self, watch: DiscoveryWatch, reason: str) -> None:
        """What came is no object."""

    def on_lost(self, watch: DiscoveryWatch, reason: str) -> None:
        """The watch has ended."""


class DiscoveryWatch:
    """Receives one reply; what comes after its end is dropped. An object may come on several lines."""

    def __init__(self, owner: WatchOwner, now: float) -> None:
        """`now` is the time at which it is opened, milliseconds of the clock."""
        self.owner, self.opened_at, self.address = owner, now, owner.address
        self.call: client.Call | None = None
        self.over = False
        self._line_begin = bytearray()  # of a line that is not whole
        self._lines: list[bytes] = []  # of an object that is not whole
        self._size = 0  # bytes in them
        self._parsed_size = 0  # their bytes at the last parse, which failed
        self._open_braces = 0  # in them, if no name has a brace

    @property
    def has_partial_object(self) -> bool:
        """Whether an object has begun that is not whole."""
        return bool(self._line_begin or self._lines)

    # Called by `net.client` with the reply.

    def head(self, status: int, headers: dict[str, str]) -> None:
        """Takes the head of the reply."""
        if status != 200:
            self.end(f"status {status}")

    def piece(self, data: bytes) -> None:
        """Takes a piece of the reply.

        Failure: a long list in many small pieces, where copying all that came before with each piece would
        block the reactor. Each piece is appended to the buffer.
        """
        end, *begins = data.split(b"\n")
        self._line_begin += end
        for begin in begins:
            line, self._line_begin = bytes(self._line_begin), bytearray(begin)
            if not self.over:
                self._take_line(line)
        if not self.over and self._size + len(self._line_begin) > MAX_OBJECT_BYTES:
            self.owner.on_corrupt_event(self, "an object is too long")

    def done(self) -> None:
        """The reply has ended."""
        self.end("it ended")

    def failed(self, trouble: client.CallError) -> None:
        """The call ended without a whole reply."""
        self.end(str(trouble))

    # Its end.

    def end(self, reason: str) -> None:
        """Closes the watch and tells its owner."""
        if not self.over:
            self.close()
            self.owner.on_lost(self, reason)

    def close(self) -> None:
        """Closes the watch; its owner is not called any more."""
        self.over = True
        if self.call is not None:
            self.call.abandon()

    # Objects.

    def _take_line(self, line: bytes) -> None:
        text = line.strip()
        if not text and not self._lines:
            self.owner.on_event(self, None)
            return
        self._lines.append(line)
        self._size += len(line)
        self._open_braces += line.count(b"{") - line.count(b"}")
        # A brace in a name hides the end of an object from the count; an empty line shows it.
        if not text and self._size > self._parsed_size and self._parse():
            return
        if not text.endswith(b"}"):  # the object can't end here
            if not text or not self._lines[0].lstrip().startswith(b"{"):
                self.owner.on_corrupt_event(self, "no object")
            return
        if self._open_braces > 0 and self._size < PARSE_GROWTH * self._parsed_size:
            return
        self._parse()

    def _parse(self) -> bool:
        """Parses the lines so far; returns whether the object is whole.

        Failure: a list with a line for each of thousands of engines is parsed from its start at each line,
        which blocks the reactor. `PARSE_GROWTH` bounds how often.
        """
        self._parsed_size = self._size
        try:
            hosts = HOST_LIST_DECODER.decode(b"\n".join(self._lines))
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            if "truncated" not in str(error):
                self.owner.on_corrupt_event(self, str(error))
            return False
        self._lines, self._size, self._parsed_size, self._open_braces = [], 0, 0, 0
        self.owner.on_event(self, hosts)
        return True
