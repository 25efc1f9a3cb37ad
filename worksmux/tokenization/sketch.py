"""How often keys were seen lately, in a few bytes a key: a count-min sketch of 4-bit counters that are
halved.

Published as TinyLFU (Einziger, Friedman, Manes: "TinyLFU: A Highly Efficient Cache Admission Policy", 2017);
a doorkeeper takes a key's first sight, so that one-time keys do not wear the counters.
"""

from __future__ import annotations

ROWS, MOST = 4, 15
MIX = (0x9E3779B97F4A7C15, 0xC2B2AE3D27D4EB4F, 0x165667B19E3779F9, 0x27D4EB2F165667C5)
WORD = 0xFFFFFFFFFFFFFFFF


class Sketch:
    """Counts of about `width` keys; after `10 * width` sights all counts are halved.

    >>> sketch = Sketch(64)
    >>> for _ in range(5): sketch.add(7)
    >>> sketch.count(7), sketch.count(8)
    (5, 0)
    """

    def __init__(self, width: int) -> None:
        self.size = 1 << max(4, (width - 1).bit_length())
        self.rows = [bytearray(self.size) for _ in range(ROWS)]
        self.door = bytearray(self.size)
        self.sights, self.period = 0, 10 * self.size

    def _places(self, key: int) -> list[int]:
        return [((key * mix & WORD) >> 32) & (self.size - 1) for mix in MIX]

    def add(self, key: int) -> None:
        places = self._places(key)
        if not self.door[places[0]]:
            self.door[places[0]] = 1
        else:
            least = min(row[place] for row, place in zip(self.rows, places, strict=True))
            if least < MOST:
                for row, place in zip(self.rows, places, strict=True):
                    if row[place] == least:
                        row[place] += 1
        self.sights += 1
        if self.sights >= self.period:
            self._halve()

    def count(self, key: int) -> int:
        places = self._places(key)
        return self.door[places[0]] + min(row[place] for row, place in zip(self.rows, places, strict=True))

    def _halve(self) -> None:
        self.sights //= 2
        half = bytes(value // 2 for value in range(256))
        self.rows = [row.translate(half) for row in self.rows]
        self.door = bytearray(self.size)

    @property
    def bytes(self) -> int:
        return (ROWS + 1) * self.size
