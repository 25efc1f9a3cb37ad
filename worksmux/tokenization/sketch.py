"""Estimates how often keys were seen recently: a count-min sketch whose counters are halved periodically.

The counters are 4-bit values, up to 15, in a byte each.  The scheme is published as TinyLFU (Einziger,
Friedman, Manes: "TinyLFU: A Highly Efficient Cache Admission Policy", 2017).  A doorkeeper records the first
sight of a key, so that keys seen only once do not occupy the counters.
"""

from __future__ import annotations

ROWS, MAX_COUNT = 4, 15
ROW_MULTIPLIERS = (0x9E3779B97F4A7C15, 0xC2B2AE3D27D4EB4F, 0x165667B19E3779F9, 0x27D4EB2F165667C5)
UINT64_MASK = 0xFFFFFFFFFFFFFFFF


class Sketch:
    """Counts of about `width` keys; all counts are halved after `10 * size` sights.

    >>> sketch = Sketch(64)
    >>> for _ in range(5): sketch.add(7)
    >>> sketch.count(7), sketch.count(8)
    (5, 0)
    """

    def __init__(self, width: int) -> None:
        self.size = 1 << max(4, (width - 1).bit_length())
        self.rows = [bytearray(self.size) for _ in range(ROWS)]
        self.doorkeeper = bytearray(self.size)
        self.sights, self.period = 0, 10 * self.size

    def _positions(self, key: int) -> list[int]:
        return [((key * multiplier & UINT64_MASK) >> 32) & (self.size - 1) for multiplier in ROW_MULTIPLIERS]

    def add(self, key: int) -> None:
        """Records one sight of a key."""
        positions = self._positions(key)
        if not self.doorkeeper[positions[0]]:
            self.doorkeeper[positions[0]] = 1
        else:
            min_count = min(row[position] for row, position in zip(self.rows, positions, strict=True))
            if min_count < MAX_COUNT:
                for row, position in zip(self.rows, positions, strict=True):
                    if row[position] == min_count:
                        row[position] += 1
        self.sights += 1
        if self.sights >= self.period:
            self._halve()

    def count(self, key: int) -> int:
        """The estimated number of recent sights of a key."""
        positions = self._positions(key)
        return self.doorkeeper[positions[0]] + min(
            row[position] for row, position in zip(self.rows, positions, strict=True)
        )

    def _halve(self) -> None:
        self.sights //= 2
        half = bytes(value // 2 for value in range(256))
        self.rows = [row.translate(half) for row in self.rows]
        self.doorkeeper = bytearray(self.size)

    @property
    def bytes(self) -> int:
        """The size of the sketch in bytes."""
        return (ROWS + 1) * self.size
