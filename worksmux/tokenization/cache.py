"""Caches the token ids of pieces within a fixed bound in bytes that includes the overhead of each entry.

`LruCache` evicts the least recently used entry.  `TinyLfuCache` admits an entry only if it is used more often
than the entries it would evict (window, probation and protected segments; admission by a sketch of recent
frequencies).  So a scan of prompts that occur once does not evict the shared prefixes.
"""

from __future__ import annotations

import sys
from collections import OrderedDict
from typing import Protocol

from .sketch import Sketch

KEY, SLOT = 44, 160  # bytes: a 128-bit key; two dictionary slots with links, measured once
WINDOW, PROTECTED = 0.05, 0.8  # of the bound; of what is not the window


def entry_bytes(ids: bytes) -> int:
    """Bytes that an entry takes with its key and its place in the tables."""
    return sys.getsizeof(ids) + KEY + SLOT


class Cache(Protocol):
    @property
    def used(self) -> int: ...

    def get(self, key: int) -> bytes | None: ...

    def put(self, key: int, ids: bytes) -> None: ...

    def clear(self) -> None: ...


class LruCache:
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
        if entry_bytes(ids) > self.bound:
            return
        self.used -= entry_bytes(self.entries.pop(key)) if key in self.entries else 0
        self.entries[key] = ids
        self.used += entry_bytes(ids)
        while self.used > self.bound:
            self.used -= entry_bytes(self.entries.popitem(last=False)[1])

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
        self.used += entry_bytes(ids)

    def take(self, key: int) -> bytes:
        ids = self.entries.pop(key)
        self.used -= entry_bytes(ids)
        return ids

    def oldest(self) -> int:
        return next(iter(self.entries))


class TinyLfuCache:
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
        size = entry_bytes(ids)
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
        size = entry_bytes(ids)
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
                room += entry_bytes(kept)
        for part, old in victims:
            part.take(old)
        self.probation.add(key, ids)

    def clear(self) -> None:
        self.window, self.probation, self.protected = _Part(), _Part(), _Part()
