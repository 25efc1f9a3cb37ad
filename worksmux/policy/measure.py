"""Chance, hashing and sums over time for the decision module.  No decision is taken here."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TypeVar

T = TypeVar("T")
WHOLE = 2**64


class Chance:
    """A linear congruential generator; only its high bits are used."""

    def __init__(self, seed: int) -> None:
        self.state = seed

    def share(self) -> float:
        """
        >>> 0 <= Chance(7).share() < 1 and Chance(7).share() != Chance(8).share()
        True
        """
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) % WHOLE
        return (self.state >> 32) / 2**32

    def some(self, items: Iterable[T], count: int) -> list[T]:
        """So many of them at most, in an order of its own.

        >>> sorted(Chance(1).some("abc", 5)), len(Chance(1).some("abc", 2))
        (['a', 'b', 'c'], 2)
        """
        left, found = list(items), []  # type: list[T], list[T]
        while left and len(found) < count:
            found.append(left.pop(int(self.share() * len(left))))
        return found


class Ring:
    """Sums and counts over the last `span` milliseconds, in fixed buckets that are used again.

    >>> ring = Ring(100.0, 10)
    >>> ring.add(5.0, 2.0); ring.add(95.0, 12.0, 3.0)
    >>> ring.mean(99.0), ring.least(99.0), ring.count(99.0), ring.mean(104.0)
    (3.5, 2.0, 4.0, 4.0)
    """

    __slots__ = ("width", "size", "marks", "sums", "counts", "newest")

    def __init__(self, span: float, buckets: int) -> None:
        self.width, self.size, self.newest = span / buckets, buckets, -buckets
        self.marks: list[int] = []  # made with the first figure: most rings stay empty
        self.sums: list[float] = []
        self.counts: list[float] = []

    def add(self, now: float, value: float = 1.0, of: float = 1.0) -> None:
        """Counts `value`, which stands for `of` things."""
        if not self.marks:
            self.marks, self.sums = [-self.size] * self.size, [0.0] * self.size
            self.counts = [0.0] * self.size
        mark = int(now / self.width)
        at = mark % self.size
        if self.marks[at] != mark:
            self.marks[at], self.sums[at], self.counts[at], self.newest = mark, 0.0, 0.0, mark
        self.sums[at] += value
        self.counts[at] += of

    def _live(self, now: float, last: int = 0) -> list[int]:
        oldest = int(now / self.width) - (last or self.size)
        return [at for at, mark in enumerate(self.marks) if mark > oldest] if self.newest > oldest else []

    def count(self, now: float) -> float:
        return sum(self.counts[at] for at in self._live(now))

    def least(self, now: float) -> float:
        """The smallest mean of a bucket: the shortest time seen, without a single lucky one deciding it."""
        return min((self.sums[at] / self.counts[at] for at in self._live(now)), default=0.0)

    def mean(self, now: float, otherwise: float = 0.0, last: int = 0) -> float:
        """Over all buckets, or the `last` so many."""
        live = self._live(now, last or self.size)
        return sum(self.sums[at] for at in live) / sum(self.counts[at] for at in live) if live else otherwise


def mix(a: int, b: int) -> int:
    """Two numbers hashed into one, the same at every front.

    >>> mix(1, 2) == mix(1, 2) != mix(2, 1) and len({mix(number, 0) for number in range(100)}) == 100
    True
    """
    a = (a + b * 0x9E3779B97F4A7C15) % WHOLE
    for factor in (0xBF58476D1CE4E5B9, 0x94D049BB133111EB):
        a = (a ^ a >> 30) * factor % WHOLE
    return a ^ a >> 31


def straw(key: int, salt: int) -> float:
    """A share above 0 and under 1 from two hashed numbers: the cheap last step of a hash over engines."""
    return (((key ^ salt) * 0xD6E8FEB86659FD93 % WHOLE >> 11) + 0.5) / 2**53


def straws(key: int, salts: Iterable[int]) -> list[float]:
    """`straw` of one key and many salts.

    >>> straws(7, [3, 4]) == [straw(7, 3), straw(7, 4)]
    True
    """
    return [(((key ^ salt) * 0xD6E8FEB86659FD93 % WHOLE >> 11) + 0.5) / 2**53 for salt in salts]
