"""Provides seeded random numbers."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TypeVar

T = TypeVar("T")
MODULUS = 2**64


class RandomSource:
    """Linear congruential generator, of which only the high bits are used."""

    def __init__(self, seed: int) -> None:
        self.state = seed

    def share(self) -> float:
        """Returns a number from 0, inclusive, to 1, exclusive.

        >>> 0 <= RandomSource(7).share() < 1 and RandomSource(7).share() != RandomSource(8).share()
        True
        """
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) % MODULUS
        return (self.state >> 32) / 2**32

    def sample(self, items: Iterable[T], count: int) -> list[T]:
        """Returns at most `count` of the items, in random order.

        >>> sorted(RandomSource(1).sample("abc", 5)), len(RandomSource(1).sample("abc", 2))
        (['a', 'b', 'c'], 2)
        """
        remaining, sampled = list(items), []  # type: list[T], list[T]
        while remaining and len(sampled) < count:
            sampled.append(remaining.pop(int(self.share() * len(remaining))))
        return sampled
