"""Finds the connection to close where there are too many, without a search through all of them."""

from __future__ import annotations

import heapq
from collections.abc import Collection
from itertools import count
from typing import NamedTuple, Protocol

MAX_ENTRIES_PER_CONNECTION = 4  # beyond it, and the spare ones, outdated entries are removed
SPARE_ENTRIES = 64


class Evictable(Protocol):
    """A connection; `since_ms` is when its present state began."""

    since_ms: float

    def eviction_rank(self) -> int:
        """How well it can be spared; 0: not at all."""


class _Entry(NamedTuple):
    """Sorted by the highest rank, then by the longest time in it, then by age."""

    negative_rank: int
    since_ms: float
    number: int
    connection: Evictable


class EvictionQueue:
    """Connections by rank, the highest first, and within a rank by how long they have been in it.

    `members` are the open connections, as their owner keeps them.  `update` is called whenever the rank or
    `since_ms` of one may have changed; its older entries are skipped, as are those of closed connections.
    Failure: a search through all connections for each new one takes longer than the time between two new ones
    in a burst of hundreds, so the server falls behind.
    """

    def __init__(self, members: Collection[Evictable]) -> None:
        self._entries: list[_Entry] = []
        self._members = members
        self._numbers = count()

    def take(self, newest: Evictable) -> Evictable:
        """The connection to close; `newest`, which had no time to send anything, only as the last resort."""
        passed_over = []
        chosen = newest
        while self._entries:
            entry = heapq.heappop(self._entries)
            if not self._is_current(entry):
                continue
            if entry.connection is not newest:
                chosen = entry.connection
                break
            passed_over.append(entry)
        for entry in passed_over:
            heapq.heappush(self._entries, entry)
        return chosen

    def update(self, connection: Evictable) -> None:
        """A connection is new, or its rank or `since_ms` may have changed."""
        rank = connection.eviction_rank()
        if rank <= 0 or connection not in self._members:
            return
        heapq.heappush(self._entries, _Entry(-rank, connection.since_ms, next(self._numbers), connection))
        if len(self._entries) > MAX_ENTRIES_PER_CONNECTION * len(self._members) + SPARE_ENTRIES:
            self._remove_outdated()

    def _is_current(self, entry: _Entry) -> bool:
        """Whether an entry still holds; a connection whose rank changed without `update` is added anew."""
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
