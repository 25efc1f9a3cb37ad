"""Which connection is closed first where there are too many: found without a look at all of them."""

from __future__ import annotations

import heapq
from collections.abc import Collection
from itertools import count
from typing import Protocol

STALE = 4  # entries for each connection, beyond which those that no longer hold are dropped
SPARE = 64


class Evictable(Protocol):
    """A connection; `since` is when its present state began, milliseconds."""

    since: float

    def rank(self) -> int:
        """How well it can be spared; 0: not at all."""


class EvictionQueue:
    """Connections by rank, the highest first, and within a rank by how long they have been in it.

    `members` are the connections there are, as their owner keeps them.  One is filed whenever its rank or
    `since` may have changed; older entries of it are skipped, and those of what is no member any more.
    Guards against a search through all connections for each new one: in a burst of hundreds that took longer
    than the burst.
    """

    def __init__(self, members: Collection[Evictable]) -> None:
        self._entries: list[tuple[int, float, int, Evictable]] = []
        self._members = members
        self._numbers = count()

    def take(self, newest: Evictable) -> Evictable:
        """The one to close; `newest` only where nothing else can be spared, as it has had no time to
        speak."""
        passed_over = []
        chosen = newest
        while self._entries:
            entry = heapq.heappop(self._entries)
            rank, since, _, connection = entry
            if not self._holds(-rank, since, connection):
                continue
            if connection is not newest:
                chosen = connection
                break
            passed_over.append(entry)
        for entry in passed_over:
            heapq.heappush(self._entries, entry)
        return chosen

    def _holds(self, rank: int, since: float, connection: Evictable) -> bool:
        """Whether an entry still tells the truth; a connection whose rank has changed by itself is filed
        anew."""
        if connection not in self._members:
            return False
        if connection.rank() == rank and connection.since == since:
            return rank > 0
        if connection.rank() != rank and connection.since == since:
            self.file(connection)
        return False

    def file(self, connection: Evictable) -> None:
        """A connection is new, or its rank or `since` may have changed."""
        rank = connection.rank()
        if rank <= 0 or connection not in self._members:
            return
        heapq.heappush(self._entries, (-rank, connection.since, next(self._numbers), connection))
        if len(self._entries) > STALE * len(self._members) + SPARE:
            self._entries = [
                entry
                for entry in self._entries
                if entry[3] in self._members and entry[3].rank() == -entry[0] and entry[3].since == entry[1]
            ]
            heapq.heapify(self._entries)
