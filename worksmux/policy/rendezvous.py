"""Engines ranked for a key by weighted rendezvous hashing, as far as the ranking is looked at.

Up to BUCKET engines are ranked all together.  More of them lie in a binary tree by the bits of their hashed
keys, with BUCKET at most in each leaf: for a key, the child that its hash and the children's weights prefer
comes first, and a leaf's engines are ranked when their turn comes.  So the first engine gets what its weight
is due, an engine that comes or goes moves few keys as long as no leaf splits or joins, and ranking costs no
more among thousands.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterator, Sequence
from itertools import accumulate, islice
from math import log
from operator import attrgetter

from .measure import mix, straw, straws
from .state import Engine

# Engines that are ranked together.  Where a leaf comes to more or less than this its engines are ranked anew
# and many of its keys move, so it is far from what the leaves of most fleets have.
BUCKET = 512
BITS = 64  # of a hashed key
PIECE = 32  # engines that are taken from a ranking at once


class _Node:
    """Engines whose hashed keys begin with the same bits."""

    __slots__ = ("first", "after", "weight", "key_hash", "children")

    def __init__(self, first: int, after: int, weight: float, key_hash: int) -> None:
        self.first, self.after = first, after  # a part of the engines by hashed key
        self.weight, self.key_hash = weight, key_hash
        self.children: tuple[_Node, ...] = ()


class Ranking:
    """The engines in the order that a key gives them, ranked when they are first asked for."""

    def __init__(self, total: int, engines: Iterator[Engine]) -> None:
        self._total, self._engines = total, engines
        self._ranked: list[Engine] = []

    def __len__(self) -> int:
        return self._total

    def part(self, start: int, end: int) -> list[Engine]:
        missing = end - len(self._ranked)
        if missing > 0:
            self._ranked += islice(self._engines, missing)
        return self._ranked[start:end]

    def __iter__(self) -> Iterator[Engine]:
        at = 0
        while piece := self.part(at, at + PIECE):
            yield from piece
            at += PIECE


class RankedEngines:
    """Engines with their weights, as they were when this was made."""

    def __init__(self, engines: Sequence[Engine]) -> None:
        key_hash, weight = attrgetter("key_hash"), attrgetter("weight")
        self._engines = sorted(engines, key=key_hash) if len(engines) > BUCKET else engines
        self._key_hashes: list[int] = list(map(key_hash, self._engines))
        self._sums = [0.0, *accumulate(map(weight, self._engines))]
        self._root = self._node(0, len(self._engines), 0, 1)

    def _node(self, first: int, after: int, prefix: int, path: int) -> _Node:
        """`prefix` is the smallest hashed key of the node; `path` has its bits behind a leading one."""
        node = _Node(first, after, self._sums[after] - self._sums[first], mix(path, 5))
        depth = path.bit_length() - 1
        if after - first > BUCKET and depth < BITS:
            half = prefix + (1 << BITS - 1 - depth)
            middle = bisect_left(self._key_hashes, half, first, after)
            node.children = tuple(
                self._node(*part)
                for part in ((first, middle, prefix, 2 * path), (middle, after, half, 2 * path + 1))
                if part[0] < part[1]
            )
        return node

    def ranked(self, key: int) -> Ranking:
        return Ranking(len(self._engines), self._walk(self._root, key))

    def _walk(self, node: _Node, key: int) -> Iterator[Engine]:
        if not node.children:
            yield from self._leaf(node, key)
            return
        for child in sorted(node.children, key=lambda child: -log(straw(key, child.key_hash)) / child.weight):
            yield from self._walk(child, key)

    def _leaf(self, node: _Node, key: int) -> list[Engine]:
        return rank(key, self._engines[node.first : node.after], self._key_hashes[node.first : node.after])


def rank(key: int, engines: Sequence[Engine], key_hashes: Sequence[int] | None = None) -> list[Engine]:
    """All of these by weighted rendezvous hashing; `key_hashes` are their hashed keys, if at hand."""
    shares = straws(key, [engine.key_hash for engine in engines] if key_hashes is None else key_hashes)
    ranks = [-log(share) / engine.weight for share, engine in zip(shares, engines, strict=True)]
    return [engines[at] for at in sorted(range(len(ranks)), key=ranks.__getitem__)]
