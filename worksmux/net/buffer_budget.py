"""Limits the bytes that connections of one kind buffer together.  Free of I/O."""

from __future__ import annotations

from typing import NamedTuple, Protocol

import structlog

from . import clock

LOG = structlog.get_logger()
UNCHARGED_BYTES = 1024  # of each connection, so that usual heads and event streams cost nothing to count
SPARE_FRACTION = 1 / 8  # of the limit that is freed at once, so that not every read has to search again
LOG_INTERVAL_MS = 1000.0


class Buffering(Protocol):
    """A connection that buffers what its peer has sent."""

    since_ms: float  # clock time at which it began to receive what it buffers

    def discardable_bytes(self) -> int:
        """Returns how many buffered bytes `discard_buffered` would free; 0 if none may be discarded."""

    def discard_buffered(self) -> None:
        """Refuses what is buffered, frees it, and updates the budget."""


class BufferCounts(NamedTuple):
    """What a budget has counted since the last look."""

    peak_bytes: int
    discards: int  # connections whose buffered data was discarded


class BufferBudget:
    """The sum of what connections buffer, each beyond `UNCHARGED_BYTES`; at most `max_bytes`, 0 for no limit.

    Failure: each connection keeps to its own limit, and hundreds of them together exceed the memory of the
    process.  Over the limit, data is discarded where the most bytes have been buffered for the longest time,
    so that a peer that stops in the middle of its data is discarded before one that sends at a usual speed.
    """

    def __init__(self, name: str = "", max_bytes: int = 0) -> None:
        """`name` names the connections in the log."""
        self.name, self.max_bytes = name, max_bytes
        self.total_bytes = 0
        self._charged: dict[Buffering, int] = {}  # bytes, by connection
        self._peak_bytes = self._discards = self._unlogged_discards = 0
        self._logged_at_ms = -LOG_INTERVAL_MS
        self._making_room = False

    def update(self, connection: Buffering, buffered_bytes: int) -> None:
        """Sets how many bytes a connection buffers; data of this or another one may be discarded at once."""
        charged = buffered_bytes - UNCHARGED_BYTES
        if charged <= 0:
            return self.remove(connection)
        self.total_bytes += charged - self._charged.get(connection, 0)
        self._charged[connection] = charged
        self._peak_bytes = max(self._peak_bytes, self.total_bytes)
        if self.max_bytes and self.total_bytes > self.max_bytes and not self._making_room:
            self._making_room = True
            try:
                self._make_room()
            finally:
                self._making_room = False

    def remove(self, connection: Buffering) -> None:
        """Removes a connection that buffers nothing any more."""
        self.total_bytes -= self._charged.pop(connection, 0)

    def take_counts(self) -> BufferCounts:
        """Returns the counts and resets them."""
        counts = BufferCounts(self._peak_bytes, self._discards)
        self._peak_bytes, self._discards = self.total_bytes, 0
        return counts

    def _make_room(self) -> None:
        now = clock.now()
        discardable = {
            connection: min(charged, connection.discardable_bytes())
            for connection, charged in self._charged.items()
        }
        in_use = self.total_bytes - sum(discardable.values())
        goal_bytes = round(self.max_bytes * (1 - SPARE_FRACTION))
        if in_use > goal_bytes:  # the spare part cannot be freed: discard no more than necessary
            goal_bytes = self.max_bytes
        buffered_before = self.total_bytes
        by_cost = sorted(
            (connection for connection, size in discardable.items() if size),
            key=lambda connection: discardable[connection] * (1 + now - connection.since_ms),
        )
        while by_cost and self.total_bytes > goal_bytes:
            connection = by_cost.pop()
            if connection not in self._charged:  # it ended with one that was discarded before it
                continue
            connection.discard_buffered()
            self._discards += 1
            self._unlogged_discards += 1
        self._log(now, buffered_before)

    def _log(self, now: float, buffered_before: int) -> None:
        if now < self._logged_at_ms + LOG_INTERVAL_MS or not self._unlogged_discards:
            return
        LOG.warning(
            "buffer limit reached; buffered data is discarded",
            connections=self.name,
            discarded=self._unlogged_discards,
            buffered_bytes=buffered_before,
            max_bytes=self.max_bytes,
        )
        self._logged_at_ms, self._unlogged_discards = now, 0
