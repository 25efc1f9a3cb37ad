"""Finds the connection to close when there are too many, without a search through all of them."""

from __future__ import annotations

import heapq
from collections.abc import Collection
from itertools import count
from typing import NamedTuple, Protocol

MAX_ENTRIES_PER_CONNECTION = 4  # outdated entries are removed beyond this plus SPARE_ENTRIES
SPARE_ENTRIES = 64


class Evictable(Protocol):
    """A connection; `since_ms` is when its current state began."""

    since_ms: float

    def eviction_rank(self) -> int:
        """Returns the rank: the connection with the highest one is closed first, one with rank 0 never."""


class _Entry(NamedTuple):
    """An entry of the heap: highest rank first, then the longest time in its state, then the oldest entry."""

    negative_rank: int
    since_ms: float
    number: int
    connection: Evictable


class EvictionQueue:
    """A priority queue of connections: highest rank first, then the longest time in the current state.

    `members` are the open connections; the owner keeps the collection.  The owner calls `update` when the
    rank or `since_ms` of a connection may have changed; older entries and closed connections are skipped.

    Failure: in a burst of hundreds of connections, a search through all of them for each new one takes longer
    than the time to the next one, and the server falls behind.
    """

    def __init__(self, members: Collection[Evictable]) -> None:
        self._entries: list[_Entry] = []
        self._members = members
        self._numbers = count()

    def take(self, newest: Evictable) -> Evictable:
        """Returns the connection to close: `newest` only if there is no other, as it had no time to send."""
        skipped = []
        chosen = newest
        while self._entries:
            entry = heapq.heappop(self._entries)
            if not self._is_current(entry):
                continue
            if entry.connection is not newest:
                chosen = entry.connection
                break
            skipped.append(entry)
        for entry in skipped:
            heapq.heappush(self._entries, entry)
        return chosen

    def update(self, connection: Evictable) -> None:
        """Adds an entry for a connection that is new, or whose rank or `since_ms` may have changed."""
        rank = connection.eviction_rank()
        if rank <= 0 or connection not in self._members:
            return
        heapq.heappush(self._entries, _Entry(-rank, connection.since_ms, next(self._numbers), connection))
        if len(self._entries) > MAX_ENTRIES_PER_CONNECTION * len(self._members) + SPARE_ENTRIES:
            self._remove_outdated()

    def _is_current(self, entry: _Entry) -> bool:
        """Whether an entry is valid; a connection whose rank changed without `update` gets a new entry."""
        connection = entry.connection
        if connection not in self._members or connection.since_ms != entry.since_ms:
            return False
        rank = connection.eviction_rank()
        if rank != -entry.negative_rank:
            self.update(connection)
            return False
        return rank > 0

    def _remove_outdated(self) -> None:
        self._entries = [
            entry
            for entry in self._entries
            if entry.connection in self._members
            and entry.connection.eviction_rank() == -entry.negative_rank
            and entry.connection.since_ms == entry.since_ms
        ]
        heapq.heapify(self._entries)
