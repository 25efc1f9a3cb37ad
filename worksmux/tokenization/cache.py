"""Kept tokens of pieces, within a fixed bound of bytes that counts each entry's overhead too.

Two ways of keeping: `Recent` drops what was longest unused; `Frequent` lets a newcomer in only past what it
would push out (window, probation and protected parts, admission by a sketch of recent frequencies), so that a
scan of prompts that come once leaves the shared beginnings where they are.
"""

from __future__ import annotations

import sys
from collections import OrderedDict
from typing import Protocol

from .sketch import Sketch

KEY, SLOT = 44, 160  # bytes: a 128-bit key; two dictionary slots with links, measured once
WINDOW, PROTECTED = 0.05, 0.8  # of the bound; of what is not the window


def cost(ids: bytes) -> int:
    """Bytes that an entry takes with its key and its place in the tables."""
    return sys.getsizeof(ids) + KEY + SLOT


class Cache(Protocol):
    @property
    def used(self) -> int: ...

    def get(self, key: int) -> bytes | None: ...

    def put(self, key: int, ids: bytes) -> None: ...

    def clear(self) -> None: ...


class Recent:
    """Least recently used goes first."""

    def __init__(self, bound: int) -> None:
        self.bound, self.used = bound, 0
        self.entries: OrderedDict[int, bytes] = OrderedDict()

    def get(self, key: int) -> bytes | None:
        ids = self.entries.get(key)
        if ids is not None:
            self.entries.move_to_end(key)
        return ids

    def put(self, key: int, ids: bytes) -> None:
        if cost(ids) > self.bound:
            return
        self.used -= cost(self.entries.pop(key)) if key in self.entries else 0
        self.entries[key] = ids
        self.used += cost(ids)
        while self.used > self.bound:
            self.used -= cost(self.entries.popitem(last=False)[1])

    def clear(self) -> None:
        self.entries.clear()
        self.used = 0


class _Part:
    """One part of the cache: entries in order of use, and their bytes."""

    def __init__(self) -> None:
        self.entries: OrderedDict[int, bytes] = OrderedDict()
        self.used = 0

    def add(self, key: int, ids: bytes) -> None:
        self.entries[key] = ids
        self.used += cost(ids)

    def take(self, key: int) -> bytes:
        ids = self.entries.pop(key)
        self.used -= cost(ids)
        return ids

    def oldest(self) -> int:
        return next(iter(self.entries))


class Frequent:
    """Window, probation and protected parts; the sketch decides who is admitted (W-TinyLFU)."""

    def __init__(self, bound: int, mean: int = 2048) -> None:
        """`mean` is the size of a usual entry in bytes; the sketch's own bytes come off the bound."""
        self.bound = bound
        self.sketch = Sketch(max(64, bound // mean))
        room = max(0, bound - self.sketch.bytes)
        self.window_room = int(WINDOW * room)
        self.main_room = room - self.window_room
        self.window, self.probation, self.protected = _Part(), _Part(), _Part()

    @property
    def used(self) -> int:
        return self.sketch.bytes + self.window.used + self.probation.used + self.protected.used

    def get(self, key: int) -> bytes | None:
        self.sketch.add(key)
        for part in (self.protected, self.window):
            if key in part.entries:
                part.entries.move_to_end(key)
                return part.entries[key]
        if key in self.probation.entries:  # used again: it is worth protecting
            ids = self.probation.take(key)
            self.protected.add(key, ids)
            while self.protected.used > PROTECTED * self.main_room:
                old = self.protected.oldest()
                self.probation.add(old, self.protected.take(old))
            return ids
        return None

    def put(self, key: int, ids: bytes) -> None:
        size = cost(ids)
        if size > self.main_room or any(
            key in part.entries for part in (self.window, self.probation, self.protected)
        ):
            return
        self.window.add(key, ids)
        while self.window.used > self.window_room:
            old = self.window.oldest()
            self._admit(old, self.window.take(old))

    def _admit(self, key: int, ids: bytes) -> None:
        """A candidate goes in if it is seen more often than each of those that it would push out."""
        size = cost(ids)
        if size > self.main_room:
            return
        often = self.sketch.count(key)
        victims, room = [], self.main_room - self.probation.used - self.protected.used
        for part in (self.probation, self.protected):
            for old, kept in part.entries.items():
                if room >= size:
                    break
                if self.sketch.count(old) >= often:
                    return
                victims.append((part, old))
                room += cost(kept)
        for part, old in victims:
            part.take(old)
        self.probation.add(key, ids)

    def clear(self) -> None:
        self.window, self.probation, self.protected = _Part(), _Part(), _Part()
