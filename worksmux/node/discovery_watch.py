"""A watch on discovery: an open HTTP reply that streams one JSON object per change."""

from __future__ import annotations

import math
from typing import Protocol

import msgspec

from ..endpoints.watch_progress import WatchEnd, WatchProgress, WatchStage
from ..net import client, clock
from .endpoint_list import HOST_LIST_DECODER, HostList

MAX_OBJECT_BYTES = 2**22  # enough for an indented list of thousands of engines
HTTP_OK = 200
PARSE_GROWTH = 1.5  # an incomplete object is parsed again after growing by this factor


class WatchOwner(Protocol):
    """Receives the events of a watch."""

    address: tuple[str, int]

    def on_event(self, watch: DiscoveryWatch, hosts: HostList | None) -> None:
        """Handles a received list, or a heartbeat (None), which is an empty line."""

    def on_corrupt_event(self, watch: DiscoveryWatch, reason: str) -> None:
        """Handles data that is not a valid object."""

    def on_stage(self, watch: DiscoveryWatch, stage: WatchStage) -> None:
        """Handles that the watch has reached a stage for the first time."""

    def on_data(self, watch: DiscoveryWatch) -> None:
        """Handles that data has arrived; complete objects were passed on before."""

    def on_ended(self, watch: DiscoveryWatch, end: WatchEnd, detail: str) -> None:
        """Handles the end of the watch, whoever ended it."""


class DiscoveryWatch:
    """Receives one reply and drops data after its end. An object may span several lines."""

    def __init__(self, owner: WatchOwner, now: float) -> None:
        """`now` is the clock time in ms at which the watch is opened."""
        self.owner, self.address = owner, owner.address
        self.progress = WatchProgress(now)
        self.last_event_at_ms = -math.inf  # clock time
        self.call: client.Call | None = None
        self.over = False
        self._line_begin = bytearray()  # of an incomplete line
        self._object = bytearray()  # the lines of an incomplete object
        self._begins_with_brace = False
        self._parsed_size = 0  # bytes at the last failed parse
        self._open_braces = 0  # in these lines, counting braces inside strings too

    @property
    def has_partial_object(self) -> bool:
        """Whether an object was received in part."""
        return bool(self._line_begin or self._object)

    @property
    def buffered_bytes(self) -> int:
        """How many bytes of an incomplete object are kept."""
        return len(self._object) + len(self._line_begin)

    def start(self, call: client.Call) -> None:
        """Takes the call whose reply this watch receives, before anything of it can arrive."""
        self.call = call
        call.on_connected = lambda: self._reach(WatchStage.CONNECTED)

    def _reach(self, stage: WatchStage) -> None:
        if self.progress.reach(stage, clock.now()):
            self.owner.on_stage(self, stage)

    # Called by `net.client` with the reply.

    def head_received(self, status: int, headers: dict[str, str]) -> None:
        """Receives status and headers of the reply."""
        self._reach(WatchStage.HEAD)
        if status != HTTP_OK:
            self.end(WatchEnd.REFUSED, f"status {status}")

    def body_received(self, data: bytes) -> None:
        """Receives a piece of the reply.

        Failure: a long list arrives in many small pieces, and copying the earlier ones for each piece blocks
        the reactor. Each piece is appended to a buffer instead.
        """
        self._reach(WatchStage.FIRST_BYTE)
        end, *begins = data.split(b"\n")
        self._line_begin += end
        for begin in begins:
            line, self._line_begin = bytes(self._line_begin), bytearray(begin)
            if not self.over:
                self._take_line(line)
        if not self.over and self.buffered_bytes > MAX_OBJECT_BYTES:
            self.owner.on_corrupt_event(self, "an object is too long")
        if not self.over:
            self.owner.on_data(self)

    def done(self) -> None:
        """Handles the end of the reply."""
        self.end(WatchEnd.LOST, "the reply ended")

    def failed(self, error: client.CallError) -> None:
        """Handles the failure of the call."""
        self.end(WatchEnd.LOST, str(error))

    def end(self, end: WatchEnd, detail: str = "") -> None:
        """Closes the watch and reports the end to its owner; `detail` is for the log."""
        if self.over:
            return
        self.over = True
        if self.call is not None:
            self.call.abandon()
        self.owner.on_ended(self, end, detail)

    # Objects.

    def _take_line(self, line: bytes) -> None:
        text = line.strip()
        if not text and not self._object:
            self._reach(WatchStage.FIRST_EVENT)
            self.owner.on_event(self, None)
            return
        if not self._object:
            self._begins_with_brace = text.startswith(b"{")
        self._object += line
        self._object += b"\n"
        self._open_braces += line.count(b"{") - line.count(b"}")
        # A brace inside a string makes the count miss the end of an object; an empty line marks it then.
        if not text and len(self._object) > self._parsed_size and self._parse():
            return
        if not text.endswith(b"}"):  # the object cannot end here
            if not text or not self._begins_with_brace:
                self.owner.on_corrupt_event(self, "no object")
            return
        if self._open_braces > 0 and len(self._object) < PARSE_GROWTH * self._parsed_size:
            return
        self._parse()

    def _parse(self) -> bool:
        """Parses the lines so far; returns whether they are a complete object.

        Failure: a list with one line for each of thousands of engines is parsed from the start at each line,
        which blocks the reactor. `PARSE_GROWTH` bounds the number of parses.
        """
        self._parsed_size = len(self._object)
        try:
            hosts = HOST_LIST_DECODER.decode(self._object)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            if "truncated" not in str(error):
                self.owner.on_corrupt_event(self, str(error))
            return False
        self._object, self._parsed_size, self._open_braces = bytearray(), 0, 0
        self._reach(WatchStage.FIRST_EVENT)
        self._reach(WatchStage.FIRST_OBJECT)
        self.owner.on_event(self, hosts)
        return True
