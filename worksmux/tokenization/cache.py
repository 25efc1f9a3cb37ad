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

KEY_BYTES, SLOT_BYTES = 44, 160  # a 128-bit integer; two dictionary slots with links, as measured
WINDOW_SHARE, PROTECTED_SHARE = 0.05, 0.8  # of the bound; of the bytes outside the window


def entry_bytes(ids: bytes) -> int:
    """The bytes of an entry with its key and its slots in the dictionaries."""
    return sys.getsizeof(ids) + KEY_BYTES + SLOT_BYTES


class Cache(Protocol):
    """A cache of packed token ids by the key of their piece."""

    @property
    def used(self) -> int:
        """Bytes in use."""
        ...

    def get(self, key: int) -> bytes | None:
        """The ids of a piece; None if they are not cached."""
        ...

    def put(self, key: int, ids: bytes) -> None:
        """Caches the ids of a piece if there is space for them."""
        ...

    def clear(self) -> None:
        """Removes all entries."""
        ...


class LruCache:
    """Evicts the least recently used entry first."""

    def __init__(self, bound: int) -> None:
        self.bound, self.used = bound, 0
        self.entries: OrderedDict[int, bytes] = OrderedDict()

    def get(self, key: int) -> bytes | None:
        """The ids of a piece, which becomes the most recently used; None if they are not cached."""
        ids = self.entries.get(key)
        if ids is not None:
            self.entries.move_to_end(key)
        return ids

    def put(self, key: int, ids: bytes) -> None:
        """Caches the ids of a piece and evicts the least recently used ones."""
        if entry_bytes(ids) > self.bound:
            return
        self.used -= entry_bytes(self.entries.pop(key)) if key in self.entries else 0
        self.entries[key] = ids
        self.used += entry_bytes(ids)
        while self.used > self.bound:
            self.used -= entry_bytes(self.entries.popitem(last=False)[1])

    def clear(self) -> None:
        """Removes all entries."""
        self.entries.clear()
        self.used = 0


class _Segment:
    """One segment of the cache: entries in order of use, and their bytes."""

    def __init__(self) -> None:
        self.entries: OrderedDict[int, bytes] = OrderedDict()
        self.used = 0

    def add(self, key: int, ids: bytes) -> None:
        """Adds an entry as the most recently used."""
        self.entries[key] = ids
        self.used += entry_bytes(ids)

    def take(self, key: int) -> bytes:
        """Removes an entry and returns its ids."""
        ids = self.entries.pop(key)
        self.used -= entry_bytes(ids)
        return ids

    def oldest(self) -> int:
        """The key of the least recently used entry."""
        return next(iter(self.entries))


class TinyLfuCache:
    """A W-TinyLFU cache: window, probation and protected segments; a sketch decides on admission."""

    def __init__(self, bound: int, mean: int = 2048) -> None:
        """`mean` is the usual size of an entry in bytes.  The bytes of the sketch count against the bound."""
        self.bound = bound
        self.sketch = Sketch(max(64, bound // mean))
        entries_bound = max(0, bound - self.sketch.bytes)
        self.window_bound = int(WINDOW_SHARE * entries_bound)
        self.main_bound = entries_bound - self.window_bound
        self.window, self.probation, self.protected = _Segment(), _Segment(), _Segment()

    @property
    def used(self) -> int:
        """Bytes in use, including those of the sketch."""
        return self.sketch.bytes + self.window.used + self.probation.used + self.protected.used

    def get(self, key: int) -> bytes | None:
        """The ids of a piece, after recording its use; None if they are not cached."""
        self.sketch.add(key)
        for segment in (self.protected, self.window):
            if key in segment.entries:
                segment.entries.move_to_end(key)
                return segment.entries[key]
        if key in self.probation.entries:  # used again: move it to the protected segment
            ids = self.probation.take(key)
            self.protected.add(key, ids)
            while self.protected.used > PROTECTED_SHARE * self.main_bound:
                old = self.protected.oldest()
                self.probation.add(old, self.protected.take(old))
            return ids
        return None

    def put(self, key: int, ids: bytes) -> None:
        """Caches the ids of a piece in the window; what the window evicts may be admitted to probation."""
        size = entry_bytes(ids)
        if size > self.main_bound or any(
            key in segment.entries for segment in (self.window, self.probation, self.protected)
        ):
            return
        self.window.add(key, ids)
        while self.window.used > self.window_bound:
            old = self.window.oldest()
            self._admit(old, self.window.take(old))

    def _admit(self, key: int, ids: bytes) -> None:
        """Admits a candidate if it is used more often than each entry that it would evict."""
        size = entry_bytes(ids)
        if size > self.main_bound:
            return
        frequency = self.sketch.count(key)
        victims, free_bytes = [], self.main_bound - self.probation.used - self.protected.used
        for segment in (self.probation, self.protected):
            for old, old_ids in segment.entries.items():
                if free_bytes >= size:
                    break
                if self.sketch.count(old) >= frequency:
                    return
                victims.append((segment, old))
                free_bytes += entry_bytes(old_ids)
        for segment, old in victims:
            segment.take(old)
        self.probation.add(key, ids)

    def clear(self) -> None:
        """Removes all entries; the sketch keeps its counts."""
        self.window, self.probation, self.protected = _Segment(), _Segment(), _Segment()
